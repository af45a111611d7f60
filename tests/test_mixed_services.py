"""A proxy on loopback in front of services of both kinds, with stand-in backends that report what they received."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import msgspec
import uvloop

from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.transport.messages import Backend

ENGINE = {"capacity": 4, "cache_tokens": 90_000, "token_bytes": 1000, "link_mbps": 100_000.0}
LIMIT_S = 15.0


def route(host: str, **fields: Any) -> dict[str, Any]:
    """A route of everything on a host."""
    limits = {"timeout_ms": 3000, "goal_ms": 300, "tries": 1}
    return {"name": host, "hostname": host, "path_prefix": "/", "variant": "effectful", **limits, **fields}


def document(revision: int, engine_of_status: dict[str, Any] | None = None) -> bytes:
    """A staged service and a plain one, each with a route, and a route to both by shares."""
    status: dict[str, Any] = {"name": "status"}
    if engine_of_status is not None:
        status["engine"] = engine_of_status
    shares = [{"target": "status", "share": 60}, {"target": "model", "share": 40}]
    routes = [
        route("status.example", target="status"),
        route("model.example", target="model", variant="streaming"),
        route("both.example", branches=shares),
    ]
    services = [{"name": "model", "engine": ENGINE}, status]
    return msgspec.json.encode({"revision": revision, "services": services, "routes": routes})


class StandIn:
    """A backend that answers 200 or a given status, and records the heads of its requests."""

    def __init__(self, name: str, service: str, stage: str) -> None:
        self.name, self.service, self.stage = name, service, stage
        self.heads: list[dict[str, str]] = []
        self.is_full = False
        self.address = ""

    async def serve(self) -> asyncio.Server:
        """Listen."""
        server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        return server

    def record(self, phase: str = "ready", call_seq: int = 1) -> Backend:
        """The record that its heartbeats yield."""
        return Backend(self.name, self.service, self.address, "z", self.stage, 4, phase, call_seq)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                text = (await reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            lines = [line.partition(": ") for line in text.split("\r\n")[1:] if line]
            head = {name.lower(): value for name, _, value in lines}
            await reader.readexactly(int(head.get("content-length", "0")))
            self.heads.append(head)
            mark = "X-Not-Run: 1" if self.is_full else "X-Server-Seal: s"
            status, body = ("503 Full" if self.is_full else "200 OK"), self.name.encode()
            head_text = f"HTTP/1.1 {status}\r\nX-Attempt-Id: {head['x-attempt-id']}\r\n{mark}\r\n"
            writer.write(f"{head_text}Content-Length: {len(body)}\r\n\r\n".encode() + body)


Scenario = Callable[[Proxy, "Client", dict[str, StandIn]], Awaitable[None]]


class Client:
    """Sends one request at a time, each on its own connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address, self._sent = address, 0

    async def ask(self, host: str) -> tuple[int, str]:
        """The status and the body of the answer."""
        self._sent += 1
        reader, writer = await asyncio.open_connection(*self._address)
        head = f"POST /x HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: t{self._sent}\r\nX-Deadline-Left: 3000\r\n"
        writer.write(f"{head}Content-Length: 2\r\n\r\nhi".encode())
        answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status, _, fields = answer.partition("\r\n")
        length = next((line for line in fields.split("\r\n") if line.startswith("content-length:")), "")
        body = await reader.readexactly(int(length.partition(":")[2])) if length else await read_chunk(reader)
        writer.close()
        return int(status.split()[1]), body.decode()


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """The body of an answer in one chunk."""
    size = int(await reader.readline(), 16)
    return await reader.readexactly(size)


def run_scenario(scenario: Scenario) -> None:
    """Run a proxy with two plain backends and one of each stage."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        stand_ins = [StandIn("a", "status", ""), StandIn("b", "status", ""), StandIn("d", "model", "decode")]
        backends = {one.name: one for one in (*stand_ins, StandIn("p", "model", "prefill"))}
        servers = [await one.serve() for one in backends.values()]
        proxy = Proxy(RetryRule(0.2, 50.0, 10.0, True), Random(1), loop.time())
        assert proxy.configure(document(1))
        proxy.learn([one.record() for one in backends.values()])
        front = await loop.create_server(proxy.front, "127.0.0.1", 0)
        try:
            async with asyncio.timeout(LIMIT_S):
                await scenario(proxy, Client(front.sockets[0].getsockname()), backends)
        finally:
            for server in (front, *servers):
                server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def test_each_service_is_served_by_its_own_backends() -> None:
    async def scenario(proxy: Proxy, client: Client, backends: dict[str, StandIn]) -> None:
        plain = Counter([await client.ask("status.example") for _ in range(30)])
        assert plain.keys() == {(200, "a"), (200, "b")}
        assert [await client.ask("model.example") for _ in range(5)] == [(200, "d")] * 5
        both = Counter([(await client.ask("both.example"))[1] for _ in range(60)])
        assert both.keys() == {"a", "b", "d"} and both["d"] < 40
        for name, one in backends.items():
            assert all(head["x-target-instance"] == name for head in one.heads)
            assert not any("x-stage" in head or "kv-from" in head for head in one.heads)
        assert not backends["p"].heads and proxy.counters["served"] == 95

    run_scenario(scenario)


def test_a_full_backend_leads_to_refusals_while_the_other_serves() -> None:
    async def scenario(proxy: Proxy, client: Client, backends: dict[str, StandIn]) -> None:
        backends["a"].is_full = True
        found = Counter([await client.ask("status.example") for _ in range(40)])
        assert {status for status, _ in found} == {200, 503}, (
            "the route has one try, so a request that did not run is refused"
        )
        assert found[200, "b"] == len(backends["b"].heads)
        assert len(backends["a"].heads) + len(backends["b"].heads) == 40, "nothing is sent twice"

    run_scenario(scenario)


def test_draining_and_ended_backends_get_no_requests() -> None:
    async def scenario(proxy: Proxy, client: Client, backends: dict[str, StandIn]) -> None:
        await client.ask("status.example")
        proxy.learn([backends["a"].record("draining", 2)])
        before = len(backends["a"].heads)
        assert {await client.ask("status.example") for _ in range(20)} == {(200, "b")}
        proxy.learn([backends["b"].record("gone", 2)])
        assert (await client.ask("status.example"))[0] == 503
        assert len(backends["a"].heads) == before

    run_scenario(scenario)


def test_a_service_changes_its_kind_by_a_configuration() -> None:
    async def scenario(proxy: Proxy, client: Client, backends: dict[str, StandIn]) -> None:
        assert (await client.ask("status.example"))[0] == 200
        assert proxy.configure(document(2, ENGINE))
        assert (await client.ask("status.example"))[0] == 503, "its backends report no stage"
        staged = StandIn("e", "status", "decode")
        server = await staged.serve()
        proxy.learn([staged.record()])
        assert {await client.ask("status.example") for _ in range(10)} == {(200, "e")}
        assert proxy.configure(document(3))
        assert {(await client.ask("status.example"))[1] for _ in range(30)} == {"a", "b"}
        server.close()

    run_scenario(scenario)
