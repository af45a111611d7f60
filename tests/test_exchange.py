"""The legs of one request and its one answer, without sockets or a clock."""

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
from cranebank.transport.frames import Decoder, encode
from cranebank.transport.messages import Backend, Gossip, Load, PrefillBegun
from cranebank.transport.revision import Revision

ENGINE = Engine(capacity=32, cache_tokens=400_000, token_bytes=163_840, link_mbps=1.4e6, handle_ttl_s=5.0)
SEALED = {"x-server-seal": "s", "content-type": "text/event-stream"}

UNSENT = [evidence for evidence in SendEvidence if not evidence.may_have_run]


def backend(name: str, stage: str = "decode", phase: str = "ready", seq: int = 1) -> Backend:
    """A record of one backend."""
    return Backend(name, "svc", f"10.0.0.{len(name)}:{8000 + sum(map(ord, name))}", "z", stage, 32, phase, seq)


class ExchangeHarness:
    """A proxy's shared state, and one exchange whose events a test sends."""

    def __init__(self, decode_backends: int = 3, prefill_backends: int = 2, slack: float = 50.0, **route: Any) -> None:
        self.now = 100.0
        candidates, cache = Candidates(), CacheView()
        candidates.merge([backend(f"d{i}") for i in range(decode_backends)])
        candidates.merge([backend(f"p{i}", "prefill") for i in range(prefill_backends)])
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
        """The calls in flight, by backend."""
        return {s.backend.id: s.calls for s in self.shared.candidates.views.values() if s.calls}


def calls(actions: list[Action]) -> list[Call]:
    """The calls among some actions."""
    return [a for a in actions if isinstance(a, Call)]


def passed(actions: list[Action]) -> bytes:
    """The bytes passed on to the client."""
    return b"".join(a.data for a in actions if isinstance(a, Data))


def test_a_short_prompt_is_prefilled_by_the_decode_backend_and_streams_through() -> None:
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    assert call.backend.stage == "decode" and "X-Stage" not in dict(call.headers)
    harness.do(LegHead(call.leg, 200, SEALED), 0.05)
    assert passed(harness.do(LegData(call.leg, b"id: 1\ndata: a\n\nid: 2\nda"))) == b"id: 1\ndata: a\n\n"
    harness.do(LegData(call.leg, b"ta: b\n\n"))
    end = harness.do(LegEnd(call.leg))
    assert any(isinstance(a, Finish) for a in end) and harness.exchange.is_over and not harness.out()
    assert passed(harness.log) == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def test_a_long_prompt_is_prefilled_first_and_its_handle_sent_to_the_decode_backend() -> None:
    harness = ExchangeHarness(tries=1, resumable=False, goal_ms=600.0, timeout_ms=6000.0)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    assert prefill.backend.stage == "prefill" and dict(prefill.headers)["X-Stage"] == "prefill"
    harness.do(LegHead(prefill.leg, 200, {}), 0.3)
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
    (decode,) = calls(harness.do(LegEnd(prefill.leg)))
    assert dict(decode.headers)["Kv-From"] == f"{prefill.backend.address}/h1" and decode.backend.stage == "decode"
    assert harness.out() == {decode.backend.id: 1}


def test_a_misdirected_prefill_backend_is_avoided() -> None:
    """An address that now belongs to another backend answers 421, also to a prefill; that is no answer of the expected
    backend."""
    harness = ExchangeHarness(decode_backends=1, prefill_backends=2, tries=4)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    harness.do(LegHead(prefill.leg, 421, {}))
    (again,) = calls(harness.do(LegEnd(prefill.leg)))
    assert again.backend.id != prefill.backend.id
    ready = harness.shared.candidates.ready(harness.now, "svc", "prefill")
    assert prefill.backend.id not in {view.backend.id for view in ready}


def test_the_only_decode_backend_is_used_although_another_request_just_failed_there() -> None:
    harness = ExchangeHarness(decode_backends=1, tries=1, resumable=False, goal_ms=600.0)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    harness.do(LegHead(prefill.leg, 200, {}))
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1"}'))
    harness.shared.candidates.failed(harness.now, "d0")
    (decode,) = calls(harness.do(LegEnd(prefill.leg)))
    assert decode.backend.id == "d0"


