"""``python -m cranebank.programs edge|control``: one process of the system, by the settings file it is given.

Anything else goes to the commands (``command.py``), which a process that serves never imports.
"""

from __future__ import annotations

import sys


def main(arguments: list[str]) -> int:
    """Run what the command line names: a role, and a port for metrics; all else is left to the commands."""
    metrics_port = _metrics_port(arguments[1:])
    if arguments[:1] in (["edge"], ["control"]) and metrics_port is not None:
        from cranebank.programs.serve import serve  # noqa: PLC0415

        return serve("edge" if arguments[0] == "edge" else "control", metrics_port)
    from cranebank.programs import command  # noqa: PLC0415

    return command.main(arguments)


def _metrics_port(options: list[str]) -> int | None:
    """The port in ``--metrics-port PORT``, 0 without options; None: these are for the commands to read or refuse."""
    match options:
        case []:
            return 0
        case ["--metrics-port", port] if port.isascii() and port.isdigit():
            return int(port)
        case _:
            return None


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
