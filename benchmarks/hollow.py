"""What controllers cost as the fleet grows: ``python benchmarks/hollow.py [--proxies N] [--backends N] ...``.

Starts one or three real controllers, hollow proxies that share one process (real frames on real links: Hello, PushAck,
ConfigAck, Pulse), hollow backends that share another (heartbeats, drains, leaves over HTTP) and an operator who amends
the configuration. Loopback only (127.0.61.x and up). Ends by itself; prints one line of JSON. One run stays under 25 s
and uses no more than six processes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path
from typing import Any

import msgspec
import psutil
import uvloop
import yaml

sys.path.insert(0, str(Path(__file__).parents[1]))

from cranebank.transport.frames import HEADER_BYTES, encode
from cranebank.transport.messages import ConfigAck, Hello, LinkHeartbeat, PushAck, Welcome
from cranebank.transport.revision import msgpack_decoder

ROOT = Path(__file__).parents[1]
LINK_HEARTBEAT_INTERVAL_S = 0.4
CONNECTIONS = 100  # of backends to each controller, where they are held: many backends share one here
NOW = time.monotonic


class Plan(msgspec.Struct):
    """One run."""

    proxies: int = 10
    backends: int = 50
    controllers: int = 1
    beat_ms: float = 1200
    changes: float = 0.0  # backends a second that drain, leave and are replaced
    amends: float = 0.0  # a second, at most: each waits for the one before
    tenants: int = 50
    connect: str = "held"  # or each: a connection for each heartbeat
    acks: str = "one"  # ConfigAck goes to the controller that pushed, as proxies do, or to "all"
    warm_s: float = 5.0
    seconds: float = 8.0
    link_port: int = 0
    control_port: int = 0
    start: float = 0.0

    def ips(self) -> list[str]:
        """Of the controllers."""
        return [f"127.0.61.{number + 1}" for number in range(self.controllers)]


def quantiles(values: list[float]) -> dict[str, float]:
    """Median, p99 and most, in milliseconds."""
    found = sorted(values)
    if not found:
        return {}
    return {
        "count": len(found),
        "p50": round(1e3 * found[len(found) // 2], 1),
        "p99": round(1e3 * found[min(len(found) - 1, int(0.99 * len(found)))], 1),
        "most": round(1e3 * found[-1], 1),
    }


# Hollow proxies.


class LightPush(msgspec.Struct, tag=3, array_like=True):
    """A Push whose records are left as they came: hundreds of proxies share a process here."""

    number: int
    backends: msgspec.Raw


class LightConfigPush(msgspec.Struct, tag=5, array_like=True):
    """A ConfigPush whose document is left as it came."""

    revision: int
    document: msgspec.Raw


_decoder = msgpack_decoder(LightPush | LightConfigPush | Welcome | LinkHeartbeat)


class HollowLink(asyncio.Protocol):
    """One proxy's link to one controller."""

    def __init__(self, proxy: HollowProxy, controller: str) -> None:
        self.proxy, self.controller = proxy, controller
        self.held, self.wanted = bytearray(), HEADER_BYTES
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Say who we are."""
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        proxy = self.proxy
        self.send(Hello(proxy.name, "proxy", proxy.ip, "z", 1, proxy.revision))
        asyncio.get_running_loop().call_later(LINK_HEARTBEAT_INTERVAL_S, self.beat)

    def send(self, message: Any) -> None:
        """Send and count."""
        frame = encode(message)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(frame)
            self.proxy.counts.update({"out": len(frame), "messages_out": 1})

    def beat(self) -> None:
        """A sign of life."""
        if self.transport is not None and not self.transport.is_closing():
            self.send(LinkHeartbeat(self.proxy.revision))
            asyncio.get_running_loop().call_later(LINK_HEARTBEAT_INTERVAL_S, self.beat)

    def data_received(self, data: bytes) -> None:
        """Do as a proxy does, but keep nothing."""
        proxy = self.proxy
        proxy.counts["in"] += len(data)
        self.held += data
        while len(self.held) >= self.wanted:
            self.wanted = HEADER_BYTES + int.from_bytes(self.held[4:8], "big")
            if len(self.held) < self.wanted:
                return
            message = _decoder.decode(memoryview(self.held)[HEADER_BYTES : self.wanted].tobytes())
            del self.held[: self.wanted]
            self.wanted = HEADER_BYTES
            proxy.counts[type(message).__name__.removeprefix("Light")] += 1
            match message:
                case LightPush(number, _):
                    self.send(PushAck(number))
                case LightConfigPush(revision, _):
                    if revision > proxy.revision:
                        proxy.revision = revision
                        proxy.taken[revision] = NOW()
                    for link in proxy.links if proxy.plan.acks == "all" else [self]:
                        link.send(ConfigAck(proxy.revision))
                case Welcome(_, _, proxies):
                    proxy.told = proxies

    def connection_lost(self, exc: Exception | None) -> None:
        """Counted, and dialled again."""
        self.proxy.counts["links_lost"] += 1
        self.transport = None
        self.proxy.lost(self)


class HollowProxy:
    """One proxy."""

    def __init__(self, plan: Plan, number: int, counts: Counter[str]) -> None:
        self.plan, self.counts = plan, counts
        self.name, self.ip = f"edge-{number}", f"127.0.{62 + number // 200}.{1 + number % 200}"
        self.revision, self.told = 0, 0
        self.taken: dict[int, float] = {}
        self.links: list[HollowLink] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Dial every controller."""
        for ip in self.plan.ips():
            await self.dial(ip)

    async def dial(self, ip: str) -> None:
        """Until it answers."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                _, link = await loop.create_connection(
                    lambda: HollowLink(self, ip), ip, self.plan.link_port, local_addr=(self.ip, 0)
                )
            except OSError:
                await asyncio.sleep(0.2)
            else:
                self.links.append(link)
                return

    def lost(self, link: HollowLink) -> None:
        """A link ended."""
        self.links = [known for known in self.links if known is not link]
        task = asyncio.get_running_loop().create_task(self.dial(link.controller))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


async def hollow_proxies(plan: Plan) -> dict[str, Any]:
    """All of them; what they counted within the window."""
    counts: Counter[str] = Counter()
    proxies = [HollowProxy(plan, number, counts) for number in range(plan.proxies)]
    for first in range(0, len(proxies), 25):
        await asyncio.gather(*(proxy.start() for proxy in proxies[first : first + 25]))
        await asyncio.sleep(0.2)  # all of them share this process: it could not take every first push at once
    began = NOW()
    await asyncio.sleep(max(0.0, plan.start - NOW()))
    before, cpu = Counter(counts), time.process_time()
    await asyncio.sleep(plan.seconds)
    found = Counter(counts)
    found.subtract(before)
    cpu = time.process_time() - cpu
    await asyncio.sleep(1.0)
    last: dict[int, float] = {}
    for proxy in proxies:
        for revision, at in proxy.taken.items():
            last[revision] = max(last.get(revision, 0.0), at)
    everywhere = {revision: at for revision, at in last.items() if all(revision in p.taken for p in proxies)}
    return {
        "counts": dict(found),
        "cpu": cpu,
        "late_s": round(max(0.0, began - plan.start), 2),
        "told": min((p.told for p in proxies), default=0),
        "everywhere": everywhere,
    }


# Hollow backends.


class HttpCaller(asyncio.Protocol):
    """One held connection, one call at a time."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.answer: asyncio.Future[bytes] | None = None
        self.held = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It stands."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """An answer; our controllers always tell its length."""
        self.held += data
        head, found, body = self.held.partition(b"\r\n\r\n")
        if found:
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            if len(body) >= length and self.answer is not None and not self.answer.done():
                self.answer.set_result(head[9:12])
                self.held = b""

    def connection_lost(self, exc: Exception | None) -> None:
        """A call under way fails."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionError())

    async def call(self, data: bytes) -> bytes:
        """Its status."""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self.answer


