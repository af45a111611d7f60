"""Requests to cold backends, summed over all proxies."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Coroutine
from functools import wraps
from random import Random

import pytest
from msgspec import structs
from test_proxy import DOCUMENT as WIRE_DOCUMENT
from test_proxy import REQUEST, run_scenario

from cranebank.dataplane import open_request
from cranebank.dataplane import prompt as prompts
from cranebank.dataplane.candidates import BACKOFF_S, COLD_DOUBT_S
from cranebank.dataplane.cold_backends import COLD_MARGIN_S
from cranebank.dataplane.exchange import Exchange
from cranebank.dataplane.exchange_events import Begin, Call
from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.invariants import violations
from cranebank.membership.warm_up import PERMIT_REUSE_INTERVAL_S, PERMIT_SEND_TIMEOUT_S
from cranebank.transport.messages import Backend, WarmUpPermits

WARMUP_PER_S, COLD_OVER, COLD_SLACK = 23.0, 1.5, 5.0
BOUND = WARMUP_PER_S * COLD_OVER + COLD_SLACK
PROXIES = 73
LIMITED = (b'"name":"svc",', b'"name":"svc","cold_s":3.0,"warmup_per_s":23.0,')
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
    """A decode backend."""
    return Backend(name, "svc", f"10.0.0.{name}:1", "z", "decode", 12, "ready", call_seq, cold_left_ms)


def proxy_of(seed: int, backends: int = 10) -> Proxy:
    """A proxy that knows so many backends, all warm."""
    proxy = Proxy(RetryRule(0.2, 100, 10.0, True), Random(seed), asyncio.get_running_loop().time())
    assert proxy.configure(DOCUMENT)
    proxy.learn([backend(str(number)) for number in range(backends)])
    return proxy


def calls_of(proxy: Proxy) -> list[Call]:
    """The backend that a request would be sent to now."""
    assert proxy.table is not None
    now, route = asyncio.get_running_loop().time(), proxy.table.match("h", "/")
    assert route is not None
    exchange = Exchange(proxy.shared, route, "svc", proxy.table.services["svc"].engine, SHORT, now, now + 5.0)
    return [action for action in exchange.handle(now, Begin()) if isinstance(action, Call)]


def test_a_backend_that_turns_cold_under_its_id_is_not_flooded_by_many_proxies() -> None:
    """All requests of this test are sent within one second."""

    async def scenario() -> int:
        proxies = [proxy_of(seed) for seed in range(PROXIES)]
        for proxy in proxies:
            proxy.learn([backend("0", 3000, 2)])
        calls = [call for proxy in proxies for _ in range(REQUESTS_PER_PROXY) for call in calls_of(proxy)]
        return sum(call.backend.id == "0" for call in calls)

    assert asyncio.run(scenario()) <= BOUND


def in_loop(scenario: Callable[[], Coroutine[None, None, None]]) -> Callable[[], None]:
    """Run a test in an event loop, whose clock a proxy reads."""

    @wraps(scenario)
    def test() -> None:
        asyncio.run(scenario())

    return test


def permit(proxy: Proxy, backend_id: str, permits: int = 1, lease_s: float = 3.0) -> None:
    """Permits that a controller leases."""
    proxy.permit(WarmUpPermits(backend_id, permits, asyncio.get_running_loop().time() + lease_s))


def cold_proxy(backends: int = 1) -> Proxy:
    """A proxy all of whose backends are cold."""
    proxy = proxy_of(1, backends)
    proxy.learn([backend(str(number), 3000, 2) for number in range(backends)])
    return proxy


def ids(proxy: Proxy, after_s: float = 0.0, without: frozenset[str] = frozenset()) -> list[str]:
    """The candidates for a call, some time from now."""
    now = asyncio.get_running_loop().time() + after_s
    return [view.backend.id for view in proxy.shared.candidates.ready(now, "svc", "decode", without)]


@in_loop
async def test_where_all_backends_are_cold_only_permits_are_spent_and_the_rest_is_refused() -> None:
    """One call for each permit until it is free again; the empty list violates no invariant."""
    before = dict(violations())
    proxy = cold_proxy()
    assert calls_of(proxy) == [] and not proxy.shared.choices.of("svc", None).has_candidate(0.0, frozenset())
    permit(proxy, "0", 2)
    assert [len(calls_of(proxy)) for _ in range(4)] == [1, 1, 0, 0]
    assert ids(proxy, PERMIT_REUSE_INTERVAL_S - 0.05) == [] and ids(proxy, PERMIT_REUSE_INTERVAL_S) == ["0"]
    assert proxy.shared.counters["cold_calls"] == 2 and violations() == before


@in_loop
async def test_a_lease_ends_and_the_cold_period_too() -> None:
    proxy = cold_proxy()
    permit(proxy, "0", 1, lease_s=0.5)
    assert ids(proxy, 0.4) == ["0"] and ids(proxy, 0.6) == []
    assert ids(proxy, 3.0) == [] and ids(proxy, 3.0 + COLD_MARGIN_S) == ["0"]


@in_loop
async def test_a_late_message_with_permits_and_one_for_an_unknown_backend_change_nothing() -> None:
    proxy = cold_proxy()
    permit(proxy, "0", 1, lease_s=-0.1)
    permit(proxy, "unknown")
    assert ids(proxy) == [] and calls_of(proxy) == []


@in_loop
async def test_a_call_that_was_held_up_before_its_writing_is_withdrawn() -> None:
    """Otherwise it could be written within one second of the permit's next call."""
    proxy = cold_proxy()
    permit(proxy, "0")
    (call,) = calls_of(proxy)
    now, candidates = asyncio.get_running_loop().time(), proxy.shared.candidates
    assert candidates.may_write(now + PERMIT_SEND_TIMEOUT_S - 0.05, call.backend, call.permitted_until)
    assert not candidates.may_write(now + PERMIT_SEND_TIMEOUT_S + 0.05, call.backend, call.permitted_until)


