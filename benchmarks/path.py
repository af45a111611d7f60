"""Measures the cost of the ordinary path: ``python benchmarks/path.py [TREE ...] [--trials N] [--requests N]``.

The cost is the processor time per request of the proxy's process, with 16 connections of sequential requests, answers
of 512 bytes, and four hosts that answer at once. Each TREE (a checkout with its ``.venv``; default: this one) is
measured in turn with a plain aiohttp proxy. A machine's speed changes within minutes: compare only within a line.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import statistics
import sys
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import psutil
from aiohttp import ClientSession, TCPConnector, web

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from generator import Sink  # noqa: E402

from cranebank.lab.exchange import Incoming, Pool, ReceivedRequest  # noqa: E402
from cranebank.lab.stage import Reply  # noqa: E402

CONNECTIONS, HOSTS, BODY = 16, 4, b"x" * 512
WARMUP_REQUESTS = 500  # requests before the measurement
IDS = (f"{number:032x}" for number in range(1 << 30))


class Host(Sink):
    """A host that answers at once; also stands in for discovery, with watches that never report a change."""

    def handle_request(self, connection: Incoming, request: ReceivedRequest) -> None:
        """Answer with the fixed body; keep a watch open."""
        if "watch" in request.target:
            connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        else:
            connection.answer(b"HTTP/1.1 200 OK\r\n", BODY)


def hosts(pipe: Connection) -> None:
    """Run the hosts in their process and send their addresses, and discovery's as the last, through the pipe."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        servers = [await loop.create_server(lambda: Incoming(Host()), "127.0.0.1", 0) for _ in range(HOSTS + 1)]
        pipe.send([f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers])
        await asyncio.Event().wait()

    asyncio.run(run())


