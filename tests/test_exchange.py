"""One request's legs and its one answer, without sockets or a clock."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import pytest

from cranebank.dataplane import prompt as prompts
from cranebank.dataplane.budget import Budget
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choices import Choices
from cranebank.dataplane.dispatch import PREFILL_TIMEOUT_BASE_S, PREFILL_TIMEOUT_FACTOR
from cranebank.dataplane.events_stream import EventSplitter
from cranebank.dataplane.evidence import SendEvidence
from cranebank.dataplane.exchange import Exchange, State
from cranebank.dataplane.exchange_events import (
    Abort,
    Action,
    Begin,
    Break,
    Call,
    ClientGone,
    Data,
    Event,
    Finish,
    Free,
    Head,
    LegData,
    LegEnd,
    LegFailed,
    LegHead,
    Reply,
    Wake,
    WakeAt,
)
from cranebank.dataplane.offered_load import LOAD_AVERAGING_S
from cranebank.dataplane.prefill_queue import PrefillQueue
from cranebank.dataplane.routes import Engine, Route
from cranebank.dataplane.shared import Shared
from cranebank.transport.messages import Backend, PrefillBegun

ENGINE = Engine(capacity=32, cache_tokens=400_000, token_bytes=163_840, link_mbps=1.4e6, handle_ttl_s=5.0)
SEALED = {"x-server-seal": "s", "content-type": "text/event-stream"}

UNSENT = [evidence for evidence in SendEvidence if not evidence.may_have_run]


def backend(name: str, stage: str = "decode", phase: str = "ready", seq: int = 1) -> Backend:
    """A record of one backend."""
    return Backend(name, "svc", f"10.0.0.{len(name)}:{8000 + sum(map(ord, name))}", "z", stage, 32, phase, seq)


class Story:
    """A proxy's shared state, and one exchange driven by hand."""

    def __init__(self, makers: int = 3, readers: int = 2, slack: float = 50.0, **route: Any) -> None:
        self.now = 100.0
        candidates, cache = Candidates(), CacheView()
        candidates.merge([backend(f"d{i}") for i in range(makers)])
        candidates.merge([backend(f"p{i}", "prefill") for i in range(readers)])
        choices = Choices(candidates, cache, Random(3))
        self.budget = Budget(0.2, slack, 10.0, 0.0)
        self.shared = Shared(candidates, choices, cache, lambda _: self.budget, {})
        self.route = Route(
            **{
                "name": "r",
                "hostname": "h",
                "path_prefix": "/",
                "variant": "streaming",
                "timeout_ms": 3000.0,
                "goal_ms": 300.0,
                "target": "svc",
                "tries": 2,
                "resumable": True,
                **route,
            }
        )
        self.log: list[Action] = []

    def begin(self, tokens: str = "383,6", parts: str = "a:55,b:37,c:291", last: str | None = None) -> list[Action]:
        found = prompts.read({"x-token-counts": tokens, "x-prompt-prefix": parts})
        self.exchange = Exchange(self.shared, self.route, "svc", ENGINE, found, self.now, self.now + 3.0, last)
        return self.do(Begin())

    def do(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        actions = self.exchange.handle(self.now, event)
        self.log += actions
        return actions

    def out(self) -> dict[str, int]:
        """Calls that are out, by backend."""
        return {s.backend.id: s.calls for s in self.shared.candidates.views.values() if s.calls}


def calls(actions: list[Action]) -> list[Call]:
    """The calls among some actions."""
    return [a for a in actions if isinstance(a, Call)]


def passed(actions: list[Action]) -> bytes:
    """What was passed on."""
    return b"".join(a.data for a in actions if isinstance(a, Data))


def test_a_short_prompt_is_read_where_its_tokens_are_made_and_streams_through() -> None:
    story = Story()
    (call,) = calls(story.begin())
    assert call.backend.stage == "decode" and "X-Stage" not in dict(call.headers)
    story.do(LegHead(call.leg, 200, SEALED), 0.05)
    assert passed(story.do(LegData(call.leg, b"id: 1\ndata: a\n\nid: 2\nda"))) == b"id: 1\ndata: a\n\n"
    story.do(LegData(call.leg, b"ta: b\n\n"))
    end = story.do(LegEnd(call.leg))
    assert any(isinstance(a, Finish) for a in end) and story.exchange.over and not story.out()
    assert passed(story.log) == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def test_a_long_prompt_is_read_first_and_its_handle_named_to_the_maker() -> None:
    story = Story(tries=1, resumable=False, goal_ms=600.0, timeout_ms=6000.0)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    assert read.backend.stage == "prefill" and dict(read.headers)["X-Stage"] == "prefill"
    story.do(LegHead(read.leg, 200, {}), 0.3)
    story.do(LegData(read.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
    (make,) = calls(story.do(LegEnd(read.leg)))
    assert dict(make.headers)["Kv-From"] == f"{read.backend.address}/h1" and make.backend.stage == "decode"
    assert story.out() == {make.backend.id: 1}


def test_whoever_is_another_than_the_one_that_was_to_read_stands_back() -> None:
    """An address that has passed to another backend answers 421, a reading too: it is no answer of that backend."""
    story = Story(makers=1, readers=2, tries=4)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    story.do(LegHead(read.leg, 421, {}))
    (again,) = calls(story.do(LegEnd(read.leg)))
    assert again.backend.id != read.backend.id
    ready = story.shared.candidates.ready(story.now, "svc", "prefill")
    assert read.backend.id not in {seen.backend.id for seen in ready}


def test_the_only_maker_makes_though_a_call_of_another_request_has_just_failed_there() -> None:
    story = Story(makers=1, tries=1, resumable=False, goal_ms=600.0)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    story.do(LegHead(read.leg, 200, {}))
    story.do(LegData(read.leg, b'{"prompt_handle":"h1"}'))
    story.shared.candidates.failed(story.now, "d0")
    (make,) = calls(story.do(LegEnd(read.leg)))
    assert make.backend.id == "d0"


def test_a_prompt_that_nobody_takes_is_freed_when_the_client_leaves() -> None:
    story = Story(tries=1, resumable=False, goal_ms=600.0, makers=1)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    story.do(LegHead(read.leg, 200, {}))
    story.do(LegData(read.leg, b'{"prompt_handle":"h1"}'))
    story.shared.candidates.merge([backend("d0", phase="draining", seq=2)])
    end = story.do(LegEnd(read.leg))
    assert [a for a in end if isinstance(a, Free)] == [Free(read.backend, "h1")]
    assert [a.error.status for a in end if isinstance(a, Reply)] == [503]


def test_memory_that_lapsed_before_the_fetch_is_refused_as_not_run_or_read_anew() -> None:
    """The maker says 503 with X-Not-Run: with a try left it is read again elsewhere, else the client is told."""
    for tries in (1, 2):
        story = Story(tries=tries, resumable=tries == 2, goal_ms=600.0)
        (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
        story.do(LegHead(read.leg, 200, {}), 0.1)
        story.do(LegData(read.leg, b'{"prompt_handle":"h1"}'))
        (make,) = calls(story.do(LegEnd(read.leg)))
        story.do(LegHead(make.leg, 503, {"x-not-run": "1"}))
        end = story.do(LegEnd(make.leg))
        if tries == 1:
            assert [a.error.status for a in end if isinstance(a, Reply)] == [503]
        else:
            (again,) = calls(end)
            assert (
                again.backend.id != make.backend.id
                and dict(again.headers).get("Kv-From") != dict(make.headers)["Kv-From"]
            )


def test_what_may_have_run_is_never_refused() -> None:
    story = Story(tries=1, resumable=False)
    (call,) = calls(story.begin())
    end = story.do(LegFailed(call.leg, SendEvidence.WRITTEN), 0.1)
    assert [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_what_was_rejected_is_refused_with_a_time_to_come_back() -> None:
    story = Story(tries=1, resumable=False)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 503, {"x-not-run": "1"}))
    (reply,) = [a for a in story.do(LegEnd(call.leg)) if isinstance(a, Reply)]
    assert reply.error.status == 503 and reply.retry_after_s


def test_a_call_that_never_left_is_made_again_elsewhere_and_counts_nowhere() -> None:
    story = Story(tries=1, resumable=False, slack=0.0)
    (call,) = calls(story.begin())
    (again,) = calls(story.do(LegFailed(call.leg, SendEvidence.NEVER_CONNECTED)))
    assert again.backend.id != call.backend.id


def test_a_stream_that_breaks_is_resumed_behind_its_last_whole_event() -> None:
    story = Story()
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"id: 1\ndata: a\n\nid: 2\nda"))
    (again,) = calls(story.do(LegFailed(call.leg, SendEvidence.WRITTEN)))
    assert again.backend.id != call.backend.id and dict(again.headers)["Last-Event-Id"] == "1"
    story.do(LegHead(again.leg, 200, {"x-server-seal": "other"}))
    story.do(LegData(again.leg, b"id: 2\ndata: b\n\n"))
    story.do(LegEnd(again.leg))
    assert passed(story.log) == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert [a.headers for a in story.log if isinstance(a, Head)] == [SEALED]


def test_a_client_that_resumes_itself_is_resumed_behind_what_came_since() -> None:
    """Found by a hunt: the client's own header went along with ours, and the next run began where the client's did."""
    story = Story()
    (call,) = calls(story.begin(last="13"))
    assert [value for name, value in call.headers if name == "Last-Event-Id"] == ["13"]
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"id: 14\ndata: a\n\n"))
    (again,) = calls(story.do(LegFailed(call.leg, SendEvidence.WRITTEN)))
    assert [value for name, value in again.headers if name == "Last-Event-Id"] == ["14"]


