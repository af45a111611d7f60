"""Measures the load that one core of the laboratory's generator offers: ``python benchmarks/generator.py [RATE ...]``.

A sink in a separate process answers each request at once, so that only the generator is measured.
Needs the laboratory's requirements; takes a few seconds for each rate.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import sys
from multiprocessing.connection import Connection
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parents[1]))

from cranebank.lab import records
from cranebank.lab.arrivals import arrivals
from cranebank.lab.exchange import Incoming, ReceivedRequest, now_us
from cranebank.lab.load import Generator
from cranebank.lab.scenario import Scenario

RUN_S = 4.0


class Sink:
    """A server that answers each request at once."""

    def connected(self, connection: Incoming) -> bool:
        """Accept every connection."""
        return True

    def is_paused(self) -> bool:
        """Return False: the sink always reads."""
        return False

    def closed(self, connection: Incoming) -> None:
        """Do nothing: the sink keeps no state for a connection."""

    def handle_request(self, connection: Incoming, request: ReceivedRequest) -> None:
        """Answer with the request's id, which the generator checks."""
        connection.answer(b"HTTP/1.1 200 OK\r\n", request.headers["x-request-id"].encode())


def serve(pipe: Connection) -> None:
    """Run the sink in its process and send its address through the pipe."""

    async def run() -> None:
        server = await asyncio.get_running_loop().create_server(lambda: Incoming(Sink()), "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname())
        await server.serve_forever()

    asyncio.run(run())


def measure(rate: float, address: tuple[str, int], path: Path) -> records.Generator:
    """Offer ``rate`` requests a second for a few seconds, with records written as in a run."""
    kind = {"name": "look", "share": 1.0, "work_ms": 1.0, "aim_ms": 100.0, "deadline_ms": 1000.0}
    scenario = msgspec.convert(
        {
            "name": "generator",
            "seconds": RUN_S,
            "load": {"rate": rate},
            "class": [kind],
            "tier": [{"name": "front", "kind": [{"name": "std", "count": 1}]}],
        },
        Scenario,
    )
    writer = records.Writer(path)
    planned_arrivals = arrivals(scenario)

    async def run() -> records.Generator:
        return await Generator(scenario, planned_arrivals, {"front-p0": address}, writer.write).play(now_us() + 50_000)

    result = asyncio.run(run())
    writer.close()
    return result


def main() -> None:
    """Measure each rate and print a line for it."""
    local_end, remote_end = multiprocessing.Pipe()
    sink = multiprocessing.Process(target=serve, args=(remote_end,), daemon=True)
    sink.start()
    address = local_end.recv()
    path = Path(f"/tmp/generator-{now_us()}.jsonl")
    for rate in map(float, sys.argv[1:] or ("2000", "4000", "5000", "6000", "7000", "8000")):
        result = measure(rate, (address[0], address[1]), path)
        print(
            f"{rate:6.0f} wanted, {result.offered / RUN_S:6.0f} offered, late p50 {result.late_p50 / 1000:.2f} ms, "
            f"p99 {result.late_p99 / 1000:.2f} ms, {result.cpu / RUN_S:.2f} of a core"
        )
        path.unlink()
    sink.terminate()


if __name__ == "__main__":
    main()
