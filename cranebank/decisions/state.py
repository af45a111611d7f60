"""A copy's records of servers, attempts and requests: plain data, no decisions."""

from __future__ import annotations

import msgspec

from cranebank.decisions.interface import ServerEntry

NO_FAILURES: dict[int, float] = {}  # shared by all servers without failures, as a copy may know very many servers


class Server:
    """What this copy knows of one server. With slots: 10,000 servers at 200 copies are two million of these."""

    __slots__ = (
        "answered_at",
        "answered_upto",
        "class_failures",
        "connected_until",
        "delisted",
        "ejected_until",
        "ejection_ms",
        "entry",
        "failure_share",
        "full_until",
        "in_flight",
        "in_flight_at_report",
        "load",
        "mean_duration",
        "on_trial",
        "refused",
        "reported_at",
        "restarted_at",
        "size",
        "swallowed_share",
        "tokens",
        "tokens_at",
    )

    def __init__(self, entry: ServerEntry, tokens: float = 0.0) -> None:
        self.entry, self.size = entry, entry.size  # size: as listed, scaled by the learnt speed of its host kind
        self.load: float | None = None  # calls in flight, as last reported
        self.reported_at = self.answered_at = 0.0  # when that report and the last successful answer came
        self.answered_upto = 0.0  # when the latest of the calls that it has answered was sent
        self.in_flight = self.in_flight_at_report = 0  # own calls now, and at the last report
        self.swallowed_share = 0.0  # recent share of overdue calls that later calls overtook
        self.failure_share = self.mean_duration = 0.0  # recent share of calls failed or silent; own calls
        self.ejected_until = self.ejection_ms = self.full_until = 0.0  # not drawn: as an outlier, as full
        self.on_trial = False  # one call at a time until it has answered one
        self.refused = False  # a connection was refused at once: no process listens there
        self.restarted_at = 0.0  # when it first answered after that
        self.class_failures = NO_FAILURES  # by class: recent share of its calls that failed here
        self.connected_until = 0.0  # a connection is certainly open until then; 0: not among the connected
        self.delisted = False  # dropped by the list, where removals are advisory: one failure then confirms it
        # Token bucket for calls while cold. The first ``tokens`` are random: many copies learn of a start together
        # and fill their buckets at equal rates, so that all would send their first call at the same moment.
        self.tokens, self.tokens_at = tokens, entry.started


class Attempt(msgspec.Struct, eq=False):
    """One call that was sent."""

    server: Server
    sent_at: float
    load_before: float = 0.0  # the server's load just before, where it was probed
    done: bool = False
    overdue: bool = False  # unanswered for longer than usual: no longer counted in the copy's calls in flight
    swallowed: bool = False  # overdue, and the server answered later ones: no longer counted anywhere
    not_connected: bool = False  # no connection could be opened
    silence_counted: bool = False  # its silence was counted as a failure of the server

    def earlier(self, other: Attempt | None) -> Attempt:
        """Return the one that was sent first: hosts know the request from then on, whichever ends first."""
        return self if other is None or self.sent_at < other.sent_at else other


class PendingRequest(msgspec.Struct, eq=False):
    """A request that this copy still has to answer."""

    name: str
    class_id: int
    aim_at: float
    deadline: float
    value: float
    half_time_at: float = float("inf")  # after half of its time, it is too late for a refusal with nothing sent
    groups: tuple[int, ...] = ()  # its class and its tenant, as ``Slowdowns`` numbers them
    resubmitted: bool = False  # a client's repeat
    hold_until: float = 0.0
    open_attempts: int = 0
    closed: bool = False
    waiting: bool = False
    probe_rounds: int = 0  # pairs drawn and probed; 0 while no probe is waited for
    probes_pending: int = 0
    best_probed: Server | None = None  # the lowest load among the servers that answered
    first_may_have_run: Attempt | None = None
    attempts: list[Attempt] = msgspec.field(default_factory=list)