def test_a_stream_that_can_not_be_resumed_breaks_off_and_does_not_look_whole() -> None:
    story = Story(tries=1, resumable=False)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"id: 1\ndata: a\n\nid: 2"))
    end = story.do(LegFailed(call.leg, SendEvidence.WRITTEN))
    assert any(isinstance(a, Break) for a in end) and not any(isinstance(a, Finish) for a in story.log)


def test_a_success_without_a_stamp_is_no_answer() -> None:
    story = Story(tries=1, resumable=False)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 200, {}))
    story.do(LegData(call.leg, b"x"))
    end = story.do(LegEnd(call.leg))
    assert not passed(story.log) and [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_a_silent_backend_gets_a_second_copy_beside_it_and_the_first_answer_wins() -> None:
    story = Story()
    (call,) = calls(story.begin())
    (again,) = calls(story.do(Wake(), 1.0))
    story.do(LegHead(call.leg, 200, SEALED))
    assert any(isinstance(a, Abort) and a.leg == again.leg for a in story.log)
    story.do(LegData(call.leg, b"id: 1\n\n"))
    story.do(LegEnd(call.leg))
    assert story.exchange.over and not story.out()


def test_without_budget_nothing_goes_out_again() -> None:
    story = Story(slack=0.0)
    (call,) = calls(story.begin())
    end = story.do(LegFailed(call.leg, SendEvidence.WRITTEN))
    assert not calls(end) and [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_a_client_that_leaves_ends_all_legs() -> None:
    story = Story()
    (call,) = calls(story.begin())
    assert any(isinstance(a, Abort) and a.leg == call.leg for a in story.do(ClientGone()))
    assert story.exchange.over and not story.out()


def test_time_out_is_told_as_what_it_is() -> None:
    story = Story(tries=1, resumable=False)
    story.begin()
    end = story.do(Wake(), 3.1)
    assert [a.error.status for a in end if isinstance(a, Reply)] == [504]


@pytest.mark.parametrize("seed", range(40))
def test_random_orders_of_events_keep_the_promises(seed: int) -> None:
    random = Random(seed)
    for _ in range(50):
        repeatable = random.random() < 0.5
        story = Story(tries=2 if repeatable else 1, resumable=repeatable, slack=random.choice([0.0, 50.0]))
        out = calls(story.begin(*random.choice([("383,6", "a:55,b:37,c:291"), ("17020,17", "s:13300,o:3720")])))
        live = {call.leg for call in out}
        may_have_run = False
        for _ in range(30):
            if story.exchange.over:
                break
            leg = random.choice(out).leg
            reads = next("X-Stage" in dict(call.headers) for call in out if call.leg == leg)
            status = random.choice([200, 200, 503, 500, 421])
            evidence = SendEvidence.WRITTEN if random.random() < 0.7 else random.choice(UNSENT)
            events: list[Event] = [
                LegHead(leg, status, {"x-not-run": "1"} if status in (503, 421) else dict(SEALED)),
                LegData(leg, b'{"prompt_handle":"h"}' if reads else b"id: 7\n\n"),
                LegEnd(leg),
                LegFailed(leg, evidence),
                Wake(),
                *([ClientGone()] if random.random() < 0.1 else []),
            ]
            event = random.choice(events)
            if (
                leg in live
                and not reads
                and (
                    (isinstance(event, LegHead) and status in (200, 500))
                    or (isinstance(event, LegFailed) and evidence.may_have_run)
                )
            ):
                may_have_run = True
            if isinstance(event, LegEnd | LegFailed):
                live.discard(leg)
            actions = story.do(event, random.random() * 0.2)
            out += calls(actions)
            live |= {call.leg for call in calls(actions)}
            live -= {action.leg for action in actions if isinstance(action, Abort)}
        story.do(Wake(), 10.0)
        ends = [a for a in story.log if isinstance(a, Finish | Break | Reply)]
        assert story.exchange.state is State.OVER and len(ends) <= 1 and not story.out()
        assert not (may_have_run and any(isinstance(a, Reply) and a.error.status == 503 for a in ends))


def test_events_are_cut_whole_at_any_byte() -> None:
    stream = b"versions: 3\nid: 1\ndata: x\n\nid: 2\ndata: id:9\n\n: c\n\nid: 3\ndata: y\n\n"
    for cut in range(len(stream)):
        splitter = EventSplitter()
        found = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert found == stream and splitter.last_id == "3" and not splitter.take_rest()


def test_a_reading_is_told_as_it_begins_with_what_is_not_kept() -> None:
    story, told = Story(readers=1, tries=1, resumable=False, goal_ms=600.0), list[PrefillBegun]()
    story.shared.on_prefill_begun = told.append
    story.shared.on_prefix_cached = lambda backend, part, tokens: pytest.fail("its beginning was told")
    for count in (1, 2):
        (read,) = calls(story.begin("17020,17", f"r:300,s:13000,o{count}:3720"))
        assert len(told) == count
        story.do(LegHead(read.leg, 200, {}), 0.3)
        story.do(LegData(read.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
        story.do(LegEnd(read.leg))
    took = 300.0 / story.shared.choices.pairs.pace("svc", "prefill").estimate(17_020)
    assert told[0] == PrefillBegun("p0", 17_020, "s", 13_300)
    assert told[1] == PrefillBegun("p0", 3_720, "s", 13_300, told[1].slowness)
    assert told[1].slowness == pytest.approx(took, rel=0.3), "what the first one showed goes with the second"
    story.begin("1500,6", "a:1500")
    assert told[2] == PrefillBegun("p0", 1_500), "nothing of it is shared"


def test_a_long_shared_part_that_a_maker_has_read_is_told_once() -> None:
    story, told = Story(makers=1, readers=0, tries=1, resumable=False), list[tuple[str, str, int]]()
    story.shared.on_prefix_cached = lambda backend, part, tokens: told.append((backend, part, tokens))
    for _ in range(2):
        (make,) = calls(story.begin("17020,17", "r:300,s:13000,o:3720"))
        story.do(LegHead(make.leg, 200, SEALED), 0.3)
        story.do(LegData(make.leg, b"id: 1\ndata: x\n\n"))
        story.do(LegEnd(make.leg))
    assert told == [("d0", "s", 13_300)], "the second time it was kept there"


def test_a_reading_waits_behind_those_before_it_until_it_is_over_or_never_left() -> None:
    story = Story(readers=1, tries=1, resumable=False, goal_ms=600.0)
    pairs, seen = story.shared.choices.pairs, story.shared.candidates.views["p0"]
    pace = pairs.pace("svc", "prefill")
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    assert seen.readings.wait(story.now) == pytest.approx(17.020 * pace.token)
    story.do(LegFailed(read.leg, SendEvidence.NEVER_CONNECTED))
    assert seen.readings.wait(story.now) == 0.0
    (read,) = calls(story.begin("17020,17", "t:13300,o:3720"))
    story.do(LegHead(read.leg, 200, {}), 0.1)  # sooner than was thought
    story.do(LegData(read.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
    story.do(LegEnd(read.leg))
    assert seen.readings.wait(story.now) == 0.0


def test_an_answer_without_ids_is_never_continued_by_another_run() -> None:
    """Found by a review (MIXED, ORDER): an idempotent answer that broke went on with the next run's body."""
    story = Story(variant="idempotent", resumable=False)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"half of "))
    end = story.do(LegFailed(call.leg, SendEvidence.WRITTEN))
    assert not calls(end) and any(isinstance(a, Break) for a in end) and passed(story.log) == b"half of "


def test_an_answer_without_ids_is_not_given_up_for_its_silence() -> None:
    story = Story(variant="idempotent", resumable=False)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"half of "))
    assert not any(isinstance(a, Abort | Break | Call) for a in story.do(Wake(), 1.0))
    story.do(LegData(call.leg, b"it"))
    assert any(isinstance(a, Finish) for a in story.do(LegEnd(call.leg)))


@pytest.mark.parametrize("means", [{"slack": 0.0}, {"makers": 1}], ids=["no budget", "nobody else"])
def test_a_silent_stream_is_kept_where_it_could_not_go_on_elsewhere(means: dict[str, Any]) -> None:
    """Found by a review: a pause broke the stream off, though nothing was there to resume it with."""
    story = Story(**means)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"id: 1\ndata: a\n\n"))
    assert not any(isinstance(a, Abort | Break) for a in story.do(Wake(), 1.0))
    story.do(LegData(call.leg, b"id: 2\ndata: b\n\n"))
    assert any(isinstance(a, Finish) for a in story.do(LegEnd(call.leg))) and not story.out()


