"""Permits for requests to a cold backend: the requests that all controllers and proxies allow in any second."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranebank.control.warm_up import MAX_PERMITS, ColdBackend, PermitIssuer, RateBound, max_permits
from cranebank.dataplane.cold_backends import ColdBackends
from cranebank.membership.warm_up import (
    MAX_PERMIT_LEASE_S,
    PERMIT_RELEASE_DELAY_S,
    PERMIT_REUSE_INTERVAL_S,
    RATE_WINDOW_S,
    WarmUpLimit,
    read_limits,
)
from cranebank.transport.frames import Decoder, encode
from cranebank.transport.messages import Backend, WarmUpPermits

LIMIT = WarmUpLimit(per_s=23.0, cold_s=3.0)
BOUND = RateBound(over=1.5, slack=5.0)
QUIET_S = MAX_PERMIT_LEASE_S + PERMIT_RELEASE_DELAY_S
STEP_S = 0.05
LINK_HEARTBEAT_INTERVAL_S = 0.4
DIAL_S = 0.3
RUN_S = 20.0


def ips(count: int) -> list[str]:
    return [f"10.0.0.{number}" for number in range(1, count + 1)]


def issuer(ip: str = "10.0.0.1", now: float = 0.0, tolerated: int = 2, seed: int = 1) -> PermitIssuer:
    return PermitIssuer(now, Random(seed), ip, tolerated, BOUND)


def cold(until: float) -> list[ColdBackend]:
    return [ColdBackend("i", LIMIT, until)]


@given(st.integers(1, 9), st.floats(0, 200), st.floats(0, 3), st.floats(0, 9))
def test_the_shares_of_all_controllers_stay_within_the_bound(
    count: int, per_s: float, over: float, slack: float
) -> None:
    """With at least three controllers the shares add up to the bound exactly."""
    known, limit = set(ips(count)), WarmUpLimit(per_s, 3.0)
    shares = [PermitIssuer(0.0, Random(1), ip, 1, RateBound(over, slack)).share(limit, known) for ip in known]
    most = int(min(per_s * PERMIT_REUSE_INTERVAL_S, per_s * over + slack))
    assert sum(shares) <= most and (count < 3 or sum(shares) == most)


@pytest.mark.parametrize("per_s", [1e6, 1e20, 1e308])
def test_a_rate_without_reason_leaves_a_bounded_number_of_permits(per_s: float) -> None:
    """Guards against a service's rate whose permits fit no message, which ended each look for cold backends."""
    limit = WarmUpLimit(per_s, 3.0)
    assert max_permits(limit, BOUND) == MAX_PERMITS
    made = issuer(tolerated=1)
    made.report_clock(QUIET_S, "link", QUIET_S)
    granted = made.hand_out(QUIET_S, [ColdBackend("i", limit, QUIET_S + 3.0)], set(ips(3)))
    assert granted and all(Decoder().feed(encode(permits)) == [permits] for _, permits in granted)


def test_a_controller_that_knows_no_other_takes_no_more_than_its_share() -> None:
    assert issuer().share(LIMIT, set()) <= max_permits(LIMIT, BOUND) // 5 + 1


def test_permits_are_not_leased_twice_within_a_lease() -> None:
    """Nor right after it: a request under the previous lease may have been sent a moment before."""
    made = issuer()
    made.report_clock(QUIET_S, "link", 100.0)
    ((_, message),) = made.hand_out(QUIET_S, cold(QUIET_S + 3), set(ips(5)))
    lease_s = message.valid_until - 100.0
    for later in (0.1, lease_s, lease_s + PERMIT_RELEASE_DELAY_S - 0.01):
        made.report_clock(QUIET_S + later, "link", 100.0 + later)
        assert not made.hand_out(QUIET_S + later, cold(QUIET_S + 30), set(ips(5)))
    made.report_clock(QUIET_S + lease_s + PERMIT_RELEASE_DELAY_S + 0.01, "link", 110.0)
    assert made.hand_out(QUIET_S + lease_s + PERMIT_RELEASE_DELAY_S + 0.01, cold(QUIET_S + 30), set(ips(5)))


def test_a_controller_that_has_just_started_leases_nothing() -> None:
    """Before its restart it may have leased its share a moment ago."""
    made = issuer(now=50.0)
    for now in (50.0, 50.0 + QUIET_S - 0.01):
        made.report_clock(now, "link", 1.0)
        assert not made.hand_out(now, cold(now + 3), set(ips(5)))


def test_a_proxy_that_is_silent_gets_no_permits() -> None:
    made = issuer()
    made.report_clock(QUIET_S, "silent", 1.0)
    made.report_clock(QUIET_S + 2, "heard", 1.0)
    assert {link for link, _ in made.hand_out(QUIET_S + 2, cold(QUIET_S + 9), set())} == {"heard"}


def test_permits_go_evenly_over_few_proxies() -> None:
    made = issuer(tolerated=0)
    for link in ("a", "b"):
        made.report_clock(QUIET_S, link, 1.0)
    out = made.hand_out(QUIET_S, cold(QUIET_S + 3), set())
    assert sorted(message.permits for _, message in out) == [5, 5]


def test_limits_are_read_from_a_configuration() -> None:
    """Services without a limit are left out."""
    document = (
        b'{"services":[{"name":"a","warmup_per_s":23.0,"cold_s":3},'
        b'{"name":"b","cold_s":3},{"name":"c","warmup_per_s":0}]}'
    )
    assert read_limits(document) == {"a": LIMIT}


