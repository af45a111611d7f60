"""Cut paths between processes on real loopback sockets: silence during a cut, and TCP behaviour after it heals."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path as FilePath
from typing import Any

import pytest

from cranebank.fleetlab.launcher import VARIABLE as NETWORK_VARIABLE
from cranebank.fleetlab.launcher import GuardedLoop, guarded_sockets
from cranebank.fleetlab.network import LabNetwork, NetworkView, Path, both_ways, one_way
from cranebank.http.socket_state import readable
from cranebank.programs.settings import SETTINGS_FILE_VARIABLE as SETTINGS_VARIABLE

OWN, PEER = "127.0.14.1", "127.0.14.2"
TO_PEER, FROM_PEER = (Path(OWN, PEER),), (Path(PEER, OWN),)
TEST_TIMEOUT_S = 10.0
SILENCE_S = 0.15  # anything that is not held back arrives within this time


class Recorder(asyncio.Protocol):
    """Records the bytes and events it receives."""

    def __init__(self) -> None:
        self.data = b""
        self.events: list[str] = []
        self.error: Exception | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.events.append("made")

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> None:
        self.events.append("end")

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc
        self.events.append("lost")


class Peer:
    """The remote machine, with plain sockets that don't apply cuts."""

    def __init__(self) -> None:
        self.listener = socket.create_server((PEER, 0))
        self.listener.setblocking(False)
        self.port: int = self.listener.getsockname()[1]

    async def accept(self) -> socket.socket:
        found, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return found


Scenario = Callable[[LabNetwork, NetworkView, Peer], Awaitable[None]]


def play(folder: FilePath, scenario: Scenario) -> None:
    """Run a scenario on a loop that applies the cuts."""
    loop: GuardedLoop | None = None
    view: NetworkView | None = None

    def make() -> GuardedLoop:
        nonlocal loop, view
        view = NetworkView(folder / "network.json", OWN)
        loop = GuardedLoop(view)
        return loop

    async def run() -> None:
        assert view is not None
        peer = Peer()
        with peer.listener:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(network, view, peer)

    network = asyncio.run(make_network(folder))
    with asyncio.Runner(loop_factory=make) as runner:
        runner.run(run())


async def make_network(folder: FilePath) -> LabNetwork:
    return LabNetwork(folder / "network.json")


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


async def cut(network: LabNetwork, view: NetworkView, paths: tuple[Path, ...]) -> None:
    """Cut paths, and wait until the process has noticed."""
    network.cut(paths)
    await until(lambda: all(view.is_cut_to(p.target) if p.source == OWN else view.is_cut_from(p.source) for p in paths))


async def dial(peer: Peer) -> tuple[Recorder, socket.socket]:
    loop = asyncio.get_running_loop()
    _, recorder = await loop.create_connection(Recorder, PEER, peer.port)
    return recorder, await peer.accept()


async def has_nothing_to_read(sock: socket.socket) -> bool:
    try:
        async with asyncio.timeout(SILENCE_S):
            await asyncio.get_running_loop().sock_recv(sock, 100)
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize("paths", [TO_PEER, FROM_PEER, TO_PEER + FROM_PEER], ids=["out", "in", "both"])
def test_bytes_on_a_cut_path_come_when_it_heals_in_order(tmp_path: FilePath, paths: tuple[Path, ...]) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        recorder, peer_socket = await dial(peer)
        with peer_socket:
            assert recorder.transport is not None
            await cut(network, view, paths)
            recorder.transport.write(b"to ")
            await loop.sock_sendall(peer_socket, b"from ")
            if paths == TO_PEER:
                await until(lambda: recorder.data == b"from ")
            if paths == FROM_PEER:
                assert await loop.sock_recv(peer_socket, 100) == b"to "
            if paths != FROM_PEER:
                assert await has_nothing_to_read(peer_socket)
            if paths != TO_PEER:
                assert recorder.data == b""
            network.heal(paths)
            recorder.transport.write(b"peer")
            await loop.sock_sendall(peer_socket, b"peer")
            await until(lambda: recorder.data == b"from peer")
            found = b"to " if paths == FROM_PEER else b""
            while found != b"to peer":
                found += await loop.sock_recv(peer_socket, 100)

    play(tmp_path, scenario)


