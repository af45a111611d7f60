"""Evacuation of a zone: from the operator's call to proxies that send nothing more there, and back."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_control_cut_off import IPS, three
from test_control_program import ONE, PROXY, REPLACE, caller, controller, play, proxy
from test_delivery import backend, join, made
from test_flat_over_changes import DataPlane
from test_proxy import ANSWER, REQUEST, ask
from test_proxy import DOCUMENT as ROUTED
from test_proxy import run_scenario as run_proxy_scenario

from cranebank.dataplane.backend_connections import Connection
from cranebank.dataplane.backend_pool import Pool
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.invariants import violations
from cranebank.membership.fleet import FleetLinks
from cranebank.programs import command
from cranebank.transport.messages import Backend, Evacuations, EvacuationsAck, Hello, Message, Push

START, FINISH = "/api/Evacuation.Start/", "/api/Evacuation.Finish/"
ACKNOWLEDGED_S = 1.0  # time limit without faults, by the operators' pages
ZONES = ("y", "z")  # the latter is the controllers' zone, too


def sent_numbers(messages: list[tuple[object, Message]]) -> list[tuple[object, int]]:
    return [(link, message.number) for link, message in messages if isinstance(message, Evacuations)]


# What controllers send to proxies.


def test_proxies_get_an_evacuation_once_and_late_joiners_before_the_backends() -> None:
    delivery = made(2)
    delivery.update_evacuations(0, ())
    assert delivery.pop_messages() == [], "no zone was evacuated"
    delivery.update_evacuations(3, ("x",))
    delivery.update_evacuations(3, ("x",))
    delivery.update_evacuations(2, ("y",))
    assert sent_numbers(delivery.pop_messages()) == [(0, 3), (1, 3)]
    join(delivery, 1, 2, records=(backend("a"),))
    kinds = [type(message) for _, message in delivery.pop_messages()]
    assert kinds.index(Evacuations) < kinds.index(Push)


def test_an_evacuation_waits_for_those_that_have_not_acknowledged_it_and_are_linked() -> None:
    delivery = made(3)
    assert delivery.await_evacuations().done
    delivery.update_evacuations(1, ("x",))
    delivery.acknowledged_evacuations(0, 1)
    acks = delivery.await_evacuations()
    assert acks.missing == 2
    delivery.acknowledged_evacuations(1, 0)
    assert acks.missing == 2
    delivery.acknowledged_evacuations(1, 2)
    delivery.leave(2)
    assert acks.done


# Where proxies send requests.

steps_of_backends = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.sampled_from(["ready", "ready", "draining", "lost", "gone"]),
        st.sets(st.sampled_from(ZONES)),
    ),
    max_size=25,
)


def placed(number: int, phase: str, call_seq: int) -> Backend:
    """Backends in two zones; the last two share an address."""
    return Backend(f"b{number}", "s", f"10.0.0.{min(number, 3)}:1", ZONES[number % 2], "decode", 4, phase, call_seq)


@given(steps_of_backends)
def test_backends_of_an_evacuated_zone_are_not_offered_until_it_is_restored(
    steps: list[tuple[int, str, set[str]]],
) -> None:
    evacuating, plain = Candidates(), Candidates()
    for now, (number, phase, zones) in enumerate(steps):
        for candidates in (evacuating, plain):
            candidates.merge([placed(number, phase, now + 1)], float(now))
        evacuating.evacuate(now, frozenset(zones))
        offered = [view.backend for view in evacuating.ready(now, "s", "decode")]
        assert not any(record.zone in zones or not evacuating.may_take(record.id) for record in offered)
        ready = {view.backend.id for view in plain.ready(now, "s", "decode") if view.backend.phase == "ready"}
        assert {one.id for one in offered} >= {name for name in ready if plain.records[name].zone not in zones}
        assert evacuating.any_ready() == plain.any_ready()
    evacuating.evacuate(99, frozenset())
    for candidates in (evacuating, plain):
        candidates.restore_zones(99, frozenset())
    assert {one.backend.id for one in evacuating.ready(99, "s", "decode")} == {
        one.backend.id for one in plain.ready(99, "s", "decode")
    }
    assert not violations()


def test_a_proxy_that_is_cut_off_with_an_evacuated_zone_uses_it_while_most_others_fail() -> None:
    candidates = Candidates()
    places = [("a", "x"), ("b", "y"), ("c", "y"), ("d", "z")]
    candidates.merge([msgspec.structs.replace(placed(0, "ready", 1), id=name, zone=zone) for name, zone in places])
    candidates.evacuate(1.0, frozenset("x"))

    def offered(now: float) -> set[str]:
        return {view.backend.id for view in candidates.ready(now, "s", "decode")}

    candidates.has_lost_contact = lambda: True
    candidates.failed(1.0, "b")
    assert offered(1.0) == {"c", "d"}
    candidates.failed(1.0, "c")
    assert offered(1.0) == offered(9.0) == {"a"} and candidates.may_take("a")
    candidates.answered(9.0, "c")
    assert offered(9.0) == {"b", "c", "d"}
    candidates.failed(9.0, "c")
    candidates.has_lost_contact = lambda: False
    assert "a" not in offered(9.0) and not candidates.may_take("a")


def test_caches_of_the_listed_backends_notice_an_evacuation() -> None:
    candidates = Candidates()
    candidates.merge([placed(number, "ready", 1) for number in range(4)])
    listed, version = candidates.ready(0.0, "s", "decode"), candidates.version
    candidates.evacuate(0.0, frozenset("z"))
    assert candidates.version > version or candidates.ready(0.0, "s", "decode") is not listed
    version = candidates.version
    candidates.evacuate(0.0, frozenset())
    assert candidates.version > version


def test_older_evacuations_change_nothing_at_a_proxy() -> None:
    async def scenario(data_plane: Proxy, address: tuple[str, int]) -> None:
        assert data_plane.evacuate(2, ["z"]) == 2
        assert data_plane.evacuate(1, []) == data_plane.evacuate(2, []) == 2
        assert data_plane.evacuated == {"z"}

    run_proxy_scenario(scenario)


def test_a_request_for_a_service_of_an_evacuated_zone_alone_is_refused_and_served_again_after_the_finish() -> None:
    async def scenario(data_plane: Proxy, address: tuple[str, int]) -> None:
        assert EVENT_OF_BACKEND in await ask(address)
        data_plane.evacuate(1, ["z"])
        sent = data_plane.counters["makes"]
        assert await status(address) == 503
        assert data_plane.ready and data_plane.counters["makes"] == sent
        data_plane.evacuate(2, [])
        assert EVENT_OF_BACKEND in await ask(address)

    run_proxy_scenario(scenario)


async def status(address: tuple[str, int]) -> int:
    """The status of the answer to a request."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(REQUEST)
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1])


