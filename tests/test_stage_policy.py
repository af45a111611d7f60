"""The decision which stage of a service needs another backend, because it is empty or too busy for its load."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranebank.control.stage_events import Stage
from cranebank.control.stage_policy import MIN_REMAINING, Need, ServiceStages, needed_stage
from cranebank.transport.messages import Backend, StageLoad

LOADS = st.floats(0.0, 40.0)


def stages(prefill: int, decode: int) -> ServiceStages:
    found = ServiceStages()
    for stage, count in ((Stage.PREFILL, prefill), (Stage.DECODE, decode)):
        for number in range(count):
            found.add(Backend(f"{stage}-{number}", "s", f"10.0.0.{number}:80", "a", stage, 8, "ready", 1))
    return found


def load(prefill: float, decode: float) -> StageLoad:
    return StageLoad("s", prefill, decode)


def test_an_empty_decode_stage_is_urgent_whatever_the_load() -> None:
    assert needed_stage(stages(3, 0)) == Need(Stage.DECODE, True)
    assert needed_stage(stages(3, 0), load(9.0, 0.0)) == Need(Stage.DECODE, True)


@pytest.mark.parametrize(("prefill", "decode"), [(0, 0), (0, 5), (1, 5), (5, 1), (3, 3)])
def test_nothing_is_moved_where_the_load_is_unknown(prefill: int, decode: int) -> None:
    assert needed_stage(stages(prefill, decode)) is None


def test_prefill_gets_a_backend_where_prompts_queue_and_decode_has_room() -> None:
    assert needed_stage(stages(1, 3), load(1.5, 0.6)) == Need(Stage.PREFILL, False)
    assert needed_stage(stages(0, 3), load(0.5, 0.6)) == Need(Stage.PREFILL, False)


@pytest.mark.parametrize("decode_load", [0.30, 0.38, 0.41, 0.50, 0.69])
def test_a_stage_whose_queue_grows_without_end_gets_whatever_the_other_can_spare(decode_load: float) -> None:
    """The decision must not depend on a few hundredths of the other stage's load."""
    assert needed_stage(stages(1, 3), load(1.04, decode_load)) == Need(Stage.PREFILL, False)
    assert needed_stage(stages(2, 2), load(1.04, decode_load)) is None, "one move is enough"


def test_a_stage_whose_queue_grows_without_end_gets_nothing_that_the_other_needs() -> None:
    assert needed_stage(stages(1, 3), load(1.04, 0.75)) is None
    assert needed_stage(stages(1, 3), load(0.98, 0.45)) is None, "its waits are long, and do not grow"


def test_one_backend_of_many_is_moved_though_it_alone_changes_little() -> None:
    assert needed_stage(stages(8, 26), load(20.0, 7.0)) == Need(Stage.PREFILL, False)
    assert needed_stage(stages(15, 19), load(20.0, 7.0)) == Need(Stage.PREFILL, False)


def test_decode_gets_a_backend_where_its_places_fill_and_prefill_has_room() -> None:
    assert needed_stage(stages(5, 2), load(0.6, 1.6)) == Need(Stage.DECODE, False)


@pytest.mark.parametrize(
    ("prefill", "decode", "prefill_load", "decode_load"),
    [
        pytest.param(3, 3, 1.2, 0.6, id="prefill has room"),
        pytest.param(3, 3, 0.0, 0.0, id="no load"),
        pytest.param(3, 3, 4.0, 4.0, id="both are too busy"),
        pytest.param(1, 2, 3.0, 0.1, id="decode would have nobody to spare"),
        pytest.param(1, 3, 0.4, 9.0, id="the last prefill backend"),
        pytest.param(4, 3, 2.2, 1.3, id="decode could not bear a loss with one less"),
        pytest.param(4, 3, 3.2, 0.6, id="decode has room only while all of it is there"),
    ],
)
def test_nothing_is_moved_where_it_would_not_help(
    prefill: int, decode: int, prefill_load: float, decode_load: float
) -> None:
    assert needed_stage(stages(prefill, decode), load(prefill_load, decode_load)) is None


@given(st.integers(0, 12), st.integers(0, 12), LOADS, LOADS)
def test_moves_for_load_end_and_are_never_taken_back(
    prefill: int, decode: int, prefill_load: float, decode_load: float
) -> None:
    counts, asked = {Stage.PREFILL: prefill, Stage.DECODE: decode}, load(prefill_load, decode_load)
    moved: set[Stage] = set()
    for _ in range(prefill + decode + 1):
        need = needed_stage(stages(counts[Stage.PREFILL], counts[Stage.DECODE]), asked)
        if need is None:
            return
        other = need.stage.other
        if not need.is_urgent:
            moved.add(need.stage)
            assert counts[other] > MIN_REMAINING[other]
        counts[need.stage] += 1
        counts[other] -= 1
        assert len(moved) <= 1, "moves in both directions"
    raise AssertionError("moves without end")