def test_a_dial_hangs_until_the_cut_heals(tmp_path: FilePath) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        await cut(network, view, FROM_PEER)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SILENCE_S):
                await dial(peer)
        dial_task = asyncio.ensure_future(dial(peer))
        network.heal(FROM_PEER)
        recorder, peer_socket = await dial_task
        peer_socket.close()
        assert recorder.events == ["made"]

    play(tmp_path, scenario)


def test_a_connection_accepted_while_cut_off_is_told_when_the_cut_heals(tmp_path: FilePath) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        accepted: list[Recorder] = []

        def accept() -> Recorder:
            accepted.append(Recorder())
            return accepted[-1]

        server = await loop.create_server(accept, OWN, 0)
        port = server.sockets[0].getsockname()[1]
        await cut(network, view, TO_PEER)
        with socket.socket() as peer_socket:
            peer_socket.setblocking(False)
            peer_socket.bind((PEER, 0))
            await loop.sock_connect(peer_socket, (OWN, port))
            await loop.sock_sendall(peer_socket, b"early")
            await until(lambda: bool(accepted))
            assert accepted[0].events == []
            network.heal(TO_PEER)
            await until(lambda: accepted[0].data == b"early")
        server.close()

    play(tmp_path, scenario)


def test_an_end_behind_a_cut_is_noticed_when_it_heals(tmp_path: FilePath) -> None:
    """The bytes sent before an orderly close are delivered."""

    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        recorder, peer_socket = await dial(peer)
        await cut(network, view, FROM_PEER)
        await asyncio.get_running_loop().sock_sendall(peer_socket, b"last")
        peer_socket.close()
        await asyncio.sleep(SILENCE_S)
        assert (recorder.events, recorder.data) == (["made"], b"")
        network.heal(FROM_PEER)
        await until(lambda: "lost" in recorder.events)
        assert (recorder.events, recorder.data) == (["made", "end", "lost"], b"last")

    play(tmp_path, scenario)


def test_the_peer_does_not_see_an_end_through_a_cut(tmp_path: FilePath) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        recorder, peer_socket = await dial(peer)
        with peer_socket:
            assert recorder.transport is not None
            await cut(network, view, TO_PEER)
            recorder.transport.abort()
            assert recorder.transport.is_closing()
            await until(lambda: "lost" in recorder.events)
            assert await has_nothing_to_read(peer_socket)
            network.heal(TO_PEER)
            assert await asyncio.get_running_loop().sock_recv(peer_socket, 100) == b""

    play(tmp_path, scenario)


@pytest.mark.parametrize("paths", [TO_PEER, FROM_PEER], ids=["out", "in"])
def test_unacknowledged_bytes_end_a_connection_by_its_user_timeout(tmp_path: FilePath, paths: tuple[Path, ...]) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        recorder, peer_socket = await dial(peer)
        with peer_socket:
            assert recorder.transport is not None
            sock = recorder.transport.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 100)
            await cut(network, view, paths)
            recorder.transport.write(b"lost")
            await until(lambda: "lost" in recorder.events)
            assert isinstance(recorder.error, TimeoutError)

    play(tmp_path, scenario)


def test_a_reset_ends_only_the_connections_of_its_pair(tmp_path: FilePath) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        recorder, peer_socket = await dial(peer)
        with peer_socket:
            network.reset("127.0.14.3", PEER)
            network.reset(OWN, "127.0.14.3")
            network.reset(PEER, OWN)
            with pytest.raises(ConnectionResetError):
                await asyncio.get_running_loop().sock_recv(peer_socket, 100)
            await until(lambda: "lost" in recorder.events)

    play(tmp_path, scenario)


def test_a_pair_that_was_not_reset_lives_on(tmp_path: FilePath) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        recorder, peer_socket = await dial(peer)
        with peer_socket:
            network.reset("127.0.14.3", PEER)
            network.reset(OWN, "127.0.14.3")
            await cut(network, view, TO_PEER)  # the resets have been read by then
            network.heal(TO_PEER)
            await asyncio.get_running_loop().sock_sendall(peer_socket, b"on")
            await until(lambda: recorder.data == b"on")

    play(tmp_path, scenario)


