"""A backend crashes in the middle of an event of an answer without a length; the stream may be resumed."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig as r

SERVICE, HOST, PATH = "llm", "shop.example", "/tag/"
ROUTE = {
    "name": "r-1", "hostname": HOST, "path_prefix": PATH, "variant": "streaming", "timeout_ms": 5000, "goal_ms": 500,
    "rank": 0, "target": SERVICE, "tries": 2, "pinned": True, "resumable": True, "gap_aim_ms": 150,
}  # fmt: skip
EVENTS = 30  # of a whole answer
BODY = b"x" * 770
DEADLINE_S = 5.0


async def _until_event_begins(record: str) -> None:
    """Wait until the backend begins one more event; it is in the middle of it for 50 ms."""
    while (FOLDER / "record.txt").read_text().count("has begun event") <= record.count("has begun event"):
        await asyncio.sleep(0.005)


async def case(rig: r.Rig) -> str | None:
    """Kill the backend that answers; return what the client wrongly got as a complete answer."""
    prefill = r.Backend(rig, SERVICE, "prefill", "prefill", rig.port, None)
    await prefill.start()
    for number in (1, 2):
        settings = {
            "ip": rig.backend_ip, "port": rig.port + number, "controls": rig.controls, "control_port": rig.port,
            "service": SERVICE, "name": f"decode-{number}", "began": rig.began, "record": str(FOLDER / "record.txt"),
        }  # fmt: skip
        rig.processes[f"decode-{number}"] = subprocess.Popen(
            [sys.executable, str(FOLDER / "backend.py"), json.dumps(settings)]
        )
    await rig.start_system(r.configuration(1, SERVICE, ROUTE))
    await rig.wait_ready("edge-1")
    await asyncio.sleep(4.0)  # more than contact_ms
    headers = {"X-Model": "m", "X-Token-Counts": "400,360", "X-Prompt-Prefix": "5c1e07a2:200,00000001:200"}
    client = asyncio.create_task(r.stream(rig, rig.front("edge-1"), HOST, PATH + "q", BODY, headers, DEADLINE_S))
    await asyncio.sleep(0.8)
    record = (FOLDER / "record.txt").read_text()
    running = [number for number in (1, 2) if f"i-decode-{number}-" in record.partition(" runs ")[0].rpartition("\n")[2]]
    if " runs " not in record or len(running) != 1:
        raise r.CannotRun("the request did not reach one backend")
    if r.with_trouble():
        await _until_event_begins(record)
        rig.signal(f"decode-{running[0]}", signal.SIGKILL)
    outcome = await client
    await prefill.stop()
    text = "".join(outcome.events)
    whole = text.count(" and second half\n\n")
    rig.note(f"client has {whole} whole events of {EVENTS}, the answer ends with {text[-30:]!r}")
    if outcome.is_whole and not text.endswith("\n\n"):  # an end between two events could not be told from the last one
        return f"ORDER: the stream was closed as complete after {whole} of {EVENTS} events, ending with {text[-18:]!r}"
    return None


if __name__ == "__main__":
    r.main(case, __file__)
