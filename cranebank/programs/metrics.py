"""Figures of a process for scrapers: ``GET /metrics`` in Prometheus's text format, off unless asked for.

Nothing is counted for this alone: plain counters and the present state are read when somebody asks. The names and the
values of labels are bounded. Written by hand: ``prometheus_client`` takes 4 MB and 50 ms at its import (median of ten
runs, 40 to 62 ms), in processes whose memory is priced.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, Literal, Protocol

import msgspec
from loguru import logger

from cranebank.control.api_calls import Call, Request, Response
from cranebank.control.web import Server
from cranebank.invariants import violations
from cranebank.programs.settings import NodeSettings

if TYPE_CHECKING:
    from cranebank.control.registry import Registry
    from cranebank.dataplane.proxy import Proxy
    from cranebank.membership.fleet import FleetLinks
    from cranebank.programs.tally_service import TallyService
    from cranebank.transport.messages import Backend

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SWEEP_S = 5.0
PHASES = ("ready", "draining", "lost", "gone")
STAGES = ("prefill", "decode")
RESULTS = {
    "accepted": "Accepted",
    "conflict": "Conflict",
    "not_primary": "NotPrimary",
    "busy": "Busy",
    "unknown": "Unknown",
}
REPLIED = "replied_"  # counters of our own answers, by status


class EdgeState(Protocol):
    """What is read of the proxy's program (``programs.edge``, which imports this module)."""

    @property
    def proxy(self) -> Proxy:
        """Its data plane."""

    @property
    def links(self) -> FleetLinks:
        """Its links to controllers."""


class ControllerState(Protocol):
    """What is read of the controller's program (``programs.control``, which imports this module)."""

    @property
    def registry(self) -> Registry:
        """The backends that it knows."""

    @property
    def writes(self) -> Mapping[str, int]:
        """Writes by the name of their result."""

    def stage_loads(self) -> Mapping[str, float]:
        """What proxies ask of each stage of all services, in erlangs."""

    @property
    def tallies(self) -> TallyService:
        """The tallies that it keeps."""

    def overview(self) -> Mapping[str, Any]:
        """What System.Status answers."""


class Metric(msgspec.Struct, frozen=True):
    """A named figure, or one for each value of a label."""

    name: str
    kind: Literal["counter", "gauge"]
    help: str
    value: int = 0
    label: str = ""
    values: Mapping[str, int] = {}


def exposition(metrics: Iterable[Metric]) -> bytes:
    """The text format."""
    lines: list[str] = []
    for metric in metrics:
        lines += [f"# HELP {metric.name} {metric.help}", f"# TYPE {metric.name} {metric.kind}"]
        if metric.label:
            lines += [f'{metric.name}{{{metric.label}="{key}"}} {value:d}' for key, value in metric.values.items()]
        else:
            lines.append(f"{metric.name} {metric.value:d}")
    return "\n".join((*lines, "")).encode()