class HollowBackends:
    """All of them: a heartbeat each ``beat_ms``, spread evenly."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.counts: Counter[str] = Counter()
        self.times: list[float] = []
        self.ends: list[float] = []
        self.free: dict[str, deque[HttpCaller]] = {ip: deque() for ip in plan.ips()}
        self.tasks: set[asyncio.Task[None]] = set()
        self.backends = [self.made(number) for number in range(plan.backends)]
        self.made_count = plan.backends
        self.is_measured = False

    def made(self, number: int) -> dict[str, Any]:
        """A backend; 28 in 100 read prompts."""
        host = f"10.{number // 60000}.{number // 250 % 250}.{1 + number % 250}:8000"
        return {
            "id": f"backend-{number:06d}-a1b2c3",
            "seq": 0,
            "address": host,
            "zone": f"zone-{number % 9}",
            "stage": "prefill" if number % 100 < 28 else "decode",
            "target": f"model-{number % 4}",
        }

    async def call(self, backend: dict[str, Any], ip: str, phase: str) -> float:
        """One call; how long it took."""
        backend["seq"] += 1
        body = json.dumps(
            {
                "target": backend["target"],
                "address": backend["address"],
                "phase": phase,
                "call_seq": backend["seq"],
                "zone": backend["zone"],
                "stage": backend["stage"],
                "capacity": 32,
                "models": [{"name": backend["target"]}],
            }
        ).encode()
        path = f"/api/Servers.{'Leave' if phase == 'gone' else 'Heartbeat'}/{backend['id']}"
        close = "Connection: close\r\n" if self.plan.connect == "each" else ""
        data = f"POST {path} HTTP/1.1\r\nHost: {ip}\r\n{close}Content-Length: {len(body)}\r\n\r\n".encode() + body
        began = NOW()
        if self.plan.connect == "each" or not self.free[ip]:
            _, caller = await asyncio.get_running_loop().create_connection(HttpCaller, ip, self.plan.control_port)
        else:
            caller = self.free[ip].popleft()
        status = await caller.call(data)
        if self.plan.connect == "each" or len(self.free[ip]) >= CONNECTIONS:
            caller.transport.close()
        else:
            self.free[ip].append(caller)
        if self.is_measured:
            self.counts[f"status_{status.decode()}"] += 1
            self.counts["out"] += len(data)
        return NOW() - began

    async def beat(self, index: int) -> None:
        """A heartbeat."""
        backend = self.backends[index]
        took = await self.call(backend, self.plan.ips()[index % self.plan.controllers], "ready")
        if self.is_measured:
            self.times.append(took)

    async def replace(self, index: int) -> None:
        """It drains, leaves, and another takes its place."""
        old, ip = self.backends[index], self.plan.ips()[index % self.plan.controllers]
        self.backends[index] = self.made(self.made_count)
        self.made_count += 1
        took = await self.call(old, ip, "draining")
        if self.is_measured:
            self.ends.append(took)
        await self.call(old, ip, "gone")
        await self.call(self.backends[index], ip, "ready")

    def spawn(self, coroutine: Any) -> None:
        """Do it beside, and count what goes wrong."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            if not task.cancelled() and task.exception() is not None:
                self.counts["failed"] += 1

        task.add_done_callback(done)

    async def run(self) -> dict[str, Any]:
        """Until the window is over."""
        plan, count = self.plan, self.plan.backends
        end, began = plan.start + plan.seconds, NOW()
        sent = changed = 0
        cpu = 0.0
        while NOW() < end:
            now = NOW()
            if not self.is_measured and now >= plan.start:
                self.is_measured, cpu = True, time.process_time()
            due = int((now - began) / (plan.beat_ms / 1e3) * count)
            while sent < due:
                if len(self.tasks) < 400:
                    self.spawn(self.beat(sent % count))
                else:
                    self.counts["late"] += self.is_measured
                sent += 1
            if self.is_measured and (now - plan.start) * plan.changes > changed:
                self.spawn(self.replace(changed * 7 % count))
                changed += 1
            await asyncio.sleep(0.01)
        cpu = time.process_time() - cpu
        await asyncio.sleep(0.8)
        return {
            "counts": dict(self.counts),
            "beat_ms": quantiles(self.times),
            "drain_ack_ms": quantiles(self.ends),
            "cpu": cpu,
        }


