"""The mechanisms by which a proxy decides, each with a switch.

All are on by default. Switching one off shows what it is worth on a deployment (``benchmarks/ablation.py``); no rule
that a request's safety rests on can be switched off.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec


class PolicyError(Exception):
    """A mechanism that does not exist; the text names it and those that do. ``code`` is 'policy'."""

    code = "policy"


class Policy(msgspec.Struct, frozen=True):
    """Which mechanisms are on."""

    blended_draws: bool = True
    cached_parts: bool = True
    keepers: bool = True
    homes: bool = True
    near_zone: bool = True
    congestion: bool = True
    slowness: bool = True
    told_readings: bool = True
    told_loads: bool = True
    short_prompts_at_makers: bool = True
    priorities: bool = True
    stage_loads: bool = True


ALL_ON = Policy()

MECHANISMS: Mapping[str, str] = {
    "blended_draws": "the lower of two draws is taken with probability beta, which falls as figures age; off: always",
    "cached_parts": "what a backend keeps of a prompt counts as read; off: it counts as to be read anew",
    "keepers": "who keeps a long shared part is compared with the draws; off: the draws alone",
    "homes": "a part that nobody is known to keep may go to its home; off: to the draws",
    "near_zone": "one more reader is drawn from the proxy's own zone; off: the two draws alone",
    "congestion": "work that is added counts for those that wait behind it; off: it counts for itself",
    "slowness": "a prefill backend that reads slower than others is known to; off: all count as alike",
    "told_readings": "proxies tell each other of readings as they begin; off: by their loads each 0.2 s alone",
    "told_loads": "neighbours tell each other what they have out at backends; off: each knows its own",
    "short_prompts_at_makers": "a short prompt may be read where its tokens are made; off: all are read apart",
    "priorities": "a route's rank goes on to backends as their priority; off: all alike",
    "stage_loads": "controllers are told the load of each stage and move backends by it; off: only to an empty stage",
}


def without(names: Iterable[str]) -> Policy:
    """The policy with these mechanisms off. Raises PolicyError."""
    off = tuple(names)
    for name in off:
        if name not in MECHANISMS:
            raise PolicyError(f"{name!r}: expected some of {', '.join(MECHANISMS)}")
    return Policy(**dict.fromkeys(off, False))
