"""The choice of a pair: the (1+beta) process at both stages, tested by its choices; the retry budget; the cache
view."""

from __future__ import annotations

from collections import Counter
from math import log, sqrt
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranebank.dataplane import prompt as prompts
from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.budget import Budget
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choice import Plan
from cranebank.dataplane.pair import CACHE_LEARNING_S, HOMES_PER_PREFIX, MIN_REREAD_WEIGHT, PairChooser
from cranebank.dataplane.prefill_queue import PrefillQueue
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Document, Engine, Route, RouteTable
from cranebank.invariants import violations
from cranebank.transport.messages import Backend
from cranebank.transport.revision import Revision

ENGINE = Engine(capacity=32, cache_tokens=400_000, token_bytes=163_840, link_mbps=1.4e6)
SHORT = prompts.read({"x-token-counts": "383,6", "x-prompt-prefix": "a:55,b:37,c:291"})
LONG = prompts.read({"x-token-counts": "17020,17", "x-prompt-prefix": "s:13300,o:3720"})
SIZE = 8


def chooser(decode_backends: int = SIZE, prefill_backends: int = 4, seed: int = 1) -> tuple[PairChooser, Candidates]:
    """A chooser over backends without calls."""
    candidates = Candidates()
    candidates.merge(
        [Backend(f"d{i}", "svc", f"10.0.0.{i}:1", "z", "decode", 32, "ready", 1) for i in range(decode_backends)]
    )
    candidates.merge(
        [Backend(f"p{i}", "svc", f"10.0.1.{i}:1", "z", "prefill", 32, "ready", 1) for i in range(prefill_backends)]
    )
    return PairChooser(candidates, CacheView(), BlendedDraw(Random(seed))), candidates


def with_cache() -> tuple[PairChooser, Candidates, CacheView]:
    """The same, with its cache view."""
    _, candidates = chooser()
    cache = CacheView()
    return PairChooser(candidates, cache, BlendedDraw(Random(1))), candidates, cache


def load(candidates: Candidates, now: float, stage: str = "d") -> None:
    """Backend number i has i calls in flight; the loads are current."""
    for name, view in candidates.views.items():
        if name.startswith(stage):
            view.calls, view.tokens, view.load_changed_at = int(name[1:]), 400 * int(name[1:]), now


def rate(pairs: PairChooser, now: float, calls: int, stage: str = "decode") -> None:
    """Count so many calls within the last moment."""
    for _ in range(calls):
        pairs.draws.count_call(now, "svc", stage)


def shares(pairs: PairChooser, now: float, count: int = 20_000) -> Counter[str]:
    """How often each decode backend is chosen."""
    found: Counter[str] = Counter()
    for _ in range(count):
        plan = pairs.choose(now, "svc", ENGINE, SHORT, 300.0, set())
        assert plan is not None
        found[plan.decode_backend.backend.id] += 1
    return found


def plans(pairs: PairChooser, now: float, count: int) -> list[Plan]:
    """Plans for prompts with a long shared prefix."""
    found = [pairs.choose(now, "svc", ENGINE, LONG, 600.0, set()) for _ in range(count)]
    return [plan for plan in found if plan is not None]


def expected(blend: float, size: int = SIZE) -> list[float]:
    """The shares of two different uniform draws, the cheaper one with probability ``blend``; number 0 is the
    cheapest."""
    pairs = size * (size - 1)
    return [blend * 2 * (size - 1 - i) / pairs + (1 - blend) / size for i in range(size)]


@pytest.mark.parametrize(("calls", "proxies", "age"), [(1, 1, 0.0), (40, 9, 0.5), (400, 9, 1.0), (40, 90, 0.5)])
def test_the_shares_are_those_of_the_blend(calls: int, proxies: int, age: float) -> None:
    pairs, candidates = chooser()
    pairs.draws.proxies = proxies
    load(candidates, 100.0 - age)
    rate(pairs, 100.0, calls)
    b = calls / 2.0 * proxies * age  # calls per second are averaged over two seconds
    edge = SIZE * log(SIZE)
    blend = 1.0 if b <= edge else sqrt(edge / b)
    found = shares(pairs, 100.0)
    for i, share in enumerate(expected(blend)):
        assert abs(found[f"d{i}"] / 20_000 - share) < 4 * sqrt(share / 20_000) + 0.002


