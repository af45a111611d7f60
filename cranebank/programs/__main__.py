"""``python -m cranebank.programs edge|control``: one process of the system, by the settings file it is given.

Anything else goes to the commands (``command.py``), which a process that serves never imports.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Literal

ROLES = ("edge", "control")


def serve(role: Literal["edge", "control"]) -> int:
    """Run one process of the system.

    :param role: what it is: edge carries the clients' traffic, control serves backends and operators
    """
    import uvloop  # noqa: PLC0415

    from cranebank.programs import ring as ring_module  # noqa: PLC0415
    from cranebank.programs.settings import SettingsError, load  # noqa: PLC0415

    try:
        settings = load()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    ring = ring_module.install(settings.node_name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        if role == "edge":
            from cranebank.programs import edge  # noqa: PLC0415

            return int(runner.run(edge.run(settings, ring)))
        from cranebank.programs import control  # noqa: PLC0415

        return runner.run(control.run(settings, ring))


def main(arguments: list[str]) -> int:
    """Run what the command line names; anything but a role's name alone is left to the commands."""
    if len(arguments) == 1 and arguments[0] in ROLES:
        return serve(arguments[0])  # type: ignore[arg-type]
    from cranebank.programs import command  # noqa: PLC0415

    return command.main(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
