"""The rule on backends that beat: no proxy holds one for lost while a controller that it is joined to hears it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .world import ProxyLife, World

FRESH_BEATS = 2.0  # a backend counts as heard for so many beats after an acknowledged heartbeat
WRONG_S = 2.0  # for how long a proxy may hold a backend for lost that is heard


class LivenessWatch:
    """Who acknowledged which backend's heartbeats when, against the records of the proxies."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._acknowledged: dict[str, dict[str, float]] = {}  # by backend and controller
        self._wrong_since: dict[tuple[ProxyLife, str], float] = {}

    def acknowledged(self, backend: str, controller: str) -> None:
        """A controller acknowledged a heartbeat of a ready backend."""
        self._acknowledged.setdefault(backend, {})[controller] = self._world.scheduler.now

    def look(self) -> None:
        """Compare all records with what is heard now."""
        for proxy in self._world.proxies:
            if proxy.life is not None:
                for backend in self._acknowledged:
                    self._look_at(proxy.life, backend)

    def _look_at(self, life: ProxyLife, backend: str) -> None:
        now, judge = self._world.scheduler.now, self._world.judge
        record = life.plane.records.get(backend)
        if record is None or record.phase != "lost" or not self._is_heard(life, backend):
            self._wrong_since.pop((life, backend), None)
            return
        seconds = now - self._wrong_since.setdefault((life, backend), now)
        judge.lasted("a proxy held a backend for lost that was heard", seconds)
        if seconds > WRONG_S:
            judge.breach("heard", f"{life} holds {backend} for lost, which beats where it is linked, for {WRONG_S} s")

    def _is_heard(self, life: ProxyLife, backend: str) -> bool:
        """Whether a controller that runs and is joined to the proxy has acknowledged a heartbeat lately."""
        since = self._world.scheduler.now - FRESH_BEATS * self._world.beat_s
        return any(
            at >= since and self._is_linked(life, controller) for controller, at in self._acknowledged[backend].items()
        )

    def _is_linked(self, life: ProxyLife, ip: str) -> bool:
        world, proxy = self._world, life.proxy.ip
        machine = world.machines[ip]
        if not machine.is_running or machine.is_frozen:
            return False
        return not (world.network.is_cut(proxy, ip) or world.network.is_cut(ip, proxy))
