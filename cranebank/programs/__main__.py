"""``python -m cranebank.programs edge|control``: runs one process of the system with the settings file it is given.

Any other arguments go to the commands (``command.py``), which a serving process never imports.
"""

from __future__ import annotations

import sys
from typing import NamedTuple


def main(arguments: list[str]) -> int:
    """Run the role that the command line names, with its options; pass everything else to the commands."""
    options = _options(arguments[1:])
    if arguments[:1] in (["edge"], ["control"]) and options is not None:
        from cranebank.programs.serve import serve  # noqa: PLC0415

        return serve("edge" if arguments[0] == "edge" else "control", options.metrics_port, options.without)
    from cranebank.programs import command  # noqa: PLC0415

    return command.main(arguments)


class Options(NamedTuple):
    """Options of a serving process. ``without``: comma-separated mechanisms to switch off, on a proxy only."""

    metrics_port: int = 0
    without: str = ""


def _options(words: list[str]) -> Options | None:
    """Parse the options, or return None if the commands are to parse or reject them."""
    match words:
        case []:
            return Options()
        case ["--metrics-port", port, *rest] if port.isascii() and port.isdigit():
            found = _options(rest)
            return found and found._replace(metrics_port=int(port))
        case ["--without", names, *rest] if names:
            found = _options(rest)
            return found and found._replace(without=names)
        case _:
            return None


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