def test_a_handle_that_is_not_fetched_is_freed_at_the_end() -> None:
    harness = ExchangeHarness(tries=1, resumable=False, goal_ms=600.0, decode_backends=1)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    harness.do(LegHead(prefill.leg, 200, {}))
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1"}'))
    harness.shared.candidates.merge([backend("d0", phase="draining", seq=2)])
    end = harness.do(LegEnd(prefill.leg))
    assert [a for a in end if isinstance(a, Free)] == [Free(prefill.backend, "h1")]
    assert [a.error.status for a in end if isinstance(a, Reply)] == [503]


def test_an_expired_handle_is_refused_as_not_run_or_prefilled_again() -> None:
    """The decode backend answers 503 with X-Not-Run: with a try left the prompt is prefilled again elsewhere, otherwise
    the client gets the refusal."""
    for tries in (1, 2):
        harness = ExchangeHarness(tries=tries, resumable=tries == 2, goal_ms=600.0)
        (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
        harness.do(LegHead(prefill.leg, 200, {}), 0.1)
        harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1"}'))
        (decode,) = calls(harness.do(LegEnd(prefill.leg)))
        harness.do(LegHead(decode.leg, 503, {"x-not-run": "1"}))
        end = harness.do(LegEnd(decode.leg))
        if tries == 1:
            assert [a.error.status for a in end if isinstance(a, Reply)] == [503]
        else:
            (again,) = calls(end)
            assert (
                again.backend.id != decode.backend.id
                and dict(again.headers).get("Kv-From") != dict(decode.headers)["Kv-From"]
            )


def test_what_may_have_run_is_never_refused() -> None:
    harness = ExchangeHarness(tries=1, resumable=False)
    (call,) = calls(harness.begin())
    end = harness.do(LegFailed(call.leg, SendEvidence.WRITTEN), 0.1)
    assert [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_what_was_rejected_is_refused_with_a_time_to_come_back() -> None:
    harness = ExchangeHarness(tries=1, resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 503, {"x-not-run": "1"}))
    (reply,) = [a for a in harness.do(LegEnd(call.leg)) if isinstance(a, Reply)]
    assert reply.error.status == 503 and reply.retry_after_s


def test_an_unsent_call_is_repeated_elsewhere_and_not_counted() -> None:
    harness = ExchangeHarness(tries=1, resumable=False, slack=0.0)
    (call,) = calls(harness.begin())
    (again,) = calls(harness.do(LegFailed(call.leg, SendEvidence.NEVER_CONNECTED)))
    assert again.backend.id != call.backend.id


def test_a_stream_that_breaks_is_resumed_behind_its_last_whole_event() -> None:
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"id: 1\ndata: a\n\nid: 2\nda"))
    (again,) = calls(harness.do(LegFailed(call.leg, SendEvidence.WRITTEN)))
    assert again.backend.id != call.backend.id and dict(again.headers)["Last-Event-Id"] == "1"
    harness.do(LegHead(again.leg, 200, {"x-server-seal": "other"}))
    harness.do(LegData(again.leg, b"id: 2\ndata: b\n\n"))
    harness.do(LegEnd(again.leg))
    assert passed(harness.log) == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert [a.headers for a in harness.log if isinstance(a, Head)] == [SEALED]


def test_a_stream_resumed_by_the_client_is_resumed_after_the_latest_event() -> None:
    """The client's own header was sent along with the proxy's, and the next attempt began where the client's did."""
    harness = ExchangeHarness()
    (call,) = calls(harness.begin(last="13"))
    assert [value for name, value in call.headers if name == "Last-Event-Id"] == ["13"]
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"id: 14\ndata: a\n\n"))
    (again,) = calls(harness.do(LegFailed(call.leg, SendEvidence.WRITTEN)))
    assert [value for name, value in again.headers if name == "Last-Event-Id"] == ["14"]


