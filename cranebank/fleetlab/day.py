"""A small day of the whole system on loopback: controllers and proxies as real processes, everybody else in here."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any

import msgspec
import yaml

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.clients import Clients, Ingress, Platform
from cranebank.fleetlab.model import EngineSpec
from cranebank.fleetlab.operator import Operator, first_configuration
from cranebank.fleetlab.records import Bounds, DayRecord, Trouble
from cranebank.transport.http_client import ask_once

ROOT = Path(__file__).parents[2]
FRONT, READY, CONTROL, LINKS, BACKEND, CLAIM = 8263, 8268, 8262, 7300, 8080, 8259
START_S = 10.0  # for the whole fleet to be ready
RESTART_S = 0.4
ZONE = "here"
SPEC = EngineSpec(link_mbps=2_000_000.0)
FLEET: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {"g1": ("prefill", "prefill", "decode", "decode", "decode"), "g2": ("prefill", "decode", "decode")}
)


class Step(msgspec.Struct, frozen=True):
    """Something that happens: a change (amend, race, invalid), a trouble (kill-primary, stop-proxy, crash) or a
    drain, or a fault of a backend for a while (dark, cut, late, silent). A drain and a crash are followed by a
    replacement; scale-in is a drain, and lose a crash, of a backend that nobody replaces. ``stage`` says of which."""

    at: float
    what: str
    for_s: float = 1.5
    stage: str = "decode"


class DayPlan(msgspec.Struct, frozen=True):
    """A day: how long clients come, how many a second, and what happens."""

    seconds: float
    rate: float
    steps: tuple[Step, ...]
    seed: int = 1
    beat_ms: float = 500
    fleet: Mapping[str, tuple[str, ...]] = FLEET  # stages of each service's backends


DEMO = DayPlan(
    27.0,
    40.0,
    (
        Step(2.0, "amend"),
        Step(4.0, "race"),
        Step(5.0, "invalid"),
        Step(6.0, "drain"),
        Step(8.0, "late", 2.0),
        Step(10.0, "stop-proxy"),
        Step(12.0, "cut", 1.5),
        Step(14.0, "kill-primary"),
        Step(14.3, "amend"),
        Step(18.5, "silent", 1.0),
        Step(20.0, "crash"),
        Step(21.5, "dark", 2.0),
        Step(23.0, "drain"),
        Step(24.0, "amend"),
    ),
)
SHORT = DayPlan(
    7.0,
    25.0,
    (
        Step(0.6, "amend"),
        Step(1.2, "drain"),
        Step(1.6, "late", 1.0),
        Step(2.4, "kill-primary", 2.2),
        Step(2.5, "amend"),
        Step(4.2, "cut", 0.6),
        Step(4.8, "race"),
    ),
)


class StartError(RuntimeError):
    """The system did not come up; says who."""


class Process:
    """One program of the system on an address of its own."""

    def __init__(self, name: str, role: str, ip: str, folder: Path, settings: dict[str, Any]) -> None:
        self.name, self.role, self.ip = name, role, ip
        self._file = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._settings = settings
        self.process: asyncio.subprocess.Process | None = None
        self.wanted = False  # it should run: an end is one by itself

    async def start(self, first: bool) -> None:
        """Write its settings and start it."""
        self._file.write_text(yaml.safe_dump(self._settings | {"is_first_start": first}), encoding="utf-8")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.wanted = True
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cranebank.programs",
                self.role,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=env | {"CRANEBANK_NODE_FILE": str(self._file), "PYTHONPATH": str(ROOT)},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal; it needn't run on."""
        self.wanted = False
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def stop(self, seconds: float) -> bool:
        """SIGTERM, and SIGKILL if it has not ended by then; whether it ended by itself."""
        self.signal(signal.SIGTERM)
        return await self.ended(seconds)

    async def ended(self, seconds: float) -> bool:
        """Wait for its end, no longer than this: then it is killed."""
        assert self.process is not None
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return False
        return True


def claim() -> tuple[str, socket.socket]:
    """A network of loopback addresses (127.0.x) that no other day uses, held until the socket is closed."""
    for number in Random().sample(range(1, 255), 254):
        held = socket.socket()
        try:
            held.bind((f"127.0.{number}.254", CLAIM))
            held.listen(1)
        except OSError:
            held.close()
            continue
        return f"127.0.{number}", held
    raise StartError("no free network of loopback addresses")


