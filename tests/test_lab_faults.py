"""Each fault of the plan as a proxy observes it: from a connection to the stand-in host, or from the proxy itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from labs import counters, play, scenario

from cranebank.lab import records
from cranebank.lab.child import Part
from cranebank.lab.discovery import CallQueue, Registry
from cranebank.lab.exchange import Incoming, Pool, now_us, request_bytes
from cranebank.lab.hosts import SocketHost, SocketStage
from cranebank.lab.plan import NEVER, Notice, plan
from cranebank.lab.scenario import Scenario
from cranebank.lab.stage import Ask as StageAsk
from cranebank.lab.stage import Reply

Ask = Callable[..., Awaitable[Reply]]
BODY_STARTS: dict[int, bytes] = {}  # start of the body, by id() of the reply
FAULT_AT, FAULT_END = 0.15, 0.65


def play_with_host(
    tmp_path: Path, fault: dict[str, Any], story: Callable[[SocketHost, Ask], Awaitable[None]], **changes: Any
) -> list[records.Record]:
    """Run ``story`` with a stand-in host that has a fault from 0.15 to 0.65 s; return the host's records."""
    lab_scenario: Scenario = scenario(
        **{
            "seconds": 5.0,
            "connections": {"handshake_ms": 0.0, "cap": 4},
            "reports": {"delay_ms": 0.0, "period_ms": 10.0},
            "fault": [{"at_s": FAULT_AT, "for_s": FAULT_END - FAULT_AT, "hosts": ["front-std-0"]} | fault],
        }
        | changes
    )
    path = tmp_path / "records.jsonl"

    async def play_steps() -> None:
        stage = SocketStage(Part(scenario=lab_scenario, plan=plan(lab_scenario), records=str(path)))
        host = SocketHost(stage, stage.plan.hosts[0], ("127.0.0.1", 0))
        await host.listen()
        stage.t0, host.up = now_us(), True
        host.schedule_plan()
        pool, number = Pool(), iter(range(1000))

        async def ask(target: str = "", work: int = 10_000, wait: float = 3.0, fresh: bool = False) -> Reply:
            got: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
            data = (
                f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                if target
                else request_bytes(StageAsk(f"q{next(number)}", "r", 0, 0, "", work, 2_000_000), lab_scenario)
            )
            pending = (Pool() if fresh else pool).ask(host.address, data, "", 0, got.set_result)
            try:
                async with asyncio.timeout(wait):
                    reply = await got
                    BODY_STARTS[id(reply)] = pending.body_start
                    return reply
            except TimeoutError:
                pending.cancel()
                return Reply(trouble="silent")
            except asyncio.CancelledError:
                pending.cancel()
                raise

        await story(host, ask)
        host.write_final_records()
        stage.writer.close()
        pool.close()
        host.kill()

    asyncio.run(play_steps())
    return records.read([path])


async def wait_until(host: SocketHost, seconds: float) -> None:
    """Wait until a time of the run."""
    await asyncio.sleep(max(0.0, seconds - host.stage.now() / 1e6))


@pytest.mark.parametrize(
    ("fault", "on_open_connection", "on_new_connection"),
    [
        ({"what": "kill"}, "refused", "refused"),
        ({"what": "refuse"}, "", "refused"),
        ({"what": "stop"}, "silent", "silent"),
        ({"what": "half-open"}, "silent", "silent"),
        ({"what": "reset"}, "broke", "broke"),
        ({"what": "spoil"}, "broke", "broke"),
        ({"what": "swallow"}, "silent", "silent"),
        ({"what": "pause", "size": 450.0, "every_s": 0.46}, "silent", "silent"),
    ],
    ids=lambda v: v["what"] if isinstance(v, dict) else None,
)
def test_a_fault_as_seen_on_connections(
    tmp_path: Path, fault: dict[str, Any], on_open_connection: str, on_new_connection: str
) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        assert (await ask()).status == 200  # opens a connection
        late = 0.46 if fault["what"] == "pause" else 0.0  # its stalls start at a time drawn by the seed
        await wait_until(host, FAULT_AT + 0.02 + late)
        seen = await asyncio.gather(ask(wait=0.1), ask(wait=0.1, fresh=True))
        assert [reply.trouble for reply in seen] == [on_open_connection, on_new_connection]
        await wait_until(host, FAULT_END + 0.6)
        assert (await ask(fresh=True)).status == 200  # the fault is over

    play_with_host(tmp_path, fault, story)