def of_edge(edge: EdgeState) -> list[Metric]:
    """A proxy's figures."""
    proxy, prefix = edge.proxy, "cranebank_edge_"
    count = proxy.counters.get
    answers = {
        name.removeprefix(REPLIED): number
        for name, number in sorted(proxy.counters.items())
        if name.startswith(REPLIED)
    }

    def counter(name: str, text: str, value: int) -> Metric:
        return Metric(f"{prefix}{name}_total", "counter", text, value)

    def gauge(name: str, text: str, value: int) -> Metric:
        return Metric(f"{prefix}{name}", "gauge", text, value)

    return [
        counter("requests", "Requests on a route.", count("requests", 0)),
        counter("served", "Requests whose answer of a backend was passed on whole.", count("served", 0)),
        counter("refused", "Requests refused that have not run (503).", count(f"{REPLIED}503", 0)),
        Metric(
            f"{prefix}replies_total",
            "counter",
            "Answers of the proxy's own, by status.",
            label="status",
            values=answers,
        ),
        counter("repeats", "Further calls paid for by the retry budget.", count("repeats", 0)),
        counter("budget_empty", "Further calls not made, since the retry budget was empty.", count("budget_empty", 0)),
        Metric(
            f"{prefix}legs_total",
            "counter",
            "Calls to backends, by what they were for.",
            label="purpose",
            values={"read": count("reads", 0), "make": count("makes", 0)},
        ),
        counter(
            "without_backend",
            "Times that no backend was ready to run a request.",
            count("without_backend", 0),
        ),
        counter("cold_calls", "Calls to cold backends, under permits.", count("cold_calls", 0)),
        counter("readings", "Prompts that a prefill backend has read.", count("readings", 0)),
        counter("reading_milliseconds", "Time from asking for a reading to its answer.", count("reading_ms", 0)),
        Metric(
            f"{prefix}tokens_asked_total",
            "counter",
            "Tokens of prompts to be read, by the stage of the backend that was asked.",
            label="stage",
            values={stage: count(f"tokens_asked_{stage}", 0) for stage in STAGES},
        ),
        Metric(
            f"{prefix}tokens_unread",
            "gauge",
            "Tokens that this proxy waits for to be read, by the stage of the backend.",
            label="stage",
            values=_unread(proxy),
        ),
        counter("dialled", "Connections opened to backends.", count("dialled", 0)),
        gauge("open_requests", "Requests that are open.", proxy.open),
        _ready_by_stage(prefix, proxy.shared.candidates.records.values()),
        gauge("configuration_revision", "Revision in force; 0: none.", proxy.revision),
        gauge(
            "configuration_unconfirmed_seconds",
            "For how long no controller in contact with a majority has confirmed the revision.",
            int(edge.links.unconfirmed_s),
        ),
        gauge("evacuation_number", "Number of the evacuations in force; 0: none ever.", proxy.evacuation_number),
        gauge("evacuated_zones", "Zones to whose backends nothing is sent.", len(proxy.evacuated)),
        gauge("links_up", "Links to controllers that stand.", edge.links.up),
        counter(
            "relayed", "Messages passed on between controllers that are cut off from each other.", edge.links.relayed
        ),
        _invariant_violations(prefix),
    ]


def of_control(controller: ControllerState) -> list[Metric]:
    """A controller's figures."""
    told, prefix = controller.overview(), "cranebank_control_"
    phases = Counter(record.phase for record in controller.registry.all_records())
    proxies = told["proxies"]

    def gauge(name: str, text: str, value: int) -> Metric:
        return Metric(f"{prefix}{name}", "gauge", text, value)

    return [
        gauge("is_primary", "1 while this is the primary and its lease runs.", told["is_primary"]),
        gauge("epoch", "Epoch of the newest record known.", told["epoch"]),
        gauge("configuration_revision", "Revision handed out; 0: none.", told["revision"]),
        gauge("evacuation_number", "Number of the newest evacuations known; 0: none ever.", told["evacuation_number"]),
        gauge("evacuated_zones", "Zones to whose backends nothing is sent.", len(told["evacuated"])),
        gauge("proxies", "Proxies linked here.", len(proxies)),
        gauge(
            "proxies_unevacuated",
            "Linked proxies that have not acknowledged the newest evacuations.",
            sum(proxy["evacuation_number"] < told["evacuation_number"] for proxy in proxies),
        ),
        gauge(
            "proxies_behind",
            "Linked proxies that show an older revision.",
            sum(proxy["revision"] < told["revision"] for proxy in proxies),
        ),
        gauge(
            "lag",
            "Most pushes that a linked proxy has not acknowledged.",
            max((proxy["lag"] for proxy in proxies), default=0),
        ),
        Metric(
            f"{prefix}backends",
            "gauge",
            "Backends, by phase.",
            label="phase",
            values={phase: phases[phase] for phase in PHASES},
        ),
        _ready_by_stage(prefix, controller.registry.all_records()),
        Metric(
            f"{prefix}wrong_losses_total",
            "counter",
            "Heartbeats that another controller had heard before their backend was held for lost here.",
            controller.registry.wrong_losses,
        ),
        Metric(
            f"{prefix}stage_load_millierlangs",
            "gauge",
            "What proxies linked here ask of backends, in thousandths of a backend's time or places, by stage.",
            label="stage",
            values={stage: round(1000 * erlangs) for stage, erlangs in controller.stage_loads().items()},
        ),
        Metric(
            f"{prefix}writes_total",
            "counter",
            "Writes handed to the custody, by result.",
            label="result",
            values={result: controller.writes.get(kind, 0) for result, kind in RESULTS.items()},
        ),
        *_of_tallies(prefix, controller.tallies),
        _invariant_violations(prefix),
    ]


