"""A proxy's partial view of the other proxies, shuffled between neighbours (after Cyclon): no clock, no sockets.

``handle(now, event)`` returns what to send. The view holds at most ``MOST`` neighbours, each with an age: rounds since
somebody heard from it. Each round a part of the view goes to the oldest neighbour, which answers with a part of its
own; what came takes free places first, then the places of what was sent. A neighbour that does not answer is asked once
more and then dropped. An age only grows on its way, and nothing older than ``OLDEST`` is kept: the dead vanish
everywhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto
from ipaddress import AddressValueError, IPv4Address
from random import Random

import msgspec

from cranebank.invariants import invariant_error

MOST = 12  # neighbours
PART = 6  # of the view that goes into one shuffle, the sender included
SHUFFLE_INTERVAL_S = 1.0
SHUFFLE_REPLY_TIMEOUT_S = 0.3  # an answer that takes longer is lost
OLDEST = 30  # rounds
EXCHANGE_BITS = 32  # of the number drawn for each shuffle: no later one, of this life or the next, has it again
FETCH_DELAY_S = 0.5  # controllers have so long to bring a newer configuration before a neighbour is asked for it


class Asking(Enum):
    """Of the one shuffle that may be open."""

    NONE = auto()
    ONCE = auto()
    AGAIN = auto()


NEXT_ASKING = {
    Asking.NONE: {Asking.ONCE},
    Asking.ONCE: {Asking.AGAIN, Asking.NONE},
    Asking.AGAIN: {Asking.NONE},
}


class Standing(Enum):
    """Of our configuration, against what neighbours show."""

    CURRENT = auto()
    BEHIND = auto()
    FETCHING = auto()


NEXT_STANDING = {
    Standing.CURRENT: {Standing.BEHIND},
    Standing.BEHIND: {Standing.FETCHING, Standing.CURRENT},
    Standing.FETCHING: {Standing.CURRENT},
}

Part = tuple[tuple[str, int], ...]


class Welcomed(msgspec.Struct, frozen=True):
    """A controller named some proxies."""

    ips: tuple[str, ...]


class Tick(msgspec.Struct, frozen=True):
    """Time passes; ``revision`` of our configuration."""

    revision: int


class Heard(msgspec.Struct, frozen=True):
    """A shuffle came; ``exchange`` is the number that its first sender drew."""

    ip: str
    view: Part
    is_reply: bool
    exchange: int = 0


class Shown(msgspec.Struct, frozen=True):
    """A neighbour showed the revision of its configuration."""

    ip: str
    revision: int


class FetchEnded(msgspec.Struct, frozen=True):
    """A fetch is over, with or without what was wanted."""


Event = Welcomed | Tick | Heard | Shown | FetchEnded


class SendShuffle(msgspec.Struct, frozen=True):
    """Send this part of the view; a reply repeats the number of what it answers."""

    ip: str
    view: Part
    is_reply: bool
    exchange: int


class FetchFrom(msgspec.Struct, frozen=True):
    """Fetch the configuration from this neighbour, and tell when that is over."""

    ip: str


Action = SendShuffle | FetchFrom


def is_address(ip: str) -> bool:
    """Whether this is an IPv4 address in the usual form: nothing else may ever be looked up or sent to."""
    try:
        return str(IPv4Address(ip)) == ip
    except AddressValueError:
        return False


class PartialView:
    """The view of one proxy."""

    def __init__(self, ip: str, random: Random) -> None:
        self._ip, self._random = ip, random
        self._ages: dict[str, int] = {}
        self._named: tuple[str, ...] = ()  # by the last Welcome: who is asked again when nobody is left
        self._next_round = 0.0
        self._asking, self._asked, self._answer_by = Asking.NONE, "", 0.0
        self._sent: Part = ()
        self._exchange = 0  # of the shuffle that is open
        self._standing, self._newer, self._newer_ip, self._behind_since = Standing.CURRENT, 0, "", 0.0
        self._revision = 0

    @property
    def neighbours(self) -> tuple[str, ...]:
        """IPs of the view."""
        return tuple(self._ages)

    @property
    def ages(self) -> dict[str, int]:
        """The view."""
        return dict(self._ages)

    @property
    def standing(self) -> Standing:
        """Of our configuration."""
        return self._standing

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; return what to do, in order."""
        actions: list[Action] = []
        match event:
            case Tick(revision):
                self._revision = revision
                self._look_at_answer(now, actions)
                if now >= self._next_round:
                    self._next_round = now + SHUFFLE_INTERVAL_S * self._random.uniform(0.9, 1.1)
                    self._begin_round(now, actions)
                self._look_at_revision(now, actions)
            case Heard():
                self._heard(event, actions)
            case Shown(ip, revision):
                if revision > max(self._newer, self._revision):
                    self._newer, self._newer_ip = revision, ip
                elif revision == self._newer and self._standing is not Standing.FETCHING:
                    self._newer_ip = ip  # whoever showed it last is the likeliest to answer
            case Welcomed(ips):
                self._named = tuple(ip for ip in ips[:MOST] if ip != self._ip and is_address(ip))
                self._take(((ip, 0) for ip in self._named), [])
            case FetchEnded():
                if self._standing is not Standing.FETCHING:
                    raise invariant_error("a fetch that ends was begun")
                self._newer = 0  # who has it still shows it within a second: no tries at one that is gone
                self._stand(Standing.CURRENT)
        self._check()
        return actions

    # Shuffles.

    def _begin_round(self, now: float, actions: list[Action]) -> None:
        self._ages = {ip: age + 1 for ip, age in self._ages.items() if age < OLDEST}
        if self._asked and self._asked not in self._ages:
            self._ask_no_more()
        if not self._ages:
            self._take(((ip, 0) for ip in self._named), [])
        if self._ages and self._asking is Asking.NONE:
            oldest = max(self._ages.values())
            self._asked = self._random.choice([ip for ip, age in self._ages.items() if age == oldest])
            self._sent = self._draw(PART - 1, self._asked)
            self._exchange = self._random.getrandbits(EXCHANGE_BITS)
            self._change(Asking.ONCE)
            self._ask(now, actions)

    def _ask(self, now: float, actions: list[Action]) -> None:
        self._answer_by = now + SHUFFLE_REPLY_TIMEOUT_S
        actions.append(SendShuffle(self._asked, ((self._ip, 0), *self._sent), False, self._exchange))

    def _look_at_answer(self, now: float, actions: list[Action]) -> None:
        if self._asking is Asking.NONE or now < self._answer_by:
            return
        if self._asking is Asking.ONCE:
            self._change(Asking.AGAIN)
            self._ask(now, actions)
            return
        self._ages.pop(self._asked, None)
        self._ask_no_more()

    def _ask_no_more(self) -> None:
        self._asked, self._sent = "", ()
        self._change(Asking.NONE)

    def _heard(self, heard: Heard, actions: list[Action]) -> None:
        ip, view = heard.ip, heard.view
        if ip == self._ip or not is_address(ip):
            return
        if heard.is_reply:
            if ip != self._asked or heard.exchange != self._exchange:
                return  # late: it was given up, and what was sent to it has its places still
            spare = [ip, *(sent for sent, _ in self._sent)]
            self._ages[ip] = 0
            self._ask_no_more()
        else:
            part = self._draw(PART, ip)
            actions.append(SendShuffle(ip, part, True, heard.exchange))
            spare = [sent for sent, _ in part]
            view = ((ip, 0), *(entry for entry in view if entry[0] != ip))
        self._take(view[:PART], spare)

    def _draw(self, count: int, without: str) -> Part:
        others = [entry for entry in self._ages.items() if entry[0] != without]
        return tuple(self._random.sample(others, min(count, len(others))))

    def _take(self, entries: Iterable[tuple[str, int]], spare: list[str]) -> None:
        """Take neighbours into free places, then into those of ``spare``, in order."""
        for ip, age in entries:
            if ip == self._ip or not 0 <= age <= OLDEST or not is_address(ip):
                continue
            if ip in self._ages:
                self._ages[ip] = min(self._ages[ip], age)
                if ip in spare:
                    spare.remove(ip)
                continue
            while len(self._ages) >= MOST and spare:
                place = spare.pop(0)
                if place != self._asked:
                    self._ages.pop(place, None)
            if len(self._ages) < MOST:
                self._ages[ip] = age

    # The configuration.

    def _look_at_revision(self, now: float, actions: list[Action]) -> None:
        if self._standing is Standing.FETCHING:
            return
        if self._newer <= self._revision:
            if self._standing is Standing.BEHIND:
                self._stand(Standing.CURRENT)
        elif self._standing is Standing.CURRENT:
            self._behind_since = now
            self._stand(Standing.BEHIND)
        elif now - self._behind_since >= FETCH_DELAY_S:
            self._stand(Standing.FETCHING)
            actions.append(FetchFrom(self._newer_ip))

    # Changes of state.

    def _change(self, asking: Asking) -> None:
        if asking not in NEXT_ASKING[self._asking]:
            raise invariant_error("states of asking follow one another", f"{self._asking} to {asking}")
        self._asking = asking

    def _stand(self, standing: Standing) -> None:
        if standing not in NEXT_STANDING[self._standing]:
            raise invariant_error("states of standing follow one another", f"{self._standing} to {standing}")
        self._standing = standing

    def _check(self) -> None:
        if len(self._ages) > MOST:
            raise invariant_error("the view is bounded", f"{len(self._ages)} neighbours")
        if self._ip in self._ages:
            raise invariant_error("no proxy is its own neighbour")
        if not all(0 <= age <= OLDEST for age in self._ages.values()):
            raise invariant_error("no neighbour is too old")
        if (self._asking is Asking.NONE) != (not self._asked):
            raise invariant_error("whoever asks knows whom")
        if self._asked and self._asked not in self._ages:
            raise invariant_error("only neighbours are asked")
