"""Runs one process of the system, a proxy or a controller, with the settings file it is given.

Each role imports only its own modules, as memory and start-up time are priced.
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

    :param role: edge serves clients, control serves backends and operators
    :param metrics_port: port for metrics, overriding the settings file; 0 keeps the file's setting
    :param off: comma-separated mechanisms of deciding to switch off, overriding the settings file
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
