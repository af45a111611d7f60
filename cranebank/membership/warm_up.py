"""The rate limit for requests to cold backends, and the timing of permits, as shared by controllers and proxies.

A service may set ``warmup_per_s``: the requests per second that one of its backends can take while it is cold. Requests
to a cold backend need permits: controllers lease them to proxies (``control/warm_up.py``), and a proxy sends to a cold
backend only under a permit (``dataplane/cold_backends.py``). Times are in seconds.

One permit never lets two requests be written within one second: a call is written within ``PERMIT_SEND_TIMEOUT_S`` of
the use of its permit or not at all, and the permit can be used again ``PERMIT_REUSE_INTERVAL_S`` after its last use.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

RATE_WINDOW_S = 1.0  # over which the limit counts requests
PERMIT_SEND_TIMEOUT_S = 0.34  # after the use of a permit: the longest dial, and a margin
PERMIT_REUSE_INTERVAL_S = 1.35  # between two uses of a permit: more than RATE_WINDOW_S + PERMIT_SEND_TIMEOUT_S
MAX_PERMIT_LEASE_S = 6.0  # longest lease of a permit
MAX_CLOCK_DRIFT_S = 0.1  # between two steady clocks over one lease
PERMIT_RELEASE_DELAY_S = PERMIT_REUSE_INTERVAL_S + MAX_CLOCK_DRIFT_S  # from the end of a lease to the next lease


class WarmUpLimit(msgspec.Struct, frozen=True):
    """The limit that a service's configuration sets for its cold backends."""

    per_s: float  # requests per second that one backend can take
    cold_s: float  # time for which a backend is cold after a start, or after the return of its zone


class _Service(msgspec.Struct):
    name: str
    warmup_per_s: float = 0.0
    cold_s: float = 0.0


class _Document(msgspec.Struct):
    services: tuple[_Service, ...] = ()


_decoder = msgspec.json.Decoder(_Document, strict=False)


def read_limits(document: bytes) -> dict[str, WarmUpLimit]:
    """Return the limits of the services that have one in a configuration. Raises msgspec.MsgspecError."""
    return {
        service.name: WarmUpLimit(service.warmup_per_s, service.cold_s)
        for service in _decoder.decode(document).services
        if service.warmup_per_s > 0
    }


Limits = Mapping[str, WarmUpLimit]
"""Limits by service name."""
