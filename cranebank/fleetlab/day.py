"""A small day of the whole system on loopback, with real controller and proxy processes and all else simulated here."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.clients import OWN_TOKENS
from cranebank.fleetlab.fleet import FleetShape, StartError
from cranebank.fleetlab.lab_run import SERVICES, LabRun
from cranebank.fleetlab.records import DayRecord, Trouble
from cranebank.fleetlab.run_options import RunOptions, TallyLoad, WarmUp

__all__ = ["COLD", "DAYS", "DEMO", "EVACUATION", "SHORT", "TALLIES", "DayPlan", "StartError", "Step", "play"]

RESTART_DELAY_S = 0.4


class Step(msgspec.Struct, frozen=True):
    """An event of a day: a change (amend, race, invalid), a trouble (kill-primary, stop-proxy, crash), a drain, or a
    backend fault (dark, cut, late, silent) that lasts ``for_s``. A backend may turn cold (cold), or lose its power for
    ``for_s`` and return cold (cold-return). A zone may be evacuated for ``for_s`` (evacuate). A drain and a crash are
    followed by a replacement; scale-in is a drain and lose a crash without one. ``stage`` selects the backend, and
    ``zone`` names the zone."""

    at: float
    what: str
    for_s: float = 1.5
    stage: str = "decode"
    zone: str = ""


class DayPlan(msgspec.Struct, frozen=True):
    """The plan of a day: how long clients send requests, at which rate, and the events."""

    seconds: float
    rate: float
    steps: tuple[Step, ...]
    seed: int = 1
    beat_ms: float = 500
    fleet: Mapping[str, tuple[str, ...]] = SERVICES  # stages of each service's backends
    own_tokens: tuple[int, int] = OWN_TOKENS  # minimum and maximum size of each prompt's unique part
    shape: FleetShape = FleetShape()
    options: RunOptions = RunOptions()


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


TALLIES = DayPlan(
    9.0,
    10.0,
    (Step(1.5, "kill-primary", 1.0), Step(5.0, "kill-primary", 1.0)),
    options=RunOptions(tallies=TallyLoad()),
)
"""Adds to tallies and readings of them while primaries are killed and restarted."""

COLD = DayPlan(
    14.0,
    60.0,
    (
        Step(1.5, "cold", stage="prefill"),
        Step(5.0, "cold-return", 1.0),
        Step(5.5, "cold-return", 1.0, "prefill"),
        Step(10.0, "crash", 1.0, "prefill"),
    ),
    options=RunOptions(warm_up=WarmUp()),
)
"""Backends that return or start cold, under a load that one of them could not handle alone while cold."""

EVACUATION = DayPlan(
    16.0,
    30.0,
    (Step(1.0, "evacuate", 11.0, zone="zone-2"), Step(3.0, "kill-primary", 1.0)),
    shape=FleetShape(3, 3, 1, zones=3, zone_tolerance=1),
    options=RunOptions(warm_up=WarmUp()),
)
"""An evacuation of a zone whose backends are cold at its end; the primary is killed during it."""

DAYS = {"demo": DEMO, "tallies": TALLIES, "cold": COLD, "evacuation": EVACUATION}
"""The days by their names on the command line."""


class Day(LabRun):
    """Plays one day, and records what clients, backends and the operator see."""

    def __init__(self, plan: DayPlan, progress: Callable[[str], None], folder: Path | None) -> None:
        super().__init__(
            plan.seed, plan.beat_ms, plan.shape, progress, folder, plan.fleet, plan.own_tokens, plan.options
        )
        self.plan = plan

    async def _play(self) -> None:
        stop = asyncio.Event()
        load = self._spawn(self._clients.load(self.plan.rate, self.plan.seconds))
        steps = self._spawn(self._run_steps())
        calls = self._spawn(self._run_applications(stop))
        await load
        await steps
        stop.set()
        await calls
        await self._read_tallies()
        self.record.read_back = await self._operator.read_back(self.record.bounds.contact_ms / 1e3)
        self.record.ended = asyncio.get_running_loop().time()
        self._log_progress(f"read back revision {self.record.read_back.revision}")

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            for step in self.plan.steps:
                await asyncio.sleep(max(0.0, self._begun_at + step.at - loop.time()))
                group.create_task(self._run_step(step))

    async def _run_step(self, step: Step) -> None:
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
                backend = self._random_backend(step.stage)
                self._log_progress(f"{backend.instance} drains")
                backend.drain()
                if step.what == "drain":
                    await self._add_backend(backend.service, backend.model.stage, backend.zone)
            case "crash" | "lose":
                backend = self._random_backend(step.stage)
                self._log_progress(f"{backend.instance} crashes")
                backend.stop()
                if step.what == "crash":
                    await asyncio.sleep(step.for_s)
                    await self._add_backend(backend.service, backend.model.stage, backend.zone)
            case "evacuate":
                await self._evacuations.evacuate(step.zone, step.for_s, self._backends)
            case "cold":
                backend = self._random_backend(step.stage)
                self._log_progress(f"{backend.instance} turns cold")
                backend.turn_cold()
            case "cold-return":
                backend = self._random_backend(step.stage)
                self._log_progress(f"{backend.instance} loses its power for {step.for_s:g} s")
                backend.lose_power()
                await asyncio.sleep(step.for_s)
                backend.regain_power()
            case fault:
                backend = self._random_backend(step.stage)
                self._log_progress(f"{backend.instance}: {fault} for {step.for_s:g} s")
                backend.fault(fault)
                await asyncio.sleep(step.for_s)
                backend.fault(fault, False)

    def _random_backend(self, stage: str) -> Backend:
        """Return a random healthy backend of a stage, of the larger service."""
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

    async def _kill_primary(self, down_s: float) -> None:
        loop = asyncio.get_running_loop()
        name = await self._primary()
        if not name:
            self._log_progress("no primary to kill")
            return
        process, killed_at = self._fleet.controllers[name], loop.time()
        self._log_progress(f"{name}, the primary, is killed")
        index = len(self.record.troubles)
        self.record.troubles.append(Trouble("core", killed_at, float("inf"), f"{name} killed"))
        await process.kill()
        await asyncio.sleep(down_s)
        await self._fleet.start(process)
        self.record.troubles[index] = Trouble("core", killed_at, loop.time(), f"{name} killed")
        self._log_progress(f"{name} is started again")

    async def _stop_proxy(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        process, begin = self._fleet.proxies[name], loop.time()
        self._log_progress(f"{name} gets SIGTERM")
        index = len(self.record.troubles)
        self.record.troubles.append(Trouble(name, begin, float("inf"), "SIGTERM", True))
        if not await process.stop(self.record.bounds.grace_s):
            self.record.exits.append((f"{name} did not end in time", -9))
        await asyncio.sleep(RESTART_DELAY_S)
        self._platform.proxies[name].life += 1
        await self._fleet.start(process)
        self.record.troubles[index] = Trouble(name, begin, loop.time(), "SIGTERM", True)
        self._log_progress(f"{name} is started again")


def play(plan: DayPlan, progress: Callable[[str], None] = lambda text: None, folder: Path | None = None) -> DayRecord:
    """Play a day and return its record. A given folder keeps settings, logs and disks. SIGTERM ends the day as Ctrl-C
    does, after ending the processes."""

    async def run() -> DayRecord:
        playing = asyncio.ensure_future(Day(plan, progress, folder).play())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        return await playing

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