# Operator and the run.


def document(tenants: int) -> dict[str, Any]:
    """One route a tenant, four services."""
    return {
        "revision": 1,
        "limits": {"header_bytes": 16384},
        "services": [
            {
                "name": f"model-{number}",
                "probe_path": "/health",
                "max_conns": 100,
                "engine": {"capacity": 32, "cache_tokens": 400000, "token_bytes": 163840, "link_mbps": 1.4e6},
            }
            for number in range(4)
        ],
        "routes": [route(number) for number in range(tenants)],
    }


def route(number: int) -> dict[str, Any]:
    """A tenant's route."""
    return {
        "name": f"tenant-{number:05d}",
        "hostname": f"tenant-{number:05d}.models.example",
        "path_prefix": "/v1/",
        "variant": "streaming",
        "timeout_ms": 30000,
        "goal_ms": 1800,
        "rank": number % 3,
        "target": f"model-{number % 4}",
        "tries": 2,
        "resumable": True,
        "gap_aim_ms": 63,
    }


class Operator:
    """Amends one route after the other."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.revision = plan, 0
        self.sent: dict[int, float] = {}
        self.acks: dict[int, float] = {}
        self.refused: Counter[int] = Counter()
        self.at = plan.ips()[0]

    async def change(self, call: str, body: dict[str, Any]) -> None:
        """Until it is taken."""
        data = json.dumps(body).encode()
        began = NOW()
        while True:
            for ip in [self.at, *self.plan.ips()]:
                status = await self.post(ip, call, data)
                if status == 200:
                    self.at, self.revision = ip, body["revision"]
                    self.sent[self.revision], self.acks[self.revision] = began, NOW()
                    return
                self.refused[status] += 1
            await asyncio.sleep(0.1)

    async def post(self, ip: str, call: str, data: bytes) -> int:
        """One call; its status, 0 for none."""
        try:
            reader, writer = await asyncio.open_connection(ip, self.plan.control_port)
            writer.write(
                f"POST /api/Configuration.{call} HTTP/1.1\r\nHost: {ip}\r\nX-Base-Version: {self.revision}\r\n"
                f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            status = int((await reader.readuntil(b"\r\n"))[9:12])
            writer.close()
            return status
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return 0

    async def run(self) -> None:
        """A first configuration, then amendments within the window."""
        await self.change("Replace", document(self.plan.tenants))
        await asyncio.sleep(max(0.0, self.plan.start - NOW()))
        while self.plan.amends and NOW() < self.plan.start + self.plan.seconds - 0.5:
            began = NOW()
            item = route(self.revision % self.plan.tenants) | {"timeout_ms": 30000 + self.revision}
            await self.change("Amend", {"revision": self.revision + 1, "upsert": {"routes": [item]}})
            await asyncio.sleep(max(0.0, began + 1 / self.plan.amends - NOW()))


def free_port() -> int:
    """A port that nobody has at any of the addresses."""
    with socket.socket() as found:
        found.bind(("0.0.0.0", 0))
        return int(found.getsockname()[1])


async def listening(ip: str, port: int) -> None:
    """Until it does."""
    while True:
        try:
            _, writer = await asyncio.open_connection(ip, port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return


def settings(plan: Plan, number: int, folder: Path) -> Path:
    """A controller's settings file."""
    ip = plan.ips()[number]
    (folder / f"data-{number}").mkdir()
    path = folder / f"controller-{number}.yaml"
    path.write_text(
        yaml.safe_dump(
            {
                "node_name": f"core-{number}",
                "ip": ip,
                "zone": f"zone-{number}",
                "port_range": [plan.link_port, plan.link_port + 3],
                "seed_addrs": [f"{seed}:{plan.control_port}" for seed in plan.ips()],
                "binds": {"control_addr": f"{ip}:{plan.control_port}"},
                "is_first_start": True,
                "data_dir": str(folder / f"data-{number}"),
                "beat_ms": plan.beat_ms,
            }
        ),
        encoding="utf-8",
    )
    return path