async def plain_proxy(addresses: list[str]) -> None:
    """Run a plain aiohttp proxy: hosts in turn, without decisions or safeguards."""
    async with ClientSession(connector=TCPConnector(limit=0), auto_decompress=False) as session:
        turn = 0

        async def handle(request: web.BaseRequest) -> web.Response:
            nonlocal turn
            turn += 1
            url = f"http://{addresses[turn % len(addresses)]}{request.raw_path}"
            async with session.request(
                request.method, url, headers={"X-Request-Id": request.headers["X-Request-Id"]}
            ) as answer:
                return web.Response(status=answer.status, body=await answer.read())

        server = await asyncio.get_running_loop().create_server(web.Server(handle, access_log=None), "127.0.0.1", 0)
        print(f"listening on 127.0.0.1:{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
        await asyncio.Event().wait()


def configuration(addresses: list[str]) -> dict[str, Any]:
    """Return the configuration of a proxy in front of the hosts, with limits that decline no request."""
    entries = [
        {
            "id": f"s{n}",
            "addr": address,
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n, address in enumerate(addresses[:HOSTS])
    ]
    lane = {
        "Aim": 1000.0,
        "Deadline": 5000.0,
        "Effect": "retryable",
        "Group": "all",
        "LateWorth": 0.0,
        "Name": "look",
        "RepeatWindow": 0.0,
        "Streaming": False,
        "Worth": 1.0,
    }
    return {
        "name": "p0",
        "listen": "127.0.0.1:0",
        "discovery": addresses[HOSTS],
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": entries},
        "settings": {
            "Balancers": 1,
            "Discovery": "push",
            "Lanes": [lane],
            "Layer": 0,
            "Kinds": ["m"],
            "Limits": {
                "Cancel": True,
                "ConnIdle": 15000.0,
                "DialTimeout": 250.0,
                "MaxAttempts": 3,
                "MayProbe": False,
                "MaxRetryAfter": 1000.0,
                "RetryAfter": True,
                "SecondCopies": False,
                "StreamsPerConn": 1,
            },
            "Quantum": 5.0,
            "Realms": [],
            "Report": {"Source": "off", "Fields": []},
            "Rules": {
                "AnswerSlack": 20.0,
                "ColdFrom": 0.3,
                "FallMultiple": 4.0,
                "OverloadFor": 3000.0,
                "WarmAfter": 9000.0,
            },
            "Tiers": ["front"],
            "Zone": 0,
            "Zones": ["a"],
        },
    }


async def send_requests(address: tuple[str, int], count: int) -> int:
    """Send ``count`` requests over 16 connections, sequentially on each; return how many were served."""
    pool, served = Pool(), 0

    async def client(times: int) -> None:
        nonlocal served
        for _ in range(times):
            answered: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
            head = f"GET /look HTTP/1.1\r\nHost: x\r\nX-Request-Id: {next(IDS)}\r\nX-Class: look\r\n"
            pool.ask(address, f"{head}X-Deadline-Ms: 5000\r\n\r\n".encode(), "", 0, answered.set_result)
            reply = await answered
            served += reply.status == 200

    await asyncio.gather(*(client(count // CONNECTIONS) for _ in range(CONNECTIONS)))
    pool.close()
    return served


async def trial(command: list[str], tree: Path, environ: dict[str, str], count: int) -> float:
    """Return the proxy's processor time per request, in microseconds."""
    process = await asyncio.create_subprocess_exec(
        *command, cwd=tree, env=os.environ | environ, stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    line = b""
    while b"listening on" not in line:
        if not (line := await process.stderr.readline()):
            raise SystemExit(f"{command}: ended before it listened")
    drained = asyncio.create_task(process.stderr.read())
    host, _, port = line.decode().split()[-1].rpartition(":")
    try:
        await send_requests((host, int(port)), WARMUP_REQUESTS)
        before = psutil.Process(process.pid).cpu_times()
        count -= count % CONNECTIONS
        served = await send_requests((host, int(port)), count)
        after = psutil.Process(process.pid).cpu_times()
    finally:
        process.kill()
        await process.wait()
        drained.cancel()
    if served < count:
        raise SystemExit(f"{command}: {count - served} of {count} requests not served")
    return 1e6 * (after.user + after.system - before.user - before.system) / count


async def compare(trees: list[Path], trials: int, count: int, addresses: list[str]) -> None:
    """Print a line for each trial, then the medians."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(addresses)), encoding="utf-8")
        python = str(ROOT / ".venv/bin/python")
        commands: dict[str, tuple[list[str], Path, dict[str, str]]] = {
            str(tree): ([str(tree / ".venv/bin/python"), "-m", "cranebank"], tree, {"GW_CONFIG": str(path)})
            for tree in trees
        }
        commands["plain aiohttp"] = ([python, __file__, "--plain", ",".join(addresses[:HOSTS])], ROOT, {})
        times_by_name: dict[str, list[float]] = {name: [] for name in commands}
        for _ in range(trials):
            for name, (command, tree, environ) in commands.items():
                times_by_name[name].append(await trial(command, tree, environ, count))
            print("   ".join(f"{name}: {times[-1]:.0f} us" for name, times in times_by_name.items()), flush=True)
        print(
            "median: "
            + "   ".join(f"{name}: {statistics.median(times):.0f} us" for name, times in times_by_name.items())
        )


def main() -> None:
    """Start the hosts and compare the trees with the plain proxy."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("tree", nargs="*", type=Path, default=[ROOT])
    parser.add_argument("--trials", type=int, default=4)
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--plain", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.plain:
        asyncio.run(plain_proxy(options.plain.split(",")))
        return
    local_end, remote_end = multiprocessing.Pipe()
    process = multiprocessing.Process(target=hosts, args=(remote_end,), daemon=True)
    process.start()
    try:
        asyncio.run(
            compare([tree.resolve() for tree in options.tree], options.trials, options.requests, local_end.recv())
        )
    finally:
        process.terminate()


if __name__ == "__main__":
    main()
