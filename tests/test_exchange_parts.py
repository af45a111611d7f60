"""The parts of an exchange, each alone: counts of attempts, kinds of answers, loads of legs, the client's answer."""

from __future__ import annotations

import pytest

from cranebank.dataplane.attempts import MAX_UNSENT, Attempts
from cranebank.dataplane.backend_answers import AnswerKind, handle_in, kind_of
from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.client_answer import ClientAnswer
from cranebank.dataplane.errors import NotRun, OutOfTime, Unknown
from cranebank.dataplane.exchange_events import Break, Data, Finish, Head, Reply
from cranebank.dataplane.open_legs import Leg, OpenLegs
from cranebank.transport.messages import Backend

BACKEND = Backend("d0", "svc", "10.0.0.1:1", "z", "decode", 4, "ready", 1)


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, {"x-server-seal": "s"}, AnswerKind.SEALED),
        (200, {}, AnswerKind.UNSEALED),
        (204, {"x-not-run": "1"}, AnswerKind.UNSEALED),
        (421, {}, AnswerKind.REJECTED),
        (503, {"x-not-run": "1"}, AnswerKind.REJECTED),
        (429, {"x-not-run": "1"}, AnswerKind.REJECTED),
        (503, {"x-server-seal": "s"}, AnswerKind.UNPROVEN),
        (408, {"x-not-run": "1"}, AnswerKind.UNPROVEN),
        (400, {"x-not-run": "1"}, AnswerKind.FAILED),
        (500, {"x-server-seal": "s"}, AnswerKind.FAILED),
    ],
)
def test_an_answer_is_classified_by_its_head(status: int, headers: dict[str, str], kind: AnswerKind) -> None:
    assert kind_of(status, headers) is kind


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b"\xff", b'{"prompt_handle":3}', b'{"prompt_handle":'])
def test_an_odd_answer_to_a_prefill_yields_no_handle(body: bytes) -> None:
    assert handle_in(body) == "" and handle_in(b'{"prompt_handle":"h","tokens":3}') == "h"


def test_unsent_calls_are_not_counted_and_limited() -> None:
    attempts = Attempts(1)
    for number in range(MAX_UNSENT):
        assert not attempts.has_too_many_unsent and not attempts.are_used_up, number
        attempts.count_decode()
        assert attempts.are_used_up
        attempts.unsent(is_prefill=False, is_counted=True)
    assert attempts.has_too_many_unsent and not attempts.arrivals


@pytest.mark.parametrize(("tries", "may"), [(1, False), (2, True)])
def test_a_further_prefill_needs_a_try_and_leaves_one(tries: int, may: bool) -> None:
    attempts = Attempts(tries)
    assert not attempts.count_prefill() and attempts.may_prefill() is may
    if may:
        assert attempts.count_prefill() and not attempts.may_prefill() and not attempts.are_used_up


def test_a_rejected_prefill_takes_a_try_and_the_next_counts_as_the_first() -> None:
    attempts = Attempts(2)
    is_counted = attempts.count_prefill()
    attempts.prefill_rejected(is_counted)
    assert attempts.count == attempts.arrivals == 1 and attempts.may_prefill() and not attempts.count_prefill()


def test_the_load_of_a_backend_returns_to_zero() -> None:
    legs, view = OpenLegs(), BackendView(BACKEND)
    first, second = legs.open(1.0, view, 100, True, 2.0), legs.open(1.5, view, 30, False, None)
    assert (view.calls, view.tokens, legs.runs, len(legs)) == (2, 130, 1, 2)
    assert legs.next_silence(9.0) == 3.0 and legs.next_silence(2.0) == 2.0
    assert legs.mark_prompt_read(2.0, second) == 30 and view.tokens == 100
    for leg in legs:
        legs.close(2.0, leg)
    assert (view.calls, view.tokens, len(legs)) == (0, 0, 0) and legs.get(first.number) is None
    assert legs.open(3.0, view, 0, False, None).number > second.number


def leg() -> Leg:
    """A leg that has been answered with a success."""
    answered_leg = OpenLegs().open(0.0, BackendView(BACKEND), 0, False, None)
    answered_leg.status, answered_leg.headers = 200, {"x-server-seal": "s"}
    return answered_leg


def test_an_answer_begins_once_and_ends_whole() -> None:
    answer, answered_leg = ClientAnswer(True, "3"), leg()
    assert answer.last_event_id == "3" and answer.pass_on(answered_leg, b"id: 4\n") == [] and not answer.is_begun
    assert answer.pass_on(answered_leg, b"\nid: 5") == [Head(200, answered_leg.headers), Data(b"id: 4\n\n")]
    assert answer.last_event_id == "4" and answer.can_continue
    answer.drop_rest()
    assert answer.finish(leg()) == [Finish()]


def test_an_answer_without_events_can_not_be_continued_once_begun() -> None:
    answer = ClientAnswer(False, None)
    assert answer.can_continue and answer.pass_on(leg(), b"x") and not answer.can_continue


@pytest.mark.parametrize(
    ("is_begun", "may_have_run", "is_running", "given_up", "out_of_time"),
    [
        (False, False, False, NotRun, NotRun),
        (False, False, True, NotRun, OutOfTime),
        (False, True, False, Unknown, OutOfTime),
        (True, True, False, None, None),
    ],
)
def test_only_what_has_not_run_is_refused(
    is_begun: bool, may_have_run: bool, is_running: bool, given_up: type | None, out_of_time: type | None
) -> None:
    answer = ClientAnswer(False, None)
    answer.is_begun, answer.may_have_run = is_begun, may_have_run
    for end, expected in ((answer.give_up(), given_up), (answer.out_of_time(is_running), out_of_time)):
        if expected is None:
            assert isinstance(end, Break)
        else:
            assert isinstance(end, Reply) and type(end.error) is expected
            assert (end.retry_after_s is not None) is (expected is NotRun)
