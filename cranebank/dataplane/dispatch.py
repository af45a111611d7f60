"""Decides which backend one request is sent to next, for a prefill or to run it."""

from __future__ import annotations

from cranebank.dataplane.attempts import Attempts
from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.budget import Budget
from cranebank.dataplane.cache_view import CACHE_SHARE, PREFILL_CACHE_SHARE
from cranebank.dataplane.choice import Plan
from cranebank.dataplane.client_answer import ClientAnswer
from cranebank.dataplane.exchange_events import Call
from cranebank.dataplane.open_legs import Handle, Leg, OpenLegs
from cranebank.dataplane.pair import MAX_LOCAL_PREFILL_TOKENS
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine, Route
from cranebank.dataplane.shared import Shared
from cranebank.invariants import invariant_error
from cranebank.transport.messages import PrefillBegun

HANDLE_MARGIN_S = 0.5  # part of a handle's lifetime that is not relied on
# A prefill is given up after PREFILL_TIMEOUT_BASE_S plus so many times its estimated wait and duration
PREFILL_TIMEOUT_FACTOR = 4.0
PREFILL_TIMEOUT_BASE_S = 0.4
# A second copy is sent after so long, or after so many times the goal, without the head of an answer
SECOND_COPY_DELAY_S, SECOND_COPY_DELAY_GOALS = 0.9, 3.0