class Day:
    """Plays one day and writes down what clients, backends and the operator see."""

    def __init__(self, plan: DayPlan, progress: Callable[[str], None], folder: Path | None) -> None:
        self.plan, self.record = plan, DayRecord(Bounds())
        self._folder = folder  # where settings, logs and disks are left; else they are removed
        self._progress = progress
        self._random = Random(plan.seed)
        self._backends: list[Backend] = []
        self._handles: dict[str, str] = {}
        self._names = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin = 0.0

    def _say(self, text: str) -> None:
        at = asyncio.get_running_loop().time() - self._begin if self._begin else 0.0
        self._progress(f"{at:5.1f} s  {text}")

    async def play(self) -> DayRecord:
        """Play it; everything that was started has ended when this returns."""
        loop = asyncio.get_running_loop()
        self._net, held = claim()
        with held, tempfile.TemporaryDirectory(prefix="cranebank-day-") as folder:
            self._prepare(self._folder or Path(folder))
            try:
                await self._start()
                await self._run()
            finally:
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)
                for backend in self._backends:
                    backend.stop()
                ended = await asyncio.gather(
                    *(process.stop(self.record.bounds.grace_s) for process in self._all if process.process is not None)
                )
                if not all(ended):
                    self._say("some processes did not end by themselves")
        self.record.ended = self.record.ended or loop.time()
        return self.record

    def _prepare(self, folder: Path) -> None:
        self._control = [f"{self._net}.{number}:{CONTROL}" for number in (11, 12, 13)]
        bounds = msgspec.structs.asdict(self.record.bounds)
        usual: dict[str, Any] = {
            "zone": ZONE,
            "region": ZONE,
            "zones": {ZONE: ZONE},
            "port_range": [LINKS, LINKS + 15],
            "seed_addrs": self._control,
            "beat_ms": self.plan.beat_ms,
            "bounds": bounds,
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 300, "max_fds": 1024},
            "tolerance": {"machines": 1, "zones": 0, "regions": 0},
        }
        self._all: list[Process] = []
        for number in (1, 2, 3):
            ip, data = f"{self._net}.{10 + number}", folder / f"disk-{number}"
            data.mkdir(exist_ok=True)
            self._all.append(
                Process(
                    f"control-{number}",
                    "control",
                    ip,
                    folder,
                    usual
                    | {
                        "node_name": f"control-{number}",
                        "role": "control",
                        "machine_class": "core",
                        "serves": ["control"],
                        "ip": ip,
                        "binds": {"control_addr": f"{ip}:{CONTROL}"},
                        "data_dir": str(data),
                    },
                )
            )
        for number in (1, 2, 3):
            ip = f"{self._net}.{20 + number}"
            self._all.append(
                Process(
                    f"edge-{number}",
                    "edge",
                    ip,
                    folder,
                    usual
                    | {
                        "node_name": f"edge-{number}",
                        "role": "edge",
                        "machine_class": "edge",
                        "serves": ["edge"],
                        "ip": ip,
                        "binds": {"front": f"{ip}:{FRONT}", "ready_addr": f"{ip}:{READY}"},
                        "data_dir": None,
                    },
                )
            )
        self._by_name = {process.name: process for process in self._all}
        self._platform = Platform(
            Ingress(p.name, f"{p.ip}:{FRONT}", f"{p.ip}:{READY}") for p in self._all if p.role == "edge"
        )
        self._clients = Clients(self._platform, self.record, SPEC.stride, self._random)
        self._operator = Operator(self._control, self.record.changes, Random(self.plan.seed + 1), self._say)

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        return task

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.gather(*(process.start(True) for process in self._all))
        for service, stages in self.plan.fleet.items():
            for stage in stages:
                await self._add_backend(service, stage)
        await self._operator.begin(first_configuration(dict.fromkeys(self.plan.fleet, SPEC)))
        proxies = list(self._platform.proxies.values())
        while not all(await asyncio.gather(*(self._platform.look(proxy) for proxy in proxies))):
            missing = [proxy.name for proxy in proxies if proxy.misses]
            if loop.time() > begun + START_S:
                raise StartError(f"not ready after {START_S:g} s: {', '.join(missing)}")
            await asyncio.sleep(0.05)
        self.record.begun = self._begin = loop.time()
        self.record.troubles.append(Trouble("core", begun, begun, "start"))
        self._say(f"3 controllers, 3 proxies and {len(self._backends)} backends are up on {self._net}.0")

    async def _add_backend(self, service: str, stage: str) -> None:
        number = next(self._names)
        backend = Backend(
            SPEC,
            f"i-{number:02x}",
            service,
            stage,
            f"{self._net}.{30 + number}:{BACKEND}",
            ZONE,
            lambda: self._control[number % 3 :] + self._control[: number % 3],
            self.plan.beat_ms / 1e3,
            self.record.bounds.drain_ms / 1e3,
            self.record.arrivals,
            self.record.drains,
            self._handles,
            self.record.orders,
        )
        await backend.start()
        self._backends.append(backend)

    async def _run(self) -> None:
        self._spawn(self._platform.watch())
        self._spawn(self._sample())
        self._spawn(self._keep())
        load = self._spawn(self._clients.load(self.plan.rate, self.plan.seconds))
        steps = self._spawn(self._step_all())
        await load
        await steps
        self.record.read_back = await self._operator.read_back(self.record.bounds.contact_ms / 1e3)
        self.record.ended = asyncio.get_running_loop().time()
        self._say(f"read back revision {self.record.read_back.revision}")

    async def _step_all(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            for step in self.plan.steps:
                await asyncio.sleep(max(0.0, self._begin + step.at - loop.time()))
                group.create_task(self._step(step))

    async def _step(self, step: Step) -> None:
        match step.what:
            case "amend":
                await self._amend()
            case "race":
                await self._operator.race()
            case "invalid":
                await self._operator.invalid()
            case "kill-primary":
                await self._kill_primary(step.for_s)
            case "stop-proxy":
                await self._stop_proxy("edge-2")
            case "drain" | "scale-in":
                backend = self._one(step.stage)
                self._say(f"{backend.instance} drains")
                backend.drain()
                if step.what == "drain":
                    await self._add_backend(backend.service, backend.model.stage)
            case "crash" | "lose":
                backend = self._one(step.stage)
                self._say(f"{backend.instance} crashes")
                backend.stop()
                if step.what == "crash":
                    await asyncio.sleep(step.for_s)
                    await self._add_backend(backend.service, backend.model.stage)
            case fault:
                backend = self._one(step.stage)
                self._say(f"{backend.instance}: {fault} for {step.for_s:g} s")
                backend.fault(fault)
                await asyncio.sleep(step.for_s)
                backend.fault(fault, False)

    def _one(self, stage: str) -> Backend:
        """A healthy backend of the larger service."""
        return self._random.choice(
            [
                backend
                for backend in self._backends
                if backend.phase == "ready"
                and not backend.faults
                and not backend.ended.is_set()
                and backend.service == "g1"
                and backend.model.stage == stage
            ]
        )

    async def _amend(self) -> None:
        """A change; then every proxy is asked directly on the routes that came, went, or never were."""
        before = {rule["path_prefix"].strip("/") for rule in self._operator.current["routes"]}
        if not await self._operator.amend():
            return
        after = {rule["path_prefix"].strip("/") for rule in self._operator.current["routes"]}
        await asyncio.sleep(0.1)
        for _ in range(3):
            await asyncio.gather(
                *(
                    self._clients.probe(proxy, name)
                    for proxy in self._platform.proxies.values()
                    if proxy.misses == 0
                    for name in [*sorted(before ^ after), "never"]
                )
            )
            await asyncio.sleep(1.2)

    async def _kill_primary(self, down_s: float) -> None:
        loop = asyncio.get_running_loop()
        name = await self._primary()
        if not name:
            self._say("no primary to kill")
            return
        process, begin = self._by_name[name], loop.time()
        self._say(f"{name}, the primary, is killed")
        index = len(self.record.troubles)
        self.record.troubles.append(Trouble("core", begin, float("inf"), f"{name} killed"))
        process.signal(signal.SIGKILL)
        await process.ended(2.0)
        await asyncio.sleep(down_s)
        await process.start(False)
        self.record.troubles[index] = Trouble("core", begin, loop.time(), f"{name} killed")
        self._say(f"{name} is started again")

    async def _stop_proxy(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        process, begin = self._by_name[name], loop.time()
        self._say(f"{name} gets SIGTERM")
        index = len(self.record.troubles)
        self.record.troubles.append(Trouble(name, begin, float("inf"), "SIGTERM", True))
        if not await process.stop(self.record.bounds.grace_s):
            self.record.exits.append((f"{name} did not end in time", -9))
        await asyncio.sleep(RESTART_S)
        self._platform.proxies[name].life += 1
        await process.start(False)
        self.record.troubles[index] = Trouble(name, begin, loop.time(), "SIGTERM", True)
        self._say(f"{name} is started again")

    async def _keep(self) -> None:
        """Start again what ended by itself."""
        while True:
            await asyncio.sleep(0.2)
            for process in self._all:
                if process.wanted and process.process is not None and process.process.returncode is not None:
                    self._say(f"{process.name} ended by itself with {process.process.returncode}")
                    self.record.exits.append((process.name, process.process.returncode))
                    await process.start(False)

    async def _primary(self) -> str:
        """Who says that it is primary."""
        found = await asyncio.gather(*(ask_once(at, "GET", "/api/System.Status", seconds=0.4) for at in self._control))
        for answer in found:
            if answer.status == 200 and answer.whole:
                told = msgspec.json.decode(answer.body)
                if told["is_primary"]:
                    return str(told["node"])
        return ""

    async def _sample(self) -> None:
        loop = asyncio.get_running_loop()
        for turn in itertools.count():
            now = loop.time()
            self.record.primaries.append((now, await self._primary()))
            if turn % 4 == 0 and turn:
                clients = self._clients
                self._say(f"{clients.asked} asked, {clients.served} served, {clients.failed} not")
            await asyncio.sleep(max(0.05, 0.5 - (loop.time() - now)))


def play(plan: DayPlan, progress: Callable[[str], None] = lambda text: None, folder: Path | None = None) -> DayRecord:
    """Play a day; settings, logs and disks are left in the folder, if one is named. SIGTERM ends it as Ctrl-C does:
    the processes are ended first."""

    async def run() -> DayRecord:
        playing = asyncio.ensure_future(Day(plan, progress, folder).play())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        return await playing

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
