"""Distinguishes a peer that is slow to read from one that is gone, while bytes sent to it are not acknowledged.

``TCP_USER_TIMEOUT`` ends a connection whose bytes stay unacknowledged. The kernel applies it to a closed receive
window, too, even if the peer answers every window probe. ``SendWatch`` decides how long the timeout has to be: as long
as it was set while nothing is heard from the peer, and renewed while the window is closed and the peer answers. The
kernel sends its next probe before the timeout ends, so a timeout that is renewed in short steps also limits the pause
between probes.
"""

from __future__ import annotations

import contextlib
import socket
from enum import Enum, auto
from typing import Any

from cranebank.transport.tcp_info import TcpInfo, read_tcp_info

LOOK_INTERVAL_S = 0.25  # between two calls of ``SendGuard.look``
# Receivers answer at most two probes a second; one unanswered probe must not end a connection.
PEER_SILENCE_S = 1.0  # after which a peer with a closed window is given no more time
RENEWAL_S = 0.75  # for which the timeout is renewed at each look
# A peer that goes while its window is closed is noticed so long after its last segment at the latest.
NOTICE_S = LOOK_INTERVAL_S + PEER_SILENCE_S + RENEWAL_S
MS_PER_S = 1000


class SendState(Enum):
    """The state of the bytes that were sent to a peer."""

    ACKNOWLEDGED = auto()  # all of them are
    UNDER_WAY = auto()  # some are not; the timeout stays as it is
    STALLED = auto()  # they wait for the peer's window, and the peer answers; the timeout is to be renewed
    GONE = auto()  # the peer's window was closed, and it has been silent for too long


class SendWatch:
    """The decision for one send; free of I/O. Times are in seconds on the steady clock."""

    def __init__(self) -> None:
        self._stalled_at: float | None = None  # when the window was first seen closed
        self._heard_at = 0.0
        self._segments_received = 0

    @property
    def has_stalled(self) -> bool:
        """Whether the peer's window has been closed during this send."""
        return self._stalled_at is not None

    def look(self, now: float, info: TcpInfo) -> SendState:
        """Return the state of the send."""
        if info.is_all_acknowledged:
            return SendState.ACKNOWLEDGED
        if self._stalled_at is None:
            if not info.is_window_closed:
                return SendState.UNDER_WAY
            self._stalled_at = now
            self._heard(now, info)
        elif info.segments_received != self._segments_received:
            self._heard(now, info)
        silent_s = now - self._heard_at
        if silent_s < PEER_SILENCE_S:
            return SendState.STALLED
        return SendState.UNDER_WAY if silent_s < PEER_SILENCE_S + RENEWAL_S else SendState.GONE

    def timeout_s(self, now: float) -> float:
        """Return the renewed timeout of a stalled send, in seconds. The kernel counts it from the start of the
        stall."""
        stalled_at = now if self._stalled_at is None else self._stalled_at
        return now - stalled_at + RENEWAL_S

    def _heard(self, now: float, info: TcpInfo) -> None:
        self._heard_at, self._segments_received = now, info.segments_received


class SendGuard:
    """Sets ``TCP_USER_TIMEOUT`` of one connected socket by a ``SendWatch``. ``timeout_ms`` applies to a peer that is
    silent; where the kernel doesn't report a connection's state, it applies to any peer."""

    def __init__(self, sock: Any, timeout_ms: int) -> None:
        self._socket, self._timeout_ms = sock, timeout_ms
        self._watch = SendWatch()
        self._set_timeout(timeout_ms)

    @property
    def has_stalled(self) -> bool:
        """Whether the peer's window has been closed during this send."""
        return self._watch.has_stalled

    def begin(self) -> None:
        """Begin a new send."""
        if self._watch.has_stalled:
            self._set_timeout(self._timeout_ms)
            self._watch = SendWatch()

    def look(self, now: float) -> SendState:
        """Renew the timeout if the peer is slow to read; return the state of the send."""
        info = read_tcp_info(self._socket)
        if info is None:
            return SendState.ACKNOWLEDGED
        state = self._watch.look(now, info)
        if state is SendState.STALLED:
            self._set_timeout(max(self._timeout_ms, round(self._watch.timeout_s(now) * MS_PER_S)))
        elif state is SendState.ACKNOWLEDGED:
            self.begin()
        return state

    def _set_timeout(self, timeout_ms: int) -> None:
        with contextlib.suppress(OSError):  # the connection has just ended
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
