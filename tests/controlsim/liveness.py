"""Rules on the backend records of proxies: backends that send heartbeats are in service, crashed ones are not.

*heard*: no proxy considers a backend lost, or lacks its record, while a controller that the proxy is connected to
receives the backend's heartbeats.
*crashed*: no proxy considers a backend ready longer than ``CRASH_DETECTION_TIMEOUT_S`` after its crash, if a controller
that the proxy is connected to is in contact with a majority.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .world import Machine, ProxyLife, World

MAX_HEARTBEAT_AGE_BEATS = 2.0  # an older acknowledged heartbeat does not count as heard
MAX_WRONG_S = 2.0  # for how long a proxy may consider a heard backend lost
CRASH_DETECTION_TIMEOUT_S = 7.5
"""3.5 heartbeat intervals and 1 s until a loss, a check each 0.5 s, and 2.5 s for relayed heartbeats."""


class LivenessWatch:
    """Compares acknowledged heartbeats and crashes of backends with the records of the proxies."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._acknowledged: dict[str, dict[str, float]] = {}  # by backend and controller
        self._crashed: dict[str, float] = {}
        self._wrong_since: dict[tuple[ProxyLife, str], float] = {}

    def acknowledged(self, backend: str, controller: str) -> None:
        """Record that a controller acknowledged a heartbeat of a ready backend."""
        self._acknowledged.setdefault(backend, {})[controller] = self._world.scheduler.now

    def crashed(self, backend: str) -> None:
        """Record that a backend crashed: it sends no more heartbeats and announced no drain."""
        self._crashed[backend] = self._world.scheduler.now
        self._world.judge.note(f"{backend} crashes")

    def check(self) -> None:
        """Check the records of all proxies."""
        for proxy in self._world.proxies:
            if proxy.life is not None:
                for backend in self._acknowledged:
                    self._check_heard(proxy.life, backend)
                for backend in self._crashed:
                    self._check_crashed(proxy.life, backend)

    def _check_heard(self, life: ProxyLife, backend: str) -> None:
        now, judge = self._world.scheduler.now, self._world.judge
        record = life.plane.records.get(backend)
        is_wrong = record is None or record.phase == "lost"
        if not is_wrong or not self._is_heard(life, backend):
            self._wrong_since.pop((life, backend), None)
            return
        seconds = now - self._wrong_since.setdefault((life, backend), now)
        what = "considered a heard backend lost" if record is not None else "did not know a heard backend"
        judge.record_longest(f"a proxy {what}", seconds)
        if seconds > MAX_WRONG_S:
            judge.breach("heard", f"{life} {what} where it is linked: {backend}, for {MAX_WRONG_S} s")

    def _is_heard(self, life: ProxyLife, backend: str) -> bool:
        """Whether a running controller that the proxy is connected to has acknowledged a recent heartbeat."""
        since = self._world.scheduler.now - MAX_HEARTBEAT_AGE_BEATS * self._world.beat_s
        return backend not in self._crashed and any(
            at >= since and self._are_connected(life, self._world.machines[controller])
            for controller, at in self._acknowledged[backend].items()
        )

    def _check_crashed(self, life: ProxyLife, backend: str) -> None:
        world = self._world
        since = max(self._crashed[backend], world.last_event, life.since)
        record = life.plane.records.get(backend)
        if world.scheduler.now - since <= CRASH_DETECTION_TIMEOUT_S or record is None:
            return
        if any(
            machine.ip not in world.ips_without_majority and self._are_connected(life, machine)
            for machine in world.current_machines()
        ):
            world.judge.counts["crashed backends looked for at a proxy"] += 1
            if record.phase == "ready":
                world.judge.breach(
                    "crashed", f"{life} considers {backend} ready, which crashed {CRASH_DETECTION_TIMEOUT_S} s ago"
                )

    def _are_connected(self, life: ProxyLife, machine: Machine) -> bool:
        network, proxy = self._world.network, life.proxy.ip
        if not machine.is_running or machine.is_frozen or life.loop.is_frozen:
            return False
        return not (network.is_cut(proxy, machine.ip) or network.is_cut(machine.ip, proxy))
