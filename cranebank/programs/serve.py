"""Runs one process of the system, a proxy or a controller, by the settings file it is given.

Each role imports only its own modules: memory and the time of a start are priced.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec
import uvloop
from loguru import logger

from cranebank.dataplane.policy import PolicyError, without
from cranebank.programs import log_ring as ring_module
from cranebank.programs import timing
from cranebank.programs.settings import NodeSettings, Role, SettingsError, load

EXIT_UNUSABLE = 2


def serve(role: Role, metrics_port: int = 0, off: str = "") -> int:
    """Run one process of the system until it is stopped.

    :param role: what it is: edge carries the clients' traffic, control serves backends and operators
    :param metrics_port: where figures are told to scrapers, instead of what the settings file says; 0: as it says
    :param off: mechanisms of deciding to switch off, with commas between, instead of what the settings file says
    """
    try:
        settings = load(role=role, metrics_port=metrics_port)
        if off:
            settings = msgspec.structs.replace(settings, cranebank_policy=without(off.split(",")))
    except (SettingsError, PolicyError) as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE
    ring = ring_module.install(settings.node_name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return int(runner.run(_run(role, settings, ring)))


async def _run(role: Role, settings: NodeSettings, ring: ring_module.LogRing) -> int:
    if role == "edge":
        from cranebank.programs.edge import run  # noqa: PLC0415
    else:
        from cranebank.programs.control import run  # noqa: PLC0415
    for tight in timing.unmet(settings.bounds, role):
        logger.warning("{}", tight)
    return await run(settings, ring)