def test_a_stream_that_can_not_be_resumed_breaks_off_and_does_not_look_whole() -> None:
    harness = ExchangeHarness(tries=1, resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"id: 1\ndata: a\n\nid: 2"))
    end = harness.do(LegFailed(call.leg, SendEvidence.WRITTEN))
    assert any(isinstance(a, Break) for a in end) and not any(isinstance(a, Finish) for a in harness.log)


def test_a_success_without_a_seal_is_not_accepted() -> None:
    harness = ExchangeHarness(tries=1, resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, {}))
    harness.do(LegData(call.leg, b"x"))
    end = harness.do(LegEnd(call.leg))
    assert not passed(harness.log) and [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_a_silent_backend_gets_a_second_copy_beside_it_and_the_first_answer_wins() -> None:
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    (again,) = calls(harness.do(Wake(), 1.0))
    harness.do(LegHead(call.leg, 200, SEALED))
    assert any(isinstance(a, Abort) and a.leg == again.leg for a in harness.log)
    harness.do(LegData(call.leg, b"id: 1\n\n"))
    harness.do(LegEnd(call.leg))
    assert harness.exchange.is_over and not harness.out()


def test_without_budget_nothing_is_repeated() -> None:
    harness = ExchangeHarness(slack=0.0)
    (call,) = calls(harness.begin())
    end = harness.do(LegFailed(call.leg, SendEvidence.WRITTEN))
    assert not calls(end) and [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_a_client_that_leaves_ends_all_legs() -> None:
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    assert any(isinstance(a, Abort) and a.leg == call.leg for a in harness.do(ClientGone()))
    assert harness.exchange.is_over and not harness.out()


def test_a_time_out_has_a_status_of_its_own() -> None:
    harness = ExchangeHarness(tries=1, resumable=False)
    harness.begin()
    end = harness.do(Wake(), 3.1)
    assert [a.error.status for a in end if isinstance(a, Reply)] == [504]


@pytest.mark.parametrize("seed", range(40))
def test_random_orders_of_events_keep_the_promises(seed: int) -> None:
    random = Random(seed)
    for _ in range(50):
        repeatable = random.random() < 0.5
        harness = ExchangeHarness(tries=2 if repeatable else 1, resumable=repeatable, slack=random.choice([0.0, 50.0]))
        out = calls(harness.begin(*random.choice([("383,6", "a:55,b:37,c:291"), ("17020,17", "s:13300,o:3720")])))
        live = {call.leg for call in out}
        may_have_run = False
        for _ in range(30):
            if harness.exchange.is_over:
                break
            leg = random.choice(out).leg
            is_prefill = next("X-Stage" in dict(call.headers) for call in out if call.leg == leg)
            status = random.choice([200, 200, 503, 500, 421])
            evidence = SendEvidence.WRITTEN if random.random() < 0.7 else random.choice(UNSENT)
            events: list[Event] = [
                LegHead(leg, status, {"x-not-run": "1"} if status in (503, 421) else dict(SEALED)),
                LegData(leg, b'{"prompt_handle":"h"}' if is_prefill else b"id: 7\n\n"),
                LegEnd(leg),
                LegFailed(leg, evidence),
                Wake(),
                *([ClientGone()] if random.random() < 0.1 else []),
            ]
            event = random.choice(events)
            if (
                leg in live
                and not is_prefill
                and (
                    (isinstance(event, LegHead) and status in (200, 500))
                    or (isinstance(event, LegFailed) and evidence.may_have_run)
                )
            ):
                may_have_run = True
            if isinstance(event, LegEnd | LegFailed):
                live.discard(leg)
            actions = harness.do(event, random.random() * 0.2)
            out += calls(actions)
            live |= {call.leg for call in calls(actions)}
            live -= {action.leg for action in actions if isinstance(action, Abort)}
        harness.do(Wake(), 10.0)
        ends = [a for a in harness.log if isinstance(a, Finish | Break | Reply)]
        assert harness.exchange.state is State.OVER and len(ends) <= 1 and not harness.out()
        assert not (may_have_run and any(isinstance(a, Reply) and a.error.status == 503 for a in ends))


def test_events_are_cut_whole_at_any_byte() -> None:
    stream = b"versions: 3\nid: 1\ndata: x\n\nid: 2\ndata: id:9\n\n: c\n\nid: 3\ndata: y\n\n"
    for cut in range(len(stream)):
        splitter = EventSplitter()
        found = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
        assert found == stream and splitter.last_id == "3" and not splitter.take_rest()


@pytest.mark.parametrize("blank", [b"\n\n", b"\r\n\r\n", b"\n", b"\r\n"])
def test_blank_lines_ahead_of_an_event_take_no_byte_of_it(blank: bytes) -> None:
    """Guards against a byte of an unfinished event that is passed on, and stays when the event is sent anew."""
    splitter = EventSplitter()
    assert splitter.feed(blank + b"id: 1\nda") in (b"", blank)
    splitter.drop_rest()
    assert splitter.feed(b"id: 1\ndata: x\n\n") == b"id: 1\ndata: x\n\n" and splitter.last_id == "1"


def test_a_prefill_is_reported_as_it_begins_with_its_uncached_tokens() -> None:
    harness, reported = (
        ExchangeHarness(prefill_backends=1, tries=1, resumable=False, goal_ms=600.0),
        list[PrefillBegun](),
    )
    harness.shared.on_prefill_begun = reported.append
    harness.shared.on_prefix_cached = lambda backend, part, tokens: pytest.fail(
        "the start of a prefill was reported as a cached prefix"
    )
    for count in (1, 2):
        (prefill,) = calls(harness.begin("17020,17", f"r:300,s:13000,o{count}:3720"))
        assert len(reported) == count
        harness.do(LegHead(prefill.leg, 200, {}), 0.3)
        harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
        harness.do(LegEnd(prefill.leg))
    took = 300.0 / harness.shared.choices.pairs.latency("svc", "prefill").estimate(17_020)
    assert reported[0] == PrefillBegun("p0", 17_020, "s", 13_300)
    assert reported[1] == PrefillBegun("p0", 3_720, "s", 13_300, reported[1].slowness)
    assert reported[1].slowness == pytest.approx(took, rel=0.3), (
        "the slowness observed in the first prefill is reported with the second"
    )
    harness.begin("1500,6", "a:1500")
    assert reported[2] == PrefillBegun("p0", 1_500), "no part of it is shared"


@pytest.mark.parametrize(
    ("counts", "parts"),
    [
        ("99999999999999999999,6", "s:13300,o:3720"),
        ("17020,6", "s:99999999999999999999,o:3720"),
        (f"{2**41},6", f"s:{2**41},o:1"),
        ("-5,6", "s:-13300,o:-3720"),
        (f"{2**40},6", f"s:{2**40},o:{2**40}"),
    ],
)
def test_a_prompt_of_any_stated_size_is_sent_and_its_loads_fit_a_message(counts: str, parts: str) -> None:
    """Guards against a client's header whose number of tokens makes reports to neighbours that fit no message."""
    harness = ExchangeHarness()
    reports: list[PrefillBegun] = []
    harness.shared.on_prefill_begun = reports.append
    assert calls(harness.begin(counts, parts))
    views = harness.shared.candidates.views.values()
    loads = tuple(Load(view.backend.id, view.calls, view.tokens) for view in views)
    gossip = Gossip(1, Revision(1), 0, loads)
    assert all(load.tokens >= 0 for load in loads)
    assert all(Decoder().feed(encode(message)) == [message] for message in (gossip, *reports))


def test_a_long_shared_prefix_read_by_a_decode_backend_is_reported_once() -> None:
    harness, reported = (
        ExchangeHarness(decode_backends=1, prefill_backends=0, tries=1, resumable=False),
        list[tuple[str, str, int]](),
    )
    harness.shared.on_prefix_cached = lambda backend, part, tokens: reported.append((backend, part, tokens))
    for _ in range(2):
        (decode,) = calls(harness.begin("17020,17", "r:300,s:13000,o:3720"))
        harness.do(LegHead(decode.leg, 200, SEALED), 0.3)
        harness.do(LegData(decode.leg, b"id: 1\ndata: x\n\n"))
        harness.do(LegEnd(decode.leg))
    assert reported == [("d0", "s", 13_300)], "the second time, the prefix was cached there"


def test_a_prefill_queues_behind_earlier_ones_until_it_ends_or_proves_unsent() -> None:
    harness = ExchangeHarness(prefill_backends=1, tries=1, resumable=False, goal_ms=600.0)
    pairs, view = harness.shared.choices.pairs, harness.shared.candidates.views["p0"]
    latency = pairs.latency("svc", "prefill")
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    assert view.prefill_queue.wait(harness.now) == pytest.approx(17.020 * latency.token_ms)
    harness.do(LegFailed(prefill.leg, SendEvidence.NEVER_CONNECTED))
    assert view.prefill_queue.wait(harness.now) == 0.0
    (prefill,) = calls(harness.begin("17020,17", "t:13300,o:3720"))
    harness.do(LegHead(prefill.leg, 200, {}), 0.1)  # earlier than estimated
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
    harness.do(LegEnd(prefill.leg))
    assert view.prefill_queue.wait(harness.now) == 0.0


def test_an_answer_without_ids_is_never_continued_by_another_run() -> None:
    """An idempotent answer that broke off went on with the next attempt's body (rules MIXED, ORDER)."""
    harness = ExchangeHarness(variant="idempotent", resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"half of "))
    end = harness.do(LegFailed(call.leg, SendEvidence.WRITTEN))
    assert not calls(end) and any(isinstance(a, Break) for a in end) and passed(harness.log) == b"half of "


def test_an_answer_without_ids_is_not_given_up_for_its_silence() -> None:
    harness = ExchangeHarness(variant="idempotent", resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"half of "))
    assert not any(isinstance(a, Abort | Break | Call) for a in harness.do(Wake(), 1.0))
    harness.do(LegData(call.leg, b"it"))
    assert any(isinstance(a, Finish) for a in harness.do(LegEnd(call.leg)))


