"""Each fault of the plan as a proxy would see it: from a connection to the stand-in, or from the proxy itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from labs import counters, play, scenario

from cranebank.lab import records
from cranebank.lab.child import Part
from cranebank.lab.discovery import Desk, Registry
from cranebank.lab.exchange import Incoming, Pool, now_us, request_bytes
from cranebank.lab.hosts import SocketHost, SocketStage
from cranebank.lab.plan import NEVER, Notice, plan
from cranebank.lab.scenario import Scenario
from cranebank.lab.stage import Ask as Wanted
from cranebank.lab.stage import Reply

Ask = Callable[..., Awaitable[Reply]]
BODIES: dict[int, bytes] = {}  # by the identity of the reply
FAULT_AT, UNTIL = 0.15, 0.65


def beside(
    tmp_path: Path, fault: dict[str, Any], story: Callable[[SocketHost, Ask], Awaitable[None]], **changes: Any
) -> list[records.Record]:
    """A stand-in host that suffers a fault from 0.15 to 0.65 s, and a way to ask it; its records."""
    told: Scenario = scenario(
        **{
            "seconds": 5.0,
            "connections": {"handshake_ms": 0.0, "cap": 4},
            "reports": {"delay_ms": 0.0, "period_ms": 10.0},
            "fault": [{"at_s": FAULT_AT, "for_s": UNTIL - FAULT_AT, "hosts": ["front-std-0"]} | fault],
        }
        | changes
    )
    path = tmp_path / "records.jsonl"

    async def whole() -> None:
        stage = SocketStage(Part(scenario=told, plan=plan(told), records=str(path)))
        host = SocketHost(stage, stage.plan.hosts[0], ("127.0.0.1", 0))
        await host.listen()
        stage.t0, host.up = now_us(), True
        host.live()
        pool, number = Pool(), iter(range(1000))

        async def ask(target: str = "", work: int = 10_000, wait: float = 3.0, fresh: bool = False) -> Reply:
            got: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
            data = (
                f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
                if target
                else request_bytes(Wanted(f"q{next(number)}", "r", 0, 0, "", work, 2_000_000), told)
            )
            asking = (Pool() if fresh else pool).ask(host.address, data, "", 0, got.set_result)
            try:
                async with asyncio.timeout(wait):
                    reply = await got
                    BODIES[id(reply)] = asking.body_start
                    return reply
            except TimeoutError:
                asking.leave()
                return Reply(trouble="silent")
            except asyncio.CancelledError:
                asking.leave()
                raise

        await story(host, ask)
        host.last()
        stage.writer.close()
        pool.close()
        host.kill()

    asyncio.run(whole())
    return records.read([path])


async def at(host: SocketHost, seconds: float) -> None:
    """Wait for a time of the run; a later one is past already."""
    await asyncio.sleep(max(0.0, seconds - host.stage.now() / 1e6))


@pytest.mark.parametrize(
    ("fault", "open_one", "fresh_one"),
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
def test_what_a_proxy_sees_of_a_fault(tmp_path: Path, fault: dict[str, Any], open_one: str, fresh_one: str) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        assert (await ask()).status == 200  # one connection is open now
        late = 0.46 if fault["what"] == "pause" else 0.0  # its stalls begin at a time drawn by the seed
        await at(host, FAULT_AT + 0.02 + late)
        seen = await asyncio.gather(ask(wait=0.1), ask(wait=0.1, fresh=True))
        assert [reply.trouble for reply in seen] == [open_one, fresh_one]
        await at(host, UNTIL + 0.6)
        assert (await ask(fresh=True)).status == 200  # it is over

    beside(tmp_path, fault, story)


def test_who_connects_as_a_host_ends_is_told_so(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        def accepted(listener: SocketHost) -> Incoming:  # it is let in, and the host ends before its protocol is made
            host.kill()
            return Incoming(listener)

        monkeypatch.setattr("cranebank.lab.hosts.Incoming", accepted)
        assert (await ask(fresh=True)).trouble == "broke"

    beside(tmp_path, {"what": "slow", "size": 1.0}, story)


def test_a_host_that_is_stopped_ends_what_it_held_once_it_goes_on_and_one_cut_off_does_not(tmp_path: Path) -> None:
    for what, expected in (("stop", 200), ("half-open", 0)):

        async def story(host: SocketHost, ask: Ask, expected: int = expected) -> None:
            await at(host, FAULT_AT - 0.05)
            reply = await ask(work=100_000)
            assert reply.status == expected
            assert host.stage.now() >= UNTIL * 1e6

        beside(tmp_path, {"what": what}, story)


def test_a_slow_host_takes_so_many_times_longer(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        took = []
        for _ in range(2):
            began = now_us()
            await ask(work=60_000)
            took.append(now_us() - began)
            await at(host, FAULT_AT + 0.01)
        assert took[1] >= 240_000 > took[0] >= 60_000

    beside(tmp_path, {"what": "slow", "size": 4.0}, story)


def test_delayed_reports_tell_what_was(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        busy = [asyncio.ensure_future(ask(work=600_000, fresh=True)) for _ in range(3)]
        await at(host, FAULT_AT - 0.02)
        assert b"inflight=3" in BODIES[id(await ask("/-/load"))]
        await at(host, FAULT_AT + 0.05)
        assert b"inflight=0" in BODIES[id(await ask("/-/load"))]  # as of 2 s ago
        for task in busy:
            task.cancel()

    beside(tmp_path, {"what": "report-delay", "size": 2.0}, story)


def test_a_host_started_anew_is_cold(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        await at(host, FAULT_AT + 0.45)  # killed, and back 0.3 s later
        began = now_us()
        assert (await ask(work=20_000)).status == 200
        assert now_us() - began >= 70_000

    found = beside(tmp_path, {"what": "cold"}, story, cold={"share": 0.2, "warm_s": 30.0})
    assert [r.host for r in found if isinstance(r, records.Started)] == ["front-std-0"]


def test_reports_come_with_answers_where_the_scenario_says_so_and_refusals_say_that_nothing_ran(tmp_path: Path) -> None:
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
                else request_bytes(Wanted("q", "r", 0, 0, "", 1000, 1_000_000), host.stage.scenario)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert status in head and field in head
        writer.close()
        await asyncio.gather(*busy)

    kinds = [{"name": "std", "count": 2, "slots": 1, "queue": 1}]
    beside(
        tmp_path,
        {"what": "slow", "size": 1.0},
        story,
        tier=[{"name": "front", "proxies": 1, "kind": kinds}],
        reports={"source": "answers", "delay_ms": 0.0, "period_ms": 10.0},
    )


def test_work_is_called_off_with_its_connection_and_connections_have_a_cap(tmp_path: Path) -> None:
    async def story(host: SocketHost, ask: Ask) -> None:
        assert (await ask(work=5_000_000, wait=0.1, fresh=True)).trouble == "silent"
        await asyncio.sleep(0.05)
        assert host.model.inflight == 0
        seen = await asyncio.gather(*(ask(work=50_000, fresh=True) for _ in range(5)))
        assert sorted(reply.status for reply in seen) == [0, 200, 200, 200, 200]

    found = beside(tmp_path, {"what": "slow", "size": 1.0}, story)
    assert "cancelled" in [r.ended_by for r in found if isinstance(r, records.Seen)]


@pytest.mark.parametrize(
    ("fault", "sign"),
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
def test_what_the_proxy_counts_of_a_fault_while_no_rule_breaks(
    tmp_path: Path, fault: dict[str, Any], sign: str
) -> None:
    told = scenario(
        seconds=3.0,
        load={"rate": 60.0},
        clients={"retries": 2, "notice_s": 0.1},
        connections={"idle_s": 1.2},
        fault=[{"at_s": 0.8, "for_s": 1.2} | fault],
    )
    result = play(told, tmp_path)
    assert result.verdict.kept, result.verdict
    counted = counters(tmp_path)["front-p0"]
    assert not sign or any(counted.get(name) for name in sign.split()), counted
    lives = [r.state for r in records.read([tmp_path / "records-run.jsonl"]) if isinstance(r, records.Life)]
    ends = {"proxy-kill": ["killed", "ready"], "proxy-restart": ["stopping", "ended", "ready"]}.get(fault["what"], [])
    assert lives == ["ready", *ends]


def test_late_news_of_a_drain_is_later_and_a_lie_is_planned_and_taken_back() -> None:
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


def test_discovery_has_bounded_capacity_and_tells_changes_or_all() -> None:
    desk = Desk(call_s=0.5, timeout_s=1.0)
    assert [desk.wait(10.0) for _ in range(4)] == [0.5, 1.0, 1.5, None]
    assert desk.wait(12.0) == 0.5
    registry = Registry(list(plan(scenario()).hosts), ("a",), ["std"])
    assert registry.since(0) == (True, ["front-std-0", "front-std-1"])
    assert registry.learn(Notice(at=0, host="front-std-0", state="DRAINING"))
    assert not registry.learn(Notice(at=0, host="front-std-0", state="DRAINING"))
    assert (registry.version, registry.since(1), registry.since(2)) == (2, (False, ["front-std-0"]), (False, []))
    assert registry.entry("front-std-0", "x:1", 0.0)["state"] == "DRAINING"


def test_late_news_of_a_drain_reaches_a_proxy_late_and_binds_it_from_then_on(tmp_path: Path) -> None:
    faults = [
        {"what": "deploy", "at_s": 0.3, "for_s": 0.1, "part": 0.5, "batch": 1.0, "drain_s": 2.5},
        {"what": "discovery-late", "at_s": 0.0, "for_s": 3.0, "size": 1.0},
    ]
    result = play(scenario(seconds=3.0, fault=faults), tmp_path)
    assert result.verdict.kept, result.verdict
    told = [
        r
        for r in records.read([tmp_path / "records-discovery.jsonl"])
        if isinstance(r, records.Told) and r.state == "DRAINING"
    ]
    assert told and all(r.at >= 1_500_000 for r in told)
    seen = [
        r
        for r in records.read(tmp_path.glob("records-hosts-*.jsonl"))
        if isinstance(r, records.Seen) and r.host == told[0].host
    ]
    assert any(500_000 < r.first < 1_500_000 for r in seen)  # it went on being used until the news came
    assert not [r for r in seen if r.first > told[0].at + 1_200_000]
