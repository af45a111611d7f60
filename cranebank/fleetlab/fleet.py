"""The processes of a laboratory run: real controllers and proxies, each on its own loopback address."""

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

PROJECT_ROOT = Path(__file__).parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, LINK_PORT, BACKEND_PORT, CLAIM_PORT = 8263, 8268, 8262, 7300, 8080, 8259
METRICS_PORT = LINK_PORT + 1
LINK_PORT_RANGE = (LINK_PORT, LINK_PORT + 15)
DEFAULT_ZONE = "here"
KILL_TIMEOUT_S = 5.0  # longest wait for the kernel to remove a killed process
# Added to the number of a machine, the offset gives the last part of its address.
CONTROLLER_HOST_OFFSET, APPLICATION_HOST_OFFSET, PROXY_HOST_OFFSET, BACKEND_HOST_OFFSET = 11, 51, 61, 101
INHERITED_VARIABLES = ("PATH", "HOME", "LANG")


class StartError(RuntimeError):
    """Raised when the system did not start; the message names the processes that are not ready."""


class FleetShape(msgspec.Struct, frozen=True):
    """The number of processes and zones, and how many of them may be lost."""

    controllers: int = 3
    proxies: int = 3
    tolerance: int = 1
    zones: int = 1
    zone_tolerance: int = 0  # zones that may be lost at the same time

    @property
    def zone_names(self) -> tuple[str, ...]:
        """The names of the zones."""
        return (DEFAULT_ZONE,) if self.zones == 1 else tuple(f"zone-{number}" for number in range(1, self.zones + 1))

    def zone_of(self, number: int) -> str:
        """Return the zone of the n-th controller, proxy or backend, which are assigned to the zones in turn."""
        return self.zone_names[(number - 1) % self.zones]


class Programs(msgspec.Struct, frozen=True):
    """How programs are started: a module that takes a role as argument, and additional environment variables."""

    module: str = "cranebank.programs"
    variables: dict[str, str] = {}


class Process:
    """One program of the system on its own address."""

    def __init__(
        self, name: str, role: str, ip: str, folder: Path, settings: dict[str, Any], programs: Programs
    ) -> None:
        self.name, self.role, self.ip = name, role, ip
        self.settings = settings
        self._file = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        self._programs = programs
        self.process: asyncio.subprocess.Process | None = None
        self.should_run = False  # while set, an end of the process is unexpected
        self.started_at = 0.0
        self.life = 0  # incremented by each start

    async def start(self, is_first_start: bool) -> None:
        """Write the settings and start the process. An earlier process must have ended."""
        if self.is_running:
            raise RuntimeError(f"{self.name} is already running")
        self._file.write_text(yaml.safe_dump(self.settings | {"is_first_start": is_first_start}), encoding="utf-8")
        inherited = {key: os.environ[key] for key in INHERITED_VARIABLES if key in os.environ}
        own_variables = {"CRANEBANK_NODE_FILE": str(self._file), "PYTHONPATH": str(PROJECT_ROOT)}
        self.started_at = asyncio.get_running_loop().time()
        self.life += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._programs.module,
                self.role,
                cwd=PROJECT_ROOT,
                stdout=log,
                stderr=log,
                env=inherited | self._programs.variables | own_variables,
            )
        self.should_run = True  # set only now, as the earlier process has ended

    @property
    def zone(self) -> str:
        """The zone of the process."""
        return str(self.settings["zone"])

    @property
    def is_running(self) -> bool:
        """Whether the process exists; it may be paused."""
        return self.process is not None and self.process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal that does not end the process."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    def terminate(self, signal_number: signal.Signals) -> None:
        """Send a signal that ends the process, whose end is expected from now on."""
        self.should_run = False
        self.send(signal_number)

    async def kill(self) -> None:
        """Send SIGKILL, and wait for the process to end."""
        self.terminate(signal.SIGKILL)
        await self.wait_ended(KILL_TIMEOUT_S)

    async def stop(self, seconds: float) -> bool:
        """Send SIGTERM, and SIGKILL after some seconds. Return whether the process ended without SIGKILL."""
        self.terminate(signal.SIGTERM)
        return await self.wait_ended(seconds)

    async def wait_ended(self, seconds: float) -> bool:
        """Wait for the process to end, and kill it after some seconds. Return whether it ended in time."""
        assert self.process is not None
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            self.terminate(signal.SIGKILL)
            await self.process.wait()
            return False
        return True

    def clear_disk(self) -> None:
        """Empty the data folder."""
        data = Path(self.settings["data_dir"])
        shutil.rmtree(data)
        data.mkdir()


