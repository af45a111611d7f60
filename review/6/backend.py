"""One decode backend in a process of its own, so that it can be killed. Its answers have no length.

``python backend.py SETTINGS``: the settings are a JSON object with the addresses and the file for the record.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r

EVENTS = 30
PART_S = 0.05  # an event is written in two parts, as its tokens are made


async def decode(backend: r.Backend, request: r.Request, connection: r.Connection) -> bool:
    """Run a request, or go on with it behind ``Last-Event-Id``; the answer ends with the connection."""
    await connection.read(request.length)
    if request.headers.get("kv-from"):
        await r.fetch_handle(request.headers["kv-from"])
    after = int(request.headers.get("last-event-id", "0") or "0")
    backend.rig.note(f"{backend.id} runs {request.attempt} behind event {after}")
    await connection.write(
        (
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {request.attempt}\r\n"
            f"X-Server-Seal: {backend.id}.{request.attempt}\r\nConnection: close\r\n\r\n"
        ).encode()
    )
    for number in range(after + 1, EVENTS + 1):
        await connection.write(f"id: {number}\ndata: first".encode())
        backend.rig.note(f"{backend.id} has begun event {number} of {request.attempt}")
        await asyncio.sleep(PART_S)
        await connection.write(b" and second half\n\n")
        await asyncio.sleep(PART_S / 5)
    backend.rig.note(f"{backend.id} has completed {request.attempt}")
    return False


async def main() -> None:
    """Serve until killed."""
    settings = json.loads(sys.argv[1])
    record = Path(settings["record"]).open("a")

    def note(text: str) -> None:
        record.write(f"{time.monotonic() - settings['began']:8.3f} {text}\n")
        record.flush()

    place = SimpleNamespace(
        backend_ip=settings["ip"],
        controls=settings["controls"],
        control_address=lambda name: f"{settings['controls'][name]}:{settings['control_port']}",
        note=note,
    )
    backend = r.Backend(place, settings["service"], settings["name"], "decode", settings["port"], decode)
    await backend.start()
    await asyncio.Event().wait()


asyncio.run(main())
