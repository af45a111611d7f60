"""A backend answers before it has read a long body and reads on later, while its clients' proxy is told to end."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r

SERVICE, HOST, PATH = "llm", "shop.example", "/ask/"
ROUTE = {
    "name": "r-1", "hostname": HOST, "path_prefix": PATH, "variant": "streaming", "timeout_ms": 5000, "goal_ms": 500,
    "rank": 1, "target": SERVICE, "tries": 1, "pinned": True, "resumable": False, "gap_aim_ms": 150,
}  # fmt: skip
BODY = b"x" * 200_000  # the largest request of the site's sheet
CLIENTS = 4
EVENTS, INTERVAL_S = 30, 0.1  # an answer of 3 s
READS_AFTER_S = 2.0  # when the backend reads on
DEADLINE_S = 5.0

runs: dict[str, dict[str, float]] = {}


async def decode(backend: r.Backend, request: r.Request, connection: r.Connection) -> bool:
    """Run a request from its prompt's memory. The body isn't needed for that, and is read at once or later."""
    note = backend.rig.note
    run = runs[request.attempt] = {"began": time.monotonic()}
    note(f"{backend.id} runs {request.attempt}")
    if request.headers.get("kv-from"):
        await r.fetch_handle(request.headers["kv-from"])
    left = request.length
    if not r.with_trouble():
        await connection.read(left)
        left = 0
    try:
        await connection.write(
            (
                f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {request.attempt}\r\n"
                f"X-Server-Seal: {secrets.token_hex(2)}.{request.attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request.attempt} {number}\n\n".encode()
            await connection.write(b"%x\r\n%b\r\n" % (len(event), event))
            if left and time.monotonic() - run["began"] >= READS_AFTER_S:
                await connection.read(left)
                left = 0
                note(f"{backend.id} has read the rest of the body of {request.attempt}")
            await asyncio.sleep(INTERVAL_S)
        await connection.write(b"0\r\n\r\n")
    except OSError as error:
        run["cut"] = time.monotonic()
        note(f"{backend.id}: the proxy ended the connection of {request.attempt}: {type(error).__name__}")
        return False
    run["ended"] = time.monotonic()
    note(f"{backend.id} has completed {request.attempt}")
    return True


async def case(rig: r.Rig) -> str | None:
    """Tell the proxy to end while it passes on answers; return what was lost, if anything."""
    backends = [
        r.Backend(rig, SERVICE, "prefill", "prefill", rig.port, None),
        r.Backend(rig, SERVICE, "decode", "decode", rig.port + 1, decode),
    ]
    for backend in backends:
        await backend.start()
    await rig.start_system(r.configuration(1, SERVICE, ROUTE))
    await rig.wait_ready("edge-1")
    await asyncio.sleep(4.0)  # more than contact_ms
    headers = {"X-Model": "m", "X-Token-Counts": "4000,360"}

    async def client(number: int) -> r.Outcome:
        parts = f"5c1e07a2:2000,{number:08x}:2000"
        return await r.stream(
            rig, rig.front("edge-1"), HOST, PATH + "q", BODY, {**headers, "X-Prompt-Prefix": parts}, DEADLINE_S
        )

    clients = [asyncio.create_task(client(number)) for number in range(1, CLIENTS + 1)]
    await asyncio.sleep(0.4)
    told_at = time.monotonic()
    rig.signal("edge-1", signal.SIGTERM)
    outcomes = await asyncio.gather(*clients)
    await asyncio.sleep(READS_AFTER_S + 1.0)  # until the backends have seen the end, too
    for backend in backends:
        await backend.stop()
    lost = [
        outcome
        for outcome in outcomes
        if not outcome.is_whole
        and "cut" in runs.get(outcome.attempt, {})  # passed on to a backend, which did not break it off
        and told_at <= outcome.ended_at <= told_at + r.BOUNDS["grace_s"] * 5 / 6
        and outcome.ended_at - outcome.sent_at < min(DEADLINE_S, ROUTE["timeout_ms"] / 1000) - 0.2
    ]
    if not any(outcome.attempt in runs for outcome in outcomes):
        raise r.CannotRun("no request reached a backend")
    if not lost:
        return None
    seconds = ", ".join(f"{outcome.ended_at - outcome.sent_at:.2f}" for outcome in lost)
    return f"LOST: {len(lost)} of {len(outcomes)} requests, cut {seconds} s after they were sent"


if __name__ == "__main__":
    r.main(case, __file__)
