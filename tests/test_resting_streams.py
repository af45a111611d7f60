"""A resumable stream that rests: its call goes on beside a copy until the copy's answer begins."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import pytest
from test_exchange import SEALED, UNSENT, ExchangeHarness, calls, passed

from cranebank.dataplane.evidence import SendEvidence
from cranebank.dataplane.exchange import STREAM_SILENCE_TIMEOUT_S, State
from cranebank.dataplane.exchange_events import (
    Abort,
    Action,
    Break,
    Call,
    Event,
    Finish,
    LegData,
    LegEnd,
    LegFailed,
    LegHead,
    Wake,
)

REST_S = STREAM_SILENCE_TIMEOUT_S + 0.1
FULL = {"x-not-run": "1"}
SCHEDULES = 4000
EVENTS = 9  # of one stream


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def resting(unfinished: bytes = b"", **means: Any) -> tuple[ExchangeHarness, Call, Call]:
    """Return an exchange whose stream rests behind its first event, the stream's call, and the copy beside it."""
    harness = ExchangeHarness(**means)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, event(1) + unfinished))
    actions = harness.do(Wake(), REST_S)
    (copy,) = calls(actions)
    assert dict(copy.headers)["Last-Event-Id"] == "1" and not ends(actions)
    assert harness.out() == {call.backend.id: 1, copy.backend.id: 1}
    return harness, call, copy


def ends(actions: list[Action]) -> list[Action]:
    """Return the actions that end a call or the answer."""
    return [action for action in actions if isinstance(action, Abort | Break | Finish)]


def reject(harness: ExchangeHarness, copy: Call) -> list[Action]:
    """Let a full backend reject the copy."""
    return harness.do(LegHead(copy.leg, 503, FULL)) + harness.do(LegEnd(copy.leg))


def fail(*events: Callable[[int], Event]) -> Callable[[ExchangeHarness, Call], list[Action]]:
    """Return a function that lets the copy fail by these events."""
    return lambda harness, copy: [action for event in events for action in harness.do(event(copy.leg))]


FAILURES = {
    "rejected": reject,
    "its backend fails": fail(lambda leg: LegHead(leg, 500, {}), LegEnd),
    "no seal": fail(lambda leg: LegHead(leg, 200, {}), lambda leg: LegData(leg, event(2)), LegEnd),
    "broken": fail(lambda leg: LegFailed(leg, SendEvidence.WRITTEN)),
    **{f"unsent: {evidence.name}": fail(partial(LegFailed, evidence=evidence)) for evidence in UNSENT},
}


@pytest.mark.parametrize("failure", FAILURES.values(), ids=FAILURES)
def test_a_resting_stream_outlives_the_failure_of_its_copy(
    failure: Callable[[ExchangeHarness, Call], list[Action]],
) -> None:
    """Guards against a client's connection that is broken in the middle of a sound answer, as the stream's call was
    ended for its silence before another backend had taken the request."""
    harness, call, copy = resting(unfinished=b"id: 2\nda", decode_backends=2)
    assert not ends(failure(harness, copy))
    harness.do(LegData(call.leg, b"ta: x\n\n" + event(3)), 0.4)
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(call.leg)))
    assert passed(harness.log) == event(1) + event(2) + event(3) and not harness.out()


def test_a_stream_that_goes_on_ends_its_copy() -> None:
    """Guards against a backend that makes an answer which nobody receives."""
    harness, call, copy = resting()
    actions = harness.do(LegData(call.leg, event(2)))
    assert ends(actions) == [Abort(copy.leg)] and passed(actions) == event(2)
    assert harness.out() == {call.backend.id: 1}
    assert not calls(harness.do(Wake(), REST_S))  # its tries are used up, so it is waited for
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(call.leg)))


def test_the_answer_of_a_copy_replaces_the_resting_stream() -> None:
    """Guards against an event that is joined from the pieces of two runs."""
    harness, call, copy = resting(unfinished=b"id: 2\nda")
    assert ends(harness.do(LegHead(copy.leg, 200, SEALED))) == [Abort(call.leg)]
    assert not harness.do(LegData(call.leg, b"ta: x\n\n"))[:-1]  # what arrives late is dropped
    harness.do(LegData(copy.leg, event(2)))
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(copy.leg)))
    assert passed(harness.log) == event(1) + event(2) and not harness.out()


