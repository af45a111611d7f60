"""A controller and a proxy over loopback: heartbeats of a cold backend, and the permits that follow them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest
from test_configuration import body, document, route
from test_control_program import ONE, PROXY, REPLACE, Caller, caller, controller_settings, free_port
from test_flat_over_changes import DataPlane, single_replica
from test_registry import beat

from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.membership.fleet import FleetLinks
from cranebank.membership.warm_up import PERMIT_RELEASE_DELAY_S, PERMIT_REUSE_INTERVAL_S
from cranebank.programs.control import Controller
from cranebank.storage.store import AsyncStore, open_store
from cranebank.transport.messages import Hello

LEASE_S = 1.0
LIMIT_S = 20.0
SHARE = int(23 * PERMIT_REUSE_INTERVAL_S) // 3  # of one controller; at least three are assumed
SERVICE = {"name": "s", "engine": {"capacity": 12}, "cold_s": 3.0, "warmup_per_s": 23.0}


async def heartbeat(client: Caller, call_seq: int, cold_left_ms: int) -> None:
    sent = beat(call_seq, cold_left_ms=cold_left_ms)
    status, _, answer = await client.call("POST", "/api/Servers.Heartbeat/i", sent)
    assert status == 200, answer


async def calls_allowed(folder: Path) -> list[int]:
    """Return the calls allowed to the one backend while it is warm (many), cold without permits, and with permits."""
    ports = (free_port(), free_port())
    store, _ = open_store(folder, "custody")
    settings = controller_settings(ONE, ports)
    controller = Controller(settings, single_replica, AsyncStore(store), Random(1), lambda: settings)
    await controller.start()
    proxy = Proxy(RetryRule(0.1, 10, 1.0, True), Random(2), controller.now())
    links = FleetLinks(DataPlane(proxy), lambda: Hello("edge-1", "proxy", PROXY, "z", 1), PROXY, ports[0])
    links.name((ONE,))
    allowed: list[int] = []
    try:
        while not (controller.holds_lease() and links.up):
            await asyncio.sleep(0.01)
        async with caller(ports) as client:
            configuration = body(document(revision=1, routes=[route(target="s")], services=[SERVICE]))
            status, _, answer = await client.call("POST", REPLACE, configuration, 0)
            assert status == 200, answer
            await heartbeat(client, 1, 0)
            await asyncio.sleep(0.2)
            allowed.append(calls(proxy))
            await heartbeat(client, 2, 200)  # within the controller's quiet period after its start: no permits
            await asyncio.sleep(0.1)
            allowed.append(calls(proxy))
            await asyncio.sleep(LEASE_S + PERMIT_RELEASE_DELAY_S + 0.5)
            await heartbeat(client, 3, 3000)
            await asyncio.sleep(0.2)
            allowed.append(calls(proxy))
    finally:
        links.stop()
        await controller.stop()
    return allowed


def calls(proxy: Proxy) -> int:
    """Start as many calls as are allowed now, up to a hundred, and return their number."""
    candidates, now = proxy.shared.candidates, asyncio.get_running_loop().time()
    count = 0
    while count < 100 and (listed := candidates.ready(now, "s", "decode")):
        candidates.begin_call(now, listed[0])
        count += 1
    return count


def test_a_heartbeat_under_a_known_id_makes_a_backend_cold_and_brings_permits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Uses a short lease, because a starting controller waits for the length of one."""
    monkeypatch.setattr("cranebank.control.warm_up.MAX_PERMIT_LEASE_S", LEASE_S)

    async def limited() -> list[int]:
        async with asyncio.timeout(LIMIT_S):
            return await calls_allowed(tmp_path)

    assert asyncio.run(limited()) == [100, 0, SHARE]
