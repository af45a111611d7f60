"""Routes and services of one configuration, as a proxy uses them: immutable, replaced as a whole."""

from __future__ import annotations

from random import Random

import msgspec

from cranebank.membership.warm_up import Limits, WarmUpLimit
from cranebank.transport.revision import Revision, json_decoder


class Branch(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    target: str
    share: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """One route; times are in milliseconds."""

    name: str
    hostname: str
    path_prefix: str
    variant: str = "effectful"
    timeout_ms: float = 60_000.0
    goal_ms: float = 1_000.0
    rank: int = 0
    target: str | None = None
    branches: tuple[Branch, ...] = ()
    tries: int = 1
    pinned: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.variant == "idempotent" or (self.variant == "streaming" and self.resumable)

    def service(self, random: Random) -> str:
        """Draw the service of a request by the branches' shares."""
        if self.target is not None or not self.branches:
            return self.target or ""
        return random.choices([b.target for b in self.branches], [b.share for b in self.branches])[0]


class Engine(msgspec.Struct, frozen=True):
    """A service's engine settings: calls at a time, tokens of memory, bytes per token, Mbit/s, tokens per event,
    seconds of a handle's lifetime and of a change of stage."""

    capacity: int = 1
    cache_tokens: int = 0
    token_bytes: int = 0
    link_mbps: float = 1_000.0
    stride: int = 1
    handle_ttl_s: float = 5.0
    switch_s: float = 1.0


class Service(msgspec.Struct, frozen=True):
    """One service."""

    name: str
    probe_path: str = "/health"
    max_conns: int = 100
    engine: Engine | None = None
    cold_s: float = 0.0  # for which a backend is cold after a start
    warmup_per_s: float = 0.0  # requests per second that a cold backend can take; 0: no limit


class ClientLimits(msgspec.Struct, frozen=True):
    """What clients may send, and how long they may take or stay idle; in milliseconds and bytes."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_read_ms: float = 3_000.0
    idle_ms: float = 15_000.0


class Document(msgspec.Struct, frozen=True):
    """A whole configuration; unknown fields are skipped."""

    revision: Revision
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = ClientLimits()


_decoder = json_decoder(Document, strict=False)


def read_document(document: bytes) -> Document:
    """Parse a configuration as proxies do. Raises msgspec.MsgspecError."""
    return _decoder.decode(document)


class RouteTable:
    """A configuration in force."""

    def __init__(self, document: Document) -> None:
        self.revision, self.limits = document.revision, document.limits
        self.services = {service.name: service for service in document.services}
        self.warm_up_limits: Limits = {
            service.name: WarmUpLimit(service.warmup_per_s, service.cold_s)
            for service in document.services
            if service.warmup_per_s > 0
        }
        self._hosts: dict[str, list[Route]] = {}
        for route in document.routes:
            self._hosts.setdefault(route.hostname.lower(), []).append(route)
        for routes in self._hosts.values():  # the longest prefix first
            routes.sort(key=lambda route: -len(route.path_prefix))

    @classmethod
    def read(cls, document: bytes) -> RouteTable:
        """Parse a committed document. Raises msgspec.MsgspecError."""
        return cls(read_document(document))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        name = host.strip().lower()
        if ":" in name and not name.endswith("]"):
            name = name.rpartition(":")[0]
        path = path.partition("?")[0]
        for route in self._hosts.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
