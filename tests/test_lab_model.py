"""Tests of the host model against results computed by hand: no sockets, no clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranebank.lab.model import Admission, HostModel, HostSpec, Job, Phase, SeenKeys, SlowMode

MS = 1000


def ends(model: HostModel, until: int) -> list[int]:
    return [job.ended for job in model.advance(until)]


def test_cores_are_shared_evenly_and_the_queue_is_bounded() -> None:
    model = HostModel(HostSpec(cores=2, slots=4, queue=2))
    admissions = [model.offer(0, Job(100 * MS)) for _ in range(7)]
    assert admissions == [Admission.STARTED] * 4 + [Admission.WAITING] * 2 + [Admission.FULL]
    assert (model.inflight, model.waiting) == (6, 2)
    assert ends(model, 10**7) == [200 * MS] * 4 + [300 * MS] * 2
    assert model.next_due() is None


def test_one_job_is_no_faster_than_one_core_and_speed_counts() -> None:
    model = HostModel(HostSpec(cores=8, speed=2.0))
    model.offer(0, Job(100 * MS))
    assert ends(model, 10**6) == [50 * MS]


def test_a_job_holds_its_slot_while_the_next_tier_works() -> None:
    model = HostModel(HostSpec(cores=1, slots=1))
    job, other = Job(100 * MS, calls=1), Job(10 * MS)
    model.offer(0, job)
    model.offer(0, other)
    assert [j.phase for j in model.advance(500 * MS)] == [Phase.CALLING]
    assert (job.ended, other.phase) == (50 * MS, Phase.WAITING)
    model.resume(job)
    assert ends(model, 10**6) == [550 * MS, 560 * MS]


@pytest.mark.parametrize("phase", [Phase.FIRST, Phase.CALLING, Phase.WAITING])
def test_dropping_a_job_stops_its_work_and_frees_its_place(phase: Phase) -> None:
    model = HostModel(HostSpec(cores=1, slots=2 if phase is Phase.CALLING else 1, queue=9))
    jobs = [Job(100 * MS, calls=1 if phase is Phase.CALLING else 0) for _ in range(3)]
    for job in jobs:
        model.offer(0, job)
    model.advance(150 * MS if phase is Phase.CALLING else 10 * MS)
    dropped = jobs[2] if phase is Phase.WAITING else jobs[0]
    assert dropped.phase is phase
    before = model.inflight
    model.drop(dropped)
    assert model.inflight == before - 1
    assert dropped not in model.advance(10**7)


def test_a_cold_host_gains_capacity_linearly_and_fails_under_too_much_work() -> None:
    spec = HostSpec(cores=1, cold_share=0.25, warm_up_us=4000 * MS, fall_multiple=3.0, fall_window_us=1000 * MS)
    model = HostModel(spec, started=5000 * MS)
    assert [model.share(5000 * MS + t * MS) for t in (0, 2000, 4000)] == [0.25, 0.625, 1.0]
    model.offer(5000 * MS, Job(100 * MS))
    (end,) = ends(model, 9000 * MS)
    assert 340 * MS < end - 5000 * MS < 400 * MS  # a quarter of the speed at the start, a little more by the end
    cold_admissions = [model.offer(5000 * MS, Job(100 * MS)) for _ in range(9)]
    assert cold_admissions[:6] == [Admission.STARTED] * 6
    assert cold_admissions[-1] is Admission.FELL
    assert model.fallen


def test_an_overloaded_host_enters_slow_mode_and_recovers_when_mostly_idle() -> None:
    slow = SlowMode(
        queued_per_core=2.0, queued_for_us=500 * MS, slowdown=4.0, idle_for_us=300 * MS, idle_below=0.5, max_us=10**8
    )
    model = HostModel(HostSpec(cores=1, slots=1, queue=50, slow=slow))
    for _ in range(10):
        model.offer(0, Job(100 * MS))
    done = ends(model, 10**7)
    assert done[:5] == [100 * MS * i for i in range(1, 6)]
    assert done[5:] == [500 * MS + 400 * MS * i for i in range(1, 6)]
    assert not model.slow_mode


def test_a_pause_and_a_slowdown_delay_running_jobs() -> None:
    model = HostModel(HostSpec(cores=1))
    model.offer(0, Job(100 * MS))
    model.advance(50 * MS)
    model.pause(250 * MS)
    model.slow(2.0)
    assert ends(model, 10**6) == [350 * MS]


def test_load_reports_are_sampled_periodically_and_delivered_late() -> None:
    model = HostModel(HostSpec(cores=1, slots=99, report_period_us=100 * MS, report_delay_us=50 * MS))
    for at in range(0, 1000, 10):
        model.advance(at * MS)
        model.offer(at * MS, Job(10**9))
    assert model.report(990 * MS) == (91, 0)  # as of 900 ms
    assert model.report(990 * MS, late=500 * MS) == (41, 0)


def test_a_repeat_within_the_window_has_no_effect_and_keys_are_forgotten() -> None:
    keys = SeenKeys(3000 * MS)
    assert [keys.first(t * MS, 0, "k", 3000 * MS) for t in (0, 2900, 3100)] == [True, False, True]
    for number in range(5000):
        keys.first((4000 + 10 * number) * MS, 0, f"k{number}", 3000 * MS)
    assert len(keys._seen) < 400


ARRIVALS = st.lists(st.tuples(st.integers(0, 400), st.integers(1, 300), st.integers(0, 2)), min_size=1, max_size=40)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(ARRIVALS, st.integers(1, 4), st.booleans())
def test_work_is_conserved_however_often_the_model_advances(
    arrivals: list[tuple[int, int, int]], cores: int, each_ms: bool
) -> None:
    """Advancing each millisecond or only at arrivals ends the same jobs at the same times."""

    def run(step: Callable[[HostModel, int], list[Any]]) -> list[int]:
        model, done, now = HostModel(HostSpec(cores=cores, slots=3, queue=99)), [], 0
        for gap, work, _ in arrivals:
            for at in range(now, now + gap, 1 if each_ms else 50):
                done += step(model, at * MS)
            now += gap
            done += model.advance(now * MS)
            model.offer(now * MS, Job(work * MS))
        return [job.ended for job in done + model.advance(10**9)]

    frequent, sparse = run(lambda model, at: model.advance(at)), run(lambda model, at: [])
    assert len(frequent) == len(arrivals)
    assert all(abs(a - b) <= 100 for a, b in zip(frequent, sparse, strict=True))
    busy = sum(work for _, work, _ in arrivals) * MS / cores
    assert max(frequent) >= busy
