"""Wrong server lists, too many servers to stay connected to, and requests slow at all servers; 1 and 500 copies."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from conftest import Driver, make_settings

from cranebank.decisions.interface import (
    Action,
    Effect,
    Fail,
    Group,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    ReportSource,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    TimerFired,
)

Drive = Callable[..., Driver]
SERVERS = [f"s{i}" for i in range(12)]
COPIES = pytest.mark.parametrize("copies", [1, 500])


def served(
    d: Driver, count: int, behave: Callable[[str], Outcome] = lambda _: Outcome.OK, step: float = 50.0
) -> dict[str, int]:
    """Serve requests, with a sweep after every ten; return first sends by server."""
    total: dict[str, int] = {}
    for _ in range(count // 10):
        for name, hits in d.serve(10, behave, step).items():
            total[name] = total.get(name, 0) + hits
        d.do(TimerFired("sweep"))
    return total


@COPIES
@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.ALL])
def test_a_tier_called_gone_is_still_sent_to_where_only_draining_binds(
    drive: Drive, copies: int, kind: ListKind
) -> None:
    for binds in (True, False):
        d = drive(copies=copies, removals_are_advisory=binds)
        d.listed(SERVERS)
        served(d, 40)
        gone = [ServerEntry(s, state=ServerState.OUT) for s in SERVERS] if kind is ListKind.CHANGES else []
        d.listed(gone, kind)
        assert (sum(served(d, 40).values()) >= 40) is binds


@COPIES
def test_an_instance_that_only_remembers_a_list_serves_though_all_are_called_gone(drive: Drive, copies: int) -> None:
    d = drive(copies=copies, removals_are_advisory=True)
    d.listed(SERVERS, ListKind.REMEMBERED)
    d.listed([])
    assert sum(served(d, 40).values()) == 40


@COPIES
def test_a_drain_binds_when_the_server_leaves_the_list_or_an_old_list_comes_back(drive: Drive, copies: int) -> None:
    d = drive(copies=copies, removals_are_advisory=True)
    d.listed(SERVERS)
    d.drain("s3")
    d.listed([ServerEntry("s3", state=ServerState.OUT)], ListKind.CHANGES)
    assert "s3" not in served(d, 100)
    d.listed([s for s in SERVERS if s != "s3"])
    assert "s3" not in served(d, 100)
    d.listed(SERVERS)  # the list from before the drain, with the same start times
    assert "s3" not in served(d, 100)
    d.listed([ServerEntry("s3", started=d.now - 7900.0)], ListKind.CHANGES)
    assert "s3" in served(d, 400)


@COPIES
def test_servers_that_are_really_gone_cost_a_few_calls_and_are_forgotten(drive: Drive, copies: int) -> None:
    d = drive(copies=copies, removals_are_advisory=True)
    d.listed(SERVERS)
    served(d, 60)
    dead = set(SERVERS[:4])
    d.listed([s for s in SERVERS if s not in dead])
    hits = served(d, 3000, lambda s: Outcome.CONNECT_FAILED if s in dead else Outcome.OK)
    assert sum(hits.get(s, 0) for s in dead) < 12 * len(dead)  # an even share would be 250 each
    late = served(d, 500, lambda s: Outcome.CONNECT_FAILED if s in dead else Outcome.OK)
    assert not dead & late.keys()
    assert not dead & d.balancer.servers.keys(), "dead servers must be forgotten"


@COPIES
def test_one_failure_is_enough_where_the_list_calls_the_server_gone_too(drive: Drive, copies: int) -> None:
    again = {True: 0, False: 0}
    for called_gone in again:
        for seed in range(20):
            d = Driver(make_settings(copies=copies, removals_are_advisory=True, max_attempts=1), seed)
            d.listed(SERVERS)
            served(d, 40)
            if called_gone:
                d.listed([s for s in SERVERS if s != "s0"])
            while "s0" not in d.serve(1, lambda s: Outcome.RESET if s == "s0" else Outcome.OK):
                pass
            again[called_gone] += d.serve(30).get("s0", 0)
    assert again[True] == 0 < again[False]


def servers_met(copies: int, price: float) -> int:
    d = Driver(make_settings(copies=copies, handshake_price=price))
    d.listed([f"s{i}" for i in range(60)])
    served(d, 50, step=200.0)
    return len(served(d, 50, step=200.0))


def test_many_copies_keep_to_servers_with_an_open_connection_where_new_ones_are_priced() -> None:
    assert servers_met(500, 0.03) < 25 < servers_met(500, 0.0)
    assert servers_met(1, 0.03) > 25  # one copy can keep a connection to each server


def test_links_do_not_lead_a_keyed_repeat_out_of_its_group() -> None:
    kind = RequestClass(400.0, 1000.0, Effect.KEYED, Group.CELL, repeat_window=700.0)
    repeated = 0
    for seed in range(40):
        d = Driver(make_settings(classes=(kind,), copies=20, handshake_price=0.03), seed)
        d.listed([ServerEntry(s, cell=i // 3) for i, s in enumerate(SERVERS)])
        for _ in range(20):  # concurrent calls open several connections
            d.now += 50.0
            for name in [d.request()[0] for _ in range(3)]:
                if name in d.sent:
                    d.result(name)
        d.now += 1000.0
        name, _ = d.request()
        d.result(name, Outcome.ERROR)
        repeated += len(d.sent[name]) > 1
        assert len({SERVERS.index(s) // 3 for s in d.sent[name]}) == 1
    assert repeated > 20


def probing_driver(drive: Drive, copies: int, **more: object) -> Driver:
    return drive(copies=copies, may_probe=True, report_source=ReportSource.PROBE, probe_price=0.002, **more)


def answer_probes(d: Driver, actions: list[Action], load_of: Callable[[str], float | None]) -> list[Action]:
    """Answer all probes in ``actions`` and those that result; ``load_of`` returns the load, or None for a failure."""
    left, done = list(actions), list[Action]()
    while left:
        action = left.pop(0)
        if isinstance(action, Probe):
            load = load_of(action.server)
            code = Outcome.TIMEOUT if load is None else Outcome.OK
            left += d.do(ProbeResult(action.server, code, 1.0, None if load is None else {"inflight": load}))
        else:
            done.append(action)
    return done


def serve_with_probes(
    d: Driver,
    count: int,
    load_of: Callable[[str], float | None],
    step: float = 50.0,
    took: Callable[[str], float] = lambda _: 20.0,
    **more: int,
) -> dict[str, int]:
    """Send requests, answering the probes of pairs; return first sends by server."""
    hits: dict[str, int] = {}
    for _ in range(count):
        d.now += step
        name, actions = d.request(**more)
        answer_probes(d, actions, load_of)
        if name in d.sent:
            server = d.sent[name][0]
            hits[server] = hits.get(server, 0) + 1
            d.result(name, took=took(server))
        else:  # held: wait until it is rejected
            d.now += 400.0
            d.do(TimerFired(f"hold.{name}"))
    return hits


@COPIES
def test_where_probes_are_cheap_the_pair_is_asked_and_the_idle_one_taken(drive: Drive, copies: int) -> None:
    d = probing_driver(drive, copies)
    d.listed(SERVERS)
    idle = set(SERVERS[:6])
    hits = serve_with_probes(d, 200, lambda s: 0.0 if s in idle else 3.0)
    assert sum(hits.values()) > 190
    assert sum(n for s, n in hits.items() if s in idle) > 0.95 * sum(hits.values())
    dear = drive(copies=copies, may_probe=True, report_source=ReportSource.PROBE, probe_price=0.05)
    dear.listed(SERVERS)
    assert any(isinstance(a, Send) for a in dear.request()[1]), "no call waits for a probe where probes have a price"


@COPIES
def test_servers_whose_probes_fail_or_stay_silent_cost_no_call(drive: Drive, copies: int) -> None:
    d = probing_driver(drive, copies)
    d.listed(SERVERS)
    ghosts = set(SERVERS[:4])
    hits = serve_with_probes(d, 300, lambda s: None if s in ghosts else 0.0)
    assert sum(hits.values()) == 300
    assert sum(hits.get(s, 0) for s in ghosts) <= 6


def test_a_pair_that_never_answers_does_not_cost_the_final_answer(drive: Drive) -> None:
    d = probing_driver(drive, 500)
    d.listed(SERVERS)
    name, actions = d.request(left=700.0)
    assert any(isinstance(a, Probe) for a in actions)
    d.now += 700.0
    assert any(isinstance(a, Refuse) and a.request == name for a in d.do(TimerFired(f"deadline.{name}")))
    late = [d.do(ProbeResult(s, Outcome.OK, 1.0, {"inflight": 0.0})) for s in SERVERS]
    assert not any(isinstance(a, Send) for actions in late for a in actions)


def test_a_server_that_drains_while_it_is_asked_gets_nothing(drive: Drive) -> None:
    sent = 0
    for seed in range(20):
        d = Driver(probing_driver(drive, 500).settings, seed)
        d.listed(SERVERS)
        name, actions = d.request()
        asked = [a.server for a in actions if isinstance(a, Probe)]
        later: list[Action] = []
        for server in asked:
            later += d.do(ProbeResult(server, Outcome.OK, 1.0, {"inflight": 5.0}))
            later += d.drain(server)
        answer_probes(d, later, lambda _: 9.0)  # the servers drawn next have a higher load
        sent += name in d.sent
        assert not set(d.sent.get(name, [])) & set(asked)
    assert sent < 20, "the best server drained: the request is held, or other servers are probed"


@COPIES
def test_a_call_that_would_end_past_its_aim_is_not_queued_behind_others(drive: Drive, copies: int) -> None:
    d = probing_driver(drive, copies)
    d.listed(SERVERS)
    serve_with_probes(d, 60, lambda _: 0.0, took=lambda _: 100.0)
    assert serve_with_probes(d, 20, lambda _: 9.0, took=lambda _: 1000.0) == {}  # 10 x 100 > 400
    assert sum(serve_with_probes(d, 20, lambda _: 0.0, took=lambda _: 100.0).values()) == 20


@COPIES
def test_a_server_that_answers_slowly_wins_less_by_an_idle_figure_that_is_not_so(drive: Drive, copies: int) -> None:
    d = probing_driver(drive, copies, handshake_price=0.03)
    d.listed(SERVERS)
    hits = serve_with_probes(
        d, 400, lambda s: 0.0 if s in SERVERS[:6] else 1.0, took=lambda s: 200.0 if s == "s0" else 20.0
    )
    honest = sum(hits.get(s, 0) for s in SERVERS[1:6]) / 5
    assert hits.get("s0", 0) < honest / 2


def sends_by_tenant(d: Driver, slow: bool, **which: int) -> tuple[int, int]:
    """Play fifty rounds; if ``slow``, tenant 1's calls take 700 ms. Return the sends of tenants 1 and 0."""
    sent = [0, 0]
    for _ in range(50):
        for tenant in (0, 1):
            d.now += 100.0
            name, actions = d.request(left=1000.0, tenant=tenant, **which)
            if name in d.sent:
                sent[tenant] += 1
                d.now += 1.0
                d.result(name, took=700.0 if slow and tenant else 20.0)
            else:
                assert any(isinstance(a, Refuse) for a in actions), (
                    "a request that is not sent must be answered at once"
                )
    return sent[1], sent[0]


