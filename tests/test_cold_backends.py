"""Requests to backends that are cold, summed over all proxies."""

from __future__ import annotations

import asyncio
import json
from random import Random

from cranebank.dataplane import prompt as prompts
from cranebank.dataplane.exchange import Exchange
from cranebank.dataplane.exchange_events import Begin, Call
from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.transport.messages import Backend

WARMUP_PER_S, COLD_OVER, COLD_SLACK = 23.0, 1.5, 5.0
BOUND = WARMUP_PER_S * COLD_OVER + COLD_SLACK
PROXIES = 73
REQUESTS_PER_PROXY = 15
SHORT = prompts.read({"x-token-counts": "383,6", "x-prompt-prefix": "a:55,b:37,c:291"})
DOCUMENT = json.dumps(
    {
        "revision": 1,
        "routes": [{"name": "r", "hostname": "h", "path_prefix": "/", "target": "svc"}],
        "services": [{"name": "svc", "engine": {"capacity": 12}, "cold_s": 3.0, "warmup_per_s": WARMUP_PER_S}],
    }
).encode()


def backend(name: str, cold_left_ms: int = 0, call_seq: int = 1) -> Backend:
    """A backend that makes tokens."""
    return Backend(name, "svc", f"10.0.0.{name}:1", "z", "decode", 12, "ready", call_seq, cold_left_ms)


def proxy_of(seed: int) -> Proxy:
    """A proxy with ten backends, all warm."""
    proxy = Proxy(RetryRule(0.2, 100, 10.0, True), Random(seed), asyncio.get_running_loop().time())
    assert proxy.configure(DOCUMENT)
    proxy.learn([backend(str(number)) for number in range(10)])
    return proxy


def calls_of(proxy: Proxy) -> list[Call]:
    """Where a request of this moment goes."""
    assert proxy.table is not None
    now, route = asyncio.get_running_loop().time(), proxy.table.match("h", "/")
    assert route is not None
    exchange = Exchange(proxy.shared, route, "svc", proxy.table.services["svc"].engine, SHORT, now, now + 5.0)
    return [action for action in exchange.handle(now, Begin()) if isinstance(action, Call)]


def test_a_backend_that_turns_cold_under_its_id_is_not_flooded_by_many_proxies() -> None:
    """All that is sent here is sent within one second."""

    async def story() -> int:
        proxies = [proxy_of(seed) for seed in range(PROXIES)]
        for proxy in proxies:
            proxy.learn([backend("0", 3000, 2)])
        calls = [call for proxy in proxies for _ in range(REQUESTS_PER_PROXY) for call in calls_of(proxy)]
        return sum(call.backend.id == "0" for call in calls)

    assert asyncio.run(story()) <= BOUND