@pytest.mark.parametrize("means", [{"slack": 0.0}, {"decode_backends": 1}], ids=["no budget", "nobody else"])
def test_a_silent_stream_is_kept_if_it_cannot_continue_elsewhere(means: dict[str, Any]) -> None:
    """A pause broke the stream off although no backend was left to resume it."""
    harness = ExchangeHarness(**means)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"id: 1\ndata: a\n\n"))
    assert not any(isinstance(a, Abort | Break) for a in harness.do(Wake(), 1.0))
    harness.do(LegData(call.leg, b"id: 2\ndata: b\n\n"))
    assert any(isinstance(a, Finish) for a in harness.do(LegEnd(call.leg))) and not harness.out()


def test_a_silent_stream_continues_elsewhere_if_it_can() -> None:
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"id: 1\ndata: a\n\n"))
    (again,) = calls(harness.do(Wake(), 1.0))
    assert dict(again.headers)["Last-Event-Id"] == "1"
    harness.do(LegHead(again.leg, 200, SEALED))
    assert harness.out() == {again.backend.id: 1}


def test_an_unsent_prefill_is_not_counted() -> None:
    """Without budget, the request was refused when its first prefill backend could not be reached."""
    harness = ExchangeHarness(tries=1, resumable=False, goal_ms=600.0, slack=0.0)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    (again,) = calls(harness.do(LegFailed(prefill.leg, SendEvidence.NEVER_CONNECTED)))
    assert again.backend.stage == "prefill" and again.backend.id != prefill.backend.id
    assert not harness.budget.allows(harness.now, 1)