EVENT_OF_BACKEND = ANSWER.partition(b"\r\n\r\n")[2].splitlines()[1]


def test_a_request_whose_backend_is_evacuated_while_it_is_dialled_never_reaches_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    written: list[bytes] = []
    dial, call = Pool.dial, Connection.call

    async def evacuated_meanwhile(self: Pool, backend: Backend) -> Connection:
        found = await dial(self, backend)
        PROXIES[-1].evacuate(1, [backend.zone])
        return found

    def noted(self: Connection, *args: object) -> None:
        written.append(b"a request")
        call(self, *args)  # type: ignore[arg-type]

    monkeypatch.setattr(Pool, "dial", evacuated_meanwhile)
    monkeypatch.setattr(Connection, "call", noted)

    async def scenario(data_plane: Proxy, address: tuple[str, int]) -> None:
        PROXIES.append(data_plane)
        assert await status(address) == 503
        assert written == []

    run_proxy_scenario(scenario)


PROXIES: list[Proxy] = []


def test_no_handle_is_freed_at_a_backend_of_an_evacuated_zone(monkeypatch: pytest.MonkeyPatch) -> None:
    freed: list[str] = []
    monkeypatch.setattr(Pool, "free", lambda self, backend, handle: freed.append(handle))

    async def scenario(data_plane: Proxy, address: tuple[str, int]) -> None:
        (record,) = data_plane.shared.candidates.known()
        data_plane.free(record, "first")
        data_plane.evacuate(1, ["z"])
        data_plane.free(record, "second")
        assert freed == ["first"]

    run_proxy_scenario(scenario)


