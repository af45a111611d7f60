"""The operator of a day, who sends configurations and amendments until there is a definite answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any
from urllib.parse import urlsplit

from cranebank.fleetlab.backend import digest
from cranebank.fleetlab.caller import Caller
from cranebank.fleetlab.model import EngineSpec
from cranebank.fleetlab.records import Change, ReadBack, Reading, RouteRule
from cranebank.fleetlab.run_options import WarmUp
from cranebank.transport.http_client import Answer, ask_once

HOST = "shop.example"
Document = dict[str, Any]
Ask = Callable[[str, str, str, bytes, float, dict[str, str] | None], Awaitable[Answer]]
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
CHANGE_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
# Limits of types of numbers, and times of day in milliseconds, microseconds and nanoseconds, in rising order.
REVISION_EDGES = (
    *(2**31, 2**32, 1_790_000_000_000, 1_790_000_000_000_000, 2**53, 10**18, 1_790_000_000_000_000_000),
    *(2**63, 2**64, 10**40, 10**100),
)
EDGE_SHARE = 0.1  # of the changes: their revision lies beside the next edge


def route(name: str, service: str, variant: str = "streaming", **extra: object) -> Document:
    """Return one route of a configuration, with its name as the prefix."""
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "variant": variant,
        "timeout_ms": 6000,
        "goal_ms": 600,
        "rank": 0,
        "target": service,
        "tries": 3,
        "pinned": True,
        "resumable": True,
        "gap_aim_ms": 200,
        **extra,
    }


def service(name: str, spec: EngineSpec, warm_up: WarmUp | None = None) -> Document:
    """Return one service of a configuration, for backends of this spec."""
    cold = {} if warm_up is None else {"cold_s": warm_up.cold_s, "warmup_per_s": warm_up.warmup_per_s}
    return cold | {
        "name": name,
        "probe_path": "/health",
        "max_conns": 180,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "capacity": spec.capacity,
            "cache_tokens": spec.cache_tokens,
            "token_bytes": spec.token_bytes,
            "link_mbps": spec.link_mbps,
            "stride": spec.stride,
            "handle_ttl_s": spec.handle_ttl_s,
            "switch_s": spec.switch_s,
            "models": [{"name": "m"}],
        },
    }


def first_configuration(specs: dict[str, EngineSpec], warm_up: WarmUp | None = None) -> Document:
    """Return the first configuration of a day: resumable and non-resumable routes to two services."""
    one, two = list(specs)
    return {
        "revision": 2,
        "routes": [
            route("chat", one),
            route("write", one, resumable=False, tries=2, rank=1),
            route("search", two),
            route("moved", one, resumable=False, tries=2, rank=1),
            route("old", two),
        ],
        "services": [service(name, spec, warm_up) for name, spec in specs.items()],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_read_ms": 3000, "idle_ms": 15000},
    }


def apply_amendment(document: Document, body: Document) -> Document:
    """Return the whole configuration that results from an amendment."""
    result = dict(document, revision=body["revision"])
    for key, names in body.get("remove", {}).items():
        result[key] = [item for item in result[key] if item["name"] not in names]
    for key, items in body.get("upsert", {}).items():
        items_by_name = {item["name"]: item for item in items}
        result[key] = [items_by_name.pop(item["name"], item) for item in result[key]] + list(items_by_name.values())
    return result


def configuration_digest(document: Document) -> str:
    """Return the digest of a configuration, which does not depend on the order of its items."""
    sorted_items = {
        key: sorted(value, key=lambda item: str(item["name"])) if isinstance(value, list) else value
        for key, value in document.items()
    }
    return digest(json.dumps(sorted_items, sort_keys=True).encode())


def route_rules(document: Document) -> tuple[RouteRule, ...]:
    """Return the routes of a configuration for the judge."""
    return tuple(RouteRule(item["hostname"], item["path_prefix"], (item["target"],)) for item in document["routes"])


def next_revision(random: Random, current: int) -> int:
    """Return the revision of a change on top of this one: a few more, or beside the next edge."""
    small = current + random.randint(1, 4)
    edges = [edge for edge in REVISION_EDGES if edge - 1 > small]
    if not edges or random.random() >= EDGE_SHARE:
        return small
    return edges[0] + random.randint(-1, 1)


class Operator:
    """Sends changes one after another or two at once, and keeps the last acknowledged configuration."""

    def __init__(
        self,
        controllers: Callable[[], list[str]],
        changes: list[Change],
        random: Random,
        progress: Callable[[str], None],
        readings: list[Reading] | None = None,
        caller: Caller | None = None,
    ) -> None:
        """``caller`` makes the calls if they go over a network that may lose some."""
        self._controllers, self._changes, self._random, self._progress = controllers, changes, random, progress
        self._readings = [] if readings is None else readings
        self._ask = ask_once if caller is None else caller.ask
        self.current: Document = {"revision": 0, "routes": [], "services": []}
        self._amendment_count = 0

    async def begin(self, document: Document) -> None:
        """Send the first configuration until it is acknowledged."""
        await self._change("Replace", document, document, 0)

    def _next_amendment(self, name: str) -> Document:
        """Return an amendment that adds a route, moves one to the other service and removes the oldest extra one."""
        self._amendment_count += 1
        services = [item["name"] for item in self.current["services"]]
        routes_by_name = {item["name"]: item for item in self.current["routes"]}
        moved_target = routes_by_name["r-moved"]["target"]
        next_target = services[1 - services.index(moved_target)]
        removed = [item for item in routes_by_name if item not in {"r-chat", "r-write", "r-search", "r-moved"}][:1]
        return {
            "revision": next_revision(self._random, self.current["revision"]),
            "upsert": {
                "routes": [route("moved", next_target, resumable=False, tries=2, rank=1), route(name, services[0])]
            },
            "remove": {"routes": removed},
        }

    async def amend(self) -> bool:
        """Send one change, and return whether it was acknowledged."""
        body = self._next_amendment(f"extra{self._amendment_count}")
        return await self._change("Amend", body, apply_amendment(self.current, body), self.current["revision"])

    async def race(self) -> int:
        """Send two concurrent changes to the same version, and return how many were acknowledged."""
        base, bodies = (
            self.current["revision"],
            [
                self._next_amendment(f"left{self._amendment_count}"),
                self._next_amendment(f"right{self._amendment_count}"),
            ],
        )
        if bodies[0]["revision"] == bodies[1]["revision"]:
            bodies[1]["revision"] += 1
        resulting = [apply_amendment(self.current, body) for body in bodies]
        return sum(
            await asyncio.gather(
                *(self._change("Amend", body, result, base) for body, result in zip(bodies, resulting, strict=True))
            )
        )

    async def invalid(self) -> bool:
        """Send an invalid change, and return whether it was acknowledged nevertheless."""
        body = {"revision": self.current["revision"] + 1, "upsert": {"routes": [route("bad", "nowhere")]}}
        return await self._change("Amend", body, apply_amendment(self.current, body), self.current["revision"], False)

    async def read_back(self, seconds: float) -> ReadBack:
        """Request the newest configuration until it is received or the time is over."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            document = await self.read()
            if document is not None:
                return ReadBack(loop.time(), document["revision"], configuration_digest(document))
            await asyncio.sleep(RETRY_INTERVAL_S)
        return ReadBack(loop.time(), 0, "")

    async def read(self) -> Document | None:
        """Request the newest configuration once from a random controller, or return None without a definite answer."""
        loop = asyncio.get_running_loop()
        sent = loop.time()
        answer = await self._call("GET", "Read", b"", {})
        if answer.status != 200 or not answer.whole:
            return None
        document: Document = json.loads(answer.body)
        self._readings.append(Reading(sent, loop.time(), document["revision"], configuration_digest(document)))
        return document

    async def catch_up(self) -> None:
        """Continue from the newest configuration, regardless of the outcome of changes without a definite answer."""
        while (document := await self.read()) is None:
            await asyncio.sleep(RETRY_INTERVAL_S)
        self.current = document

    async def _change(self, call: str, body: Document, resulting: Document, base: int, valid: bool = True) -> bool:
        loop = asyncio.get_running_loop()
        change = Change(
            resulting["revision"], base, route_rules(resulting), configuration_digest(resulting), loop.time(), valid
        )
        self._changes.append(change)
        data = json.dumps(body).encode()
        while loop.time() < change.sent + CHANGE_TIMEOUT_S:
            answer = await self._call("POST", call, data, {"X-Base-Version": str(base)})
            if answer.status == 200 and answer.whole:
                change.acked = change.answered = loop.time()
                if valid:
                    self.current = resulting
                self._progress(f"revision {change.revision} acknowledged after {change.acked - change.sent:.2f} s")
                return True
            if answer.status in FINAL_STATUSES:
                change.refused, change.answered = True, loop.time()
                self._progress(f"revision {change.revision} refused with {answer.status}")
                return False
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._progress(f"revision {change.revision} got no definite answer")
        return False

    async def _call(self, method: str, call: str, body: bytes, headers: dict[str, str]) -> Answer:
        """Call a random controller, following up to two redirects."""
        at = self._random.choice(self._controllers())
        return await ask_following(self._ask, at, method, f"/api/Configuration.{call}", body, headers)


async def ask_following(
    ask: Ask, at: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Answer:
    """Call a controller, following up to two redirects."""
    answer = Answer()
    for _ in range(3):
        answer = await ask(at, method, path, body, CALL_TIMEOUT_S, headers)
        if answer.status != 307:
            break
        at = urlsplit(answer.headers.get("location", "")).netloc
    return answer