def test_the_blend_falls_with_the_age_of_loads_and_the_number_of_proxies() -> None:
    pairs, candidates = chooser()
    load(candidates, 100.0)
    rate(pairs, 100.0, 200)
    listed = candidates.ready(100.0, "svc", "decode")
    drawn = (listed[0], listed[1])
    pairs.draws.proxies = 4
    ages = [pairs.draws.blend(100.0 + age, "svc", "decode", listed, drawn) for age in (0.0, 0.2, 0.6, 1.0)]
    assert ages[0] == 1.0 and ages == sorted(ages, reverse=True) and ages[-1] < ages[1]
    counts = []
    for pairs.draws.proxies in (1, 4, 40, 350):
        counts.append(pairs.draws.blend(100.5, "svc", "decode", listed, drawn))
    assert counts == sorted(counts, reverse=True) and counts[-1] < 0.1


def test_ties_break_at_random() -> None:
    pairs, _ = chooser(decode_backends=2)
    found = shares(pairs, 100.0, 4_000)
    assert abs(found["d0"] - 2_000) < 200


def test_prefill_backends_are_drawn_in_the_same_way() -> None:
    pairs, candidates = chooser(prefill_backends=4)
    load(candidates, 100.0, "p")
    own = Prompt(6_000, 10, (("o", 6_000),))
    found: Counter[str] = Counter()
    for _ in range(6_000):
        choice = pairs.choose_prefill(100.0, "svc", own, set())
        assert choice is not None
        found[choice[0].backend.id] += 1
    for i, share in enumerate(expected(1.0, 4)):
        assert abs(found[f"p{i}"] / 6_000 - share) < 0.03


def test_a_long_shared_prefix_is_prefilled_at_its_home_if_most_proxies_do_not_report() -> None:
    homes = set()
    for seed in range(20):
        pairs, _ = chooser(seed=seed)
        pairs.draws.proxies, pairs.prefill_reporters = 350, 64
        for _ in range(5):
            plan = pairs.choose(100.0, "svc", ENGINE, LONG, 600.0, set())
            assert plan is not None and plan.prefill_backend is not None
            homes.add(plan.prefill_backend.backend.id)
    assert len(homes) == HOMES_PER_PREFIX


def test_an_uncached_prefix_is_prefilled_where_it_waits_least_if_all_proxies_report() -> None:
    pairs, candidates = chooser(prefill_backends=4)
    pairs.draws.proxies, pairs.prefill_reporters = 9, 8
    assert pairs.visibility(100.0) == 0.0 and pairs.visibility(100.0 + 2 * CACHE_LEARNING_S) == 1.0
    now = 100.0 + 2 * CACHE_LEARNING_S
    for name in ("p0", "p1", "p2"):
        candidates.views[name].prefill_queue.add(now, 2.0)
    found = Counter(
        plan.prefill_backend.backend.id for plan in plans(pairs, now, 400) if plan.prefill_backend is not None
    )
    home = Counter(view.backend.id for view in pairs.cache_holders(candidates.ready(now, "svc", "prefill"), LONG))
    assert abs(found["p3"] / 400 - 1 / 2) < 0.1 or "p3" in home, "half of all draws of two of four include it"


def test_a_cache_holder_is_chosen_unless_a_new_prefill_costs_less_than_the_wait() -> None:
    pairs, candidates, cache = with_cache()
    cache.record_prefix("p3", "s", 13_300, 400_000)
    latency = pairs.latency("svc", "prefill")
    candidates.views["p3"].prefill_queue.add(100.0, 0.9 * latency.token_ms * 13.300)
    assert {p.prefill_backend.backend.id for p in plans(pairs, 100.0, 50) if p.prefill_backend is not None} == {"p3"}
    candidates.views["p3"].prefill_queue.add(100.0, 40 * latency.token_ms * 13.300)
    assert "p3" not in {p.prefill_backend.backend.id for p in plans(pairs, 100.0, 50) if p.prefill_backend is not None}