def test_out_of_time_during_a_prefill_is_a_refusal() -> None:
    """A prefill runs nothing: the client may retry if the route's time ended before its own."""
    harness = ExchangeHarness(tries=1, resumable=False, goal_ms=600.0)
    harness.begin("17020,17", "s:13300,o:3720")
    end = harness.do(Wake(), 3.1)
    assert [a.error.status for a in end if isinstance(a, Reply)] == [503] and not harness.out()


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_backends_refusal_without_the_not_run_mark_is_not_passed_on(status: int) -> None:
    """Only an answer with X-Not-Run states that nothing ran; to clients the status alone means it (rule REFUSED)."""
    harness = ExchangeHarness(tries=1, resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, status, {"content-length": "1"}))
    harness.do(LegData(call.leg, b"x"))
    end = harness.do(LegEnd(call.leg))
    assert not passed(harness.log) and [a.error.status for a in end if isinstance(a, Reply)] == [502]


def test_a_backends_own_failure_is_passed_on_as_it_came() -> None:
    harness = ExchangeHarness(tries=1, resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 500, {"content-length": "1"}))
    harness.do(LegData(call.leg, b"x"))
    harness.do(LegEnd(call.leg))
    assert [a.status for a in harness.log if isinstance(a, Head)] == [500] and passed(harness.log) == b"x"