def test_datagrams_on_a_cut_path_are_lost(tmp_path: FilePath) -> None:
    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        with (
            guarded_sockets(view)(socket.AF_INET, socket.SOCK_DGRAM) as own,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket,
        ):
            own.setblocking(False)
            own.bind((OWN, 0))
            peer_socket.bind((PEER, 0))
            peer_socket.settimeout(TEST_TIMEOUT_S)
            await cut(network, view, TO_PEER)
            assert own.sendto(b"lost", peer_socket.getsockname()) == 4
            network.heal(TO_PEER)
            await until(lambda: not view.is_cut_to(PEER))
            own.sendto(b"comes", peer_socket.getsockname())
            assert peer_socket.recv(100) == b"comes"
            await cut(network, view, FROM_PEER)
            peer_socket.sendto(b"lost", own.getsockname())
            await until(lambda: is_readable(own))
            with pytest.raises(BlockingIOError):
                own.recvfrom(100)

    play(tmp_path, scenario)


def is_readable(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def test_overlapping_cuts_of_a_path_heal_one_by_one(tmp_path: FilePath) -> None:
    async def scenario() -> None:
        network = LabNetwork(tmp_path / "network.json")
        first, second = both_ways([OWN], [PEER]), one_way([OWN], [PEER, "127.0.14.3"])
        network.cut(first)
        network.cut(second)
        network.heal(first)
        assert network.is_cut(OWN, PEER)
        assert not network.is_cut(PEER, OWN)
        network.heal(second)
        assert not network.is_cut(OWN, PEER)

    asyncio.run(scenario())


def test_a_process_ends_with_the_laboratory_that_started_it(tmp_path: FilePath) -> None:
    """A controller ends when its parent is killed. The test, its grandparent, notices by the end of the pipe."""
    network = asyncio.run(make_network(tmp_path))
    settings = tmp_path / "settings.yaml"
    settings.write_text(
        f"node_name: n\nip: {OWN}\nzone: z\nis_first_start: true\n"
        f"port_range: [7380, 7390]\nseed_addrs: ['{OWN}:8299']\n"
    )
    environment = {**os.environ, NETWORK_VARIABLE: str(network.file), SETTINGS_VARIABLE: str(settings)}
    start = "import subprocess, sys; subprocess.run([sys.executable, '-m', 'cranebank.fleetlab.launcher', 'control'])"
    with subprocess.Popen([sys.executable, "-c", start], env=environment, stdout=subprocess.PIPE) as parent:
        assert parent.stdout is not None
        while not listens(OWN, 8299):
            assert parent.poll() is None
        parent.kill()
        assert parent.stdout.read() == b""  # returns once all processes that hold the pipe have ended


def listens(ip: str, port: int) -> bool:
    with socket.socket() as trial:
        return trial.connect_ex((ip, port)) == 0


def test_a_dial_given_up_in_the_turn_in_which_it_comes_up_is_asked_nothing_any_more(tmp_path: FilePath) -> None:
    """The loop has closed its socket without a callback. A later reset and cut of its path must not use that socket,
    and the process must keep polling the network."""

    class GivenUp(Recorder):
        """Cancels its dial once connected, after using its socket as a ``Link`` does."""

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(transport)
            transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            assert dial_task is not None
            dial_task.cancel()

    dial_task: asyncio.Task[Any] | None = None

    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        nonlocal dial_task
        recorder = GivenUp()
        loop = asyncio.get_running_loop()
        dial_task = loop.create_task(loop.create_connection(lambda: recorder, PEER, peer.port))
        with pytest.raises(asyncio.CancelledError):
            await dial_task
        assert recorder.events == ["made"]
        network.reset(OWN, PEER)
        await cut(network, view, TO_PEER + FROM_PEER)
        assert recorder.transport is not None
        assert recorder.transport.is_closing()
        recorder.transport.write(b"x")
        recorder.transport.abort()
        network.heal(TO_PEER + FROM_PEER)
        await until(lambda: view.is_connectable(PEER))
        assert recorder.events == ["made"]

    play(tmp_path, scenario)


def test_a_connection_whose_reset_is_held_back_by_a_cut_still_has_a_socket(tmp_path: FilePath) -> None:
    """Guards against a program under test that fails since the laboratory takes its socket away before it notices."""

    async def scenario(network: LabNetwork, view: NetworkView, peer: Peer) -> None:
        recorder, remote = await dial(peer)
        await cut(network, view, FROM_PEER)
        remote.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        remote.close()
        await asyncio.sleep(SILENCE_S)
        assert recorder.events == ["made"], "the end doesn't pass the cut"
        assert recorder.transport is not None and not recorder.transport.is_closing()
        assert not readable(recorder.transport.get_extra_info("socket"))

    play(tmp_path, scenario)
