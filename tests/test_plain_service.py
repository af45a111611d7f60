"""Services without engines: the (1+beta) process on calls in flight, and the outcomes of their requests."""

from __future__ import annotations

from collections import Counter
from math import log, sqrt
from random import Random

import pytest

from cranebank.dataplane.budget import Budget
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choices import Choices
from cranebank.dataplane.errors import NotRun, Unknown
from cranebank.dataplane.evidence import SendEvidence
from cranebank.dataplane.exchange import Exchange
from cranebank.dataplane.exchange_events import (
    Action,
    Begin,
    Break,
    Call,
    Data,
    Finish,
    Head,
    LegData,
    LegEnd,
    LegFailed,
    LegHead,
    Reply,
)
from cranebank.dataplane.plain_choice import PlainChoice
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine, Route
from cranebank.dataplane.shared import Shared
from cranebank.transport.messages import Backend

ENGINE = Engine(capacity=16, cache_tokens=400_000, token_bytes=18_432, link_mbps=180_000.0)
NO_PROMPT = Prompt()
NOW = 100.0


def backend(name: str, stage: str = "", capacity: int = 6, phase: str = "ready", call_seq: int = 1) -> Backend:
    """A record of one backend of the service ``svc``."""
    return Backend(name, "svc", f"10.0.0.1:{8000 + sum(map(ord, name))}", "z", stage, capacity, phase, call_seq)


def choices_over(*records: Backend) -> tuple[Choices, Candidates]:
    """The choices of a proxy that knows these backends."""
    candidates = Candidates()
    candidates.merge(records)
    return Choices(candidates, CacheView(), Random(5)), candidates


def chosen(choices: Choices, engine: Engine | None = None, count: int = 1) -> Counter[str]:
    """How often each backend is chosen."""
    choice = choices.of("svc", engine)
    found: Counter[str] = Counter()
    for _ in range(count):
        plan = choice.choose(NOW, NO_PROMPT, 300.0, set())
        found[plan.decode_backend.backend.id if plan is not None else "none"] += 1
    return found


@pytest.mark.parametrize(("calls", "proxies", "age"), [(1, 1, 0.0), (40, 9, 0.5), (400, 66, 1.0)])
def test_the_shares_are_those_of_the_blend(calls: int, proxies: int, age: float) -> None:
    size = 8
    choices, candidates = choices_over(*(backend(f"b{i}") for i in range(size)))
    choices.draws.proxies = proxies
    for i in range(size):
        view = candidates.views[f"b{i}"]
        view.calls, view.load_changed_at = i, NOW - age
    for _ in range(calls):
        choices.draws.count_call(NOW, "svc", "")
    between_refreshes = calls / 2.0 * proxies * age  # calls per second are averaged over two seconds
    edge = size * log(size)
    blend = 1.0 if between_refreshes <= edge else sqrt(edge / between_refreshes)
    found = chosen(choices, count=20_000)
    for i in range(size):
        share = blend * 2 * (size - 1 - i) / (size * (size - 1)) + (1 - blend) / size
        assert abs(found[f"b{i}"] / 20_000 - share) < 4 * sqrt(share / 20_000) + 0.002


def test_load_is_the_used_share_of_the_capacity_and_ties_break_at_random() -> None:
    choices, candidates = choices_over(backend("small", capacity=4), backend("large", capacity=16))
    candidates.views["small"].calls, candidates.views["large"].calls = 2, 6
    assert chosen(choices, count=50) == {"large": 50}
    candidates.views["large"].calls = 8
    assert abs(chosen(choices, count=4_000)["small"] - 2_000) < 200
    candidates.views["large"].others_calls = 1
    assert chosen(choices, count=50) == {"small": 50}


def test_a_staged_service_sends_nothing_to_a_backend_without_a_stage() -> None:
    choices, candidates = choices_over(backend("plain"))
    assert chosen(choices, ENGINE) == {"none": 1}
    assert not choices.of("svc", ENGINE).has_candidate(NOW, set())
    candidates.merge([backend("d", "decode")])
    assert chosen(choices, ENGINE, 20) == {"d": 20}


def test_a_service_goes_from_one_kind_to_the_other_by_its_configuration() -> None:
    choices, candidates = choices_over(backend("d", "decode"), backend("p", "prefill"))
    # The service has lost its engine, and only decode backends take whole requests
    assert chosen(choices, None, 20) == {"d": 20}
    candidates.merge([backend("plain")])
    assert chosen(choices, None, 20) == {"plain": 20}
    assert chosen(choices, ENGINE, 20) == {"d": 20}


def test_a_plain_backend_that_failed_is_avoided() -> None:
    choices, candidates = choices_over(backend("a"), backend("b"))
    candidates.failed(NOW, "a")
    assert chosen(choices, None, 30) == {"b": 30}
    candidates.failed(NOW, "b")
    assert set(chosen(choices, None, 50)) == {"a", "b"}  # all have failed, so any may be tried


