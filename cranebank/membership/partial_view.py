"""A proxy's partial view of the other proxies, shuffled between neighbours as in Cyclon. No I/O, no clock.

``handle(now, event)`` returns the actions to take. The view has at most ``MAX_NEIGHBOURS`` entries, each with an age:
the rounds since any proxy last heard from that neighbour. In each round a sample of the view is sent to the oldest
neighbour, which replies with a sample of its own; received entries fill free places first, and then replace entries
that were sent. A neighbour that doesn't reply is asked once more and then dropped. Ages never decrease in transit and
entries older than ``MAX_AGE_ROUNDS`` are dropped, so that dead proxies disappear from all views.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto
from ipaddress import AddressValueError, IPv4Address
from random import Random

import msgspec

from cranebank.invariants import invariant_error

MAX_NEIGHBOURS = 12
SHUFFLE_SIZE = 6  # entries of one shuffle, the sender included
SHUFFLE_INTERVAL_S = 1.0
SHUFFLE_REPLY_TIMEOUT_S = 0.3  # a reply that takes longer counts as lost
MAX_AGE_ROUNDS = 30
EXCHANGE_BITS = 32  # of a shuffle's random number: no late reply matches another shuffle, even after a restart
FETCH_DELAY_S = 0.5  # time for controllers to push a newer configuration before it is fetched from a neighbour


class ShuffleState(Enum):
    """State of the shuffle that awaits a reply; there is at most one."""

    NONE = auto()
    SENT = auto()
    RESENT = auto()


SHUFFLE_TRANSITIONS = {
    ShuffleState.NONE: {ShuffleState.SENT},
    ShuffleState.SENT: {ShuffleState.RESENT, ShuffleState.NONE},
    ShuffleState.RESENT: {ShuffleState.NONE},
}


class ConfigState(Enum):
    """State of this proxy's configuration, compared with the revisions that neighbours show."""

    CURRENT = auto()
    BEHIND = auto()
    FETCHING = auto()


CONFIG_TRANSITIONS = {
    ConfigState.CURRENT: {ConfigState.BEHIND},
    ConfigState.BEHIND: {ConfigState.FETCHING, ConfigState.CURRENT},
    ConfigState.FETCHING: {ConfigState.CURRENT},
}

ViewPart = tuple[tuple[str, int], ...]


class ProxiesNamed(msgspec.Struct, frozen=True):
    """A controller named other proxies in its Welcome."""

    ips: tuple[str, ...]


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; ``revision`` is that of this proxy's configuration."""

    revision: int


class ShuffleReceived(msgspec.Struct, frozen=True):
    """A shuffle was received; ``exchange`` is the random number that its initiator drew."""

    ip: str
    view: ViewPart
    is_reply: bool
    exchange: int = 0


class RevisionShown(msgspec.Struct, frozen=True):
    """A neighbour sent the revision of its configuration."""

    ip: str
    revision: int


class FetchEnded(msgspec.Struct, frozen=True):
    """A fetch has ended, successfully or not."""


Event = ProxiesNamed | Tick | ShuffleReceived | RevisionShown | FetchEnded


class SendShuffle(msgspec.Struct, frozen=True):
    """Send this part of the view; a reply has the ``exchange`` of its request."""

    ip: str
    view: ViewPart
    is_reply: bool
    exchange: int


class FetchFrom(msgspec.Struct, frozen=True):
    """Fetch the configuration from this neighbour; FetchEnded must follow."""

    ip: str


Action = SendShuffle | FetchFrom


def is_address(ip: str) -> bool:
    """Whether this is an IPv4 address in canonical form; nothing else may be resolved or sent to."""
    try:
        return str(IPv4Address(ip)) == ip
    except AddressValueError:
        return False