def test_a_slow_prefill_backend_is_avoided_until_its_slowness_fades() -> None:
    pairs, candidates, _ = with_cache()
    own = Prompt(6_000, 10, (("o", 6_000),))
    for _ in range(12):
        candidates.views["p1"].slowness.observe(100.0, 5.0)

    def prefill_ids(now: float) -> set[str]:
        found = [pairs.choose_prefill(now, "svc", own, set()) for _ in range(200)]
        return {choice[0].backend.id for choice in found if choice is not None}

    assert prefill_ids(100.0) == {"p0", "p2", "p3"}
    assert pairs.choose_prefill(100.0, "svc", own, {"p0", "p2", "p3"}) is not None, "the only candidate is used"
    for view in candidates.views.values():
        if view.backend.id != "p1":
            view.prefill_queue.add(160.0, 0.05)
    assert "p1" in prefill_ids(160.0), "the observation has faded, and the others are busy"


def zoned(counts: dict[str, int], zone: str) -> tuple[PairChooser, Candidates]:
    """A chooser of a proxy in ``zone`` over so many backends of each stage in each zone."""
    candidates = Candidates()
    for stage, letter in (("decode", "d"), ("prefill", "p")):
        records = [(f"{letter}-{name}-{i}", name) for name, count in counts.items() for i in range(count)]
        candidates.merge(
            [Backend(id_, "svc", f"10.0.0.1:{n}", at, stage, 32, "ready", 1) for n, (id_, at) in enumerate(records)]
        )
    pairs = PairChooser(candidates, CacheView(), BlendedDraw(Random(4)))
    pairs.zone = zone
    return pairs, candidates


def test_where_all_are_alike_the_body_stays_within_the_zone() -> None:
    pairs, _ = zoned({"a": 4, "b": 4, "c": 4}, "b")
    own = Prompt(6_000, 10, (("o", 6_000),))
    chosen = [pairs.choose_prefill(100.0, "svc", own, set()) for _ in range(100)]
    assert {choice[0].backend.zone for choice in chosen if choice is not None} == {"b"}


def test_decode_backends_are_chosen_in_any_zone() -> None:
    """A zone may have a single decode backend, and the proxies near it must not all use it."""
    pairs, _ = zoned({"a": 4, "b": 4, "c": 4}, "b")
    short = [pairs.choose(100.0, "svc", ENGINE, SHORT, 300.0, set()) for _ in range(900)]
    found = Counter(plan.decode_backend.backend.zone for plan in short if plan is not None)
    assert all(abs(found[zone] - 300) < 75 for zone in "abc")


def test_a_prefill_backend_in_a_busier_zone_is_chosen_by_the_two_draws_only() -> None:
    pairs, candidates = zoned({"a": 4, "b": 4, "c": 4}, "b")
    for name, view in candidates.views.items():
        if name.startswith("p-b"):
            view.prefill_queue.add(100.0, 9.0)
    own = Prompt(6_000, 10, (("o", 6_000),))
    chosen = [pairs.choose_prefill(100.0, "svc", own, set()) for _ in range(400)]
    away = sum(choice[0].backend.zone != "b" for choice in chosen if choice is not None)
    assert abs(away / 400 - (1 - 4 / 12 * 3 / 11)) < 0.05, "unless both draws are in the zone"


def test_a_prefix_cached_elsewhere_is_read_again_only_if_its_holder_is_three_prefills_behind() -> None:
    for wait, is_left in ((MIN_REREAD_WEIGHT - 0.5, False), (MIN_REREAD_WEIGHT + 0.5, True)):
        pairs, candidates, cache = with_cache()
        cache.record_prefix("p3", "s", 13_300, 400_000)
        candidates.views["p3"].prefill_queue.add(100.0, wait * pairs.latency("svc", "prefill").token_ms * 13.300)
        chosen = {
            plan.prefill_backend.backend.id for plan in plans(pairs, 100.0, 100) if plan.prefill_backend is not None
        }
        assert ("p3" not in chosen) is is_left