def test_a_failure_of_one_copy_waits_for_the_other() -> None:
    """The second copy's failure was passed on, and the first copy, still running, aborted."""
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    (again,) = calls(harness.do(Wake(), 1.0))
    harness.do(LegHead(again.leg, 500, {"content-length": "0"}))
    assert not any(isinstance(a, Abort | Head | Reply) for a in harness.do(LegEnd(again.leg)))
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, b"id: 1\n\n"))
    assert any(isinstance(a, Finish) for a in harness.do(LegEnd(call.leg))) and passed(harness.log) == b"id: 1\n\n"


def test_a_prefilled_prompt_goes_to_another_decode_backend_if_the_first_is_unreachable() -> None:
    """The handle was forgotten with a call that was never sent, and the prompt was prefilled again."""
    harness = ExchangeHarness(tries=1, resumable=False, goal_ms=600.0, slack=0.0)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    harness.do(LegHead(prefill.leg, 200, {}), 0.3)
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1"}'))
    (decode,) = calls(harness.do(LegEnd(prefill.leg)))
    (again,) = calls(harness.do(LegFailed(decode.leg, SendEvidence.NEVER_CONNECTED), 0.1))
    assert again.backend.id != decode.backend.id and again.backend.stage == "decode"
    assert dict(again.headers)["Kv-From"] == dict(decode.headers)["Kv-From"]
    assert [a for a in harness.do(ClientGone()) if isinstance(a, Free)] == []


def test_the_handle_is_freed_if_no_decode_backend_is_reachable() -> None:
    harness = ExchangeHarness(tries=1, resumable=False, goal_ms=600.0, slack=0.0, decode_backends=1)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    harness.do(LegHead(prefill.leg, 200, {}), 0.3)
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1"}'))
    (decode,) = calls(harness.do(LegEnd(prefill.leg)))
    end = harness.do(LegFailed(decode.leg, SendEvidence.NEVER_CONNECTED), 0.1)
    assert [a for a in end if isinstance(a, Free)] == [Free(prefill.backend, "h1")]
    assert [a.error.status for a in end if isinstance(a, Reply)] == [503]


def long_prompt(tries: int) -> tuple[ExchangeHarness, Call]:
    """A request whose prompt is prefilled first, and the call of that prefill."""
    harness = ExchangeHarness(prefill_backends=3, tries=tries, resumable=tries > 1, goal_ms=600.0)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    assert prefill.backend.stage == "prefill"
    return harness, prefill


def test_a_failed_prefill_is_not_repeated_on_a_route_with_one_try() -> None:
    """A second prefill and the decode ran on two backends for a route with one try (rule BUDGET)."""
    harness, prefill = long_prompt(tries=1)
    (decode,) = calls(harness.do(LegFailed(1, SendEvidence.WRITTEN)))
    assert decode.backend.stage == "decode" and decode.leg != prefill.leg


def test_a_silent_prefill_is_kept_if_no_other_backend_may_prefill() -> None:
    """A decode backend that prefilled such prompts cached their shared prefix and went on prefilling for other
    requests."""
    harness, prefill = long_prompt(tries=1)
    assert not [action for action in harness.do(Wake(), 2.5) if isinstance(action, Call | Abort)]
    harness.do(LegHead(prefill.leg, 200, {}))
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1"}'))
    (decode,) = calls(harness.do(LegEnd(prefill.leg)))
    assert decode.backend.stage == "decode" and any(name == "Kv-From" for name, _ in decode.headers)


