"""Operators that start and finish evacuations of zones, and the rules: acknowledged changes hold and reach proxies."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from .actors import FINAL_STATUSES, RETRY_PAUSE_S, Caller

if TYPE_CHECKING:
    from .world import World

ZONES = ("a", "b", "c")
PROPAGATION_TIMEOUT_S = 5.0  # from an acknowledgement until proxies in touch apply it
EVACUATION_ACK_TIMEOUT_S = 1.0  # in calm times


class Evacuator(Caller):
    """Starts and finishes the evacuation of one zone in turn; each call is sent until a final answer comes."""

    def __init__(self, world: World, zone: str, random: Random) -> None:
        super().__init__(world, f"evacuator of {zone}", random)
        self._zone = zone
        self.pause_s = (0.02, 1.0)

    def start(self) -> None:
        """Start its task."""
        self.loop.call_soon(lambda: self.loop.create_task(self._run()))

    async def _run(self) -> None:
        is_start = True
        while not self.world.is_winding_down:
            await asyncio.sleep(self.random.uniform(*self.pause_s))
            if await self._send(is_start):
                is_start = not is_start

    async def _send(self, is_start: bool) -> bool:
        rules, tries, pause = self.world.evacuation_rules, 0, RETRY_PAUSE_S[0]
        rules.sent(self._zone, is_start, expects_answer=not self.early_timeout_share)
        path = f"/api/Evacuation.{'Start' if is_start else 'Finish'}/{self._zone}"
        while not self.world.is_finished:
            tries += 1
            answer = await self.ask("POST", path)
            if answer is not None and answer.status in FINAL_STATUSES:
                rules.answered(self._zone, is_start, answer.status, answer.controller, tries)
                return True
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.5))
            pause = min(2 * pause, RETRY_PAUSE_S[1])
        return False


class EvacuationRules:
    """Checks the evacuated zones of primaries and proxies against the acknowledged changes."""

    def __init__(self, world: World) -> None:
        self._world, self._judge = world, world.judge
        self._sent: dict[str, int] = {}  # number of changes by zone
        self._acknowledged: dict[
            str, tuple[bool, float]
        ] = {}  # by zone: last change acknowledged, and when, if none was sent since

    def sent(self, zone: str, is_start: bool, expects_answer: bool) -> None:
        """Record a change that is sent: until its acknowledgement either state is allowed.

        ``expects_answer``: no answer gets lost, so in calm times the acknowledgement is due soon.
        """
        self._acknowledged.pop(zone, None)
        number = self._sent[zone] = self._sent.get(zone, 0) + 1
        self._judge.note(f"evacuation of {zone}: {'start' if is_start else 'finish'} is sent")
        if not expects_answer or not self._world.is_calm():
            return
        event = self._world.last_event

        def check() -> None:
            if self._world.last_event == event and self._sent[zone] == number and zone not in self._acknowledged:
                self._judge.breach(
                    "evacuation", f"{zone}: not acknowledged within {EVACUATION_ACK_TIMEOUT_S} s of a calm time"
                )

        self._judge.counts["evacuations sent in calm times"] += 1
        self._world.scheduler.after(EVACUATION_ACK_TIMEOUT_S, check)

    def answered(self, zone: str, is_start: bool, status: int, controller: str, tries: int) -> None:
        """Judge a final answer."""
        what = f"evacuation of {zone}: {'start' if is_start else 'finish'}"
        self._judge.note(f"{controller} answers {status} to {what}, try {tries}")
        if status != 200:
            self._judge.breach("evacuation", f"{what} is refused with {status}")
            return
        self._judge.counts[f"evacuations acknowledged: {'start' if is_start else 'finish'}"] += 1
        if tries > 1:
            self._judge.counts["evacuations acknowledged when sent again"] += 1
        self._acknowledged[zone] = is_start, self._world.scheduler.now
        self._world.evacuation_acknowledged()

    def check(self) -> None:
        """Check acknowledged changes at the primary, and ``PROPAGATION_TIMEOUT_S`` later at proxies in touch."""
        primary, now = self._world.primary(), self._world.scheduler.now
        if primary is not None and primary.controller is not None:
            self._compare(f"primary {primary.ip}", set(primary.controller.evacuated()), now)
        for proxy in self._world.proxies:
            life = proxy.life
            if life is None or life.loop.is_frozen or not self._world.is_in_touch(life, now - PROPAGATION_TIMEOUT_S):
                continue
            quiet_since = min(now, self._world.last_event + PROPAGATION_TIMEOUT_S)
            if now > quiet_since:
                self._judge.counts["evacuations looked for at a proxy in touch"] += bool(self._acknowledged)
                self._compare(str(life), set(life.plane.evacuated), now - PROPAGATION_TIMEOUT_S)

    def check_end_state(self) -> None:
        """Check that all controllers and proxies hold the acknowledged changes at the end of the run."""
        now = self._world.scheduler.now
        for machine in self._world.current_machines():
            if machine.controller is not None:
                self._compare(f"controller {machine.ip}", set(machine.controller.evacuated()), now)
        for proxy in self._world.proxies:
            if proxy.life is not None:
                self._compare(str(proxy.life), set(proxy.life.plane.evacuated), now)

    def _compare(self, who: str, evacuated: set[str], acknowledged_by: float) -> None:
        for zone, (is_start, at) in self._acknowledged.items():
            if at <= acknowledged_by and (zone in evacuated) != is_start:
                state = "evacuated" if is_start else "restored"
                self._judge.breach("evacuation", f"{who}: {zone} is not {state}, acknowledged at {at:.2f}")