def test_a_tenant_that_drags_at_every_server_is_held_back_and_gets_all_back(drive: Drive) -> None:
    d = drive(quotas=(100.0, 100.0), copies=40)
    d.listed(SERVERS)
    assert sends_by_tenant(d, slow=False) == (50, 50)
    held, others = sends_by_tenant(d, slow=True)
    assert held < 35
    assert others == 50
    assert len(d.balancer.ready) == 12, "slow calls of a tenant must be no evidence against any server"
    d.now += 20000.0
    sends_by_tenant(d, slow=False)
    assert sends_by_tenant(d, slow=False) == (50, 50)


@COPIES
def test_a_server_that_fails_one_class_is_drawn_less_for_that_class_alone(drive: Drive, copies: int) -> None:
    d = probing_driver(drive, copies, max_attempts=1)
    d.listed(SERVERS)
    hits = [0, 0]
    for turn in range(600):
        d.now += 50.0
        index = turn % 2  # class 1 fails at s0, class 0 does not
        name, actions = d.request(index)
        answer_probes(d, actions, lambda _: 0.0)
        at = d.sent[name][0]
        hits[index] += at == "s0" and turn > 200
        d.result(name, Outcome.ERROR if at == "s0" and index else Outcome.OK)
    assert hits[1] < hits[0] / 2


