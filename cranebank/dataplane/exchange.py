"""One request from a client, from its arrival to its one answer: explicit states, no clock, no sockets.

``handle(now, event)`` returns the actions to carry out, in order. ``dispatch.py`` decides where the request is sent,
``attempts.py`` how often, ``backend_answers.py`` classifies a backend's answer, and ``client_answer.py`` decides which
answer the client may get. A *leg* is one call to one backend (``open_legs.py``).
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto

from cranebank.dataplane.attempts import Attempts
from cranebank.dataplane.backend_answers import (
    MISDIRECTED,
    REJECTIONS,
    AnswerKind,
    handle_in,
    is_event_stream,
    kind_of,
)
from cranebank.dataplane.client_answer import ClientAnswer
from cranebank.dataplane.connection_end import LOST_CALLS_PREFIX, ConnectionEnd
from cranebank.dataplane.dispatch import Dispatch
from cranebank.dataplane.events_stream import EventTooLong
from cranebank.dataplane.evidence import SendEvidence
from cranebank.dataplane.exchange_events import (
    BROKEN_OFF_PREFIX,
    Abort,
    Action,
    Begin,
    Break,
    BreakReason,
    Call,
    ClientGone,
    ClientPace,
    Event,
    Free,
    LegData,
    LegEnd,
    LegFailed,
    LegHead,
    Reply,
    Wake,
    WakeAt,
)
from cranebank.dataplane.open_legs import Leg, OpenLegs
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine, Route
from cranebank.dataplane.shared import Shared
from cranebank.invariants import invariant_error

STREAM_SILENCE_TIMEOUT_S = 0.6  # a resumable stream is given up after so long without an event
MAX_HELD_ANSWER_BYTES = 1 << 20  # of an answer that is held until it is complete


class State(Enum):
    """The states of one request."""

    NEW = auto()
    PREFILLING = auto()  # a prefill backend reads the prompt
    DECODING = auto()  # a decode backend has the request; nothing has been passed on to the client
    STREAMING = auto()  # part of the answer has been passed on
    OVER = auto()


TRANSITIONS = {
    State.NEW: {State.PREFILLING, State.DECODING, State.OVER},
    State.PREFILLING: {State.PREFILLING, State.DECODING, State.OVER},
    State.DECODING: {State.PREFILLING, State.DECODING, State.STREAMING, State.OVER},
    State.STREAMING: {State.OVER},
    State.OVER: set(),
}


class Exchange:
    """One request. Times are in seconds on the steady clock; ``deadline`` is when the client stops waiting.

    ``last_event_id`` is where the client itself resumes a stream. It is sent to the backend in a header of the leg's
    own. There must be only one such header: a later attempt must not begin where the client's own attempt did.
    """

    __slots__ = (
        "_actions",
        "_answer",
        "_attempts",
        "_dispatch",
        "_is_client_slow",
        "_legs",
        "_prompt",
        "_route",
        "_service",
        "_shared",
        "_until",
        "state",
    )

    def __init__(
        self,
        shared: Shared,
        route: Route,
        service: str,
        engine: Engine | None,
        prompt: Prompt,
        now: float,
        deadline: float,
        last_event_id: str | None = None,
    ) -> None:
        self._shared, self._route, self._service, self._prompt = shared, route, service, prompt
        self._until = min(deadline, now + route.timeout_ms / 1e3)
        self.state = State.NEW
        self._legs = OpenLegs()
        self._attempts = Attempts(route.tries)
        self._answer = ClientAnswer(route.resumable, last_event_id)
        self._dispatch = Dispatch(
            shared, route, service, engine, prompt, self._until, self._legs, self._attempts, self._answer
        )
        self._is_client_slow = False
        self._actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event; return the actions to carry out, in order."""
        self._actions = []
        if self.state is State.OVER:
            return self._actions
        match event:
            case LegData(number, data):
                self._data(now, self._legs.get(number), data)
            case LegHead(number, status, headers):
                self._head(now, self._legs.get(number), status, headers)
            case LegEnd(number, by_close):
                self._end(now, self._legs.get(number), by_close)
            case LegFailed(number, evidence):
                self._failed(now, self._legs.get(number), evidence)
            case Begin():
                self._dispatch.budget.count_request(now)
                self._send_next(now)
            case Wake():
                self._wake(now)
            case ClientPace(is_slow):
                self._is_client_slow = is_slow
                self._set_silence_timers(now)
            case ClientGone():
                self._shared.count("clients_gone")
                self._close(now)
        self._check()
        if not self.is_over:
            self._actions.append(WakeAt(self._legs.next_silence(self._until)))
        return self._actions

    @property
    def is_over(self) -> bool:
        """Return whether the client has got its one answer."""
        return self.state is State.OVER

    def _enter_state(self, state: State) -> None:
        if state not in TRANSITIONS[self.state]:
            raise invariant_error("states of a request follow one another", f"{self.state} to {state}")
        self.state = state

    def _check(self) -> None:
        if self.state is State.OVER and self._legs:
            raise invariant_error("no call outlives its request")
        if not self._route.repeatable and self._legs.runs > 1:
            raise invariant_error("what can't be repeated runs once")
        self._attempts.check()

    def _send_next(self, now: float) -> None:
        """Send the request to a backend, or end it if that is not possible."""
        self._send_or_give_up(now, self._dispatch.next_call(now))

    def _send_or_give_up(self, now: float, call: Call | None) -> None:
        if call is None:
            self._give_up(now)
            return
        leg = self._legs.get(call.leg)
        if leg is None:
            raise invariant_error("a planned call has its leg")
        if leg.is_prefill:
            self._enter_state(State.PREFILLING)
        elif self.state is not State.STREAMING:
            self._enter_state(State.DECODING)
        self._actions.append(call)

    def _abort(self, now: float, leg: Leg) -> None:
        self._legs.close(now, leg)
        self._actions.append(Abort(leg.number))

    # Events of legs. ``leg`` is None for a leg that has already ended.

    def _head(self, now: float, leg: Leg | None, status: int, headers: dict[str, str]) -> None:
        if leg is None:
            return
        leg.status, leg.headers = status, headers
        self._shared.candidates.answered(now, leg.view.backend.id)
        if leg.is_prefill:
            return
        read_tokens = self._legs.mark_prompt_read(now, leg)
        kind = kind_of(status, headers)
        if kind is not AnswerKind.REJECTED:
            self._answer.may_have_run = True
        if kind is not AnswerKind.SEALED:
            return
        self._begin_answer(now, leg)
        if read_tokens:
            self._shared.choices.pairs.latency(self._service, "decode").learn(read_tokens, (now - leg.sent_at) * 1e3)
            self._report_cached_prefix(leg, read_tokens)

    def _begin_answer(self, now: float, leg: Leg) -> None:
        """Pass on this leg's answer from now on, in place of all others."""
        if any(other.answering for other in self._legs):
            self._shared.count("streams_moved")
            self._answer.drop_rest()
        leg.answering = True
        self._abort_others(now, leg)

    def _abort_others(self, now: float, leg: Leg) -> None:
        for other in self._legs:
            if other is not leg:
                self._abort(now, other)

    def _data(self, now: float, leg: Leg | None, data: bytes) -> None:
        if leg is None:
            return
        if not leg.answering:
            if len(leg.body) + len(data) > MAX_HELD_ANSWER_BYTES:
                self._abort(now, leg)
                self._retry_or_give_up(now, leg)
                return
            leg.body += data
            return
        if self._answer.is_resumable:
            self._stream_goes_on(now, leg)
        try:
            self._pass(self._answer.pass_on(leg, data))
        except EventTooLong:
            self._abort(now, leg)
            self._finish_with(now, Break(BreakReason.EVENT_TOO_LONG))

    def _stream_goes_on(self, now: float, leg: Leg) -> None:
        """Restart the timer of a stream's silence; a stream that has rested no longer needs its copy."""
        if leg.is_resting:
            leg.is_resting = False
            self._shared.count("streams_resumed")
            self._abort_others(now, leg)
        self._set_silence_timer(now, leg)

    def _set_silence_timer(self, now: float, leg: Leg) -> None:
        """Begin the time after which a stream counts as silent. It doesn't run while the client reads slowly, as the
        backend is not read from then."""
        may_be_copied = self._attempts.are_left and not self._is_client_slow
        leg.silent_at = now + STREAM_SILENCE_TIMEOUT_S if may_be_copied else None

    def _set_silence_timers(self, now: float) -> None:
        """Stop or restart the timers of the streams that are passed on."""
        if not self._answer.is_resumable:
            return
        for leg in self._legs:
            if leg.answering and not leg.is_resting:
                self._set_silence_timer(now, leg)

    def _pass(self, actions: Iterable[Action]) -> None:
        self._actions += actions
        if self._answer.is_begun and self.state is not State.STREAMING:
            self._enter_state(State.STREAMING)

    def _end(self, now: float, leg: Leg | None, by_close: bool) -> None:
        if leg is None:
            return
        if by_close and self._is_torn(leg):
            self._shared.count(f"{LOST_CALLS_PREFIX}{ConnectionEnd.CLOSED_WITHIN_EVENT.value}")
            self._failed(now, leg, SendEvidence.WRITTEN)
            return
        self._legs.close(now, leg)
        if leg.is_prefill:
            self._prefill_ended(now, leg)
        elif leg.answering:
            self._pass(self._answer.finish(leg))
            self._shared.count("served")
            self._close(now)
        else:
            self._failure_ended(now, leg)

    def _is_torn(self, leg: Leg) -> bool:
        """Return whether a stream of events that ended without a length must have broken off: a backend that crashes
        may close its connections in order."""
        is_stream = is_event_stream(leg.headers, by_default=self._route.variant == "streaming")
        return leg.answering and is_stream and not self._answer.may_be_whole(leg)

    def _failure_ended(self, now: float, leg: Leg) -> None:
        """Process the end of an answer that is not a success."""
        kind = kind_of(leg.status, leg.headers)
        if kind is AnswerKind.REJECTED:
            self._rejected(now, leg)
        elif kind is AnswerKind.UNSEALED or (leg.status >= 500 and self._may_repeat_run()):
            self._retry_or_give_up(now, leg)
        elif self._answer.is_begun or self._legs or kind is AnswerKind.UNPROVEN:
            self._give_up(now)
        else:
            self._actions += self._answer.pass_failure(leg)
            self._shared.count("failed_there")
            self._close(now)

    def _prefill_ended(self, now: float, leg: Leg) -> None:
        """Process the end of the answer to a prefill."""
        backend = leg.view.backend
        handle = handle_in(leg.body) if leg.status == 200 else ""
        if handle:
            self._send_or_give_up(now, self._dispatch.call_after_prefill(now, leg, handle))
            return
        self._dispatch.without.add(backend.id)
        if leg.status in REJECTIONS:
            self._shared.count("readings_rejected")
            if leg.status == MISDIRECTED:
                self._shared.candidates.failed(now, backend.id)
            self._attempts.prefill_rejected(leg.is_counted)
            if self._attempts.arrivals > 1:
                self._dispatch.budget.spend(now)
        else:
            self._shared.candidates.failed(now, backend.id)
        self._send_next(now)

    def _report_cached_prefix(self, leg: Leg, tokens: int) -> None:
        """Report to other proxies that a decode backend has read this many tokens, if a shared prefix was among
        them."""
        prompt, report = self._prompt, self._shared.on_prefix_cached
        if report is not None and prompt.home_key and tokens > prompt.tokens - prompt.shared_tokens:
            report(leg.view.backend.id, prompt.home_key, prompt.shared_tokens)

    def _rejected(self, now: float, leg: Leg) -> None:
        """Process an answer by which a backend rejects the request without running it."""
        self._shared.count("rejected")
        self._dispatch.without.add(leg.view.backend.id)
        if leg.status == MISDIRECTED:
            self._shared.candidates.failed(now, leg.view.backend.id)
        if self._needs_call():
            self._send_next(now)

    def _failed(self, now: float, leg: Leg | None, evidence: SendEvidence) -> None:
        if leg is None:
            return
        self._legs.close(now, leg)
        backend = leg.view.backend.id
        if evidence is not SendEvidence.BACKEND_WITHDRAWN:
            self._shared.candidates.failed(now, backend, may_be_down=evidence is SendEvidence.NEVER_CONNECTED)
        self._dispatch.without.add(backend)
        self._shared.count("legs_broken" if evidence.may_have_run else "legs_unsent")
        if not evidence.may_have_run:
            self._unsent(now, leg)
        elif leg.is_prefill:
            self._send_next(now)
        else:
            self._answer.may_have_run = True
            self._retry_or_give_up(now, leg)

    def _unsent(self, now: float, leg: Leg) -> None:
        """Process the failure of a call that was never sent."""
        self._attempts.unsent(leg.is_prefill, leg.is_counted)
        self._dispatch.unsent(now, leg)
        if self._attempts.has_too_many_unsent:
            self._give_up(now)
        elif self._needs_call():
            self._send_next(now)

    # Further attempts.

    def _needs_call(self) -> bool:
        """Return whether no open call is known to make progress: there is none, or only a stream that rests."""
        return all(leg.is_resting for leg in self._legs)

    def _may_repeat_run(self) -> bool:
        return self._route.repeatable and self._attempts.are_left and self._answer.can_continue

    def _can_retry(self, now: float) -> bool:
        """Return whether another attempt is possible: the route's tries, the retry budget and a backend allow it."""
        return self._may_repeat_run() and self._dispatch.can_retry(now)

    def _retry_or_give_up(self, now: float, leg: Leg) -> None:
        """Process the failure of an attempt that may have begun to run."""
        self._dispatch.without.add(leg.view.backend.id)
        if leg.answering:
            self._answer.drop_rest()
        if not self._needs_call():
            return
        if self._may_repeat_run():
            self._send_next(now)
        else:
            self._give_up(now)

    def _wake(self, now: float) -> None:
        if now >= self._until:
            self._shared.count("out_of_time")
            self._finish_with(now, self._answer.out_of_time(self._legs.runs > 0))
            return
        for leg in self._legs:
            if leg.silent_at is not None and now >= leg.silent_at:
                self._on_silence(now, leg)

    def _on_silence(self, now: float, leg: Leg) -> None:
        leg.silent_at = None
        self._shared.count("silent")
        self._shared.candidates.failed(now, leg.view.backend.id, may_be_down=True)
        self._dispatch.without.add(leg.view.backend.id)
        if leg.is_prefill and not self._attempts.has_try_for_prefill():
            # The prefill cannot be repeated, and a decode backend that did it would delay its streams: late is better
            return
        if leg.is_prefill:
            self._abort(now, leg)
            self._send_next(now)
        elif self._can_retry(now):
            # A copy beside it. Silence alone is no reason to end a call: it goes on until the copy's answer begins.
            leg.is_resting = leg.answering
            self._send_next(now)

    # Ends of the request.

    def _give_up(self, now: float) -> None:
        """End the request: no further attempt is possible."""
        if not self._legs:  # otherwise a copy is still in flight
            self._finish_with(now, self._answer.give_up())

    def _finish_with(self, now: float, end: Break | Reply) -> None:
        if isinstance(end, Break):
            self._shared.count(f"{BROKEN_OFF_PREFIX}{end.reason.value}")
        else:
            self._shared.count(f"replied_{end.error.status}")
        self._actions.append(end)
        self._close(now)

    def _close(self, now: float) -> None:
        for leg in self._legs:
            self._abort(now, leg)
        handle, self._dispatch.handle = self._dispatch.handle, None
        if handle is not None:
            self._actions.append(Free(handle.backend, handle.name))
        self._enter_state(State.OVER)
