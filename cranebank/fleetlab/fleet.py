"""The processes of a laboratory run: real controllers and proxies, each on a loopback address of its own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import shutil
import signal
import socket
import sys
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import yaml

from cranebank.fleetlab.records import Bounds

ROOT = Path(__file__).parents[2]
FRONT, READY, CONTROL, LINKS, BACKEND, CLAIM = 8263, 8268, 8262, 7300, 8080, 8259
METRICS = LINKS + 1
PORTS = (LINKS, LINKS + 15)
ZONE = "here"
KILLED_S = 5.0  # for the kernel to clear away a process that was killed
FIRST_CONTROLLER, FIRST_APPLICATION, FIRST_PROXY, FIRST_BACKEND = 11, 51, 61, 101  # last part of the addresses
INHERITED = ("PATH", "HOME", "LANG")


class StartError(RuntimeError):
    """The system did not come up; says who."""


class FleetShape(msgspec.Struct, frozen=True):
    """How many processes there are, and how many controllers may be lost."""

    controllers: int = 3
    proxies: int = 3
    tolerance: int = 1
    zones: int = 1
    zone_tolerance: int = 0  # zones that may be lost at once

    @property
    def zone_names(self) -> tuple[str, ...]:
        """Its zones."""
        return (ZONE,) if self.zones == 1 else tuple(f"zone-{number}" for number in range(1, self.zones + 1))

    def zone_of(self, number: int) -> str:
        """The zone of the n-th controller, proxy or backend: they take turns."""
        return self.zone_names[(number - 1) % self.zones]


class Programs(msgspec.Struct, frozen=True):
    """How the programs are started: a module that takes a role, and variables beside the usual ones."""

    module: str = "cranebank.programs"
    variables: dict[str, str] = {}


class Process:
    """One program of the system on an address of its own."""

    def __init__(
        self, name: str, role: str, ip: str, folder: Path, settings: dict[str, Any], programs: Programs
    ) -> None:
        self.name, self.role, self.ip = name, role, ip
        self.settings = settings
        self._file = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        self._programs = programs
        self.process: asyncio.subprocess.Process | None = None
        self.wanted = False  # it should run: an end is one by itself
        self.started_at = 0.0
        self.life = 0  # rises with each start

    async def start(self, is_first_start: bool) -> None:
        """Write its settings and start it. Its former process must have ended."""
        if self.is_running:
            raise RuntimeError(f"{self.name} is started though it runs")
        self._file.write_text(yaml.safe_dump(self.settings | {"is_first_start": is_first_start}), encoding="utf-8")
        inherited = {key: os.environ[key] for key in INHERITED if key in os.environ}
        own = {"CRANEBANK_NODE_FILE": str(self._file), "PYTHONPATH": str(ROOT)}
        self.started_at = asyncio.get_running_loop().time()
        self.life += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._programs.module,
                self.role,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=inherited | self._programs.variables | own,
            )
        self.wanted = True  # not before: the former process has ended

    @property
    def zone(self) -> str:
        """Where it stands."""
        return str(self.settings["zone"])

    @property
    def is_running(self) -> bool:
        """Whether the process is there, though it may stand still."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal that leaves it running."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def end(self, number: signal.Signals) -> None:
        """Send a signal that ends it; it needn't run on."""
        self.wanted = False
        self.send(number)

    async def kill(self) -> None:
        """SIGKILL, and wait until it is over."""
        self.end(signal.SIGKILL)
        await self.ended(KILLED_S)

    async def stop(self, seconds: float) -> bool:
        """SIGTERM, and SIGKILL if it has not ended by then; whether it ended by itself."""
        self.end(signal.SIGTERM)
        return await self.ended(seconds)

    async def ended(self, seconds: float) -> bool:
        """Wait for its end, no longer than this: then it is killed."""
        assert self.process is not None
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            self.end(signal.SIGKILL)
            await self.process.wait()
            return False
        return True

    def clear_disk(self) -> None:
        """Empty its data folder."""
        data = Path(self.settings["data_dir"])
        shutil.rmtree(data)
        data.mkdir()