def test_a_connection_accepted_while_its_host_ends_is_closed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        def accepted(listener: SocketHost) -> Incoming:  # accepted, but the host ends before the protocol exists
            host.kill()
            return Incoming(listener)

        monkeypatch.setattr("cranebank.lab.hosts.Incoming", accepted)
        assert (await ask(fresh=True)).trouble == "broke"

    play_with_host(tmp_path, {"what": "slow", "size": 1.0}, story)


def test_a_stopped_host_finishes_its_requests_after_it_resumes_but_a_half_open_one_does_not(tmp_path: Path) -> None:
    for what, expected in (("stop", 200), ("half-open", 0)):

        async def story(host: SocketHost, ask: Ask, expected: int = expected) -> None:
            await wait_until(host, FAULT_AT - 0.05)
            reply = await ask(work=100_000)
            assert reply.status == expected
            assert host.stage.now() >= FAULT_END * 1e6

        play_with_host(tmp_path, {"what": what}, story)


def test_a_slow_host_takes_size_times_longer(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        took = []
        for _ in range(2):
            began = now_us()
            await ask(work=60_000)
            took.append(now_us() - began)
            await wait_until(host, FAULT_AT + 0.01)
        assert took[1] >= 240_000 > took[0] >= 60_000

    play_with_host(tmp_path, {"what": "slow", "size": 4.0}, story)


def test_delayed_reports_show_a_past_load(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        busy = [asyncio.ensure_future(ask(work=600_000, fresh=True)) for _ in range(3)]
        await wait_until(host, FAULT_AT - 0.02)
        assert b"inflight=3" in BODY_STARTS[id(await ask("/-/load"))]
        await wait_until(host, FAULT_AT + 0.05)
        assert b"inflight=0" in BODY_STARTS[id(await ask("/-/load"))]  # as of 2 s ago
        for task in busy:
            task.cancel()

    play_with_host(tmp_path, {"what": "report-delay", "size": 2.0}, story)


def test_a_restarted_host_is_cold(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        await wait_until(host, FAULT_AT + 0.45)  # killed, and back 0.3 s later
        began = now_us()
        assert (await ask(work=20_000)).status == 200
        assert now_us() - began >= 70_000

    found = play_with_host(tmp_path, {"what": "cold"}, story, cold={"share": 0.2, "warm_s": 30.0})
    assert [r.host for r in found if isinstance(r, records.Started)] == ["front-std-0"]


def test_answers_carry_load_reports_if_configured_and_rejections_say_that_nothing_ran(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        busy = [asyncio.ensure_future(ask(work=400_000, fresh=True)) for _ in range(2)]
        await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection(*host.address)
        for target, status, field in (
            ("", b"503", b"X-Not-Run: 1"),
            ("", b"503", b"X-Load: TEXT inflight=2"),
            ("/-/healthy", b"200", b"Content-Length: 0"),
        ):
            writer.write(
                f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                if target
                else request_bytes(StageAsk("q", "r", 0, 0, "", 1000, 1_000_000), host.stage.scenario)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert status in head and field in head
        writer.close()
        await asyncio.gather(*busy)

    kinds = [{"name": "std", "count": 2, "slots": 1, "queue": 1}]
    play_with_host(
        tmp_path,
        {"what": "slow", "size": 1.0},
        story,
        tier=[{"name": "front", "proxies": 1, "kind": kinds}],
        reports={"source": "answers", "delay_ms": 0.0, "period_ms": 10.0},
    )


def test_closing_a_connection_cancels_its_work_and_connections_have_a_cap(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        assert (await ask(work=5_000_000, wait=0.1, fresh=True)).trouble == "silent"
        await asyncio.sleep(0.05)
        assert host.model.inflight == 0
        seen = await asyncio.gather(*(ask(work=50_000, fresh=True) for _ in range(5)))
        assert sorted(reply.status for reply in seen) == [0, 200, 200, 200, 200]

    found = play_with_host(tmp_path, {"what": "slow", "size": 1.0}, story)
    assert "cancelled" in [r.ended_by for r in found if isinstance(r, records.LegRecord)]


@pytest.mark.parametrize(
    ("fault", "expected_counters"),
    [
        ({"what": "kill", "part": 0.5}, "legs_reset legs_connect_failed"),
        ({"what": "stop", "part": 0.5}, "legs_cancelled legs_timeout"),
        ({"what": "reset", "part": 0.5}, "legs_reset"),
        ({"what": "spoil", "part": 0.5}, "legs_reset"),
        ({"what": "half-open", "part": 0.5}, "legs_cancelled legs_timeout legs_connect_failed"),
        ({"what": "discovery-down"}, "watches_ended"),
        ({"what": "discovery-lie"}, "lists_changes"),
        ({"what": "proxy-restart", "part": 1.0}, ""),
        ({"what": "proxy-kill", "part": 1.0}, ""),
    ],
    ids=lambda v: v["what"] if isinstance(v, dict) else None,
)
def test_a_proxy_counts_a_fault_and_breaks_no_rule(
    tmp_path: Path, fault: dict[str, Any], expected_counters: str
) -> None:
    lab_scenario = scenario(
        seconds=3.0,
        load={"rate": 60.0},
        clients={"retries": 2, "notice_s": 0.1},
        connections={"idle_s": 1.2},
        fault=[{"at_s": 0.8, "for_s": 1.2} | fault],
    )
    result = play(lab_scenario, tmp_path)
    assert result.verdict.is_clean, result.verdict
    counted = counters(tmp_path)["front-p0"]
    assert not expected_counters or any(counted.get(name) for name in expected_counters.split()), counted
    lives = [r.state for r in records.read([tmp_path / "records-run.jsonl"]) if isinstance(r, records.ProxyStateChange)]
    ends = {"proxy-kill": ["killed", "ready"], "proxy-restart": ["stopping", "ended", "ready"]}.get(fault["what"], [])
    assert lives == ["ready", *ends]


def test_late_discovery_delays_notices_and_a_false_notice_is_withdrawn() -> None:
    deploy = {"what": "deploy", "at_s": 0.5, "for_s": 0.1, "part": 0.5, "batch": 1.0, "drain_s": 1.0}
    usual, late = (
        plan(scenario(seconds=9.0, fault=[deploy, *more]))
        for more in ([], [{"what": "discovery-late", "at_s": 0.0, "for_s": 9.0, "size": 2.5}])
    )
    drains = [[n.at for n in p.notices if n.state == "DRAINING"] for p in (usual, late)]
    assert drains == [[700_000], [3_200_000]]
    lie = plan(scenario(seconds=9.0, fault=[deploy, {"what": "discovery-lie", "at_s": 3.0, "for_s": 1.0}]))
    assert [(n.at, n.state) for n in lie.notices if n.host == "front-phantom"] == [
        (3_000_000, "SERVING"),
        (4_000_000, "DELETED"),
    ]
    gone = next(h.name for h in lie.hosts if h.drain != NEVER)
    assert [n.state for n in lie.notices if n.host == gone] == ["DRAINING", "DELETED", "SERVING", "DELETED"]


def test_discovery_has_bounded_capacity_and_sends_changes_or_the_full_list() -> None:
    desk = CallQueue(call_s=0.5, timeout_s=1.0)
    assert [desk.wait(10.0) for _ in range(4)] == [0.5, 1.0, 1.5, None]
    assert desk.wait(12.0) == 0.5
    registry = Registry(list(plan(scenario()).hosts), ("a",), ["std"])
    assert registry.since(0) == (True, ["front-std-0", "front-std-1"])
    assert registry.apply(Notice(at=0, host="front-std-0", state="DRAINING"))
    assert not registry.apply(Notice(at=0, host="front-std-0", state="DRAINING"))
    assert (registry.version, registry.since(1), registry.since(2)) == (2, (False, ["front-std-0"]), (False, []))
    assert registry.entry("front-std-0", "x:1", 0.0)["state"] == "DRAINING"


def test_a_late_drain_notice_reaches_a_proxy_late_and_takes_effect_then(tmp_path: Path) -> None:
    faults = [
        {"what": "deploy", "at_s": 0.3, "for_s": 0.1, "part": 0.5, "batch": 1.0, "drain_s": 2.5},
        {"what": "discovery-late", "at_s": 0.0, "for_s": 3.0, "size": 1.0},
    ]
    result = play(scenario(seconds=3.0, fault=faults), tmp_path)
    assert result.verdict.is_clean, result.verdict
    notices = [
        r
        for r in records.read([tmp_path / "records-discovery.jsonl"])
        if isinstance(r, records.DiscoveryNotice) and r.state == "DRAINING"
    ]
    assert notices and all(r.at >= 1_500_000 for r in notices)
    seen = [
        r
        for r in records.read(tmp_path.glob("records-hosts-*.jsonl"))
        if isinstance(r, records.LegRecord) and r.host == notices[0].host
    ]
    assert any(500_000 < r.first < 1_500_000 for r in seen)  # the host was used until the notice arrived
    assert not [r for r in seen if r.first > notices[0].at + 1_200_000]