# The operator's call, and links.


def test_an_evacuation_is_acknowledged_when_proxies_have_it_and_again_when_it_is_sent_again(tmp_path: Path) -> None:
    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports), proxy(ports) as edge, caller(ports) as client:
            answering = asyncio.create_task(client.call("POST", START + "z"))
            assert await edge.next(Evacuations) == Evacuations(1, ("z",))
            assert not answering.done()
            edge.send(EvacuationsAck(1))
            assert (await answering)[0] == 200
            assert (await client.call("POST", START + "z"))[0] == 200
            overview = json.loads((await client.call("GET", "/api/System.Status"))[2])
            assert (overview["evacuated"], overview["evacuation_number"]) == (["z"], 1)
            edge.send(EvacuationsAck(2))
            assert (await client.call("POST", FINISH + "z"))[0] == 200
            assert await edge.next(Evacuations) == Evacuations(2, ())

    play(scenario)


def test_a_silent_proxy_holds_up_no_acknowledgement(tmp_path: Path) -> None:
    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports), proxy(ports), caller(ports) as client:
            async with asyncio.timeout(ACKNOWLEDGED_S):
                assert (await client.call("POST", START + "z"))[0] == 200

    play(scenario)


def test_an_unknown_zone_is_refused_and_a_backends_zone_is_accepted(tmp_path: Path) -> None:
    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as running, caller(ports) as client:
            status, _, fault = await client.call("POST", START + "nowhere")
            assert (status, json.loads(fault)["key"]) == (400, "zone")
            running.registry.merge(0.0, [Backend("i", "s", "10.0.0.9:80", "nowhere", "", 1, "ready", 1)])
            assert (await client.call("POST", START + "nowhere"))[0] == 200
        async with controller(tmp_path, ports), caller(ports) as client:
            assert (await client.call("GET", START + "z"))[0] == 405

    play(scenario)


def test_the_command_evacuates_and_restores_a_zone_and_reports_errors(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as running:
            address, odd = f"{ONE}:{ports[1]}", "z / \u00e9"
            running.registry.merge(0.0, [Backend("i", "s", "10.0.0.9:80", odd, "", 1, "ready", 1)])
            for zone, change, code in ((odd, "start", 0), (odd, "finish", 0), ("z", "start", 0), ("y", "start", 2)):
                assert await asyncio.to_thread(command.main, ["evacuate", zone, change, address]) == code
            assert running.evacuated() == ("z",)
            assert await asyncio.to_thread(command.main, ["show", address]) == 0

    play(scenario)
    output = capsys.readouterr()
    assert "unknown_zone" in output.err and "evacuated     z" in output.out


def test_only_the_primary_confirms_an_evacuation(tmp_path: Path) -> None:
    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports, leader="127.0.11.77"), caller(ports) as client:
            for path in (START + "z", FINISH + "z", START + "nowhere"):
                status, headers, _ = await client.call("POST", path)
                assert (status, headers["retry-after"]) == (503, "0.2")

    play(scenario)


class Sink:
    """Backends, one in each zone, that count the requests they get."""

    def __init__(self) -> None:
        self.requests = dict.fromkeys(ZONES, 0)
        self.records: list[Backend] = []
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        for zone in ZONES:
            server = await asyncio.start_server(self._serving(zone), "127.0.0.1", 0)
            self._servers.append(server)
            address = "{}:{}".format(*server.sockets[0].getsockname())
            self.records.append(Backend(zone, "svc", address, zone, "decode", 4, "ready", 1))

    def _serving(self, zone: str) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(1 << 16):
                self.requests[zone] += 1
                writer.write(ANSWER)

        return serve

    def stop(self) -> None:
        for server in self._servers:
            server.close()