def snapshot(process: psutil.Process) -> dict[str, float]:
    """Processor seconds, and bytes by read and write calls (sockets and disk)."""
    cpu, io = process.cpu_times(), process.io_counters()
    return {"cpu": cpu.user + cpu.system, "in": io.read_chars, "out": io.write_chars}


async def measure(plan: Plan, controllers: list[subprocess.Popen[bytes]]) -> list[dict[str, float]]:
    """What each controller used within the window."""
    await asyncio.sleep(max(0.0, plan.start - NOW()))
    processes = [psutil.Process(controller.pid) for controller in controllers]
    before, began = [snapshot(process) for process in processes], NOW()
    await asyncio.sleep(plan.seconds)
    after, took = [snapshot(process) for process in processes], NOW() - began
    return [
        {
            "core_share": round((b["cpu"] - a["cpu"]) / took, 4),
            "rss_mb": round(p.memory_info().rss / 1e6, 1),
            "in_kbps": round((b["in"] - a["in"]) / took / 1e3, 1),
            "out_kbps": round((b["out"] - a["out"]) / took / 1e3, 1),
        }
        for a, b, p in zip(before, after, processes, strict=True)
    ]


async def run(plan: Plan) -> dict[str, Any]:
    """One run; everything that was started is ended."""
    plan.link_port, plan.control_port = free_port(), free_port()
    started: list[subprocess.Popen[bytes]] = []
    hollow: list[asyncio.subprocess.Process] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            for number in range(plan.controllers):
                variables = os.environ | {"CRANEBANK_NODE_FILE": str(settings(plan, number, folder))}
                started.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "cranebank.programs", "control"],
                        cwd=ROOT,
                        env=variables,
                        stdout=subprocess.DEVNULL,
                        stderr=(folder / f"log-{number}").open("wb"),
                    )
                )
            controllers = list(started)
            async with asyncio.timeout(8):
                for ip in plan.ips():
                    await listening(ip, plan.control_port)
            plan.start = NOW() + plan.warm_s
            operator = Operator(plan)
            operating = asyncio.get_running_loop().create_task(operator.run())
            for role in ("proxies", "backends"):
                child = await asyncio.create_subprocess_exec(
                    sys.executable,
                    __file__,
                    f"--as-{role}",
                    msgspec.json.encode(plan).decode(),
                    stdout=asyncio.subprocess.PIPE,
                )
                hollow.append(child)
            used = await measure(plan, controllers)
            async with asyncio.timeout(12):
                (proxies_text, _), (backends_text, _) = await asyncio.gather(*(child.communicate() for child in hollow))
            operating.cancel()
        finally:
            for child in hollow:
                if child.returncode is None:
                    child.kill()
            for one in started:
                one.terminate()
            for one in started:
                try:
                    one.wait(4)
                except subprocess.TimeoutExpired:
                    one.kill()
    return report(plan, used, json.loads(proxies_text), json.loads(backends_text), operator)


