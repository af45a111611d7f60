"""Runs the balancer instances of one process on the wire: ``python -m cranebank.simwire.wirehost``.

Reads batches from standard input and writes one reply for each to standard output. The decisions are made in
``cranebank.decisions.balance``.
"""

from __future__ import annotations

import sys
from typing import TextIO

from cranebank.decisions.balance import Balancer
from cranebank.decisions.interface import Event, ServerEntry
from cranebank.simwire import wire


class Host:
    """The balancer instances of this process, and the numbered server lists that they share on the wire."""

    def __init__(self) -> None:
        self._nodes: dict[str, Balancer] = {}
        self._lists: dict[int, tuple[ServerEntry, ...]] = {}
        self._open_list: list[ServerEntry] = []
        self._open_list_ref = 0
        self._missing_entries = 0
        self._now = 0.0
        self._in_batch = False
        self._reply: list[str] = []

    def line(self, text: str) -> list[str] | None:
        """Handle one line; return the reply's lines if it ends a batch."""
        parts = text.split("\t")
        tag = parts[0]
        if tag == "BEGIN_BATCH":
            if self._in_batch:
                raise wire.WireError("expected COMMIT before the next BEGIN_BATCH")
            if len(parts) < 2:
                raise wire.WireError("expected the clock after BEGIN_BATCH")
            try:
                self._now = float(parts[1])
            except ValueError:
                raise wire.WireError(f"expected the clock, got {parts[1]!r}") from None
            self._in_batch = True
            self._reply = []
            return None
        if not self._in_batch:
            raise wire.WireError("expected BEGIN_BATCH")
        if tag == "SERVER":
            self._entry(parts)
            return None
        if self._missing_entries:
            raise wire.WireError(f"expected {self._missing_entries} more SERVER lines")
        if tag == "COMMIT":
            self._in_batch = False
            self._reply.append("EOR")
            return self._reply
        if len(parts) < 2:
            raise wire.WireError(f"expected a value after {tag}")
        self._message(tag, parts)
        return None

    def _message(self, tag: str, parts: list[str]) -> None:
        node = parts[1]
        if tag == "MANIFEST":
            if len(parts) < 3:
                raise wire.WireError("expected list number and number of entries")
            self._open_list_ref = wire.integer(node, "Ref")
            self._missing_entries = wire.integer(parts[2], "NodesList")
            self._open_list = []
            if not self._missing_entries:
                self._lists[self._open_list_ref] = ()
        elif tag == "START":
            wire.integer(node, "Node")
            if len(parts) < 4:
                raise wire.WireError("expected instance, seed and settings")
            settings = wire.parse_settings(parts[3:])
            self._nodes[node] = Balancer(settings, wire.integer(parts[2], "Entropy"))
        elif tag == "EXIT":
            self._nodes.pop(node, None)
        elif tag == "PEER":
            pass  # Instances exchange no messages; one from another version is ignored.
        elif tag == "ROSTER_CHANGE":
            self._handle(node, wire.parse_list(parts, self._lists))
        elif tag in wire.EVENTS:
            self._handle(node, wire.EVENTS[tag](parts))
        else:
            raise wire.WireError(f"unknown message {tag!r}")

    def _entry(self, parts: list[str]) -> None:
        if not self._missing_entries:
            raise wire.WireError("a SERVER line outside a MANIFEST")
        self._open_list.append(wire.parse_entry(parts))
        self._missing_entries -= 1
        if not self._missing_entries:
            self._lists[self._open_list_ref] = tuple(self._open_list)

    def _handle(self, node: str, event: Event) -> None:
        balancer = self._nodes.get(node)
        if balancer is None:
            raise wire.WireError(f"instance {node} was never started")
        try:
            actions = balancer.handle(self._now, event)
        except Exception as error:  # any failure of the decision code is reported on the wire
            self._reply.append(wire.format_broken(node, f"{type(error).__name__}: {error}"))
            return
        for action in actions:
            self._reply.append(wire.format_action(node, action))


def run(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Serve batches until the end of input and return the exit code."""
    host = Host()
    for number, raw in enumerate(source, 1):
        text = raw.rstrip("\r\n")
        if not text:
            continue
        try:
            reply = host.line(text)
        except wire.WireError as error:
            errors.write(f"line {number}: {error}: {text[:200]}\n")
            return 1
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    return 0


def main() -> int:
    """Run on the process's standard streams."""
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
