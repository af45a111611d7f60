"""Rules on what proxies hold of backends: those that beat are in service, those that crashed are not.

*heard*: no proxy holds a backend for lost, or knows none, while a controller that it is joined to hears it.
*crashed*: no proxy holds a backend for ready that crashed long ago, where a controller that it is joined to has
contact with a majority.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .world import Machine, ProxyLife, World

FRESH_BEATS = 2.0  # a backend counts as heard for so many beats after an acknowledged heartbeat
WRONG_S = 2.0  # for how long a proxy may hold a backend for lost that is heard
CRASHED_S = 7.5  # 3.5 beats and 1 s, a look each 0.5 s, and 2.5 s for news of heartbeats that were relayed


class LivenessWatch:
    """Who acknowledged which backend's heartbeats when, against the records of the proxies."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._acknowledged: dict[str, dict[str, float]] = {}  # by backend and controller
        self._crashed: dict[str, float] = {}
        self._wrong_since: dict[tuple[ProxyLife, str], float] = {}

    def acknowledged(self, backend: str, controller: str) -> None:
        """A controller acknowledged a heartbeat of a ready backend."""
        self._acknowledged.setdefault(backend, {})[controller] = self._world.scheduler.now

    def crashed(self, backend: str) -> None:
        """It sends no heartbeat any more, and told nobody."""
        self._crashed[backend] = self._world.scheduler.now
        self._world.judge.note(f"{backend} crashes")

    def look(self) -> None:
        """Compare all records with what is heard now."""
        for proxy in self._world.proxies:
            if proxy.life is not None:
                for backend in self._acknowledged:
                    self._look_at_heard(proxy.life, backend)
                for backend in self._crashed:
                    self._look_at_crashed(proxy.life, backend)

    def _look_at_heard(self, life: ProxyLife, backend: str) -> None:
        now, judge = self._world.scheduler.now, self._world.judge
        record = life.plane.records.get(backend)
        is_wrong = record is None or record.phase == "lost"
        if not is_wrong or not self._is_heard(life, backend):
            self._wrong_since.pop((life, backend), None)
            return
        seconds = now - self._wrong_since.setdefault((life, backend), now)
        what = (
            "held a backend for lost that was heard" if record is not None else "did not know a backend that was heard"
        )
        judge.lasted(f"a proxy {what}", seconds)
        if seconds > WRONG_S:
            judge.breach("heard", f"{life} {what} where it is linked: {backend}, for {WRONG_S} s")

    def _is_heard(self, life: ProxyLife, backend: str) -> bool:
        """Whether a controller that runs and is joined to the proxy has acknowledged a heartbeat lately."""
        since = self._world.scheduler.now - FRESH_BEATS * self._world.beat_s
        return backend not in self._crashed and any(
            at >= since and self._is_joined(life, self._world.machines[controller])
            for controller, at in self._acknowledged[backend].items()
        )

    def _look_at_crashed(self, life: ProxyLife, backend: str) -> None:
        world = self._world
        since = max(self._crashed[backend], world.last_event, life.since)
        record = life.plane.records.get(backend)
        if world.scheduler.now - since <= CRASHED_S or record is None:
            return
        if any(machine.ip not in world.contactless and self._is_joined(life, machine) for machine in world.present()):
            world.judge.counts["crashed backends looked for at a proxy"] += 1
            if record.phase == "ready":
                world.judge.breach("crashed", f"{life} holds {backend} for ready, which crashed {CRASHED_S} s ago")

    def _is_joined(self, life: ProxyLife, machine: Machine) -> bool:
        network, proxy = self._world.network, life.proxy.ip
        if not machine.is_running or machine.is_frozen or life.loop.is_frozen:
            return False
        return not (network.is_cut(proxy, machine.ip) or network.is_cut(machine.ip, proxy))