def test_a_silent_stream_goes_on_elsewhere_where_it_can() -> None:
    story = Story()
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"id: 1\ndata: a\n\n"))
    (again,) = calls(story.do(Wake(), 1.0))
    assert dict(again.headers)["Last-Event-Id"] == "1" and story.out() == {again.backend.id: 1}


def test_a_reading_that_never_left_counts_nowhere() -> None:
    """Found by a review: without budget the request was refused when its first reader could not be reached."""
    story = Story(tries=1, resumable=False, goal_ms=600.0, slack=0.0)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    (again,) = calls(story.do(LegFailed(read.leg, SendEvidence.NEVER_CONNECTED)))
    assert again.backend.stage == "prefill" and again.backend.id != read.backend.id
    assert not story.budget.may(story.now, 1)


def test_out_of_time_while_only_the_prompt_was_read_is_a_refusal() -> None:
    """A reading runs nothing: the client may come back, where the route's time ended before its own."""
    story = Story(tries=1, resumable=False, goal_ms=600.0)
    story.begin("17020,17", "s:13300,o:3720")
    end = story.do(Wake(), 3.1)
    assert [a.error.status for a in end if isinstance(a, Reply)] == [503] and not story.out()


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_backends_own_refusal_without_its_promise_is_not_passed_on_as_one(status: int) -> None:
    """Found by a review (REFUSED): only an answer with X-Not-Run says that nothing ran; to clients the status does."""
    story = Story(tries=1, resumable=False)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, status, {"content-length": "1"}))
    story.do(LegData(call.leg, b"x"))
    end = story.do(LegEnd(call.leg))
    assert not passed(story.log) and [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_a_backends_own_failure_is_passed_on_as_it_came() -> None:
    story = Story(tries=1, resumable=False)
    (call,) = calls(story.begin())
    story.do(LegHead(call.leg, 500, {"content-length": "1"}))
    story.do(LegData(call.leg, b"x"))
    story.do(LegEnd(call.leg))
    assert [a.status for a in story.log if isinstance(a, Head)] == [500] and passed(story.log) == b"x"


def test_a_failure_of_one_copy_waits_for_the_other() -> None:
    """Found by a review: the second copy's failure was passed on, and the first, still at work, broken off."""
    story = Story()
    (call,) = calls(story.begin())
    (again,) = calls(story.do(Wake(), 1.0))
    story.do(LegHead(again.leg, 500, {"content-length": "0"}))
    assert not any(isinstance(a, Abort | Head | Reply) for a in story.do(LegEnd(again.leg)))
    story.do(LegHead(call.leg, 200, SEALED))
    story.do(LegData(call.leg, b"id: 1\n\n"))
    assert any(isinstance(a, Finish) for a in story.do(LegEnd(call.leg))) and passed(story.log) == b"id: 1\n\n"


def test_a_prompt_that_was_read_goes_on_to_another_maker_where_the_first_can_not_be_reached() -> None:
    """Found by a review: the handle was forgotten with a call that never left, and the prompt was read anew."""
    story = Story(tries=1, resumable=False, goal_ms=600.0, slack=0.0)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    story.do(LegHead(read.leg, 200, {}), 0.3)
    story.do(LegData(read.leg, b'{"prompt_handle":"h1"}'))
    (make,) = calls(story.do(LegEnd(read.leg)))
    (again,) = calls(story.do(LegFailed(make.leg, SendEvidence.NEVER_CONNECTED), 0.1))
    assert again.backend.id != make.backend.id and again.backend.stage == "decode"
    assert dict(again.headers)["Kv-From"] == dict(make.headers)["Kv-From"]
    assert [a for a in story.do(ClientGone()) if isinstance(a, Free)] == []


def test_a_prompt_that_was_read_is_freed_where_no_maker_can_be_reached() -> None:
    story = Story(tries=1, resumable=False, goal_ms=600.0, slack=0.0, makers=1)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    story.do(LegHead(read.leg, 200, {}), 0.3)
    story.do(LegData(read.leg, b'{"prompt_handle":"h1"}'))
    (make,) = calls(story.do(LegEnd(read.leg)))
    end = story.do(LegFailed(make.leg, SendEvidence.NEVER_CONNECTED), 0.1)
    assert [a for a in end if isinstance(a, Free)] == [Free(read.backend, "h1")]
    assert [a.error.status for a in end if isinstance(a, Reply)] == [503]


def long_prompt(tries: int) -> tuple[Story, Call]:
    """A request whose prompt is read apart first, and that call."""
    story = Story(readers=3, tries=tries, resumable=tries > 1, goal_ms=600.0)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    assert read.backend.stage == "prefill"
    return story, read


def test_a_reading_that_came_to_nothing_is_not_repeated_where_the_route_has_one_try() -> None:
    """Found by a review (BUDGET): a second reading and the making ran on two backends of a route with one try."""
    story, read = long_prompt(tries=1)
    (make,) = calls(story.do(LegFailed(1, SendEvidence.WRITTEN)))
    assert make.backend.stage == "decode" and make.leg != read.leg


def test_a_silent_reading_is_waited_for_where_no_other_backend_may_read() -> None:
    """Traced on the bench: a maker that read such prompts kept their shared part, and went on reading for others."""
    story, read = long_prompt(tries=1)
    assert not [action for action in story.do(Wake(), 2.5) if isinstance(action, Call | Abort)]
    story.do(LegHead(read.leg, 200, {}))
    story.do(LegData(read.leg, b'{"prompt_handle":"h1"}'))
    (make,) = calls(story.do(LegEnd(read.leg)))
    assert make.backend.stage == "decode" and any(name == "Kv-From" for name, _ in make.headers)


def test_a_further_reading_takes_a_try() -> None:
    for tries, stages in ((2, ["prefill", "decode"]), (3, ["prefill", "decode", "decode"])):
        story, read = long_prompt(tries)
        found = calls(story.do(LegFailed(read.leg, SendEvidence.WRITTEN)))
        story.do(LegHead(found[0].leg, 200, {}))
        story.do(LegData(found[0].leg, b'{"prompt_handle":"h1"}'))
        found += calls(story.do(LegEnd(found[0].leg)))
        while again := calls(story.do(LegFailed(found[-1].leg, SendEvidence.WRITTEN))):
            found += again
        assert [call.backend.stage for call in found] == stages


def test_a_rejected_reading_is_made_up_for_by_another_first_one() -> None:
    story, read = long_prompt(tries=2)
    story.do(LegHead(read.leg, 503, {"x-not-run": "1"}))
    (again,) = calls(story.do(LegEnd(read.leg)))
    assert again.backend.stage == "prefill"
    story.do(LegHead(again.leg, 200, {}))
    story.do(LegData(again.leg, b'{"prompt_handle":"h1"}'))
    (make,) = calls(story.do(LegEnd(again.leg)))
    assert make.backend.stage == "decode" and not calls(story.do(LegFailed(make.leg, SendEvidence.WRITTEN)))


class RunCount:
    """Which calls of one request may have run, and what that means for its tries."""

    def __init__(self) -> None:
        self.made: dict[int, Call] = {}
        self.not_run: set[int] = set()

    def backends(self) -> int:
        """Backends that it may have run on; the first reading that a backend took up is none."""
        ran = [call for leg, call in self.made.items() if leg not in self.not_run]
        readings = [call for call in ran if call.backend.stage == "prefill"]
        return len(ran) - min(1, len(readings))


def random_event(random: Random, call: Call) -> Event:
    """Something that may happen to a call."""
    status, headers = random.choice([(200, dict(SEALED)), (200, {}), (503, {"x-not-run": "1"}), (500, {}), (503, {})])
    reads = call.backend.stage == "prefill"
    events: list[Event] = [
        LegHead(call.leg, status, headers),
        LegData(call.leg, b'{"prompt_handle":"h"}' if reads else b"id: 7\n\n"),
        LegEnd(call.leg),
        LegFailed(call.leg, random.choice(list(SendEvidence))),
        Wake(),
    ]
    return random.choice(events)


def test_random_orders_of_events_keep_to_the_tries_and_the_time_of_a_route() -> None:
    """BUDGET and the price of a request that is held past its route's time; every case must have been reached."""
    reached: Counter[str] = Counter()
    for seed in range(3000):
        random = Random(seed)
        tries = random.choice([1, 2, 3])
        story, count = Story(readers=4, makers=5, tries=tries, resumable=tries > 1, timeout_ms=2000.0), RunCount()
        out = calls(story.begin(*random.choice([("383,6", "a:55,b:37,c:291"), ("17020,17", "s:13300,o:3720")])))
        begun, heads = story.now, dict[int, LegHead]()
        count.made |= {call.leg: call for call in out}
        while not story.exchange.over:
            event = random_event(random, random.choice(out))
            if isinstance(event, LegHead):
                heads.setdefault(event.leg, event)
            if isinstance(event, LegFailed) and event.leg not in heads and not event.evidence.may_have_run:
                count.not_run.add(event.leg)
            if isinstance(event, LegEnd) and (head := heads.get(event.leg)) and "x-not-run" in head.headers:
                count.not_run.add(event.leg)
            if isinstance(event, LegFailed) and event.leg in heads:
                event = LegFailed(event.leg, SendEvidence.WRITTEN)  # whose head came had been sent
            actions = story.do(event, random.random() * 0.2)
            out += calls(actions)
            count.made |= {call.leg: call for call in calls(actions)}
            if not story.exchange.over:
                assert isinstance(actions[-1], WakeAt) and actions[-1].at <= begun + 2.0
                assert story.now < begun + 2.0 or not isinstance(event, Wake), "held past the route's time"
        assert count.backends() <= tries, f"seed {seed}"
        reached[f"{tries} tries, {count.backends()} backends"] += 1
        reached["a further reading"] += sum(call.backend.stage == "prefill" for call in count.made.values()) > 1
        reached["out of time"] += story.now >= begun + 2.0
    assert all(reached[f"{tries} tries, {tries} backends"] for tries in (1, 2, 3))
    assert reached["a further reading"] and reached["out of time"]


def read_after(story: Story, seconds: float, part: str = "s") -> None:
    """A long prompt with this shared part, whose reading takes so long."""
    (read,) = calls(story.begin("17020,17", f"{part}:13300,o{part}:3720"))
    story.do(LegHead(read.leg, 200, {}), seconds)
    story.do(LegData(read.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
    story.do(LegEnd(read.leg))


def test_the_pace_of_reading_is_learnt_from_backends_that_were_idle_only() -> None:
    story = Story(readers=1, tries=1, resumable=False, goal_ms=600.0)
    pace = story.shared.choices.pairs.pace("svc", "prefill")
    before = pace.estimate(17020)
    reader = story.shared.candidates.views["p0"]
    for busy_with in ("calls", "others_calls"):
        setattr(reader, busy_with, 3)
        read_after(story, 2.0, busy_with)
        setattr(reader, busy_with, 0)
    assert pace.estimate(17020) == before
    reader.readings = PrefillQueue()
    read_after(story, 2.0, "calls")
    assert pace.estimate(17020) == before, "part of it was thought to be kept"
    reader.readings = PrefillQueue()
    read_after(story, 0.5, "s")
    assert before < pace.estimate(17020) <= 500.0


def test_a_prompt_counts_as_load_whoever_is_asked_to_read_it_and_a_short_one_does_not() -> None:
    for readers in (1, 0):
        story = Story(readers=readers, tries=1, resumable=False)
        story.begin("17020,17", "s:13300,o:3720")
        (told,) = story.shared.load.report(story.now, [])
        assert told.prefill == pytest.approx(17020 * 0.02e-3 / LOAD_AVERAGING_S, rel=0.01)
    story = Story()
    story.begin()
    assert story.shared.load.report(story.now, []) == ()


def test_a_reading_behind_a_queue_is_late_and_not_silent() -> None:
    idle, busy = Story(readers=1, tries=1), Story(readers=1, tries=1)
    reader = busy.shared.candidates.views["p0"]
    reader.tokens = reader.others_tokens = 50_000
    due = [
        next(a.at for a in story.begin("17020,17", "s:13300,o:3720") if isinstance(a, WakeAt)) - story.now
        for story in (idle, busy)
    ]
    assert due[0] == pytest.approx(PREFILL_TIMEOUT_BASE_S + PREFILL_TIMEOUT_FACTOR * (20.0 + 0.02 * 17_020) / 1e3)
    assert due[1] == 3.0  # the end of the request's time comes first


def test_a_reading_that_never_left_is_no_load() -> None:
    story = Story(tries=1, resumable=False, goal_ms=600.0)
    (read,) = calls(story.begin("17020,17", "s:13300,o:3720"))
    (once,) = story.shared.load.report(story.now, [])
    story.do(LegFailed(read.leg, SendEvidence.NEVER_CONNECTED))  # and another is asked
    (told,) = story.shared.load.report(story.now, [])
    assert told.prefill == pytest.approx(once.prefill)


def test_a_call_that_was_withdrawn_is_no_failure_of_its_backend() -> None:
    story = Story()
    (call,) = calls(story.begin())
    story.do(LegFailed(call.leg, SendEvidence.BACKEND_WITHDRAWN))
    assert not story.shared.candidates.views[call.backend.id].has_failed
