"""The estimate of how long a prompt waits at a prefill backend."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cranebank.dataplane.prefill_queue import MAX_QUEUE_S, SLOWNESS_BOUNDS, SLOWNESS_FADE_S, PrefillQueue, Slowness


def test_prefills_queue_up_and_end_with_time() -> None:
    queue = PrefillQueue()
    assert queue.wait(10.0) == 0.0
    assert queue.add(10.0, 0.3).expected_end_at == 10.3 and queue.add(10.1, 0.2).expected_end_at == 10.5
    assert abs(queue.wait(10.2) - 0.3) < 1e-9 and queue.wait(11.0) == 0.0
    assert queue.add(12.0, 0.1).expected_end_at == 12.1, "an idle gap does not shorten the queue"


def test_the_end_of_one_prefill_shifts_the_later_ones() -> None:
    queue = PrefillQueue()
    first, second, third = (queue.add(10.0, 0.3) for _ in range(3))
    queue.finish(10.5, first)
    assert abs(queue.wait(10.5) - 0.6) < 1e-9
    queue.finish(10.8, second)
    assert abs(queue.wait(10.8) - 0.3) < 1e-9, "one delay counts once, however many prefills it delays"
    queue.finish(10.9, third)
    assert queue.wait(10.9) == 0.0


def test_an_unsent_prefill_is_removed_from_the_queue() -> None:
    queue = PrefillQueue()
    ticket = queue.add(10.0, 0.3)
    queue.add(10.0, 0.5)
    queue.cancel(ticket)
    assert abs(queue.wait(10.0) - 0.5) < 1e-9


@given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 60), st.booleans()), max_size=60))
def test_the_wait_is_never_below_zero_nor_without_bound(steps: list[tuple[float, float, bool]]) -> None:
    queue, now = PrefillQueue(), 0.0
    ticket = queue.add(now, 1.0)
    for pause, seconds, ends in steps:
        now += pause
        if ends:
            queue.finish(now, ticket)
        else:
            ticket = queue.add(now, seconds)
        assert 0.0 <= queue.wait(now) <= MAX_QUEUE_S + 1e-6


def test_slowness_is_learnt_from_some_prefills_and_fades() -> None:
    slowness = Slowness()
    assert slowness.at(5.0) == 1.0
    for _ in range(30):
        slowness.observe(10.0, 5.0)
    assert 4.9 < slowness.at(10.0) <= 5.0
    assert slowness.at(10.0 + 5 * SLOWNESS_FADE_S) < 1.05
    for ratio in (1e9, 0.0):
        for _ in range(90):
            slowness.observe(100.0, ratio)
        assert any(abs(slowness.at(100.0) - bound) < 0.01 for bound in SLOWNESS_BOUNDS)