def test_a_cache_holder_is_worth_more_under_congestion() -> None:
    wait = 1.2 * MIN_REREAD_WEIGHT  # in units of the time that a prefill of the shared prefix takes
    for congested in (False, True):
        pairs, candidates, cache = with_cache()
        cache.record_prefix("p3", "s", 13_300, 400_000)
        second = pairs.latency("svc", "prefill").token_ms * 13.300
        if congested:
            for _ in range(60):  # this proxy has met waits of eight prefills
                for view in candidates.views.values():
                    view.prefill_queue = PrefillQueue()
                    view.prefill_queue.add(100.0, 8 * second)
                pairs.choose_prefill(100.0, "svc", LONG, set())
        for view in candidates.views.values():
            view.prefill_queue = PrefillQueue()
        candidates.views["p3"].prefill_queue.add(100.0, wait * second)
        choice = pairs.choose_prefill(100.0, "svc", LONG, set())
        assert choice is not None and (choice[0].backend.id == "p3") is congested


def test_a_cache_holder_is_chosen_unless_its_queue_is_long() -> None:
    pairs, candidates, cache = with_cache()
    cache.record_prefix("p3", "s", 13_300, 400_000)

    def prefill_ids() -> set[str]:
        found = [pairs.choose(100.0, "svc", ENGINE, LONG, 600.0, set()) for _ in range(100)]
        return {p.prefill_backend.backend.id for p in found if p is not None and p.prefill_backend is not None}

    assert prefill_ids() == {"p3"}
    candidates.views["p3"].others_tokens = 40_000
    assert "p3" not in prefill_ids() and len(prefill_ids()) > 1


def test_homes_move_only_where_a_backend_left() -> None:
    pairs, candidates = chooser(prefill_backends=6)
    prompts_ = [Prompt(17_000, 1, ((f"s{i}", 13_000), (f"o{i}", 4_000))) for i in range(60)]

    candidates.merge([Backend("p3", "svc", "10.0.1.3:1", "z", "prefill", 32, "gone", 2)])
    listed = candidates.ready(100.0, "svc", "prefill")
    before = [{view.backend.id for view in pairs.cache_holders(listed, prompt)} for prompt in prompts_]
    candidates.merge([Backend("p4", "svc", "10.0.1.4:1", "z", "prefill", 32, "gone", 2)])
    listed = candidates.ready(100.0, "svc", "prefill")
    after = [{view.backend.id for view in pairs.cache_holders(listed, prompt)} for prompt in prompts_]
    assert all(old - {"p4"} <= new for old, new in zip(before, after, strict=True))


def test_no_plan_without_a_ready_backend() -> None:
    pairs, _ = chooser(decode_backends=0)
    assert pairs.choose(100.0, "svc", ENGINE, SHORT, 300.0, set()) is None


@given(st.lists(st.tuples(st.floats(0, 60), st.booleans()), max_size=200), st.integers(1, 20))
def test_all_parts_together_stay_within_the_budget(steps: list[tuple[float, bool]], proxies: int) -> None:
    """Every proxy spends all it may, at the worst moments; the sum stays within the budget in every window."""
    ratio, slack, window = 0.2, 58.0, 10.0
    parts = [Budget(ratio, slack, window, 0.0) for _ in range(proxies)]
    asked: list[float] = []
    spent: list[float] = []
    for at, asks in sorted(steps):
        for part in parts:
            if asks:
                part.count_request(at)
                asked.append(at)
            while part.allows(at, proxies):
                part.spend(at)
                spent.append(at)
    for end in spent:
        within = sum(end - window <= at <= end for at in spent)
        assert within <= ratio * sum(end - window <= at <= end for at in asked) + slack


def test_a_restarted_proxy_spends_no_slack_in_its_first_window() -> None:
    budget = Budget(0.2, 58.0, 10.0, fresh_until=110.0)
    assert not budget.allows(100.0, 1) and budget.allows(110.0, 1)