def report(
    plan: Plan, used: list[dict[str, float]], proxies: dict[str, Any], backends: dict[str, Any], operator: Operator
) -> dict[str, Any]:
    """One line."""
    counts, seconds = proxies["counts"], plan.seconds
    within = {revision for revision, at in operator.sent.items() if at >= plan.start}
    spread = [
        at - operator.sent[int(revision)] for revision, at in proxies["everywhere"].items() if int(revision) in within
    ]
    return {
        "plan": {
            key: value
            for key, value in msgspec.to_builtins(plan).items()
            if key not in {"link_port", "control_port", "start", "warm_s"}
        },
        "controllers": used,
        "proxy_kbps": {
            way: round(counts.get(way, 0) / seconds / max(1, plan.proxies) / 1e3, 3) for way in ("in", "out")
        },
        "proxy_messages": {
            name: round(count / seconds / max(1, plan.proxies), 3)
            for name, count in counts.items()
            if name not in {"in", "out"}
        },
        "told": proxies["told"],
        "late_s": proxies["late_s"],
        "beats": backends["counts"],
        "beat_ms": backends["beat_ms"],
        "drain_ack_ms": backends["drain_ack_ms"],
        "config_ack_ms": quantiles([operator.acks[revision] - operator.sent[revision] for revision in within]),
        "config_everywhere_ms": quantiles(spread),
        "config_refused": dict(operator.refused),
        "hollow_cores": {
            "proxies": round(proxies["cpu"] / seconds, 3),
            "backends": round(backends["cpu"] / seconds, 3),
        },
    }


def main() -> None:
    """One run, one line."""
    if len(sys.argv) == 3 and sys.argv[1].startswith("--as-"):
        plan = msgspec.json.decode(sys.argv[2], type=Plan)
        work = hollow_proxies(plan) if sys.argv[1] == "--as-proxies" else HollowBackends(plan).run()
        print(json.dumps(uvloop.run(work)))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    for field in msgspec.structs.fields(Plan):
        if field.name not in {"link_port", "control_port", "start"}:
            parser.add_argument(f"--{field.name.replace('_', '-')}", type=type(field.default), default=field.default)
    plan = Plan(**vars(parser.parse_args()))
    if plan.seconds + plan.warm_s > 20:
        parser.error("a run takes 25 s at most: --warm-s and --seconds together 20")
    print(json.dumps(uvloop.run(run(plan))))


if __name__ == "__main__":
    main()