def test_a_further_prefill_takes_a_try() -> None:
    for tries, stages in ((2, ["prefill", "decode"]), (3, ["prefill", "decode", "decode"])):
        harness, prefill = long_prompt(tries)
        found = calls(harness.do(LegFailed(prefill.leg, SendEvidence.WRITTEN)))
        harness.do(LegHead(found[0].leg, 200, {}))
        harness.do(LegData(found[0].leg, b'{"prompt_handle":"h1"}'))
        found += calls(harness.do(LegEnd(found[0].leg)))
        while again := calls(harness.do(LegFailed(found[-1].leg, SendEvidence.WRITTEN))):
            found += again
        assert [call.backend.stage for call in found] == stages


def test_a_rejected_prefill_is_replaced_by_another_first_one() -> None:
    harness, prefill = long_prompt(tries=2)
    harness.do(LegHead(prefill.leg, 503, {"x-not-run": "1"}))
    (again,) = calls(harness.do(LegEnd(prefill.leg)))
    assert again.backend.stage == "prefill"
    harness.do(LegHead(again.leg, 200, {}))
    harness.do(LegData(again.leg, b'{"prompt_handle":"h1"}'))
    (decode,) = calls(harness.do(LegEnd(again.leg)))
    assert decode.backend.stage == "decode" and not calls(harness.do(LegFailed(decode.leg, SendEvidence.WRITTEN)))


class RunCount:
    """Counts which calls of one request may have run, and what that means for its tries."""

    def __init__(self) -> None:
        self.calls_made: dict[int, Call] = {}
        self.not_run: set[int] = set()

    def backends(self) -> int:
        """Backends on which it may have run; the first prefill that a backend accepted does not count."""
        ran = [call for leg, call in self.calls_made.items() if leg not in self.not_run]
        prefills = [call for call in ran if call.backend.stage == "prefill"]
        return len(ran) - min(1, len(prefills))


def random_event(random: Random, call: Call) -> Event:
    """An event that may happen to a call."""
    status, headers = random.choice([(200, dict(SEALED)), (200, {}), (503, {"x-not-run": "1"}), (500, {}), (503, {})])
    is_prefill = call.backend.stage == "prefill"
    events: list[Event] = [
        LegHead(call.leg, status, headers),
        LegData(call.leg, b'{"prompt_handle":"h"}' if is_prefill else b"id: 7\n\n"),
        LegEnd(call.leg),
        LegFailed(call.leg, random.choice(list(SendEvidence))),
        Wake(),
    ]
    return random.choice(events)


def test_random_orders_of_events_keep_to_the_tries_and_the_time_of_a_route() -> None:
    """The tries (rule BUDGET) and the route's time limit hold; every case must have been reached."""
    reached: Counter[str] = Counter()
    for seed in range(3000):
        random = Random(seed)
        tries = random.choice([1, 2, 3])
        harness, count = (
            ExchangeHarness(prefill_backends=4, decode_backends=5, tries=tries, resumable=tries > 1, timeout_ms=2000.0),
            RunCount(),
        )
        out = calls(harness.begin(*random.choice([("383,6", "a:55,b:37,c:291"), ("17020,17", "s:13300,o:3720")])))
        begun, heads = harness.now, dict[int, LegHead]()
        count.calls_made |= {call.leg: call for call in out}
        while not harness.exchange.is_over:
            event = random_event(random, random.choice(out))
            if isinstance(event, LegHead):
                heads.setdefault(event.leg, event)
            if isinstance(event, LegFailed) and event.leg not in heads and not event.evidence.may_have_run:
                count.not_run.add(event.leg)
            if isinstance(event, LegEnd) and (head := heads.get(event.leg)) and "x-not-run" in head.headers:
                count.not_run.add(event.leg)
            if isinstance(event, LegFailed) and event.leg in heads:
                event = LegFailed(event.leg, SendEvidence.WRITTEN)  # a call whose answer's head arrived had been sent
            actions = harness.do(event, random.random() * 0.2)
            out += calls(actions)
            count.calls_made |= {call.leg: call for call in calls(actions)}
            if not harness.exchange.is_over:
                assert isinstance(actions[-1], WakeAt) and actions[-1].at <= begun + 2.0
                assert harness.now < begun + 2.0 or not isinstance(event, Wake), "held past the route's time"
        assert count.backends() <= tries, f"seed {seed}"
        reached[f"{tries} tries, {count.backends()} backends"] += 1
        reached["a further prefill"] += sum(call.backend.stage == "prefill" for call in count.calls_made.values()) > 1
        reached["out of time"] += harness.now >= begun + 2.0
    assert all(reached[f"{tries} tries, {tries} backends"] for tries in (1, 2, 3))
    assert reached["a further prefill"] and reached["out of time"]