def test_parts_count_as_cached_only_behind_all_earlier_ones_and_within_bounds() -> None:
    view = CacheView()
    view.touch("d0", (("a", 50), ("b", 30)), 1_000)
    assert view.cached_tokens("d0", (("a", 50), ("b", 30), ("c", 5))) == 80
    assert view.cached_tokens("d0", (("x", 50), ("b", 30))) == 0
    view.touch("d0", (("big", 790),), 1_000)
    assert view.cached_tokens("d0", (("a", 50),)) == 0 and view.cached_tokens("d0", (("big", 790),)) == 790
    view.forget("d0")
    assert view.cached_tokens("d0", (("big", 790),)) == 0


def test_routes_match_the_longest_prefix_of_the_host() -> None:
    table = RouteTable(
        Document(
            Revision(3),
            (Route("r1", "a.example", "/x/"), Route("r2", "a.example", "/x/y/"), Route("r3", "b.example", "/")),
        )
    )
    found = [
        table.match(host, path)
        for host, path in (
            ("a.example", "/x/y/z?q=/x/"),
            ("A.example:80", "/x/1"),
            ("b.example", "/"),
            ("a.example", "/z/"),
            ("c.example", "/"),
        )
    ]
    assert [route and route.name for route in found] == ["r2", "r1", "r3", None, None]


STAGES = ("prefill", "decode")


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["ready", "draining", "lost", "gone"]),
            st.sampled_from(STAGES),
            st.integers(1, 9),
        ),
        max_size=40,
    )
)
def test_ready_lists_are_those_of_the_records_whatever_changes(steps: list[tuple[int, str, str, int]]) -> None:
    """The ready backends, and the lost ones as well if over half of those thought to be alive are lost."""
    candidates = Candidates()
    for number, phase, stage, call_seq in steps:
        before = {stage: list(candidates.ready(0.0, "svc", stage)) for stage in STAGES}
        version = candidates.version
        address = f"10.0.0.{number}:1"
        candidates.merge([Backend(f"b{number}", "svc", address, "z", stage, 1, phase, call_seq)])
        after = {stage: list(candidates.ready(0.0, "svc", stage)) for stage in STAGES}
        for name, listed in after.items():
            ready = {key for key, one in candidates.records.items() if one.phase == "ready" and one.stage == name}
            lost = {key for key, one in candidates.records.items() if one.phase == "lost" and one.stage == name}
            assert len(ready) == candidates.count("svc", name)
            assert len(set(listed)) == len(listed)
            assert {view.backend.id for view in listed} == (ready | lost if len(lost) > len(ready) else ready)
        assert before == after or candidates.version > version
        assert candidates.any_ready() == any(one.phase in {"ready", "lost"} for one in candidates.records.values())
        assert not violations()


def test_a_failed_backend_is_avoided_until_its_backoff_ends() -> None:
    _, candidates = chooser()

    def ready(now: float) -> set[str]:
        return {view.backend.id for view in candidates.ready(now, "svc", "prefill")}

    everybody = {"p0", "p1", "p2", "p3"}
    candidates.failed(100.0, "p0")
    candidates.failed(100.0, "p1")
    assert ready(100.1) == {"p2", "p3"}
    candidates.answered(100.1, "p1")
    assert ready(100.1) == everybody - {"p0"}
    assert ready(100.6) == everybody
    candidates.failed(101.0, "p0")
    candidates.merge([Backend("p0", "svc", "10.0.1.0:1", "z", "prefill", 32, "gone", 2)])
    assert ready(101.1) == everybody - {"p0"}


def test_a_remembered_home_is_determined_again_once_the_list_changes() -> None:
    pairs, candidates = chooser(prefill_backends=6)
    prompt = Prompt(17_000, 1, (("s", 13_000), ("o", 4_000)))

    def home() -> str:
        (found,) = pairs.cache_holders(candidates.ready(100.0, "svc", "prefill"), prompt)
        return found.backend.id

    first = home()
    assert home() == first
    place = candidates.records[first].address
    candidates.merge([Backend(first, "svc", place, "z", "prefill", 32, "draining", 2)])
    second = home()
    assert second != first
    candidates.failed(100.0, second)
    assert home() not in {first, second}
    candidates.answered(100.0, second)
    assert home() == second