class Dispatch:
    """Dispatches one request, until ``until``. A call that is returned has been counted and must be sent; None means
    that there is no further call.

    ``without`` are the backends that failed the request. ``handle`` is its prompt's KV cache, where a prefill has been
    done and no decode backend has fetched it yet.
    """

    __slots__ = (
        "_answer",
        "_attempts",
        "_choice",
        "_engine",
        "_legs",
        "_plan",
        "_prompt",
        "_route",
        "_service",
        "_shared",
        "_until",
        "handle",
        "without",
    )

    def __init__(
        self,
        shared: Shared,
        route: Route,
        service: str,
        engine: Engine | None,
        prompt: Prompt,
        until: float,
        legs: OpenLegs,
        attempts: Attempts,
        answer: ClientAnswer,
    ) -> None:
        self._shared, self._route, self._service, self._engine, self._prompt = shared, route, service, engine, prompt
        self._choice = shared.choices.of(service, engine)
        self._until, self._legs, self._attempts, self._answer = until, legs, attempts, answer
        self.without: set[str] = set()
        self.handle: Handle | None = None
        self._plan: Plan | None = None

    @property
    def budget(self) -> Budget:
        """Return the service's budget. It is looked up each time, as an idle one may have been replaced since this
        request began."""
        return self._shared.budget(self._service)

    def next_call(self, now: float) -> Call | None:
        """Choose a pair of backends and return the first call to it."""
        if self._attempts.are_used_up:
            return None
        plan = self._choose(now, self.without)
        if plan is None:
            self._shared.count("without_backend")
            return None
        if now >= self._until:
            return None
        self._plan = plan
        if self.handle is not None and now < self.handle.until:
            return self._send_decode(now, plan.decode_backend, 0)
        self.handle = None
        skips_prefill = self._answer.is_begun or bool(self._legs)  # no time for a separate prefill
        if plan.prefill_backend is not None and self._attempts.may_prefill() and not skips_prefill:
            return self._send_prefill(now, plan.prefill_backend, plan.prefill_tokens)
        return self._send_decode(now, plan.decode_backend, plan.prefill_tokens)

    def call_after_prefill(self, now: float, prefill: Leg, handle: str) -> Call | None:
        """Return the call that follows a prefill, with the handle of its KV cache."""
        took_ms = (now - prefill.sent_at) * 1e3
        self._shared.choices.pairs.end_prefill(now, self._service, prefill)
        self._shared.count("readings")
        self._shared.count("reading_ms", round(took_ms))
        if self._engine is None:
            raise invariant_error("a service without engines reads no prompt apart")
        self.handle = Handle(prefill.view.backend, handle, now + self._engine.handle_ttl_s - HANDLE_MARGIN_S)
        decode_backend = self._usable_decode_backend(now)
        return self._send_decode(now, decode_backend, 0) if decode_backend is not None else None

    def unsent(self, now: float, leg: Leg) -> None:
        """Undo the accounting of a call that was never sent."""
        self._shared.load.add_prefill(now, self._service, -leg.prefill_load_s)
        if leg.ticket is not None:
            leg.view.prefill_queue.cancel(leg.ticket)
        if not leg.is_prefill:
            self.handle = leg.handle  # it has not been fetched

    def can_retry(self, now: float) -> bool:
        """Return whether the retry budget and the available backends allow another attempt."""
        return self._has_budget(now) and self._choice.has_candidate(now, self.without)

    def _choose(self, now: float, without: set[str]) -> Plan | None:
        return self._choice.choose(now, self._prompt, self._route.goal_ms, without)

    def _has_budget(self, now: float) -> bool:
        return self.budget.allows(now, self._shared.choices.draws.proxies)

    def _usable_decode_backend(self, now: float) -> BackendView | None:
        """Return the planned decode backend, or another one if it may not be called any more or has failed recently."""
        assert self._plan is not None
        decode_backend = self._plan.decode_backend
        may_begin = self._shared.candidates.may_begin(now, decode_backend)
        if may_begin and not decode_backend.is_avoided(now):
            return decode_backend
        plan = self._choose(now, self.without | {decode_backend.backend.id})
        if plan is not None:
            return plan.decode_backend
        return decode_backend if may_begin else None

    def _send_prefill(self, now: float, prefill_backend: BackendView, tokens: int) -> Call | None:
        """Send the request to a prefill backend."""
        if self._attempts.prefills and not self._may_repeat(now):
            return None
        is_counted = self._attempts.count_prefill()
        pairs = self._shared.choices.pairs
        # A backend with a long queue is late, not silent.
        wait_s = pairs.wait_ms(now, self._service, prefill_backend) / 1e3
        estimate_s = wait_s + pairs.latency(self._service, "prefill").estimate(tokens) / 1e3
        headers = (("X-Stage", "prefill"), self._priority())
        leg, call = self._send(
            now, prefill_backend, tokens, True, headers, PREFILL_TIMEOUT_BASE_S + PREFILL_TIMEOUT_FACTOR * estimate_s
        )
        leg.is_counted = is_counted
        # Only a whole prompt at an idle backend shows the backend's speed, as what is expected to be cached may not be.
        leg.found_idle = leg.found_idle and not wait_s and tokens >= self._prompt.tokens
        leg.ticket = pairs.begin_prefill(now, self._service, prefill_backend, tokens)
        self._announce_prefill(prefill_backend, tokens)
        return call

    def _announce_prefill(self, prefill_backend: BackendView, tokens: int) -> None:
        """Report the prefill to other proxies, which count it in the backend's queue and its prefix as cached there."""
        report, prompt = self._shared.on_prefill_begun, self._prompt
        if report is not None:
            shared = prompt.shared_tokens if prompt.home_key else 0
            slowness, prefill_backend.unreported_slowness = prefill_backend.unreported_slowness, 0.0
            report(PrefillBegun(prefill_backend.backend.id, tokens, prompt.home_key, shared, round(slowness, 2)))

    def _send_decode(self, now: float, decode_backend: BackendView, tokens: int) -> Call | None:
        """Send the request to a decode backend."""
        if self._attempts.arrivals and not self._may_repeat(now):
            return None
        headers: list[tuple[str, str]] = [self._priority()]
        handle = self.handle
        if handle is not None:
            headers.append(("Kv-From", f"{handle.backend.address}/{handle.name}"))
            self.handle, tokens = None, 0
        if self._answer.last_event_id is not None:
            headers.append(("Last-Event-Id", self._answer.last_event_id))
        self._attempts.count_decode()
        silent_s = None
        if self._route.repeatable and self._attempts.are_left:
            silent_s = max(SECOND_COPY_DELAY_S, SECOND_COPY_DELAY_GOALS * self._route.goal_ms / 1e3)
        leg, call = self._send(now, decode_backend, tokens, False, tuple(headers), silent_s)
        leg.handle = handle
        return call

    def _priority(self) -> tuple[str, str]:
        """Return the priority header. A lower rank of the route is more urgent; both ends of the scale are left to
        other clients."""
        if not self._shared.choices.policy.priorities:
            return "Priority", "5"
        return "Priority", str(min(9, 3 + self._route.rank))

    def _may_repeat(self, now: float) -> bool:
        if not self._has_budget(now):
            self._shared.count("budget_empty")
            return False
        self.budget.spend(now)
        self._shared.count("repeats")
        return True

    def _send(
        self,
        now: float,
        view: BackendView,
        tokens: int,
        is_prefill: bool,
        headers: tuple[tuple[str, str], ...],
        silent_s: float | None,
    ) -> tuple[Leg, Call]:
        permitted_until = self._shared.candidates.begin_call(now, view)
        if permitted_until:
            self._shared.count("cold_calls")
        leg = self._legs.open(now, view, tokens, is_prefill, silent_s)
        choices = self._shared.choices
        choices.draws.count_call(now, self._service, view.backend.stage)
        # Also a prefill at a decode backend, done there for want of a prefill backend
        if is_prefill or tokens > MAX_LOCAL_PREFILL_TOKENS:
            leg.prefill_load_s = choices.pairs.latency(self._service, "prefill").token_ms * tokens / 1e3
            self._shared.load.add_prefill(now, self._service, leg.prefill_load_s)
        if self._engine is not None:
            self._shared.count(f"tokens_asked_{view.backend.stage}", tokens)
            share = PREFILL_CACHE_SHARE if is_prefill else CACHE_SHARE
            self._shared.cache.touch(view.backend.id, self._prompt.parts, self._engine.cache_tokens, share)
        self._shared.count("reads" if is_prefill else "makes")
        return leg, Call(leg.number, view.backend, headers, permitted_until)
