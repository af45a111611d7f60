"""Runs a program of the system on a network that the laboratory can cut.

``python -m cranebank.fleetlab.launcher edge`` runs the real program, unchanged. Its event loop wraps each connection
(``guarded_connection``), and datagrams on cut paths are dropped. ``CRANEBANK_LAB_NETWORK`` names the file with the cut
paths (``network``). No privileges are needed.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, cast

import uvloop

from cranebank.fleetlab.guarded_connection import GuardedConnection, GuardedTransport
from cranebank.fleetlab.network import NetworkView
from cranebank.programs import __main__ as programs
from cranebank.programs.settings import load

VARIABLE = "CRANEBANK_LAB_NETWORK"
PARENT_POLL_S = 1.0

ProtocolFactory = Callable[[], Any]


class GuardedLoop(uvloop.Loop):
    """An event loop whose TCP connections apply the cuts."""

    def __init__(self, view: NetworkView) -> None:
        super().__init__()
        self._view = view
        self._parent = os.getppid()
        self.call_soon(view.poll_on, self)
        self.call_soon(self._exit_with_parent)

    def _exit_with_parent(self) -> None:
        """Kill this process once the laboratory that started it has ended, so that no process is left running."""
        if os.getppid() != self._parent:
            os.kill(os.getpid(), signal.SIGKILL)
        self.call_later(PARENT_POLL_S, self._exit_with_parent)

    async def create_connection(  # type: ignore[override]  # the overloads for TLS and existing sockets aren't used
        self, protocol_factory: ProtocolFactory, host: Any = None, port: Any = None, **options: Any
    ) -> tuple[GuardedTransport, Any]:
        """Connect. The attempt waits while the path is cut in either direction."""
        await self._view.until_connectable(str(host))

        connection: GuardedConnection | None = None

        def guarded() -> GuardedConnection:
            nonlocal connection
            connection = GuardedConnection(protocol_factory(), self._view, dialled=True)
            return connection

        try:
            await super().create_connection(guarded, host, port, **options)
        except BaseException:
            if connection is not None:
                connection.abandon()
            raise
        assert connection is not None
        return connection.transport, connection.protocol

    async def create_server(
        self, protocol_factory: ProtocolFactory, host: Any = None, port: Any = None, **options: Any
    ) -> asyncio.Server:
        """Listen for connections that apply the cuts."""

        def guarded() -> GuardedConnection:
            return GuardedConnection(protocol_factory(), self._view, dialled=False)

        return cast(asyncio.Server, await super().create_server(guarded, host, port, **options))


def guarded_sockets(view: NetworkView) -> type[socket.socket]:
    """Return a socket class that drops datagrams on cut paths."""

    class GuardedSocket(socket.socket):
        """A socket with overridden datagram methods."""

        def sendto(self, data: Any, *arguments: Any) -> int:
            """Send a datagram, or drop it if the path is cut."""
            address = arguments[-1]
            if view.is_cut_to(str(address[0])):
                return len(data)
            return super().sendto(data, *arguments)

        def recvfrom(self, *arguments: Any) -> tuple[bytes, Any]:
            """Return the next datagram that did not come over a cut path."""
            while True:
                data, address = super().recvfrom(*arguments)
                if not view.is_cut_from(str(address[0])):
                    return data, address

    return GuardedSocket


def install(view: NetworkView) -> None:
    """Make every loop and socket that this process creates apply the cuts."""
    setattr(uvloop, "new_event_loop", lambda: GuardedLoop(view))  # noqa: B010 - it is declared as a function
    setattr(socket, "socket", guarded_sockets(view))  # noqa: B010 - it is declared as a class


def main(arguments: Sequence[str]) -> int:
    """Run a role of ``python -m cranebank.programs`` with the cuts applied."""
    install(NetworkView(Path(os.environ[VARIABLE]), load().ip))
    return programs.main(list(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