def _of_tallies(prefix: str, tallies: TallyService) -> list[Metric]:
    stats, counts = tallies.stats, tallies.counts

    def gauge(name: str, text: str, value: int) -> Metric:
        return Metric(f"{prefix}tally_{name}", "gauge", text, value)

    return [
        gauge("names", "Tallies that were ever added to.", stats.tallies),
        gauge("adds_held", "Adds to tallies whose ids are held.", stats.held),
        gauge("adds_folded", "Adds to tallies that are known by their sums only.", stats.folded),
        gauge("origins", "Lives of controllers that have taken adds to tallies.", stats.origins),
        gauge("calls_waiting", "Adds to tallies that wait to be durable on enough controllers.", counts.waiting),
        gauge(
            "lag",
            "Most adds held here that a linked controller doesn't have on its disk.",
            max(stats.lag.values(), default=0),
        ),
        Metric(
            f"{prefix}tally_calls_total",
            "counter",
            "Adds to tallies, by how they ended; unclear: not known to be durable in time.",
            label="result",
            values={"acknowledged": counts.acknowledged, "refused": counts.refused, "unclear": counts.unclear},
        ),
    ]


def _invariant_violations(prefix: str) -> Metric:
    return Metric(
        f"{prefix}invariant_violations_total",
        "counter",
        "Invariants found violated since the start, by name; none in a sound process.",
        label="invariant",
        values={re.sub(r"\W+", "_", name): number for name, number in violations().items()},
    )


def _unread(proxy: Proxy) -> dict[str, int]:
    unread = dict.fromkeys(STAGES, 0)
    for seen in proxy.shared.candidates.views.values():
        if seen.backend.stage in unread:
            unread[seen.backend.stage] += seen.tokens
    return unread


def _ready_by_stage(prefix: str, records: Iterable[Backend]) -> Metric:
    stages = Counter(record.stage for record in records if record.phase == "ready")
    return Metric(
        f"{prefix}backends_ready",
        "gauge",
        "Backends that are ready, by stage; none: they tell no stage.",
        label="stage",
        values={**{stage: stages[stage] for stage in STAGES}, "none": stages[""]},
    )


class Exporter:
    """The listening end."""

    def __init__(self, metrics: Callable[[], list[Metric]]) -> None:
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._server = Server((Call("GET", "/metrics", 0, self._tell),), self._loop.time)
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, settings: NodeSettings) -> None:
        """Listen; a port that can't be had is a line in the log."""
        port = settings.metrics_port
        if port is None:
            logger.warning("no metrics: expected a second port in port_range")
            return
        try:
            await self._server.start(settings.ip, port)
        except OSError as error:
            logger.warning("no metrics: port {}: {}", port, error)
            return
        self._sweep()

    def stop(self) -> None:
        """End it."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.stop()
        self._server.abort()

    def _sweep(self) -> None:
        self._server.sweep()
        self._timer = self._loop.call_later(SWEEP_S, self._sweep)

    async def _tell(self, _request: Request) -> Response:
        return Response(200, exposition(self._metrics()), content_type=CONTENT_TYPE)
