"""The model backend, in single cases and under random load, without sockets or a clock."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from cranebank.fleetlab.model import (
    Action,
    Began,
    CallerLeft,
    Cut,
    DeleteHandle,
    Emit,
    EngineSpec,
    Event,
    GenerationRequest,
    HandleTaken,
    ModelBackend,
    Order,
    OrderReceived,
    ReportRequested,
    RequestReceived,
    Respond,
    TakeHandle,
    Wake,
    WakeAt,
)

SPEC = EngineSpec(
    capacity=2,
    queue=2,
    cache_tokens=10_000,
    prefill_tokens_per_s=10_000.0,
    prefill_chunk=1000,
    token_s=0.01,
    stride=4,
    full_batch_slowdown=1.0,
    token_bytes=125_000,
    link_mbps=1000.0,
)


def request(attempt: str = "a1", parts: str = "s:1000,o1:200", out: int = 8, **more: object) -> GenerationRequest:
    pairs = tuple((name, int(size)) for name, _, size in (part.partition(":") for part in parts.split(",")))
    return msgspec.structs.replace(GenerationRequest(attempt, pairs, out, 1e9), **more)


class Driver:
    """Drives a single backend on a simulated clock; ``log`` holds its actions with their times."""

    def __init__(self, stage: str = "decode", spec: EngineSpec = SPEC) -> None:
        self.backend = ModelBackend(spec, "i-1", stage)
        self.now = 0.0
        self.log: list[tuple[float, Action]] = []
        self._wake: float | None = None

    def do(self, event: Event) -> list[Action]:
        actions = self.backend.handle(self.now, event)
        self._wake = None
        for action in actions:
            if isinstance(action, WakeAt):
                self._wake = action.at
            else:
                self.log.append((self.now, action))
        return actions

    def ask(self, call: int, generation_request: GenerationRequest | None = None) -> list[Action]:
        return self.do(RequestReceived(call, generation_request or request(f"a{call}", f"s:1000,o{call}:200")))

    def run(self, until: float) -> None:
        while self._wake is not None and self._wake <= until:
            self.now = max(self.now, self._wake)
            self.do(Wake())
        self.now = until

    def times(self, kind: type, call: int) -> list[float]:
        return [at for at, action in self.log if isinstance(action, kind) and getattr(action, "call", None) == call]

    def answer(self, call: int) -> Respond:
        return next(action for _, action in self.log if isinstance(action, Respond) and action.call == call)


def test_decode_backends_read_at_half_the_pace_and_tokens_come_slower_in_company() -> None:
    one = Driver()
    one.ask(1)
    one.run(9.0)
    assert one.times(Emit, 1) == pytest.approx([0.24 + 0.06, 0.24 + 0.12])  # 1200 tokens at 5000/s, 4 x 15 ms
    two = Driver()
    two.ask(1)
    two.ask(2)
    two.run(9.0)
    assert two.times(Emit, 1)[0] > one.times(Emit, 1)[0]  # the step also prefills a chunk of the other prompt


def test_a_part_is_not_read_again_while_all_before_it_are_kept() -> None:
    driver = Driver()
    driver.ask(1)
    driver.run(5.0)
    driver.ask(2)
    driver.run(9.0)
    driver.ask(3, request("a3", "x:10,s:1000"))
    driver.run(12.0)
    assert [action for _, action in driver.log if isinstance(action, Began)] == [
        Began(1, 0, 1200),
        Began(2, 1000, 200),
        Began(3, 0, 1010),
    ]


def test_the_longest_unused_part_gives_way() -> None:
    driver = Driver()
    for call, part in enumerate(("a:4000", "b:4000", "a:4000", "c:4000", "a:4000", "b:4000"), start=1):
        driver.ask(call, request(f"a{call}", part))
        driver.run(call * 10.0)
    assert [action.kept for _, action in driver.log if isinstance(action, Began)] == [0, 0, 4000, 0, 4000, 0]


def test_a_handle_is_taken_once_and_lapses() -> None:
    driver = Driver("prefill")
    driver.ask(1, request(is_prefill=True))
    driver.run(1.0)
    handle = msgspec.json.decode(driver.answer(1).body)
    assert handle["tokens"] == 1200
    assert driver.times(Respond, 1) == pytest.approx([0.12])
    assert driver.backend.held == 1200
    driver.do(DeleteHandle(2, handle["prompt_handle"]))
    driver.do(DeleteHandle(3, handle["prompt_handle"]))
    assert (driver.answer(2).status, driver.answer(3).status, driver.backend.held) == (200, 404, 0)
    driver.ask(4, request("a4", is_prefill=True))
    driver.run(2.0)
    assert driver.backend.handles == 1
    driver.run(9.0)
    assert (driver.backend.handles, driver.backend.held) == (0, 0)


def test_a_kv_cache_is_moved_over_the_link_one_after_another() -> None:
    driver = Driver()
    driver.ask(1, request("a1", "p:500", kv_from="h:1/x"))
    driver.ask(2, request("a2", "q:500", kv_from="h:1/y"))
    assert [action for _, action in driver.log] == [TakeHandle(1, "h:1/x"), TakeHandle(2, "h:1/y")]
    driver.do(HandleTaken(1, True))
    driver.do(HandleTaken(2, True))
    driver.run(9.0)
    assert driver.times(Began, 1) == pytest.approx([0.5 + 0.06])  # 500 tokens of 1 Mbit each
    assert driver.times(Began, 2)[0] >= 1.0
    assert all(action.read == 0 for _, action in driver.log if isinstance(action, Began))


def test_a_handle_that_is_gone_and_a_move_that_would_wait_are_rejected() -> None:
    driver = Driver()
    driver.ask(1, request("a1", "p:3000", kv_from="h:1/x"))
    driver.do(HandleTaken(1, True))
    driver.ask(2, request("a2", "q:500", kv_from="h:1/y"))
    assert driver.answer(2) == Respond(2, 503, b"{}", True)
    other = Driver()
    other.ask(1, request("a1", "p:500", kv_from="h:1/x"))
    other.do(HandleTaken(1, False))
    assert (other.answer(1).status, other.answer(1).not_run, other.backend.used) == (503, True, 0)


def test_a_full_backend_rejects_and_urgent_requests_displace_others() -> None:
    driver = Driver()
    for call in range(1, 6):
        driver.ask(call)
    assert driver.answer(5) == Respond(5, 503, b"{}", True)
    driver.ask(6, request("a6", priority=1))
    assert driver.answer(4).not_run
    driver.run(60.0)
    assert driver.times(Began, 6)[0] < driver.times(Began, 3)[0]


@pytest.mark.parametrize(
    ("asked", "status"),
    [
        (request(target="i-2"), 421),
        (request(is_prefill=True), 421),
        (request(""), 400),
        (request(parts="huge:10001"), 503),
        (request(deadline=0.0), 503),
    ],
)
def test_what_is_not_run_says_so(asked: GenerationRequest, status: int) -> None:
    driver = Driver()
    driver.ask(1, asked)
    assert driver.answer(1) == Respond(1, status, b"{}", True)


def test_prefill_backends_make_no_tokens() -> None:
    driver = Driver("prefill")
    driver.ask(1)
    assert driver.answer(1).status == 421


def test_the_least_urgent_is_preempted_in_its_stream_and_goes_on() -> None:
    driver = Driver(spec=msgspec.structs.replace(SPEC, cache_tokens=2100, stride=50))
    driver.ask(1, request("a1", "p:1000", 200))
    driver.ask(2, request("a2", "q:900", 200, priority=7))
    driver.run(60.0)
    emitted = {
        call: [action.number for _, action in driver.log if isinstance(action, Emit) and action.call == call]
        for call in (1, 2)
    }
    assert emitted == {1: [1, 2, 3, 4], 2: [1, 2, 3, 4]}
    assert sum(isinstance(action, Began) for _, action in driver.log) == 2
    assert max(driver.times(Emit, 2)) > max(driver.times(Emit, 1))


def test_a_request_that_is_preempted_before_its_first_token_waits_behind_a_full_queue() -> None:
    """Guards against a stand-in that fails its own invariant, and a queue that rejects what it has admitted before."""
    driver = Driver(spec=msgspec.structs.replace(SPEC, queue=1, cache_tokens=2100, stride=20, prefill_chunk=100))
    driver.ask(1, request("a1", "p:1000", 200))
    driver.run(0.3)
    driver.ask(2, request("a2", "q:1000", 20, priority=7))
    driver.ask(3, request("a3", "r:100", 20, priority=8))
    driver.run(60.0)
    assert driver.times(Emit, 1) and not any(isinstance(action, Respond) for _, action in driver.log)
    assert driver.times(Emit, 2)[0] > driver.times(Emit, 1)[-1], "the second one was preempted"
    assert driver.times(Emit, 3)


def test_a_stream_goes_on_behind_the_last_event_id() -> None:
    driver = Driver()
    driver.ask(1, request(out=16, after=2))
    driver.run(9.0)
    assert [(action.number, action.last) for _, action in driver.log if isinstance(action, Emit)] == [
        (3, False),
        (4, True),
    ]


def test_at_the_deadline_a_stream_is_cut_and_what_waits_has_not_run() -> None:
    driver = Driver()
    driver.ask(1, request("a1", "p:100", 4000, deadline=1.0))
    driver.ask(2, request("a2", "q:100", 4000))
    driver.ask(3, request("a3", "r:100", deadline=0.5))
    driver.run(2.0)
    assert driver.times(Cut, 1) == [1.0]
    assert (driver.answer(3).not_run, driver.times(Respond, 3)) == (True, [0.5])


def test_an_order_lets_what_runs_end_and_rejects_the_rest() -> None:
    driver = Driver()
    for call in (1, 2, 3):
        driver.ask(call)
    order = Order("stage", "prefill", "node-7", 41)
    driver.do(OrderReceived(9, order))
    assert (driver.answer(9).status, driver.answer(3).not_run) == (202, True)
    driver.do(OrderReceived(10, order))
    driver.ask(4)
    assert (driver.answer(10).status, driver.answer(4).status) == (409, 503)
    driver.run(20.0)
    assert (len(driver.times(Emit, 1)), len(driver.times(Emit, 2)), driver.backend.stage) == (2, 2, "prefill")
    for call, changed, status in (
        (11, {}, 200),
        (12, {"fence_no": 40, "stage": "decode"}, 412),
        (13, {"owner": None}, 400),
        (14, {"order_kind": "rest"}, 400),
        (15, {"expected": 0, "stage": "decode"}, 409),
        (16, {"target": "i-2"}, 421),
    ):
        driver.do(OrderReceived(call, msgspec.structs.replace(order, **changed)))
        assert driver.answer(call).status == status, changed


def test_the_report_is_some_hundred_ms_old() -> None:
    driver = Driver()
    driver.ask(1, request(out=4000))
    driver.run(1.0)
    driver.ask(2, request("a2", out=4000))
    driver.do(ReportRequested(8))
    driver.run(1.5)
    driver.do(ReportRequested(9))
    reports = [msgspec.json.decode(driver.answer(call).body) for call in (8, 9)]
    assert [(report["active"], report["stage"], report["cache_total"]) for report in reports] == [
        (1, "decode", 10_000),
        (2, "decode", 10_000),
    ]


@pytest.mark.parametrize("seed", range(12))
def test_under_random_load_every_call_ends_once_and_the_memory_is_free_again(seed: int) -> None:
    """The backend checks its own invariants after every event. No request or memory is left at the end."""
    random = Random(seed)
    driver = Driver(
        random.choice(("prefill", "decode")),
        EngineSpec(
            capacity=random.choice((1, 3, 8)),
            queue=random.choice((1, 4)),
            cache_tokens=random.choice((3000, 9000)),
            stride=random.choice((1, 8)),
            prefill_chunk=512,
            prefill_tokens_per_s=20_000,
            link_mbps=100_000,
        ),
    )
    received, cancelled, taking = set(), set(), []
    for call in range(1, 300):
        driver.run(driver.now + random.expovariate(40))
        match random.choices(("ask", "leave", "taken", "order", "delete", "report"), (70, 8, 12, 2, 4, 4))[0]:
            case "ask":
                parts = f"s{random.randrange(4)}:{random.randrange(1, 1500)},o{call}:{random.randrange(1, 800)}"
                sizes = {f"s{n}": 100 + 300 * n for n in range(4)}  # a part always has the same size
                name = parts.partition(":")[0]
                parts = f"{name}:{sizes[name]},{parts.partition(',')[2]}"
                received.add(call)
                driver.ask(
                    call,
                    request(
                        f"a{call}",
                        parts,
                        random.randrange(1, 200),
                        priority=random.randrange(10),
                        deadline=driver.now + random.choice((0.05, 1.0, 30.0)),
                        is_prefill=random.random() < 0.3,
                        kv_from="h:1/x" if random.random() < 0.3 else "",
                        after=random.choice((0, 0, 3)),
                    ),
                )
            case "leave":
                if received:
                    victim = random.choice(sorted(received))
                    cancelled.add(victim)
                    driver.do(CallerLeft(victim))
            case "taken":
                taking = [a.call for _, a in driver.log if isinstance(a, TakeHandle)]
                for taken_call in taking:
                    driver.do(HandleTaken(taken_call, random.random() < 0.8))
            case "order":
                driver.do(OrderReceived(10_000 + call, Order("stage", random.choice(("prefill", "decode")), "n", call)))
            case "delete":
                driver.do(DeleteHandle(20_000 + call, f"i-1-{random.randrange(1, 60):x}"))
            case "report":
                driver.do(ReportRequested(30_000 + call))
    for taken_call in [a.call for _, a in driver.log if isinstance(a, TakeHandle)]:
        driver.do(HandleTaken(taken_call, False))
    driver.run(driver.now + 100.0)
    for call in received - cancelled:
        ends = [
            a
            for _, a in driver.log
            if getattr(a, "call", 0) == call and (isinstance(a, (Respond, Cut)) or (isinstance(a, Emit) and a.last))
        ]
        assert len(ends) == 1, (call, ends)
        numbers = [a.number for _, a in driver.log if isinstance(a, Emit) and a.call == call]
        assert numbers == list(range(numbers[0], numbers[0] + len(numbers))) if numbers else True
    assert (driver.backend.active, driver.backend.queued, driver.backend.held, driver.backend.handles) == (0, 0, 0, 0)
