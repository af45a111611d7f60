"""The operator of a day: whole configurations and amendments, sent until there is a clear answer."""

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
FINAL = frozenset({400, 409, 412, 413, 422})
GIVE_UP_S = 15.0
PATIENCE_S = 1.0
RETRY_S = 0.1


def route(name: str, service: str, variant: str = "streaming", **more: object) -> Document:
    """One route of a configuration, at the prefix of its name."""
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
        **more,
    }


def service(name: str, spec: EngineSpec, warm_up: WarmUp | None = None) -> Document:
    """One service, as its backends are."""
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
    """What a day begins with: routes that may be resumed and one that may not, over two services."""
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


def amended(document: Document, body: Document) -> Document:
    """The whole configuration that an amendment makes."""
    made = dict(document, revision=body["revision"])
    for key, names in body.get("remove", {}).items():
        made[key] = [item for item in made[key] if item["name"] not in names]
    for key, items in body.get("upsert", {}).items():
        fresh = {item["name"]: item for item in items}
        made[key] = [fresh.pop(item["name"], item) for item in made[key]] + list(fresh.values())
    return made


def known_by(document: Document) -> str:
    """The digest of a configuration, whatever the order of its items."""
    sorted_items = {
        key: sorted(value, key=lambda item: str(item["name"])) if isinstance(value, list) else value
        for key, value in document.items()
    }
    return digest(json.dumps(sorted_items, sort_keys=True).encode())


def rules(document: Document) -> tuple[RouteRule, ...]:
    """Its routes, for the judge."""
    return tuple(RouteRule(item["hostname"], item["path_prefix"], (item["target"],)) for item in document["routes"])


class Operator:
    """Sends changes one after another, or two at once, and remembers what was acknowledged."""

    def __init__(
        self,
        controllers: Callable[[], list[str]],
        changes: list[Change],
        random: Random,
        progress: Callable[[str], None],
        readings: list[Reading] | None = None,
        caller: Caller | None = None,
    ) -> None:
        """``caller`` makes the calls, where they go over a network that may lose some."""
        self._controllers, self._changes, self._random, self._progress = controllers, changes, random, progress
        self._readings = [] if readings is None else readings
        self._ask = ask_once if caller is None else caller.ask
        self.current: Document = {"revision": 0, "routes": [], "services": []}
        self._steps = 0

    async def begin(self, document: Document) -> None:
        """The first configuration, sent until it is taken."""
        await self._change("Replace", document, document, 0)

    def _next(self, name: str) -> Document:
        """An amendment: a route added, one moved to the other service, and the oldest additional one removed."""
        self._steps += 1
        services = [item["name"] for item in self.current["services"]]
        known = {item["name"]: item for item in self.current["routes"]}
        moved = known["r-moved"]["target"]
        to = services[1 - services.index(moved)]
        gone = [item for item in known if item not in {"r-chat", "r-write", "r-search", "r-moved"}][:1]
        return {
            "revision": self.current["revision"] + self._random.randint(1, 4),
            "upsert": {"routes": [route("moved", to, resumable=False, tries=2, rank=1), route(name, services[0])]},
            "remove": {"routes": gone},
        }

    async def amend(self) -> bool:
        """One change; whether it was acknowledged."""
        body = self._next(f"extra{self._steps}")
        return await self._change("Amend", body, amended(self.current, body), self.current["revision"])

    async def race(self) -> int:
        """Two changes at once on top of the same version; how many were acknowledged."""
        base, bodies = self.current["revision"], [self._next(f"left{self._steps}"), self._next(f"right{self._steps}")]
        if bodies[0]["revision"] == bodies[1]["revision"]:
            bodies[1]["revision"] += 1
        whole = [amended(self.current, body) for body in bodies]
        return sum(
            await asyncio.gather(
                *(self._change("Amend", body, made, base) for body, made in zip(bodies, whole, strict=True))
            )
        )

    async def invalid(self) -> bool:
        """A change that can't be in force; whether it was acknowledged all the same."""
        body = {"revision": self.current["revision"] + 1, "upsert": {"routes": [route("bad", "nowhere")]}}
        return await self._change("Amend", body, amended(self.current, body), self.current["revision"], False)

    async def read_back(self, seconds: float) -> ReadBack:
        """Ask for the newest configuration until it comes."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            document = await self.read()
            if document is not None:
                return ReadBack(loop.time(), document["revision"], known_by(document))
            await asyncio.sleep(RETRY_S)
        return ReadBack(loop.time(), 0, "")

    async def read(self) -> Document | None:
        """Ask any controller once for the newest configuration; nothing where it is not sure of it."""
        loop = asyncio.get_running_loop()
        sent = loop.time()
        answer = await self._call("GET", "Read", b"", {})
        if answer.status != 200 or not answer.whole:
            return None
        document: Document = json.loads(answer.body)
        self._readings.append(Reading(sent, loop.time(), document["revision"], known_by(document)))
        return document

    async def catch_up(self) -> None:
        """Go on from the newest configuration, whatever became of the changes that had no clear answer."""
        while (document := await self.read()) is None:
            await asyncio.sleep(RETRY_S)
        self.current = document

    async def _change(self, call: str, body: Document, whole: Document, base: int, valid: bool = True) -> bool:
        loop = asyncio.get_running_loop()
        change = Change(whole["revision"], base, rules(whole), known_by(whole), loop.time(), valid)
        self._changes.append(change)
        data = json.dumps(body).encode()
        while loop.time() < change.sent + GIVE_UP_S:
            answer = await self._call("POST", call, data, {"X-Base-Version": str(base)})
            if answer.status == 200 and answer.whole:
                change.acked = change.answered = loop.time()
                if valid:
                    self.current = whole
                self._progress(f"revision {change.revision} acknowledged after {change.acked - change.sent:.2f} s")
                return True
            if answer.status in FINAL:
                change.refused, change.answered = True, loop.time()
                self._progress(f"revision {change.revision} refused with {answer.status}")
                return False
            await asyncio.sleep(RETRY_S)
        self._progress(f"revision {change.revision} got no clear answer")
        return False

    async def _call(self, method: str, call: str, body: bytes, headers: dict[str, str]) -> Answer:
        """One call to any controller, following it twice to where it is sent on."""
        at = self._random.choice(self._controllers())
        return await ask_following(self._ask, at, method, f"/api/Configuration.{call}", body, headers)


async def ask_following(
    ask: Ask, at: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Answer:
    """One call to a controller, following it twice to where it is sent on."""
    answer = Answer()
    for _ in range(3):
        answer = await ask(at, method, path, body, PATIENCE_S, headers)
        if answer.status != 307:
            break
        at = urlsplit(answer.headers.get("location", "")).netloc
    return answer
