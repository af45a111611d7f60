"""What controllers and proxies must agree on for requests to cold backends: the limit, and the times of a permit.

A service may name ``warmup_per_s``: how many requests a second one of its backends bears while it is cold. What is sent
to a cold backend is counted out by permits. A controller leases permits to proxies (``control/warm_up.py``), and a
proxy sends to a cold backend under a permit only (``dataplane/cold_backends.py``). Times are seconds.

One permit never lets two requests be written within one second: a call under it is written within
``PERMIT_SEND_TIMEOUT_S`` of its use or not at all, and the permit is free again ``PERMIT_REUSE_INTERVAL_S`` after its
use.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

SECOND_S = 1.0  # over which the rule counts requests
PERMIT_SEND_TIMEOUT_S = 0.34  # of the use of a permit: the longest dial, and a little
PERMIT_REUSE_INTERVAL_S = 1.35  # between two uses of a permit: more than SECOND_S and PERMIT_SEND_TIMEOUT_S together
MAX_PERMIT_LEASE_S = 6.0  # the longest lease of a permit
CLOCK_DRIFT_S = 0.1  # by which two steady clocks differ over a lease at most
PERMIT_RELEASE_DELAY_S = PERMIT_REUSE_INTERVAL_S + CLOCK_DRIFT_S  # from the end of a lease to the permit's next lease


class WarmUpLimit(msgspec.Struct, frozen=True):
    """What a service's configuration says of its cold backends."""

    per_s: float  # requests that one bears
    cold_s: float  # for which one is cold after a start, or after the return of its zone


class _Service(msgspec.Struct):
    name: str
    warmup_per_s: float = 0.0
    cold_s: float = 0.0


class _Document(msgspec.Struct):
    services: tuple[_Service, ...] = ()


_decoder = msgspec.json.Decoder(_Document, strict=False)


def read_limits(document: bytes) -> dict[str, WarmUpLimit]:
    """The limits of a configuration's services that have one. Raises msgspec.MsgspecError."""
    return {
        service.name: WarmUpLimit(service.warmup_per_s, service.cold_s)
        for service in _decoder.decode(document).services
        if service.warmup_per_s > 0
    }


Limits = Mapping[str, WarmUpLimit]
"""By the service's name."""