@dataclass
class SimulatedProxy:
    """Sends whenever permits allow it; each call is written after a random dial time."""

    clock_offset: float
    cold: ColdBackends
    frozen_until: float = 0.0
    inbox: list[WarmUpPermits | float] = field(default_factory=list)  # permits, or the remaining cold time
    dials: list[tuple[float, float]] = field(default_factory=list)  # when a dial succeeds, and until when it may write

    def step(self, now: float, random: Random) -> int:
        """Return the number of requests written at this time."""
        if now < self.frozen_until:
            return 0
        clock = now + self.clock_offset
        for message in self.inbox:
            if isinstance(message, WarmUpPermits):
                self.cold.grant(clock, message.backend, message.permits, message.valid_until)
            else:
                self.cold.observe(clock, record(max(0.0, message)))
        self.inbox.clear()
        written = sum(up_at <= now and clock <= until for up_at, until in self.dials)
        self.dials = [dial for dial in self.dials if dial[0] > now]
        self.cold.forget_expired(clock)
        while self.cold.is_known_cold(clock, record(0)):
            until = self.cold.use_permit(clock, record(0))
            if until is None:
                break
            self.dials.append((now + random.uniform(0, DIAL_S), until))
        return written


def record(cold_left_s: float) -> Backend:
    return Backend("i", "svc", "10.0.9.9:1", "z", "decode", 12, "ready", 1, int(cold_left_s * 1000))


def proxy(random: Random) -> SimulatedProxy:
    made = SimulatedProxy(random.uniform(-50, 50), ColdBackends())
    made.cold.limits = {"svc": LIMIT}
    return made


class Fleet:
    """Controllers and proxies with cuts, freezes and restarts, and a backend that turns cold repeatedly."""

    def __init__(self, seed: int, controllers: int, proxies: int) -> None:
        self.random = Random(seed)
        self.ips = ips(controllers)
        self.tolerated = (controllers - 1) // 2
        self.issuers = {ip: issuer(ip, -QUIET_S, self.tolerated, seed) for ip in self.ips}
        self.proxies = [proxy(self.random) for _ in range(proxies)]
        self.cut: set[tuple[str, int]] = set()
        self.cold_until = 0.0
        self.knows_until = dict.fromkeys(self.ips, 0.0)
        self.written: list[float] = []

    def run(self, seconds: float) -> None:
        for step in range(int(seconds / STEP_S)):
            self.step(step, step * STEP_S)

    def step(self, step: int, now: float) -> None:
        self.disturb(now)
        if self.random.random() < 0.02:
            self.cold_until = max(self.cold_until, now + LIMIT.cold_s)
        for ip, made in self.issuers.items():
            if self.random.random() < 0.1:
                self.knows_until[ip] = self.cold_until
            self.control(step, now, ip, made)
        for found in self.proxies:
            self.written += [now] * found.step(now, self.random)

    def control(self, step: int, now: float, ip: str, made: PermitIssuer) -> None:
        left = self.knows_until[ip] - now
        for number, found in enumerate(self.proxies):
            if (ip, number) in self.cut:
                continue
            if step % round(LINK_HEARTBEAT_INTERVAL_S / STEP_S) == number % 8 and now >= found.frozen_until:
                made.report_clock(now, number, now + found.clock_offset - self.random.uniform(0, 0.3))
            if left > 0 and self.random.random() < 0.2:
                found.inbox.append(left)
        known = set(self.random.sample(self.ips, self.random.choice([2, len(self.ips)])))
        for link, message in made.hand_out(now, cold(self.knows_until[ip]), known):
            assert isinstance(link, int)
            self.proxies[link].inbox.append(message)

    def disturb(self, now: float) -> None:
        random = self.random
        if random.random() < 0.03:
            ip = random.choice(self.ips)
            self.issuers[ip] = issuer(ip, now, self.tolerated, random.randrange(99))
        for number in range(len(self.proxies)):
            if random.random() < 0.002:
                self.proxies[number] = proxy(random)
                for made in self.issuers.values():
                    made.forget(number)
            if random.random() < 0.005:
                self.proxies[number].frozen_until = now + random.uniform(0, 8)
        if random.random() < 0.05:
            self.cut = {
                (random.choice(self.ips), number) for number in range(len(self.proxies)) if random.random() < 0.4
            }

    def busiest_second(self) -> int:
        times = sorted(self.written)
        return max((bisect_left(times, at + RATE_WINDOW_S - 1e-9) - index for index, at in enumerate(times)), default=0)


@settings(deadline=None, max_examples=12)
@given(st.integers(0, 1 << 30), st.sampled_from([3, 5, 7]), st.integers(1, 400))
def test_no_second_brings_a_cold_backend_more_than_it_bears_whatever_fails(
    seed: int, controllers: int, proxies: int
) -> None:
    """Under cuts, freezes, restarts of proxies and controllers, and cold periods that start over."""
    fleet = Fleet(seed, controllers, proxies)
    fleet.run(RUN_S)
    most = max_permits(LIMIT, BOUND)
    assert fleet.busiest_second() <= most <= LIMIT.per_s * BOUND.over + BOUND.slack
    assert len(fleet.written) <= LIMIT.per_s * RUN_S + most, "a backend's limit, over the whole time"


@pytest.mark.parametrize("proxies", [1, 40, 400])
def test_what_may_be_sent_to_a_cold_backend_is_used(proxies: int) -> None:
    """Without faults at least three quarters of the permits of five controllers, four each, are used every 1.35 s."""
    fleet = Fleet(1, 5, proxies)
    fleet.disturb = lambda now: None  # type: ignore[method-assign]
    fleet.cold_until, fleet.knows_until = 20.0, dict.fromkeys(fleet.ips, 20.0)
    fleet.run(4.0)
    rounds = 2
    counted = [at for at in fleet.written if 1.0 <= at < 1.0 + rounds * PERMIT_REUSE_INTERVAL_S]
    assert len(counted) >= 0.75 * 5 * 4 * rounds
