"""This proxy's offered load on each stage of a service, in erlangs: the number of backends that it alone keeps busy.

Prefill load is counted when a prefill is sent, whatever its outcome, as requests that wait in vain at an overloaded
stage are load too. Decode load is the share of the backends' capacity that this proxy's streams take, sampled at each
report. Neither depends on the number of backends, so the primary can compute what one more would change.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp

from cranebank.dataplane.backend_view import BackendView
from cranebank.decayed_rate import DecayedRate
from cranebank.transport.messages import StageLoad

# Long enough that a burst or a start with empty caches does not count as lasting load; the loss of a backend still
# shows at once
LOAD_AVERAGING_S = 10.0
MAX_REPORTED_SERVICES = 64  # services that are reported: those with the most load
MIN_REPORTED_ERLANGS = 0.001  # smaller loads are not reported


class OfferedLoad:
    """The load of one proxy by service. Times are in seconds on the steady clock. The size is bounded by the number of
    routed services."""

    def __init__(self) -> None:
        self._prefill_load: dict[str, DecayedRate] = {}
        self._decode_load: dict[str, float] = {}
        self._sampled_at: float | None = None

    def add_prefill(self, now: float, service: str, seconds: float) -> None:
        """Add a prefill of this duration, without its waiting time. A negative duration removes one that was not
        sent."""
        if not seconds:
            return
        rate = self._prefill_load.get(service)
        if rate is None:
            rate = self._prefill_load[service] = DecayedRate(LOAD_AVERAGING_S)
        rate.add(now, seconds)

    def report(self, now: float, backends: Iterable[BackendView]) -> tuple[StageLoad, ...]:
        """Return the load of each service. ``backends``: all known backends, with this proxy's calls in flight."""
        self._sample_decode(now, backends)
        prefill = {service: max(0.0, rate.at(now)) for service, rate in self._prefill_load.items()}
        self._forget_idle(prefill)
        loads = [
            StageLoad(service, round(prefill.get(service, 0.0), 4), round(self._decode_load.get(service, 0.0), 4))
            for service in prefill.keys() | self._decode_load.keys()
        ]
        loads = [load for load in loads if max(load.prefill, load.decode) >= MIN_REPORTED_ERLANGS]
        if len(loads) > MAX_REPORTED_SERVICES:
            loads = sorted(loads, key=lambda load: -max(load.prefill, load.decode))[:MAX_REPORTED_SERVICES]
        return tuple(loads)

    def _sample_decode(self, now: float, backends: Iterable[BackendView]) -> None:
        current: dict[str, float] = {}
        for view in backends:
            backend = view.backend
            if view.calls and backend.stage == "decode":
                current[backend.target] = current.get(backend.target, 0.0) + view.calls / backend.capacity
        since = self._sampled_at if self._sampled_at is not None else now  # both loads are averaged from zero
        decay = exp(-max(0.0, now - since) / LOAD_AVERAGING_S)
        self._sampled_at = now
        services = current.keys() | self._decode_load.keys()
        self._decode_load = {
            service: decay * self._decode_load.get(service, 0.0) + (1.0 - decay) * current.get(service, 0.0)
            for service in services
        }

    def _forget_idle(self, prefill: dict[str, float]) -> None:
        self._prefill_load = {
            name: rate for name, rate in self._prefill_load.items() if prefill[name] >= MIN_REPORTED_ERLANGS / 10
        }
        self._decode_load = {
            name: load for name, load in self._decode_load.items() if load >= MIN_REPORTED_ERLANGS / 10
        }
