"""Backends whose heartbeats ceased: which of them a proxy still sends to, by the evidence of its own calls."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranebank.dataplane import candidates as candidates_module
from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.suspects import ALIVE_AFTER_ANSWER_S, MAX_SUSPECT_AGE_S, Suspects
from cranebank.invariants import violations
from cranebank.transport.messages import Backend

LOST_AT = 100.0


def backend(number: int, phase: str = "ready", call_seq: int = 1, address: str = "") -> Backend:
    """A decode backend of one service."""
    return Backend(f"b{number}", "svc", address or f"10.0.0.{number}:1", "z", "decode", 32, phase, call_seq)


def known(ready: int, lost: int = 0) -> Candidates:
    """The first backends are ready; the others were lost at LOST_AT."""
    candidates = Candidates()
    candidates.merge([backend(number) for number in range(ready + lost)], 0.0)
    candidates.merge([backend(number, "lost") for number in range(ready, ready + lost)], LOST_AT)
    return candidates


def listed(candidates: Candidates, now: float, without: frozenset[str] = frozenset()) -> set[str]:
    """The ids of the candidates."""
    found = {view.backend.id for view in candidates.ready(now, "svc", "decode", without)}
    assert not violations()
    return found


def test_a_lost_backend_is_out_while_most_are_ready() -> None:
    candidates = known(2, lost=2)
    assert listed(candidates, LOST_AT) == {"b0", "b1"}


def test_a_lost_backend_that_answers_here_stays_and_is_out_when_it_fails_or_no_answer_came_for_long() -> None:
    candidates = known(3)
    candidates.answered(LOST_AT - 0.5, "b2")
    candidates.merge([backend(2, "lost")], LOST_AT)
    assert listed(candidates, LOST_AT) == {"b0", "b1", "b2"}
    assert listed(candidates, LOST_AT - 0.5 + ALIVE_AFTER_ANSWER_S + 0.01) == {"b0", "b1"}
    candidates.answered(LOST_AT + 5.0, "b2")
    assert listed(candidates, LOST_AT + 5.0) == {"b0", "b1", "b2"}
    candidates.failed(LOST_AT + 5.1, "b2")
    assert listed(candidates, LOST_AT + 5.1) == listed(candidates, LOST_AT + 7.0) == {"b0", "b1"}


def test_where_most_are_lost_those_that_failed_no_call_are_used() -> None:
    candidates = known(1, lost=3)
    candidates.failed(LOST_AT - 2.0, "b3")
    assert listed(candidates, LOST_AT) == {"b0", "b1", "b2"}
    candidates.failed(LOST_AT, "b1")
    assert listed(candidates, LOST_AT) == {"b0"}


def test_ready_ones_that_fail_count_as_little_as_lost_ones() -> None:
    candidates = known(2, lost=1)
    candidates.failed(LOST_AT, "b0")
    candidates.failed(LOST_AT, "b1")
    assert listed(candidates, LOST_AT + 0.1) == {"b2"}


def test_where_all_are_lost_and_failed_each_is_tried_when_its_backoff_is_over() -> None:
    candidates = known(0, lost=2)
    candidates.failed(LOST_AT, "b0")
    candidates.failed(LOST_AT + 0.2, "b1")
    assert listed(candidates, LOST_AT + 0.3) == set()
    assert listed(candidates, LOST_AT + 0.6) == {"b0"}
    candidates.failed(LOST_AT + 0.6, "b0")
    assert listed(candidates, LOST_AT + 0.8) == {"b1"}


def test_another_suspect_is_tried_where_the_only_ready_one_turned_the_request_away() -> None:
    assert listed(known(1, lost=1), LOST_AT, frozenset({"b0"})) == {"b1"}


def test_a_heartbeat_makes_it_ready_and_an_end_is_final() -> None:
    candidates = known(0, lost=3)
    candidates.merge([backend(0, call_seq=9), backend(1, "draining", 2), backend(2, "gone", 2)], LOST_AT)
    assert listed(candidates, LOST_AT) == {"b0"}
    candidates.merge([backend(1, "lost", 9), backend(1, call_seq=9), backend(2, call_seq=9)], LOST_AT)
    assert listed(candidates, LOST_AT) == {"b0"}


def test_a_suspect_is_dead_once_its_address_is_anothers_or_after_a_minute() -> None:
    candidates = known(0, lost=2)
    candidates.merge([backend(7, address="10.0.0.1:1")], LOST_AT + 1.0)
    assert listed(candidates, LOST_AT + 1.0) == {"b7"}
    candidates.merge([backend(7, "gone", address="10.0.0.1:1")], LOST_AT + 2.0)
    assert listed(candidates, LOST_AT + 2.0) == {"b0"}
    assert listed(candidates, LOST_AT + MAX_SUSPECT_AGE_S) == {"b0"}
    assert listed(candidates, LOST_AT + MAX_SUSPECT_AGE_S + 0.1) == set()


def test_one_that_is_lost_after_its_address_has_passed_on_is_no_suspect() -> None:
    candidates = known(1)
    candidates.merge([backend(7, address="10.0.0.0:1"), backend(0, "lost")], LOST_AT)
    candidates.merge([backend(7, "gone", 2, address="10.0.0.0:1")], LOST_AT)
    assert listed(candidates, LOST_AT) == set()
    candidates.merge([backend(0, call_seq=2)], LOST_AT)
    assert listed(candidates, LOST_AT) == {"b0"}


def test_the_same_list_object_is_returned_while_its_content_is_the_same() -> None:
    """The choice remembers homes by the identity of the list."""
    candidates = known(1, lost=3)
    first = candidates.ready(LOST_AT, "svc", "decode")
    assert candidates.ready(LOST_AT + 1.0, "svc", "decode") is first
    candidates.failed(LOST_AT + 1.0, "b2")
    assert candidates.ready(LOST_AT + 2.0, "svc", "decode") is not first


def test_a_few_suspects_do_not_cause_a_scan_of_many_ready_backends() -> None:
    """A fleet of thousands nearly always has lost a backend within the last minute."""
    looks = 0

    class Counted(BackendView):
        @property
        def backoff_until(self) -> float:
            nonlocal looks
            looks += 1
            return 0.0

        @backoff_until.setter
        def backoff_until(self, value: float) -> None:
            pass

    suspects, lost = Suspects(), BackendView(backend(9999, "lost"))
    lost.lost_at = LOST_AT
    suspects.add(("svc", "decode"), lost)
    ready: list[BackendView] = [Counted(backend(number)) for number in range(1000)]
    assert suspects.merged(LOST_AT, ("svc", "decode"), ready) == ready
    assert looks < 10


@given(st.integers(0, 10**6))
def test_random_events_leave_out_no_usable_backend_and_revive_no_ended_one(seed: int) -> None:
    random = Random(seed)
    candidates, now = Candidates(), 0.0
    ended: set[str] = set()
    for _ in range(80):
        now += random.choice([0.0, 0.1, 1.0, 10.0])
        number = random.randrange(5)
        match random.randrange(5):
            case 0:
                candidates.failed(now, f"b{number}")
            case 1:
                candidates.answered(now, f"b{number}")
            case _:
                phase = random.choice(["ready", "ready", "lost", "lost", "lost", "draining", "gone"])
                record = backend(number, phase, random.randrange(1, 9), f"10.0.0.{random.randrange(5)}:1")
                candidates.merge([record], now)
                if phase in {"draining", "gone"}:
                    ended.add(record.id)
        found = listed(candidates, now, frozenset({"b4"}) if random.random() < 0.3 else frozenset())
        assert not found & ended
        candidates.merge([msgspec.structs.replace(record) for record in candidates.known()], now)


def test_suspects_that_answer_are_not_given_up_after_a_minute() -> None:
    """They are cut off from the controllers for longer than that, yet keep serving."""
    candidates = known(0, lost=2)
    candidates.answered(LOST_AT + MAX_SUSPECT_AGE_S, "b0")
    assert listed(candidates, LOST_AT + MAX_SUSPECT_AGE_S + 0.5) == {"b0"}
    assert listed(candidates, LOST_AT + 2 * MAX_SUSPECT_AGE_S - 0.5) == {"b0"}
    assert listed(candidates, LOST_AT + 2 * MAX_SUSPECT_AGE_S + 0.5) == set()


def test_a_service_without_backends_causes_no_scan_of_all_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each refused request looks at the candidates several times; a scan of 5,700 backends takes 1.3 ms."""
    candidates = Candidates()
    candidates.merge([backend(number) for number in range(1000)])
    looks = 0
    place_of = candidates_module._stage_key

    def counted(record: Backend) -> tuple[str, str]:
        nonlocal looks
        looks += 1
        return place_of(record)

    monkeypatch.setattr(candidates_module, "_stage_key", counted)
    for number in range(10):
        assert candidates.ready(LOST_AT + number / 1000, "other", "decode") == []
    assert looks < 2000