@COPIES
def test_the_time_to_come_back_is_spread_and_rises_with_the_usual_time(drive: Drive, copies: int) -> None:
    means = []
    for took in (20.0, 200.0):
        d = drive(copies=copies, sends_retry_after=True, max_retry_after=5000.0)
        d.listed(SERVERS)
        for _ in range(60):
            d.now += 50.0
            name, _ = d.request()
            if name in d.sent:
                d.result(name, took=took)
        delays = [
            a.retry_after
            for _ in range(40)
            for a in d.request(left=1.0)[1] + d.request(left=0.0)[1]
            if isinstance(a, Refuse)
        ]
        assert len(set(delays)) > len(delays) / 2 > 5
        means.append(sum(delays) / len(delays))
    assert means[1] > 3 * means[0]


def test_slowness_common_to_all_classes_and_tenants_is_no_groups_doing(drive: Drive) -> None:
    d = drive(quotas=(100.0, 100.0), copies=40)
    d.listed(SERVERS)
    sends_by_tenant(d, slow=False)
    sent = 0
    for turn in range(100):
        d.now += 100.0
        name, _ = d.request(index=turn % 3, left=1000.0, tenant=turn // 3 % 2)
        if name in d.sent:
            sent += 1
            d.result(name, took=500.0)
    assert sent > 70


@COPIES
@pytest.mark.parametrize("index", [0, 1, 2])
def test_what_cannot_make_its_aim_any_more_is_answered_at_once(drive: Drive, copies: int, index: int) -> None:
    d = drive(copies=copies)
    d.listed(SERVERS)
    for turn in range(60):
        d.now += 50.0
        d.result(d.request(turn % 3)[0], took=20.0)
    while any(isinstance(a, Send) for a in d.request(2)[1]):
        pass  # until the limit is reached
    for left in (0.0, 15.0):
        _, actions = d.request(index, left=left)
        assert any(isinstance(a, Refuse | Fail) for a in actions)
    name, actions = d.request(index, left=900.0)
    assert not any(isinstance(a, Refuse | Fail) for a in actions)
    (timer,) = [a for a in actions if isinstance(a, SetTimer) and a.name == f"hold.{name}"]
    assert timer.at <= d.now + 400.0, "a request is held no longer than its aim allows"
    d.now = timer.at
    assert any(isinstance(a, Refuse | Fail) for a in d.do(TimerFired(timer.name)))
