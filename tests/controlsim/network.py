"""A simulated TCP network between processes: delays, cuts that hold bytes back, resets, closed ports, lost power."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from .loop import ProcessLoop, Scheduler

DELAY_S = (0.0002, 0.0015)
SYN_RETRY_INTERVAL_S = 1.0  # of a SYN that got no answer


class Signal:
    """An event that a stream carries besides bytes."""


END, RESET = Signal(), Signal()
Item = bytes | Signal


class _Socket:
    """Test double of a connection's socket."""

    def setsockopt(self, *_arguments: object) -> None:
        """Ignore options: there is no real socket."""

    def getsockname(self) -> tuple[str, int]:
        """Return an empty address, which is only printed."""
        return "", 0


class Listener:
    """A listening port; what ``create_server`` returns."""

    def __init__(
        self, network: Network, loop: ProcessLoop, factory: Callable[[], Any], address: tuple[str, int]
    ) -> None:
        self.network, self.loop, self.factory, self.address = network, loop, factory, address
        self.sockets = (_Socket(),)

    def close(self) -> None:
        """Stop listening."""
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]


class Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: Network, loop: ProcessLoop, local: str, remote: str) -> None:
        super().__init__()
        self.network, self.loop, self.local, self.remote = network, loop, local, remote
        self.protocol: Any = None
        self.peer: Transport | None = None
        self.is_over = False
        self._closing = self._is_paused = False
        self._inbox: list[Item] = []
        self.held_bytes = 0
        self.batch: list[Item] = []  # items sent at ``batch_at``, which arrive together
        self.batch_at = -1.0
        self.last_arrival = 0.0

    def begin(self, protocol: Any) -> None:
        """Hand the connection to its protocol."""
        self.protocol = protocol
        protocol.connection_made(self)
        if self._inbox:  # received before the dialling process had its connection
            self.loop.call_soon(self.receive, [])

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "peername":
            return None if self.is_over else (self.remote, 0)
        return {"socket": _Socket(), "sockname": (self.local, 0)}.get(name, default)

    def is_closing(self) -> bool:
        return self._closing

    def get_protocol(self) -> Any:
        return self.protocol

    def set_protocol(self, protocol: Any) -> None:
        self.protocol = protocol

    def get_write_buffer_size(self) -> int:
        return self.held_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore limits: the protocols here poll the size of the buffer instead."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if data and not self._closing:
            self.network.send(self, bytes(data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self._closing:
            self.network.send(self, END)

    def close(self) -> None:
        if not self._closing:
            self.network.send(self, END)
            self._finish(None)

    def abort(self) -> None:
        if not self.is_over:
            self.network.drop_held(self)
            self.network.send(self, RESET)
            self._finish(None)

    def lose(self, error: Exception | None) -> None:
        """End the connection after an error."""
        if not self.is_over:
            self._finish(error)

    def _finish(self, error: Exception | None) -> None:
        self._closing = self.is_over = True
        self.network.transports.pop(self, None)
        if self.protocol is not None:
            self.loop.call_soon(self.protocol.connection_lost, error)

    def pause_reading(self) -> None:
        self._is_paused = True

    def resume_reading(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self.loop.call_soon(self.receive, [])

    def receive(self, items: list[Item]) -> None:
        """Handle bytes and signals from the other end."""
        if self.is_over:
            return
        if self._is_paused or self.protocol is None:
            self._inbox += items
            return
        if self._inbox:
            items, self._inbox = self._inbox + items, []
        data = b""
        for item in items:
            if isinstance(item, bytes):
                data += item
                continue
            if data:
                self.protocol.data_received(data)
                data = b""
            if self.is_over:
                return
            if item is RESET:
                self.lose(ConnectionResetError())
            elif not self.protocol.eof_received():
                self.close()
        if data and not self.is_over:
            self.protocol.data_received(data)


class Network:
    """The connections of all machines, and cuts between machines."""

    def __init__(self, scheduler: Scheduler, seed: int) -> None:
        self.scheduler, self._seed = scheduler, seed
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.transports: dict[Transport, None] = {}
        self.without_power: set[str] = set()
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._held: dict[tuple[str, str], list[tuple[Transport, list[Item]]]] = {}
        self._randoms: dict[tuple[str, str], Random] = {}

    # Faults.

    def cut(self, source: str, target: str) -> None:
        """Hold back everything that one machine sends to another."""
        self._cuts[source, target] += 1

    def heal(self, source: str, target: str) -> None:
        """Undo one cut; once none is left, what was held back is sent."""
        pair = (source, target)
        self._cuts[pair] -= 1
        if self._cuts[pair] <= 0:
            del self._cuts[pair]
            for transport, items in self._held.pop(pair, []):
                transport.held_bytes -= _size(items)
                for item in items:
                    self.send(transport, item)

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing gets from the source to the target."""
        return (source, target) in self._cuts

    def reset(self, ip: str, is_chosen: Callable[[Transport], bool] = lambda _: True) -> int:
        """Break connections of a machine, at both ends; return how many."""
        found = [one for one in self.transports if one.local == ip and is_chosen(one)]
        for transport in found:
            for end in (transport, transport.peer):
                if end is not None and not end.is_over:
                    self.drop_held(end)
                    end.loop.call_soon(end.lose, ConnectionResetError())
        return len(found)

    def end_process(self, loop: ProcessLoop, has_power: bool) -> None:
        """End a process: its kernel resets its connections if the machine still has power."""
        for listener in [one for one in self.listeners.values() if one.loop is loop]:
            listener.close()
        for transport in [one for one in self.transports if one.loop is loop]:
            self.drop_held(transport)
            if has_power:
                self.send(transport, RESET)
            transport.is_over = True
            del self.transports[transport]

    # Streams.

    def send(self, transport: Transport, item: Item) -> None:
        """Send bytes or a signal to the other end, in order."""
        pair = (transport.local, transport.remote)
        if pair in self._cuts:
            self._hold(transport, [item])
            return
        now = self.scheduler.now
        if transport.batch_at == now:
            transport.batch.append(item)
            return
        batch = transport.batch = [item]
        transport.batch_at = now
        transport.last_arrival = max(now + self._delay(pair), transport.last_arrival)
        self.scheduler.at(transport.last_arrival, lambda: self._arrive(transport, batch))

    def drop_held(self, transport: Transport) -> None:
        """Drop what a cut holds back of this connection."""
        held = self._held.get((transport.local, transport.remote))
        if held is not None and transport.held_bytes:
            held[:] = [one for one in held if one[0] is not transport]
            transport.held_bytes = 0

    def _hold(self, transport: Transport, items: list[Item]) -> None:
        self._held.setdefault((transport.local, transport.remote), []).append((transport, items))
        transport.held_bytes += _size(items)

    def _arrive(self, transport: Transport, items: list[Item]) -> None:
        peer = transport.peer
        if transport.remote in self.without_power or peer is None:
            return
        if not peer.is_over:
            peer.loop.call_soon(peer.receive, items)
        elif items[-1] is not RESET and not transport.is_over and not self.is_cut(transport.remote, transport.local):
            transport.loop.call_soon(transport.lose, ConnectionResetError())

    def _delay(self, pair: tuple[str, str]) -> float:
        random = self._randoms.get(pair)
        if random is None:
            random = self._randoms[pair] = Random(f"{self._seed} {pair}")
        return random.uniform(*DELAY_S)

    # Connections.

    def listen(self, loop: ProcessLoop, factory: Callable[[], Any], ip: str, port: int) -> Listener:
        """Accept connections at a port."""
        if (ip, port) in self.listeners:
            raise OSError(f"{ip}:{port} is in use")
        listener = self.listeners[ip, port] = Listener(self, loop, factory, (ip, port))
        return listener

    async def connect(
        self, loop: ProcessLoop, factory: Callable[[], Any], local: str, remote: str, port: int
    ) -> tuple[Transport, Any]:
        """Dial; where nothing answers, this waits until the caller gives up."""
        done: asyncio.Future[Transport] = loop.create_future()

        def syn() -> None:
            if done.done() or loop.is_dead:
                return
            if self.is_cut(local, remote) or self.is_cut(remote, local) or remote in self.without_power:
                self.scheduler.after(SYN_RETRY_INTERVAL_S, syn)
                return
            back = self._delay((remote, local))
            listener = self.listeners.get((remote, port))
            if listener is None:
                self.scheduler.after(back, lambda: loop.call_soon(_fail, done, ConnectionRefusedError()))
                return
            ours, theirs = Transport(self, loop, local, remote), Transport(self, listener.loop, remote, local)
            ours.peer, theirs.peer = theirs, ours
            self.transports[ours] = self.transports[theirs] = None
            listener.loop.call_soon(lambda: None if theirs.is_over else theirs.begin(listener.factory()))
            self.scheduler.after(back, lambda: loop.call_soon(_succeed, done, ours))

        self.scheduler.after(self._delay((local, remote)), syn)
        transport = await done
        protocol = factory()
        transport.begin(protocol)
        if transport.is_over:
            loop.call_soon(protocol.connection_lost, ConnectionResetError())
        return transport, protocol


def _size(items: list[Item]) -> int:
    return sum(len(item) for item in items if isinstance(item, bytes))


def _fail(future: asyncio.Future[Transport], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)


def _succeed(future: asyncio.Future[Transport], transport: Transport) -> None:
    if future.done():
        transport.abort()
    else:
        future.set_result(transport)