class Fleet:
    """All processes of a run, and their settings."""

    def __init__(
        self,
        shape: FleetShape,
        net: str,
        folder: Path,
        beat_ms: float,
        bounds: Bounds,
        programs: Programs,
    ) -> None:
        """``net``: the first three parts of all addresses."""
        self.shape, self.net = shape, net
        self._folder, self._beat_ms, self._bounds, self._programs = folder, beat_ms, bounds, programs
        self._numbers = itertools.count(1)
        self.controllers: dict[str, Process] = {}
        self.proxies: dict[str, Process] = {}
        self.former: list[Process] = []  # taken away for good
        for _ in range(shape.controllers):
            self.add_controller()
        for number in range(1, shape.proxies + 1):
            self._add_proxy(number)
        self.listed_controllers: list[str] = []  # addresses on callers' lists, which lag
        self.list_controllers()

    @property
    def processes(self) -> list[Process]:
        """Controllers and proxies."""
        return [*self.controllers.values(), *self.proxies.values()]

    @property
    def control_addresses(self) -> list[str]:
        """Where the controllers serve control."""
        return [f"{process.ip}:{CONTROL}" for process in self.controllers.values()]

    def list_controllers(self) -> None:
        """Bring callers' lists up to date."""
        self.listed_controllers = self.control_addresses

    def listed_nearest(self, zone: str, random: Random) -> list[Process]:
        """The controllers on callers' lists, those of this zone first, in a random order otherwise."""
        known = {f"{process.ip}:{CONTROL}": process for process in [*self.former, *self.controllers.values()]}
        listed = [known[address] for address in self.listed_controllers]
        random.shuffle(listed)
        return sorted(listed, key=lambda process: process.zone != zone)

    def backend_address(self, number: int) -> str:
        """The address of the n-th backend of the run."""
        return f"{self.net}.{FIRST_BACKEND + number}:{BACKEND}"

    def application_ip(self, zone: str) -> str:
        """Where the applications of a zone are."""
        return f"{self.net}.{FIRST_APPLICATION + self.shape.zone_names.index(zone)}"

    def add_controller(self, zone: str = "") -> Process:
        """A controller at a new address, with an empty disk, in this zone or the next one's turn; not started yet."""
        number = next(self._numbers)
        name, ip = f"control-{number}", f"{self.net}.{FIRST_CONTROLLER + number}"
        data = self._folder / f"disk-{number}"
        data.mkdir(exist_ok=True)
        zone = zone or self.shape.zone_of(number)
        settings = self._settings(name, "control", ip, zone, {"control_addr": f"{ip}:{CONTROL}"}, str(data))
        process = Process(name, "control", ip, self._folder, settings, self._programs)
        self.controllers[name] = process
        return process

    def remove_controller(self, name: str) -> None:
        """It was taken away for good; settings that are written later don't name it."""
        self.former.append(self.controllers.pop(name))

    async def start(self, process: Process, is_first_start: bool = False) -> None:
        """Start a process with the settings of now."""
        process.settings["seed_addrs"] = self.control_addresses[:3]
        await process.start(is_first_start)

    async def start_all(self) -> None:
        """The first start of all."""
        await asyncio.gather(*(self.start(process, True) for process in self.processes))

    async def stop_all(self, seconds: float) -> list[Process]:
        """SIGTERM to all that run, and SIGKILL after this time; those that had to be killed."""
        running = [process for process in self.processes if process.is_running]
        for process in running:
            process.send(signal.SIGCONT)
        ended = await asyncio.gather(*(process.stop(seconds) for process in running))
        return [process for process, in_time in zip(running, ended, strict=True) if not in_time]

    def _add_proxy(self, number: int) -> None:
        name, ip = f"edge-{number}", f"{self.net}.{FIRST_PROXY + number}"
        binds = {"front": f"{ip}:{FRONT}", "ready_addr": f"{ip}:{READY}"}
        settings = self._settings(name, "edge", ip, self.shape.zone_of(number), binds, None)
        self.proxies[name] = Process(name, "edge", ip, self._folder, settings, self._programs)

    def _settings(
        self, name: str, role: str, ip: str, zone: str, binds: dict[str, str], data_dir: str | None
    ) -> dict[str, Any]:
        return {
            "node_name": name,
            "role": role,
            "machine_class": "core" if role == "control" else "edge",
            "serves": [role],
            "ip": ip,
            "zone": zone,
            "region": ZONE,
            "zones": dict.fromkeys(self.shape.zone_names, ZONE),
            "binds": binds,
            "port_range": list(PORTS),
            "seed_addrs": [],
            "data_dir": data_dir,
            "beat_ms": self._beat_ms,
            "loss_counts": role == "control",
            "bounds": msgspec.structs.asdict(self._bounds),
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 300, "max_fds": 1024},
            "tolerance": {"machines": self.shape.tolerance, "zones": self.shape.zone_tolerance, "regions": 0},
        }


def claim() -> tuple[str, socket.socket]:
    """A network of loopback addresses (127.0.x) that no other run uses, held until the socket is closed."""
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