def prefill_after(harness: ExchangeHarness, seconds: float, part: str = "s") -> None:
    """A long prompt with this shared prefix, whose prefill takes so long."""
    (prefill,) = calls(harness.begin("17020,17", f"{part}:13300,o{part}:3720"))
    harness.do(LegHead(prefill.leg, 200, {}), seconds)
    harness.do(LegData(prefill.leg, b'{"prompt_handle":"h1","tokens":17020,"revision":1}'))
    harness.do(LegEnd(prefill.leg))


def test_prefill_latency_is_learnt_from_idle_backends_only() -> None:
    harness = ExchangeHarness(prefill_backends=1, tries=1, resumable=False, goal_ms=600.0)
    latency = harness.shared.choices.pairs.latency("svc", "prefill")
    before = latency.estimate(17020)
    prefill_backend = harness.shared.candidates.views["p0"]
    for busy_with in ("calls", "others_calls"):
        setattr(prefill_backend, busy_with, 3)
        prefill_after(harness, 2.0, busy_with)
        setattr(prefill_backend, busy_with, 0)
    assert latency.estimate(17020) == before
    prefill_backend.prefill_queue = PrefillQueue()
    prefill_after(harness, 2.0, "calls")
    assert latency.estimate(17020) == before, "part of it was expected to be cached"
    prefill_backend.prefill_queue = PrefillQueue()
    prefill_after(harness, 0.5, "s")
    assert before < latency.estimate(17020) <= 500.0


def test_a_long_prompt_counts_as_prefill_load_at_either_stage_and_a_short_one_does_not() -> None:
    for prefill_backends in (1, 0):
        harness = ExchangeHarness(prefill_backends=prefill_backends, tries=1, resumable=False)
        harness.begin("17020,17", "s:13300,o:3720")
        (reported,) = harness.shared.load.report(harness.now, [])
        assert reported.prefill == pytest.approx(17020 * 0.02e-3 / LOAD_AVERAGING_S, rel=0.01)
    harness = ExchangeHarness()
    harness.begin()
    assert harness.shared.load.report(harness.now, []) == ()


def test_a_prefill_behind_a_queue_is_late_and_not_silent() -> None:
    idle, busy = ExchangeHarness(prefill_backends=1, tries=1), ExchangeHarness(prefill_backends=1, tries=1)
    prefill_backend = busy.shared.candidates.views["p0"]
    prefill_backend.tokens = prefill_backend.others_tokens = 50_000
    due = [
        next(a.at for a in harness.begin("17020,17", "s:13300,o:3720") if isinstance(a, WakeAt)) - harness.now
        for harness in (idle, busy)
    ]
    assert due[0] == pytest.approx(PREFILL_TIMEOUT_BASE_S + PREFILL_TIMEOUT_FACTOR * (20.0 + 0.02 * 17_020) / 1e3)
    assert due[1] == 3.0  # the end of the request's time is earlier


def test_an_unsent_prefill_is_not_load() -> None:
    harness = ExchangeHarness(tries=1, resumable=False, goal_ms=600.0)
    (prefill,) = calls(harness.begin("17020,17", "s:13300,o:3720"))
    (once,) = harness.shared.load.report(harness.now, [])
    harness.do(LegFailed(prefill.leg, SendEvidence.NEVER_CONNECTED))  # another backend is called
    (reported,) = harness.shared.load.report(harness.now, [])
    assert reported.prefill == pytest.approx(once.prefill)


def test_a_call_that_was_withdrawn_is_no_failure_of_its_backend() -> None:
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    harness.do(LegFailed(call.leg, SendEvidence.BACKEND_WITHDRAWN))
    assert not harness.shared.candidates.views[call.backend.id].has_failed