class Fleet:
    """All processes of a run and their settings."""

    def __init__(
        self,
        shape: FleetShape,
        net: str,
        folder: Path,
        beat_ms: float,
        bounds: Bounds,
        programs: Programs,
    ) -> None:
        """``net`` is the first three parts of all addresses."""
        self.shape, self.net = shape, net
        self._folder, self._beat_ms, self._bounds, self._programs = folder, beat_ms, bounds, programs
        self._controller_numbers = itertools.count(1)
        self.controllers: dict[str, Process] = {}
        self.proxies: dict[str, Process] = {}
        self.removed: list[Process] = []  # controllers removed for good
        for _ in range(shape.controllers):
            self.add_controller()
        for number in range(1, shape.proxies + 1):
            self._add_proxy(number)
        self.listed_controllers: list[str] = []  # the addresses known to callers, updated with a delay
        self.list_controllers()

    @property
    def processes(self) -> list[Process]:
        """All controllers and proxies."""
        return [*self.controllers.values(), *self.proxies.values()]

    @property
    def control_addresses(self) -> list[str]:
        """The control addresses of the controllers."""
        return [f"{process.ip}:{CONTROL_PORT}" for process in self.controllers.values()]

    def list_controllers(self) -> None:
        """Update the callers' lists of controllers."""
        self.listed_controllers = self.control_addresses

    def listed_nearest(self, zone: str, random: Random) -> list[Process]:
        """Return the controllers on callers' lists in random order, those of this zone first."""
        known = {f"{process.ip}:{CONTROL_PORT}": process for process in [*self.removed, *self.controllers.values()]}
        listed = [known[address] for address in self.listed_controllers]
        random.shuffle(listed)
        return sorted(listed, key=lambda process: process.zone != zone)

    def backend_address(self, number: int) -> str:
        """Return the address of the n-th backend of the run."""
        return f"{self.net}.{BACKEND_HOST_OFFSET + number}:{BACKEND_PORT}"

    def application_ip(self, zone: str) -> str:
        """Return the IP of the applications of a zone."""
        return f"{self.net}.{APPLICATION_HOST_OFFSET + self.shape.zone_names.index(zone)}"

    def add_controller(self, zone: str = "") -> Process:
        """Add a controller at a new address with an empty disk, in this zone or the next in turn. It is not started."""
        number = next(self._controller_numbers)
        name, ip = f"control-{number}", f"{self.net}.{CONTROLLER_HOST_OFFSET + number}"
        data = self._folder / f"disk-{number}"
        data.mkdir(exist_ok=True)
        zone = zone or self.shape.zone_of(number)
        settings = self._settings(name, "control", ip, zone, {"control_addr": f"{ip}:{CONTROL_PORT}"}, str(data))
        process = Process(name, "control", ip, self._folder, settings, self._programs)
        self.controllers[name] = process
        return process

    def remove_controller(self, name: str) -> None:
        """Remove a controller for good; settings written later don't name it."""
        self.removed.append(self.controllers.pop(name))

    async def start(self, process: Process, is_first_start: bool = False) -> None:
        """Start a process with the current seed addresses."""
        process.settings["seed_addrs"] = self.control_addresses[:3]
        await process.start(is_first_start)

    async def start_all(self) -> None:
        """Start all processes for the first time."""
        await asyncio.gather(*(self.start(process, True) for process in self.processes))

    async def stop_all(self, seconds: float) -> list[Process]:
        """Send SIGTERM to all running processes, and SIGKILL after some seconds. Return those that had to be killed."""
        running = [process for process in self.processes if process.is_running]
        for process in running:
            process.send(signal.SIGCONT)
        ended = await asyncio.gather(*(process.stop(seconds) for process in running))
        return [process for process, in_time in zip(running, ended, strict=True) if not in_time]

    def _add_proxy(self, number: int) -> None:
        name, ip = f"edge-{number}", f"{self.net}.{PROXY_HOST_OFFSET + number}"
        binds = {"front": f"{ip}:{FRONT_PORT}", "ready_addr": f"{ip}:{READY_PORT}"}
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
            "region": DEFAULT_ZONE,
            "zones": dict.fromkeys(self.shape.zone_names, DEFAULT_ZONE),
            "binds": binds,
            "port_range": list(LINK_PORT_RANGE),
            "seed_addrs": [],
            "data_dir": data_dir,
            "beat_ms": self._beat_ms,
            "loss_counts": role == "control",
            "bounds": msgspec.structs.asdict(self._bounds),
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 300, "max_fds": 1024},
            "tolerance": {"machines": self.shape.tolerance, "zones": self.shape.zone_tolerance, "regions": 0},
        }


def claim_network() -> tuple[str, socket.socket]:
    """Return a network of loopback addresses (127.0.x) that is reserved for this run until the socket is closed."""
    for number in Random().sample(range(1, 255), 254):
        claim_socket = socket.socket()
        try:
            claim_socket.bind((f"127.0.{number}.254", CLAIM_PORT))
            claim_socket.listen(1)
        except OSError:
            claim_socket.close()
            continue
        return f"127.0.{number}", claim_socket
    raise StartError("no free network of loopback addresses")
