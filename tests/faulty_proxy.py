"""A proxy that breaks one rule on purpose, to test that the judge reports it: ``python faulty_proxy.py BREACH``."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from functools import partial
from pathlib import Path
from typing import Any

from cranebank.lab.exchange import Incoming, PendingRequest, Pool, ReceivedRequest
from cranebank.lab.stage import Reply


class FaultyProxy:
    """Forwards all requests to the first host of its list; ``breach`` selects the rule that it breaks."""

    def __init__(self, breach: str) -> None:
        self.breach, self.count = breach, 0
        self.boot = json.loads(Path(os.environ["GW_CONFIG"]).read_bytes())
        self.hosts = {entry["id"]: entry for entry in self.boot["known"]["servers"]}
        self.first = next(iter(self.hosts.values()))
        self.pool = Pool()

    def connected(self, connection: Incoming) -> bool:
        return True

    def is_paused(self) -> bool:
        return False

    def closed(self, connection: Incoming) -> None:
        pass

    async def watch(self) -> None:
        """Watch discovery for changes, but keep using the first host."""
        reader, writer = await asyncio.open_connection(*self.boot["discovery"].split(":"))
        writer.write(b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: x\r\n\r\n")
        while line := await reader.readline():
            if line.startswith(b"{"):
                for entry in json.loads(line)["servers"]:
                    if entry["state"] == "SERVING":
                        self.hosts[entry["id"]] = entry
                    if entry["started_ms"] and self.breach == "cold":
                        self.first = entry  # send everything to the cold host

    def handle_request(self, connection: Incoming, request: ReceivedRequest) -> None:
        if request.target.startswith("/-/"):
            connection.answer(b"HTTP/1.1 200 OK\r\n", b"{}")
            return
        self.count += 1
        connection.owner = [request.headers["x-class"]]  # the class, then "again" if it was sent again
        others = [h for h in self.hosts.values() if h is not self.first]
        match self.breach:
            case "second-copy" | "attempts":
                for entry in (self.first, *others)[:2] * (1 if self.breach == "second-copy" else 2):
                    self.leg(connection, request, entry)
            case "unanswered" if self.count % 5 == 0:
                connection.transport.close()
            case "crash" if self.count == 20:
                os._exit(3)
            case _:
                self.leg(connection, request, self.first)

    def leg(self, connection: Incoming, request: ReceivedRequest, entry: dict[str, Any]) -> None:
        fields = "".join(f"{name}: {value}\r\n" for name, value in request.headers.items())
        data = f"{request.method} {request.target} HTTP/1.1\r\n{fields}\r\n".encode() + request.body
        host, _, port = entry["addr"].rpartition(":")
        pending: list[PendingRequest] = []
        done = partial(self.done, connection, request, connection.owner, pending)
        pending.append(self.pool.ask((host, int(port)), data, "", 0, done))

    def done(
        self,
        connection: Incoming,
        request: ReceivedRequest,
        exchange: list[str],
        pending: list[PendingRequest],
        reply: Reply,
    ) -> None:
        if connection.owner is not exchange:
            return
        kind = exchange[0]
        if self.breach in ("repeat", "window") and len(connection.owner) == 1 and kind != "look":
            connection.owner.append("again")
            wait = 1.0 if self.breach == "window" else 0.0
            asyncio.get_running_loop().call_later(wait, self.leg, connection, request, self.first)
            return
        connection.owner = None
        body = pending[0].body_start
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if reply.status != 200:
            answer = b"HTTP/1.1 502 Bad\r\nContent-Length: 0\r\n\r\n"
        if self.breach == "bytes":
            answer = answer.replace(b'"at":', b'"at":9')[: len(answer)]
        if self.breach == "decline" and kind == "pay":
            answer = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        connection.transport.write(answer * (2 if self.breach == "answered-twice" else 1))


async def main() -> None:
    proxy = FaultyProxy(sys.argv[1])
    host, _, port = proxy.boot["listen"].rpartition(":")
    server = await asyncio.get_running_loop().create_server(lambda: Incoming(proxy), host, int(port))
    ip, bound = server.sockets[0].getsockname()[:2]
    print(f"listening on {ip}:{bound}", file=sys.stderr, flush=True)
    await proxy.watch()
    await asyncio.sleep(60)


if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parent.parent))
    asyncio.run(main())