class ExchangeHarness:
    """A proxy's shared state, and one request to the plain service ``svc``."""

    def __init__(self, variant: str = "effectful", tries: int = 1, names: tuple[str, ...] = ("a", "b")) -> None:
        choices, self.candidates = choices_over(*(backend(name) for name in names))
        budget = Budget(0.2, 50.0, 10.0, 0.0)
        shared = Shared(self.candidates, choices, CacheView(), lambda _: budget, {})
        route = Route("r", "h", "/", variant, 4_000.0, 300.0, 2, "svc", tries=tries)
        self.exchange = Exchange(shared, route, "svc", None, NO_PROMPT, NOW, NOW + 4.0)
        self.counters = shared.counters

    def do(self, event: Begin | LegHead | LegData | LegEnd | LegFailed) -> list[Action]:
        return self.exchange.handle(NOW + 0.01, event)

    def call(self) -> Call:
        """The request's first call."""
        (call,) = [action for action in self.do(Begin()) if isinstance(action, Call)]
        return call

    def answer(self, leg: int, status: int, headers: dict[str, str], body: bytes = b"ok") -> list[Action]:
        """A backend's complete answer."""
        return [*self.do(LegHead(leg, status, headers)), *self.do(LegData(leg, body)), *self.do(LegEnd(leg))]

    def out(self) -> int:
        """The number of calls in flight."""
        return sum(view.calls for view in self.candidates.views.values())


def test_the_answer_is_passed_on_and_the_slot_is_free_again() -> None:
    harness = ExchangeHarness()
    call = harness.call()
    assert harness.out() == 1 and not {name for name, _ in call.headers} & {"X-Stage", "Kv-From"}
    actions = harness.answer(call.leg, 200, {"x-server-seal": "s"})
    assert [a.status for a in actions if isinstance(a, Head)] == [200]
    assert b"".join(a.data for a in actions if isinstance(a, Data)) == b"ok"
    assert any(isinstance(a, Finish) for a in actions) and harness.out() == 0


def test_a_backends_own_failure_is_passed_on_as_it_came() -> None:
    harness = ExchangeHarness()
    actions = harness.answer(harness.call().leg, 500, {"x-server-seal": "s"}, b"failed")
    assert [a.status for a in actions if isinstance(a, Head)] == [500]
    assert b"".join(a.data for a in actions if isinstance(a, Data)) == b"failed"


@pytest.mark.parametrize(("tries", "calls"), [(1, 0), (2, 1)])
def test_a_request_that_did_not_run_is_sent_elsewhere_if_the_tries_allow(tries: int, calls: int) -> None:
    harness = ExchangeHarness(tries=tries)
    first = harness.call()
    actions = harness.answer(first.leg, 503, {"x-not-run": "1"})
    further = [a for a in actions if isinstance(a, Call)]
    assert len(further) == calls and all(call.backend.id != first.backend.id for call in further)
    refusals = [a for a in actions if isinstance(a, Reply)]
    assert [type(reply.error) for reply in refusals] == [NotRun] * (1 - calls)


def test_an_effectful_request_whose_answer_is_lost_is_neither_sent_again_nor_refused() -> None:
    harness = ExchangeHarness(tries=3)
    actions = harness.do(LegFailed(harness.call().leg, SendEvidence.WRITTEN))
    assert not [a for a in actions if isinstance(a, (Call, Break))]
    assert [type(a.error) for a in actions if isinstance(a, Reply)] == [Unknown]


def test_an_idempotent_request_whose_answer_is_lost_is_sent_to_another() -> None:
    harness = ExchangeHarness(variant="idempotent", tries=2)
    first = harness.call()
    (again,) = [a for a in harness.do(LegFailed(first.leg, SendEvidence.WRITTEN)) if isinstance(a, Call)]
    assert again.backend.id != first.backend.id


def test_an_unsent_call_goes_to_another_backend_and_takes_no_try() -> None:
    harness = ExchangeHarness()
    first = harness.call()
    (again,) = [a for a in harness.do(LegFailed(first.leg, SendEvidence.NEVER_CONNECTED)) if isinstance(a, Call)]
    assert again.backend.id != first.backend.id


def test_without_a_ready_backend_a_request_is_refused_at_once() -> None:
    harness = ExchangeHarness(names=())
    (reply,) = [action for action in harness.do(Begin()) if isinstance(action, Reply)]
    assert isinstance(reply.error, NotRun) and harness.counters["without_backend"] == 1


def test_backends_of_a_plain_service_are_served_by_the_plain_choice_alone() -> None:
    choices, _ = choices_over(backend("a"))
    assert isinstance(choices.of("svc", None), PlainChoice)
    assert not isinstance(choices.of("svc", ENGINE), PlainChoice)
