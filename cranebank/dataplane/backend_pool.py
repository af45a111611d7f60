"""The pool of connections to backends, with a limit for each backend."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cranebank.dataplane.backend_connections import Connection
from cranebank.dataplane.evidence import SendEvidence
from cranebank.transport.messages import Backend
from cranebank.transport.send_watch import LOOK_INTERVAL_S

# Many times the latency between zones; a request loses no more than this on an unreachable backend.
CONNECT_TIMEOUT_S = 0.3
REUSE_DELAY_S = 0.005  # before a connection is reused: bytes that belong to no answer arrive right after one
SWEEP_INTERVAL_S = 0.5
FREE_TIMEOUT_S = 2.0  # a connection is closed if the backend does not confirm the freeing of a handle for so long


class NoConnectionFree(ConnectionError):
    """All connections that this proxy may open to a backend are in use."""


class Pool:
    """All connections to backends, with a limit for each backend."""

    def __init__(self, counters: dict[str, int], local_ip: str = "") -> None:
        self._idle: dict[str, list[Connection]] = {}  # the one used last at the end
        self._all: dict[str, set[Connection]] = {}
        self._counters = counters
        self._local = local_ip
        self.max_connections: Callable[[Backend], int] = lambda backend: 64
        self._timer: asyncio.TimerHandle | None = None
        self._sending: set[Connection] = set()  # whose requests may not be acknowledged yet
        self._send_timer: asyncio.TimerHandle | None = None

    def take(self, backend: Backend) -> Connection | None:
        """Return an idle connection that has waited long enough to be reused, or None."""
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(backend.id, [])
        too_recent: list[Connection] = []
        found = None
        while connections and found is None:
            connection = connections.pop()
            if now - connection.idle_from < REUSE_DELAY_S:
                too_recent.append(connection)
            elif (
                now - connection.idle_from < connection.idle_for
                and connection.backend.address == backend.address
                and connection.usable()
            ):
                found = connection
            else:
                connection.abort()
        connections.extend(reversed(too_recent))
        return found

    async def dial(self, backend: Backend) -> Connection:
        """Open a connection. Raises OSError if it is not established in time or the limit is reached."""
        connections = self._all.setdefault(backend.id, set())
        if len(connections) >= self.max_connections(backend):
            raise NoConnectionFree("all connections to this backend are in use")
        host, _, port = backend.address.rpartition(":")
        connection = Connection(self, backend)
        connections.add(connection)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, host, int(port))
        except (OSError, ValueError) as error:
            self.forget(connection)
            raise ConnectionError(str(error)) from None
        except BaseException:
            self.forget(connection)
            raise
        self.count("dialled")
        return connection

    def count(self, event: str) -> None:
        """Count an event."""
        self._counters[event] = self._counters.get(event, 0) + 1

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for its next request."""
        connection.idle_from = asyncio.get_running_loop().time()
        if connection.idle_for <= REUSE_DELAY_S:
            connection.abort()
            return
        self._idle.setdefault(connection.backend.id, []).append(connection)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def watch(self, connection: Connection) -> None:
        """Look at the connection's send until the backend has acknowledged the whole request."""
        self._sending.add(connection)
        if self._send_timer is None:
            self._send_timer = asyncio.get_running_loop().call_later(LOOK_INTERVAL_S, self._look_at_sends)

    def _look_at_sends(self) -> None:
        loop = asyncio.get_running_loop()
        for connection in list(self._sending):
            if not connection.look_at_send(loop.time()):
                self._sending.discard(connection)
        self._send_timer = loop.call_later(LOOK_INTERVAL_S, self._look_at_sends) if self._sending else None

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._sending.discard(connection)
        key = connection.backend.id
        connections = self._all.get(key)
        if connections is not None:
            connections.discard(connection)
            if not connections:
                del self._all[key]
        idle = self._idle.get(key)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                del self._idle[key]

    def drop(self, backend: str) -> None:
        """Close the idle connections to a backend that has ended."""
        for connection in self._idle.pop(backend, []):
            connection.abort()

    def free(self, backend: Backend, handle: str) -> None:
        """Free the KV cache of a prefill that no decode backend will fetch; best effort, over an idle connection."""
        connection = self.take(backend)
        if connection is None:
            return
        listener = _NullListener()
        request = f"DELETE /api/kv-handle/{handle} HTTP/1.1\r\nHost: {backend.address}\r\n\r\n"
        connection.call(listener, 0, "", request.encode())
        asyncio.get_running_loop().call_later(FREE_TIMEOUT_S, connection.give_up, listener)

    def _sweep(self) -> None:
        now = asyncio.get_running_loop().time()
        for connections in list(self._idle.values()):
            for connection in [c for c in connections if now - c.idle_from >= c.idle_for]:
                connection.abort()
        self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep) if self._idle else None


class _NullListener:
    """The listener of a call whose answer is ignored."""

    def leg_head(self, leg: int, status: int, headers: dict[str, str]) -> None:
        """Do nothing."""

    def leg_data(self, leg: int, data: bytes) -> None:
        """Do nothing."""

    def leg_end(self, leg: int, by_close: bool) -> None:
        """Do nothing."""

    def leg_failed(self, leg: int, evidence: SendEvidence) -> None:
        """Do nothing."""