class PartialView:
    """The partial view of one proxy."""

    def __init__(self, ip: str, random: Random) -> None:
        self._ip, self._random = ip, random
        self._ages: dict[str, int] = {}
        self._named_proxies: tuple[str, ...] = ()  # in the last Welcome: used again when the view is empty
        self._next_round = 0.0
        self._shuffle_state, self._shuffle_peer, self._reply_deadline = ShuffleState.NONE, "", 0.0
        self._sent_part: ViewPart = ()
        self._exchange = 0  # of the shuffle that awaits a reply
        self._config_state, self._newest_revision, self._newest_ip, self._behind_since = ConfigState.CURRENT, 0, "", 0.0
        self._revision = 0

    @property
    def neighbours(self) -> tuple[str, ...]:
        """IPs in the view."""
        return tuple(self._ages)

    @property
    def ages(self) -> dict[str, int]:
        """The view: ages in rounds, by IP."""
        return dict(self._ages)

    @property
    def config_state(self) -> ConfigState:
        """State of this proxy's configuration."""
        return self._config_state

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event; return the actions to take, in order."""
        actions: list[Action] = []
        match event:
            case Tick(revision):
                self._revision = revision
                self._check_reply(now, actions)
                if now >= self._next_round:
                    self._next_round = now + SHUFFLE_INTERVAL_S * self._random.uniform(0.9, 1.1)
                    self._begin_round(now, actions)
                self._check_revision(now, actions)
            case ShuffleReceived():
                self._on_shuffle(event, actions)
            case RevisionShown(ip, revision):
                if revision > max(self._newest_revision, self._revision):
                    self._newest_revision, self._newest_ip = revision, ip
                elif revision == self._newest_revision and self._config_state is not ConfigState.FETCHING:
                    self._newest_ip = ip  # the neighbour that showed it last is the likeliest to answer
            case ProxiesNamed(ips):
                self._named_proxies = tuple(ip for ip in ips[:MAX_NEIGHBOURS] if ip != self._ip and is_address(ip))
                self._merge(((ip, 0) for ip in self._named_proxies), [])
            case FetchEnded():
                if self._config_state is not ConfigState.FETCHING:
                    raise invariant_error("a fetch that ends was begun")
                self._newest_revision = 0  # shown again within a second by those that have it; don't retry a lost one
                self._set_config_state(ConfigState.CURRENT)
        self._check()
        return actions

    # Shuffles.

    def _begin_round(self, now: float, actions: list[Action]) -> None:
        self._ages = {ip: age + 1 for ip, age in self._ages.items() if age < MAX_AGE_ROUNDS}
        if self._shuffle_peer and self._shuffle_peer not in self._ages:
            self._end_shuffle()
        if not self._ages:
            self._merge(((ip, 0) for ip in self._named_proxies), [])
        if self._ages and self._shuffle_state is ShuffleState.NONE:
            oldest = max(self._ages.values())
            self._shuffle_peer = self._random.choice([ip for ip, age in self._ages.items() if age == oldest])
            self._sent_part = self._sample(SHUFFLE_SIZE - 1, self._shuffle_peer)
            self._exchange = self._random.getrandbits(EXCHANGE_BITS)
            self._set_shuffle_state(ShuffleState.SENT)
            self._send_shuffle(now, actions)

    def _send_shuffle(self, now: float, actions: list[Action]) -> None:
        self._reply_deadline = now + SHUFFLE_REPLY_TIMEOUT_S
        actions.append(SendShuffle(self._shuffle_peer, ((self._ip, 0), *self._sent_part), False, self._exchange))

    def _check_reply(self, now: float, actions: list[Action]) -> None:
        if self._shuffle_state is ShuffleState.NONE or now < self._reply_deadline:
            return
        if self._shuffle_state is ShuffleState.SENT:
            self._set_shuffle_state(ShuffleState.RESENT)
            self._send_shuffle(now, actions)
            return
        self._ages.pop(self._shuffle_peer, None)
        self._end_shuffle()

    def _end_shuffle(self) -> None:
        self._shuffle_peer, self._sent_part = "", ()
        self._set_shuffle_state(ShuffleState.NONE)

    def _on_shuffle(self, received: ShuffleReceived, actions: list[Action]) -> None:
        ip, view = received.ip, received.view
        if ip == self._ip or not is_address(ip):
            return
        if received.is_reply:
            if ip != self._shuffle_peer or received.exchange != self._exchange:
                return  # late: the shuffle was given up, and the entries sent in it were kept
            replaceable = [ip, *(sent for sent, _ in self._sent_part)]
            self._ages[ip] = 0
            self._end_shuffle()
        else:
            part = self._sample(SHUFFLE_SIZE, ip)
            actions.append(SendShuffle(ip, part, True, received.exchange))
            replaceable = [sent for sent, _ in part]
            view = ((ip, 0), *(entry for entry in view if entry[0] != ip))
        self._merge(view[:SHUFFLE_SIZE], replaceable)

    def _sample(self, count: int, excluded: str) -> ViewPart:
        others = [entry for entry in self._ages.items() if entry[0] != excluded]
        return tuple(self._random.sample(others, min(count, len(others))))

    def _merge(self, entries: Iterable[tuple[str, int]], replaceable: list[str]) -> None:
        """Merge entries into free places, then into those of ``replaceable``, in order."""
        for ip, age in entries:
            if ip == self._ip or not 0 <= age <= MAX_AGE_ROUNDS or not is_address(ip):
                continue
            if ip in self._ages:
                self._ages[ip] = min(self._ages[ip], age)
                if ip in replaceable:
                    replaceable.remove(ip)
                continue
            while len(self._ages) >= MAX_NEIGHBOURS and replaceable:
                replaced = replaceable.pop(0)
                if replaced != self._shuffle_peer:
                    self._ages.pop(replaced, None)
            if len(self._ages) < MAX_NEIGHBOURS:
                self._ages[ip] = age

    # Configuration.

    def _check_revision(self, now: float, actions: list[Action]) -> None:
        if self._config_state is ConfigState.FETCHING:
            return
        if self._newest_revision <= self._revision:
            if self._config_state is ConfigState.BEHIND:
                self._set_config_state(ConfigState.CURRENT)
        elif self._config_state is ConfigState.CURRENT:
            self._behind_since = now
            self._set_config_state(ConfigState.BEHIND)
        elif now - self._behind_since >= FETCH_DELAY_S:
            self._set_config_state(ConfigState.FETCHING)
            actions.append(FetchFrom(self._newest_ip))

    # State transitions.

    def _set_shuffle_state(self, state: ShuffleState) -> None:
        if state not in SHUFFLE_TRANSITIONS[self._shuffle_state]:
            raise invariant_error("states of asking follow one another", f"{self._shuffle_state} to {state}")
        self._shuffle_state = state

    def _set_config_state(self, config_state: ConfigState) -> None:
        if config_state not in CONFIG_TRANSITIONS[self._config_state]:
            raise invariant_error("states of standing follow one another", f"{self._config_state} to {config_state}")
        self._config_state = config_state

    def _check(self) -> None:
        if len(self._ages) > MAX_NEIGHBOURS:
            raise invariant_error("the view is bounded", f"{len(self._ages)} neighbours")
        if self._ip in self._ages:
            raise invariant_error("no proxy is its own neighbour")
        if not all(0 <= age <= MAX_AGE_ROUNDS for age in self._ages.values()):
            raise invariant_error("no neighbour is too old")
        if (self._shuffle_state is ShuffleState.NONE) != (not self._shuffle_peer):
            raise invariant_error("whoever asks knows whom")
        if self._shuffle_peer and self._shuffle_peer not in self._ages:
            raise invariant_error("only neighbours are asked")
