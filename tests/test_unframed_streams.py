"""The laboratory's backends: streams that have no length and end with their connection."""

from __future__ import annotations

import asyncio
from itertools import count

import pytest

from cranebank.fleetlab.backend import STREAMS_PER_UNFRAMED, TORN_BYTES, Backend, has_no_length
from cranebank.fleetlab.model import EngineSpec

DRAWN = 4000
SPEC = EngineSpec(2, 2, 10_000)


def unframed_attempt() -> str:
    """Return an attempt whose stream has no length."""
    return next(attempt for attempt in (f"t{number:06x}" for number in count()) if has_no_length(attempt))


def test_one_stream_in_so_many_has_no_length() -> None:
    """Guards against a soak without such streams."""
    drawn = sum(has_no_length(f"t{number:06x}") for number in range(DRAWN))
    assert 0.8 * DRAWN < drawn * STREAMS_PER_UNFRAMED < 1.2 * DRAWN


@pytest.mark.parametrize("fault", ["", "cut", "crash"])
def test_a_stream_without_a_length_ends_between_events_only_if_it_is_whole(fault: str) -> None:
    """Guards against a laboratory that breaks a stream off where nobody could tell that from its end."""

    async def run() -> None:
        backend = Backend(
            SPEC, "i-1", "svc", "decode", "127.0.0.1:0", "z", lambda: ["127.0.0.1:9"], 60.0, 1.0, [], [], {}, []
        )
        await backend.start()
        assert backend._server is not None
        reader, writer = await asyncio.open_connection(*backend._server.sockets[0].getsockname())
        lines = ["POST /x HTTP/1.1", "Host: h", f"X-Attempt-Id: {unframed_attempt()}", "X-Token-Counts: 100,40"]
        writer.write("\r\n".join((*lines, "Content-Length: 0", "", "")).encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Transfer-Encoding" not in head and b"Content-Length" not in head and b"Connection: close" in head
        if fault:
            backend.fault(fault)
        if fault == "crash":
            with pytest.raises(ConnectionResetError):
                await reader.read(-1)
        else:
            body = await reader.read(-1)
            assert body.endswith(b"\n\n") is not (fault == "cut")
            assert len(body) > TORN_BYTES
        writer.close()
        backend.stop()

    asyncio.run(run())