def test_a_rejected_copy_is_sent_elsewhere_while_tries_are_left() -> None:
    """Guards against a stream whose backend hangs and that is not continued although another backend could."""
    harness, call, copy = resting(tries=3)
    (again,) = calls(reject(harness, copy))
    assert again.backend.id not in {call.backend.id, copy.backend.id}
    assert not ends(reject(harness, again))
    assert harness.out() == {call.backend.id: 1}


def test_a_resting_stream_that_breaks_is_continued_by_its_copy() -> None:
    """Guards against a request that ends with its first call though a copy is in flight."""
    harness, call, copy = resting(unfinished=b"id: 2\nda")
    assert not ends(harness.do(LegFailed(call.leg, SendEvidence.WRITTEN)))
    harness.do(LegHead(copy.leg, 200, SEALED))
    harness.do(LegData(copy.leg, event(2)))
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(copy.leg)))
    assert passed(harness.log) == event(1) + event(2)


class Backend:
    """A backend's side of one call: it rejects the request, or makes the events behind the one that it is asked for."""

    def __init__(self, random: Random, call: Call) -> None:
        self.leg, self._random = call.leg, random
        self._next = int(dict(call.headers).get("Last-Event-Id", "0")) + 1
        self._unsent = b""
        self.answers = False
        self.is_over = False

    def step(self) -> Event:
        """Return what happens next to the call."""
        if not self.answers:
            self.answers = self._random.random() < 0.5
            if not self.answers:
                self.is_over = True
                return LegFailed(self.leg, self._random.choice(UNSENT))
            return LegHead(self.leg, 200, SEALED)
        if self._random.random() < 0.04:
            self.is_over = True
            return LegFailed(self.leg, SendEvidence.WRITTEN)
        if not self._unsent and self._next > EVENTS:
            self.is_over = True
            return LegEnd(self.leg)
        if not self._unsent:
            self._unsent, self._next = event(self._next), self._next + 1
        cut = self._random.randint(1, len(self._unsent))
        piece, self._unsent = self._unsent[:cut], self._unsent[cut:]
        return LegData(self.leg, piece)


def test_random_rests_end_no_sound_stream() -> None:
    """Guards against a piece that is lost, repeated or joined, and against an answer that is broken off while the call
    that makes it is open and there is time."""
    reached: Counter[str] = Counter()
    for seed in range(SCHEDULES):
        random = Random(seed)
        harness = ExchangeHarness(decode_backends=5, tries=random.choice([2, 3, 4]), timeout_ms=9000.0)
        backends = [Backend(random, call) for call in calls(harness.begin())]
        begun = harness.now
        while not harness.exchange.is_over:
            open_backends = [backend for backend in backends if not backend.is_over]
            due = random.choice(open_backends) if open_backends and random.random() < 0.9 else None
            was_answering = sum(backend.answers for backend in open_backends if backend is not due)
            step, after = (due.step(), 0.03 * random.random()) if due is not None else (Wake(), REST_S)
            actions = harness.do(step, after)
            aborted = {action.leg for action in actions if isinstance(action, Abort)}
            for backend in backends:
                backend.is_over = backend.is_over or backend.leg in aborted
            backends += [Backend(random, call) for call in calls(actions)]
            if any(isinstance(action, Break) for action in actions):
                assert not was_answering or harness.now >= begun + 3.0, f"seed {seed}"
                reached["broken off"] += 1
        assert harness.exchange.state is State.OVER and not harness.out()
        whole = b"".join(event(number) for number in range(1, EVENTS + 1))
        is_complete = any(isinstance(action, Finish) for action in harness.log)
        assert whole.startswith(passed(harness.log)) and (passed(harness.log) == whole or not is_complete), (
            f"seed {seed}"
        )
        reached.update({name: harness.shared.counters.get(name, 0) for name in ("streams_moved", "streams_resumed")})
        reached["complete"] += is_complete
    assert min(reached[name] for name in ("complete", "broken off", "streams_moved", "streams_resumed")) > 50, reached
