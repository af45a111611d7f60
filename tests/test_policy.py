"""The switches of the mechanisms by which a proxy chooses backends."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choices import Choices
from cranebank.dataplane.policy import MECHANISMS, Policy, PolicyError, without
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine
from cranebank.programs import __main__ as program
from cranebank.programs import command
from cranebank.programs.settings import SettingsError, parse
from cranebank.transport.messages import Backend

ENGINE = Engine(capacity=32, cache_tokens=400_000, token_bytes=163_840, link_mbps=1.4e6)
LONG = Prompt(17_020, 17, (("s", 13_300), ("o", 3_720)))
SHORT = Prompt(383, 6, (("a", 92), ("o", 291)))
SETTINGS = """
node_name: edge-1
ip: 10.0.0.1
zone: a
port_range: [7300, 7315]
seed_addrs: ["10.0.0.9:8262"]
"""


def test_every_mechanism_is_on_by_default_and_described() -> None:
    assert all(msgspec.structs.astuple(Policy()))
    assert set(Policy.__struct_fields__) == set(MECHANISMS)


def test_a_mechanism_that_does_not_exist_is_refused_with_those_that_do() -> None:
    assert without(["keepers", "homes"]) == Policy(keepers=False, homes=False)
    with pytest.raises(PolicyError, match=r"'keeprs': expected some of blended_draws, .*stage_loads"):
        without(["keepers", "keeprs"])


def test_the_settings_file_switches_them_and_is_checked() -> None:
    found = parse(SETTINGS + "cranebank_policy: {slowness: false, later: 3}")
    assert found.cranebank_policy == Policy(slowness=False)
    with pytest.raises(SettingsError, match=r"cranebank_policy\.slowness"):
        parse(SETTINGS + "cranebank_policy: {slowness: [1]}")


def test_the_command_lists_them(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["policy"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines] == list(MECHANISMS)


@pytest.mark.parametrize(
    ("words", "found"),
    [
        ("", program.Options()),
        ("--metrics-port 9464", program.Options(9464)),
        ("--metrics-port 9464 --without keepers,homes", program.Options(9464, "keepers,homes")),
        ("--without keepers", program.Options(0, "keepers")),
        ("--metrics-port x", None),
        ("--without", None),
        ("--help", None),
    ],
)
def test_the_options_of_a_process_that_serves(words: str, found: program.Options | None) -> None:
    assert program._options(words.split()) == found


def choices(*off: str) -> tuple[Choices, Candidates, CacheView]:
    """The choices of a proxy in zone a, over four backends of each stage in two zones."""
    candidates, cache = Candidates(), CacheView()
    for stage in ("prefill", "decode"):
        for number in range(4):
            zone = "ab"[number % 2]
            record = Backend(f"{stage}-{number}", "svc", f"10.0.0.{number}:{len(stage)}", zone, stage, 32, "ready", 1)
            candidates.merge([record])
    proxy_choices = Choices(candidates, cache, Random(2), without(off))
    proxy_choices.pairs.zone = "a"
    return proxy_choices, candidates, cache


def prefill_backends(proxy_choices: Choices, now: float = 100.0) -> set[str]:
    """The prefill backends that are chosen for a long shared prompt."""
    plans = [proxy_choices.of("svc", ENGINE).choose(now, LONG, 600.0, set()) for _ in range(200)]
    return {plan.prefill_backend.backend.id for plan in plans if plan is not None and plan.prefill_backend is not None}


@pytest.mark.parametrize("mechanism", ["keepers", "cached_parts"])
def test_cache_holders_are_found_only_with(mechanism: str) -> None:
    for off in ((), (mechanism,)):
        proxy_choices, _, cache = choices("near_zone", "homes", *off)
        cache.record_prefix("prefill-3", "s", 13_300, 400_000)
        assert (prefill_backends(proxy_choices) == {"prefill-3"}) is not bool(off)


def test_homes_are_used_only_if_on() -> None:
    for off in ((), ("homes",)):
        proxy_choices, _, _ = choices(*off)
        proxy_choices.draws.proxies = 350
        assert (len(prefill_backends(proxy_choices)) == 1) is not bool(off)


def test_the_proxys_zone_counts_only_if_on() -> None:
    for off in ((), ("near_zone",)):
        proxy_choices, _, _ = choices("homes", *off)
        assert prefill_backends(proxy_choices) == (
            {f"prefill-{n}" for n in range(4)} if off else {"prefill-0", "prefill-2"}
        )


def test_slow_prefill_backends_are_avoided_only_if_on() -> None:
    for off in ((), ("slowness",)):
        proxy_choices, candidates, _ = choices("near_zone", "homes", *off)
        for _ in range(9):
            candidates.views["prefill-0"].slowness.observe(100.0, 8.0)
        assert ("prefill-0" in prefill_backends(proxy_choices)) is bool(off)


def test_short_prompts_are_prefilled_apart_only_if_decode_backends_may_not() -> None:
    for off in ((), ("short_prompts_at_makers",)):
        proxy_choices, _, _ = choices(*off)
        plan = proxy_choices.of("svc", ENGINE).choose(100.0, SHORT, 300.0, set())
        assert plan is not None and (plan.prefill_backend is not None) is bool(off)


def test_draws_are_always_compared_where_the_blend_is_off() -> None:
    for off in ((), ("blended_draws",)):
        proxy_choices, candidates, _ = choices(*off)
        proxy_choices.draws.proxies = 350
        for _ in range(400):
            proxy_choices.draws.count_call(100.0, "svc", "decode")
        listed = candidates.ready(100.0, "svc", "decode")
        blend = proxy_choices.draws.blend(100.0, "svc", "decode", listed, (listed[0], listed[1]))
        assert (blend == 1.0) is bool(off)
