"""Drawn scripts of one request: every framing, every end and every pace, judged by what the pages allow."""

from __future__ import annotations

from drawn_answers import HEAD_ONLY, End, Framing, Run, Script, judge, play
from hypothesis import given, settings
from hypothesis import strategies as st

SCRIPTS = 1500
PACES = ((0.0,), (0.01,), (0.0, 0.3), (0.0, 0.0, 0.9, 0.0), (0.0, 3.0, 0.0))
HEAD_BYTES = 100  # about the size of an answer's head; a cut is drawn around it as well


@st.composite
def runs(draw: st.DrawFn) -> Run:
    """Draw what one run sends."""
    framing = draw(st.sampled_from(Framing))
    cut = draw(st.one_of(st.none(), st.just(HEAD_ONLY), st.integers(0, 4 * HEAD_BYTES)))
    ends = [End.ORDERLY, End.RESET, End.SILENT, *([End.KEPT] if cut is None and framing is not Framing.CLOSE else [])]
    sizes = st.integers(1, 300)
    return Run(
        framing,
        draw(st.sampled_from(ends)),
        cut,
        tuple(draw(st.lists(sizes, min_size=1, max_size=4))),
        draw(st.sampled_from(PACES)),
        draw(st.integers(0, 60)),
    )


@st.composite
def scripts(draw: st.DrawFn) -> Script:
    """Draw a script."""
    return Script(
        draw(st.booleans()),
        draw(st.booleans()),
        draw(st.integers(1, 4)),
        tuple(draw(st.lists(runs(), min_size=1, max_size=2))),
        draw(st.one_of(st.none(), st.integers(1, 300))),
        draw(st.sampled_from((0.2, 1.5, 9.0))),
    )


@settings(max_examples=SCRIPTS, deadline=None, derandomize=True)
@given(scripts())
def test_no_answer_is_cut_joined_or_ended_otherwise_than_the_pages_allow(script: Script) -> None:
    """Guards against answers that look complete and aren't, sound answers that are cut, and calls left open."""
    judge(script, play(script))
