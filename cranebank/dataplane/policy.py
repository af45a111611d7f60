"""The mechanisms by which a proxy chooses backends, each with a switch.

All are on by default. Switching one off shows its effect on a deployment (``benchmarks/ablation.py``). No rule that the
safety of requests depends on can be switched off.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec


class PolicyError(Exception):
    """An unknown mechanism; the text names it and the known ones. ``code`` is 'policy'."""

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
    "blended_draws": "the cheaper of two draws is taken with probability beta, which falls as costs age; off: always",
    "cached_parts": "tokens that a backend is expected to cache need no prefill; off: all count as to be read",
    "keepers": "backends known to cache a long shared prefix are compared with the draws; off: the draws alone",
    "homes": "a prefix that no backend is known to cache may go to its home; off: to the draws",
    "near_zone": "one more prefill backend is drawn from the proxy's own zone; off: the two draws alone",
    "congestion": "added work counts for the requests that wait behind it as well; off: it counts once",
    "slowness": "prefill backends that are slower than others are known as such; off: all count as alike",
    "told_readings": "proxies report prefills to each other as they begin; off: only by loads every 0.2 s",
    "told_loads": "neighbours report their loads on backends to each other; off: each proxy knows its own",
    "short_prompts_at_makers": "decode backends may prefill short prompts; off: prefill backends read all",
    "priorities": "a route's rank is sent to backends as a priority; off: all alike",
    "stage_loads": "controllers get the load of each stage and move backends by it; off: only to an empty stage",
}


def without(names: Iterable[str]) -> Policy:
    """Return the policy with these mechanisms off. Raises PolicyError."""
    off = tuple(names)
    for name in off:
        if name not in MECHANISMS:
            raise PolicyError(f"{name!r}: expected some of {', '.join(MECHANISMS)}")
    return Policy(**dict.fromkeys(off, False))