@asynccontextmanager
async def serving(sink: Sink) -> AsyncIterator[tuple[Proxy, tuple[str, int]]]:
    """A proxy in front of the sink, not linked yet."""
    loop = asyncio.get_running_loop()
    await sink.start()
    data_plane = Proxy(RetryRule(0.2, 50.0, 10.0, True), Random(1), loop.time())
    data_plane.learn(sink.records)
    front = await loop.create_server(data_plane.front, "127.0.0.1", 0)
    try:
        yield data_plane, front.sockets[0].getsockname()
    finally:
        front.close()
        sink.stop()


def linked(data_plane: Proxy, ports: tuple[int, int], ips: tuple[str, ...]) -> FleetLinks:
    hello = Hello("edge-1", "proxy", PROXY, "z", 1, data_plane.revision, ())
    links = FleetLinks(DataPlane(data_plane), lambda: hello, PROXY, ports[0])
    links.name(ips)
    return links


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


async def requests_reach(sink: Sink, address: tuple[str, int], count: int = 20) -> set[str]:
    """The zones whose backends get so many requests."""
    before = dict(sink.requests)
    for _ in range(count):
        assert EVENT_OF_BACKEND in await ask(address)
    return {zone for zone in ZONES if sink.requests[zone] > before[zone]}


def test_a_proxy_that_was_cut_off_during_an_evacuation_sends_nothing_there_once_it_is_back(tmp_path: Path) -> None:
    async def scenario(ports: tuple[int, int]) -> None:
        sink = Sink()
        async with controller(tmp_path, ports), serving(sink) as (data_plane, address):
            data_plane.configure(ROUTED)
            assert await requests_reach(sink, address) == set(ZONES)
            async with caller(ports) as client:
                assert (await client.call("POST", START + "z"))[0] == 200
                assert await requests_reach(sink, address) == set(ZONES), (
                    "the proxy is cut off and knows of no evacuation"
                )
                links = linked(data_plane, ports, (ONE,))
                await until(lambda: data_plane.evacuation_number == 1)
                assert await requests_reach(sink, address) == {"y"}
                links.stop()
                assert await requests_reach(sink, address) == {"y"}, (
                    "a proxy that is cut off keeps to the evacuations that it knows"
                )
                assert (await client.call("POST", FINISH + "z"))[0] == 200
                links = linked(data_plane, ports, (ONE,))
                await until(lambda: data_plane.evacuation_number == 2)
                assert await requests_reach(sink, address) == set(ZONES)
                links.stop()

    play(scenario)


def test_an_acknowledged_evacuation_outlives_the_death_of_the_primary_and_of_all_processes(tmp_path: Path) -> None:
    """Real processes: the primary is killed right after the answer, and later all of them at once."""

    async def scenario(ports: tuple[int, int]) -> None:
        sink = Sink()
        async with three(tmp_path, ports) as controllers, serving(sink) as (data_plane, address):
            links = linked(data_plane, ports, IPS)
            assert (await controllers.follow("POST", REPLACE, ROUTED, 0))[0][0] == 200
            await until(lambda: data_plane.revision == 3)
            loop = asyncio.get_running_loop()
            since = loop.time()
            answer, primary = await controllers.follow("POST", START + "z")
            assert answer[0] == 200 and loop.time() - since < ACKNOWLEDGED_S
            assert await requests_reach(sink, address) == {"y"}
            await controllers.kill(primary)
            rest = tuple(ip for ip in IPS if ip != primary)
            assert (await controllers.follow("POST", START + "z", ips=rest))[0][0] == 200
            for ip in rest:
                await controllers.kill(ip)
            links.stop()
            # In place of a restart of the proxy, after which it knows of none
            data_plane.evacuate(data_plane.evacuation_number + 1, ())
            data_plane.evacuation_number = 0
            await asyncio.gather(*(controllers.start(ip, is_first_start=False) for ip in IPS))
            links = linked(data_plane, ports, IPS)
            await until(lambda: data_plane.evacuation_number == 1)
            assert await requests_reach(sink, address) == {"y"}
            assert (await controllers.follow("POST", FINISH + "z"))[0][0] == 200
            await until(lambda: data_plane.evacuation_number == 2)
            assert await requests_reach(sink, address) == set(ZONES)
            links.stop()

    play(scenario, 40.0)