@in_loop
async def test_a_call_that_was_dialled_while_its_backend_turned_cold_is_withdrawn() -> None:
    proxy = proxy_of(1, 1)
    (call,) = calls_of(proxy)
    now = asyncio.get_running_loop().time()
    assert proxy.shared.candidates.may_write(now, call.backend, call.permitted_until)
    proxy.learn([backend("0", 3000, 2)])
    assert not proxy.shared.candidates.may_write(now, call.backend, call.permitted_until)


@in_loop
async def test_a_lost_cold_backend_is_no_last_resort_without_a_permit() -> None:
    proxy = cold_proxy()
    proxy.learn([structs.replace(backend("0", 3000, 2), phase="lost")])
    assert ids(proxy) == []
    permit(proxy, "0")
    assert ids(proxy) == ["0"]


@in_loop
async def test_an_unreachable_backend_is_avoided_until_its_heartbeat_may_have_reported_it_cold() -> None:
    """It is still used if there is no other backend."""
    proxy = proxy_of(1, 2)
    now = asyncio.get_running_loop().time()
    proxy.shared.candidates.failed(now, "0", may_be_down=True)
    until = BACKOFF_S[0] + COLD_DOUBT_S
    assert ids(proxy, BACKOFF_S[0] + 0.1) == ["1"] and ids(proxy, BACKOFF_S[0] + 0.1, frozenset({"1"})) == ["0"]
    assert sorted(ids(proxy, until + 0.1)) == ["0", "1"]


@in_loop
async def test_backends_of_a_restored_zone_count_as_cold() -> None:
    proxy = proxy_of(1, 2)
    proxy.learn([structs.replace(backend("1", 0, 2), zone="other")])
    proxy.shared.candidates.restore_zones(asyncio.get_running_loop().time(), {"z"})
    assert ids(proxy) == ["1"]


@in_loop
async def test_a_proxy_reports_the_remaining_cold_time_of_a_backend() -> None:
    """An old figure would make a restarted controller take the backend for cold."""
    proxy = cold_proxy()
    now = asyncio.get_running_loop().time()
    (early,), (late,) = (proxy.shared.candidates.known(now + later) for later in (1.0, 5.0))
    assert 1900 <= early.cold_left_ms <= 2000 and late.cold_left_ms == 0


@in_loop
async def test_without_a_limit_a_cold_backend_is_used_like_any_other() -> None:
    """No clock is reported either, so that no permits are leased."""
    proxy = proxy_of(1, 2)
    assert proxy.clock_ms() > 0
    assert proxy.configure(DOCUMENT.replace(b'"revision": 1', b'"revision": 2').replace(b"warmup_per_s", b"other"))
    proxy.learn([backend("0", 3000, 2)])
    proxy.shared.candidates.failed(0.0, "1", may_be_down=True)
    assert sorted(ids(proxy, 1.0)) == ["0", "1"] and proxy.clock_ms() == 0 and not proxy.shared.candidates.cold


async def status(address: tuple[str, int]) -> bytes:
    """The status of the answer to a request; its connection to the backend is idle shortly afterwards."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(REQUEST)
    line = await reader.readline()
    await asyncio.sleep(0.05)
    writer.close()
    return line.split()[1]


@pytest.mark.parametrize("is_connected", [False, True])
def test_a_process_that_was_suspended_within_an_iteration_withdraws_its_call(
    monkeypatch: pytest.MonkeyPatch, is_connected: bool
) -> None:
    """The loop's clock stands still during an iteration. Tested over a new connection and over a kept one."""

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        if is_connected:
            assert await status(address) == b"200"
        assert proxy.configure(WIRE_DOCUMENT.replace(b'"revision":3', b'"revision":4').replace(*LIMITED))
        (record,) = proxy.shared.candidates.known()
        proxy.learn([structs.replace(record, cold_left_ms=3000, call_seq=2)])
        permit(proxy, "d0", 1)
        monkeypatch.setattr(open_request, "monotonic", lambda: time.monotonic() + PERMIT_SEND_TIMEOUT_S)
        assert await status(address) == b"503"
        assert proxy.counters["legs_unsent"] == 1
        monkeypatch.setattr(open_request, "monotonic", time.monotonic)
        permit(proxy, "d0", 1)
        assert await status(address) == b"200"

    run_scenario(scenario)
