"""The registry: heartbeats, leaves, losses, and reports between controllers."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranebank.control import registry as registry_module
from cranebank.control.registry import REJOIN_GRACE_S, TOMBSTONE_S, BadHeartbeat, Registry
from cranebank.membership.warm_up import WarmUpLimit
from cranebank.transport.frames import Decoder, encode
from cranebank.transport.messages import Backend, Push

BEAT_S = 1.2
LOST_S = 3.5 * BEAT_S + 1
START_QUIET_S = 3 * BEAT_S + 1


def beat(call_seq: int = 1, phase: str = "ready", address: str = "10.0.0.9:80", **changes: Any) -> bytes:
    """Return the body of a heartbeat as a backend sends it."""
    return json.dumps(
        {
            "target": "s",
            "address": address,
            "zone": "z",
            "revision": "v1",
            "capacity": 32,
            "phase": phase,
            "cold_left_ms": 0,
            "stage": "decode",
            "models": [{"name": "m", "revision": 1, "loras": []}],
            "call_seq": call_seq,
            **changes,
        }
    ).encode()


def phases(registry: Registry) -> dict[str, str]:
    """Return the phases of all records by id."""
    return {record.id: record.phase for record in registry.all_records()}


def test_a_heartbeat_is_news_once() -> None:
    """The first heartbeat and a drain are changes to report; a later heartbeat with the same contents is not."""
    registry = Registry(0, BEAT_S)
    found = registry.heartbeat(1, "i", beat())
    assert found == Backend("i", "s", "10.0.0.9:80", "z", "decode", 32, "ready", 1, 0, ("m",))
    assert registry.changes() == (found,)
    registry.heartbeat(2, "i", beat(2, cold_left_ms=5))
    assert registry.changes() == ()
    registry.heartbeat(3, "i", beat(3, "draining"))
    assert [record.phase for record in registry.changes()] == ["draining"]


def test_an_old_heartbeat_changes_nothing() -> None:
    """A heartbeat that arrives out of order has no effect, also after a drain or an end."""
    registry = Registry(0, BEAT_S)
    registry.heartbeat(1, "i", beat(5))
    registry.heartbeat(1, "i", beat(4, capacity=1))
    assert registry.records["i"].capacity == 32
    registry.heartbeat(1, "i", beat(6, "draining"))
    registry.heartbeat(1, "i", beat(5))
    registry.heartbeat(1, "i", beat(9))
    assert phases(registry) == {"i": "draining"}
    registry.leave(2, "i")
    registry.heartbeat(2, "i", beat(10))
    assert phases(registry) == {"i": "gone"}


def test_a_leave_of_a_backend_never_heard_of_ends_it_wherever_it_is_known() -> None:
    """Only its id is known here; its end overrides records that arrive later or exist at other controllers."""
    here, there = Registry(0, BEAT_S), Registry(0, BEAT_S)
    assert here.leave(2, "i").phase == "gone"
    reported = here.changes()
    assert [(record.id, record.phase) for record in reported] == [("i", "gone")]
    known = there.heartbeat(1, "i", beat(5))
    assert not there.has_all_endings(reported)
    there.merge(2, reported)
    assert there.has_all_endings(reported)
    assert there.records["i"] == msgspec.structs.replace(known, phase="gone")
    here.merge(3, [known])
    assert phases(here) == {"i": "gone"}
    assert [(record.id, record.phase) for record in here.changes()] == [("i", "gone")]  # reported again


@pytest.mark.parametrize(
    ("sent", "key"),
    [
        (b"{", "body"),
        (b"[]", "body"),
        (beat(phase="odd"), "phase"),
        (beat(address="nowhere"), "address"),
        (json.dumps({"target": "s"}).encode(), "body"),
        (beat(capacity="many"), "body"),
        (b"\xff", "body"),
        (beat(models=0).replace(b'"models": 0', b'"models": ' + b"[" * 30_000 + b"]" * 30_000), "body"),
        (beat(call_seq=2**63), "body"),
        (beat(call_seq=-1), "body"),
        (beat(capacity=1e300), "body"),
        (beat(cold_left_ms=1e300), "body"),
        (beat(address="10.0.0.9:0"), "address"),
        (beat(address="10.0.0.9:65536"), "address"),
        (beat(address="10.0.0.9:\u00b2"), "address"),
        (beat(address="10.0.0.9:" + "9" * 5_000), "address"),
    ],
)
def test_bad_heartbeats(sent: bytes, key: str) -> None:
    """An invalid heartbeat is refused with a typed error and changes nothing."""
    registry = Registry(0, BEAT_S)
    with pytest.raises(BadHeartbeat) as caught:
        registry.heartbeat(1, "i", sent)
    assert caught.value.key == key
    assert not registry.records


def test_the_largest_figures_of_a_heartbeat_can_be_told_to_others() -> None:
    """A record that cannot be encoded would block the message with all others."""
    sent = beat(registry_module.MAX_COUNT, capacity=float(2**40), cold_left_ms=float(2**40))
    record = Registry(0, BEAT_S).heartbeat(1, "i", sent)
    assert Decoder().feed(encode(Push(1, (record,)))) == [Push(1, (record,))]


def test_a_backend_of_a_plain_deployment() -> None:
    """Stage and models are missing in deployments without separate prefill and decode."""
    sent = json.dumps({"target": "s", "address": "1.2.3.4:5", "phase": "ready", "call_seq": 1, "new": 1}).encode()
    assert Registry(0, 1).heartbeat(1, "i", sent) == Backend("i", "s", "1.2.3.4:5", "", "", 1, "ready", 1)


def test_lost_and_found() -> None:
    """Silence for three and a half heartbeat intervals and a second means lost; a later heartbeat reverts it."""
    registry = Registry(0, BEAT_S)
    registry.heartbeat(10, "i", beat(1))
    assert registry.expire(10 + LOST_S) == []
    assert [record.phase for record in registry.expire(10.01 + LOST_S)] == ["lost"]
    assert registry.expire(12 + LOST_S) == []
    registry.heartbeat(20, "i", beat(2))
    assert phases(registry) == {"i": "ready"}
    assert [record.phase for record in registry.changes()] == ["ready"]


def test_a_drain_that_falls_silent_is_an_end() -> None:
    """A drain is never revoked, so a backend lost while it drains is gone."""
    registry = Registry(0, BEAT_S)
    registry.heartbeat(10, "i", beat(1, "draining"))
    assert [record.phase for record in registry.expire(20)] == ["gone"]


def test_nothing_expires_after_a_start_or_out_of_touch() -> None:
    """A controller that has just started, or was cut off from most others, does not know heartbeats sent to others."""
    registry = Registry(0, 0.01)
    registry.heartbeat(0, "i", beat(1))
    assert registry.expire(1.02) == []
    assert registry.expire(50, has_contact=False) == []
    assert registry.expire(51) == []
    assert registry.expire(50.9 + REJOIN_GRACE_S) == []
    assert [record.id for record in registry.expire(51 + REJOIN_GRACE_S)] == ["i"]


def test_a_beat_heard_elsewhere_counts() -> None:
    """Heartbeats are reported by their age, as controllers have different clocks."""
    here, there = Registry(0, BEAT_S), Registry(100, BEAT_S)
    here.heartbeat(10, "i", beat(1))
    there.merge(110, here.changes())
    there.heartbeat(115, "i", beat(2))
    reported = there.pop_heartbeats(115.4)
    assert reported == (("i", 2, 400),)
    assert there.pop_heartbeats(116) == ()
    here.merge_remote_heartbeats(15.4, reported)
    here.changes()
    here.merge(15.4, [msgspec.structs.replace(here.records["i"], phase="lost")])  # from one without that heartbeat
    assert [(record.phase, record.call_seq) for record in here.changes()] == [("ready", 2)]
    assert here.expire(15 + LOST_S) == []
    assert [record.call_seq for record in here.expire(15.01 + LOST_S)] == [2]
    here.merge_remote_heartbeats(30, (("i", 1, 0), ("unknown", 1, 0)))
    assert phases(here) == {"i": "lost"}


def test_a_change_that_was_lost_on_its_way_is_made_up_for() -> None:
    """Messages relayed by proxies may be lost. The report of a later heartbeat does not include its contents."""
    here, there = Registry(0, BEAT_S), Registry(0, BEAT_S)
    here.heartbeat(10, "i", beat(1, stage="prefill"))
    there.merge(10, here.changes())
    here.heartbeat(11, "i", beat(2, stage="decode"))
    assert len(here.changes()) == 1  # lost
    there.merge_remote_heartbeats(11, here.pop_heartbeats(11))
    there.merge(12, here.all_records())  # connected again
    assert there.records["i"] == here.records["i"]


def test_who_tells_old_news_is_told_better() -> None:
    """When a controller without recent heartbeats reports a backend as lost, one that has them reports it again."""
    here, there = Registry(0, BEAT_S), Registry(0, BEAT_S)
    here.heartbeat(10, "i", beat(1))
    there.merge(10, here.changes())
    for number in range(2, 9):
        there.heartbeat(10 + number, "i", beat(number))
    there.changes()
    here.expire(18)
    there.merge(18, here.changes())
    retold = there.changes()
    assert [(record.phase, record.call_seq) for record in retold] == [("ready", 8)]
    here.merge(18, retold)
    assert phases(here) == phases(there) == {"i": "ready"}


def test_the_records_of_lost_and_unknown_backends_that_another_controller_hears_are_asked_for() -> None:
    here, there = Registry(0, BEAT_S), Registry(0, BEAT_S)
    here.heartbeat(10, "i", beat(1))
    there.merge(10, here.changes())
    there.heartbeat(15, "i", beat(2))
    there.heartbeat(15, "j", beat(1, address="10.0.0.8:80"))
    assert [record.phase for record in here.expire(10.1 + LOST_S)] == ["lost"]
    assert here.merge_remote_heartbeats(15.5, [("i", 1, 100)]) == ()
    requested_ids = here.merge_remote_heartbeats(16.5, there.pop_heartbeats(16.5))
    assert requested_ids == ("i", "j")
    assert here.wrong_losses == 1  # the heartbeat is older than the loss, so the loss was wrong
    here.merge(16.7, there.records_of((*requested_ids, "unknown")))
    assert phases(here) == phases(there) == {"i": "ready", "j": "ready"}
    here.expire(16.7 + LOST_S + 1)
    there.heartbeat(30, "i", beat(3))
    assert here.merge_remote_heartbeats(30, there.pop_heartbeats(30)) == ("i",)
    assert here.wrong_losses == 1  # the heartbeat is newer than the loss, so the loss was right


def test_an_address_taken_by_another() -> None:
    """A new backend at an address ends the earlier one there."""
    registry = Registry(0, BEAT_S)
    registry.heartbeat(1, "old", beat(7))
    registry.heartbeat(2, "new", beat(1))
    assert phases(registry) == {"old": "lost", "new": "ready"}
    registry.heartbeat(3, "old", beat(7))
    assert phases(registry)["old"] == "lost"


PROXY_RECORDS = [
    Backend("a", "s", "1.1.1.1:1", "z", "", 1, "ready", 3),
    Backend("b", "s", "1.1.1.1:2", "z", "", 1, "gone", 3),
    Backend("c", "s", "1.1.1.1:3", "z", "", 1, "lost", 3),
]


def test_rebuilt_from_proxies_while_young() -> None:
    """A controller that has just started learns from proxies; later it returns unknown backends as lost."""
    registry = Registry(0, BEAT_S)
    assert registry.merge_proxy_records(1, PROXY_RECORDS, hears_all=True) == []
    assert phases(registry) == {"a": "ready", "b": "gone"}
    old = Registry(0, BEAT_S)
    stray = old.merge_proxy_records(START_QUIET_S + 1, PROXY_RECORDS, hears_all=True)
    assert [(record.id, record.phase) for record in stray] == [("a", "lost")]
    assert phases(old) == {"b": "gone"}


def test_who_does_not_hear_all_controllers_learns_from_proxies_and_expires_what_nobody_hears() -> None:
    """Another controller may receive the heartbeats of a backend that is unknown here."""
    registry = Registry(0, BEAT_S)
    now = START_QUIET_S + 1
    assert registry.merge_proxy_records(now, PROXY_RECORDS, hears_all=False) == []
    assert phases(registry) == {"a": "ready", "b": "gone"}
    assert registry.expire(now + LOST_S - 0.1) == []
    assert [record.id for record in registry.expire(now + LOST_S + 0.1)] == ["a"]


def test_a_backend_that_a_proxy_was_told_to_be_lost_is_news_once_it_is_heard_anywhere() -> None:
    ready = PROXY_RECORDS[0]

    def registry_with_stray() -> Registry:
        registry = Registry(0, BEAT_S)
        assert [
            record.phase for record in registry.merge_proxy_records(START_QUIET_S + 1, [ready], hears_all=True)
        ] == ["lost"]
        registry.merge(START_QUIET_S + 2, [ready])  # from another controller that learnt it from a proxy
        registry.changes()
        return registry

    by_news, by_heartbeat, by_record = registry_with_stray(), registry_with_stray(), registry_with_stray()
    by_news.merge_remote_heartbeats(START_QUIET_S + 3, [(ready.id, 9, 0)])
    by_heartbeat.heartbeat(START_QUIET_S + 3, ready.id, beat(9, address=ready.address))
    by_record.merge(START_QUIET_S + 3, [msgspec.structs.replace(ready, call_seq=9)])
    for registry in (by_news, by_heartbeat, by_record):
        assert [(record.id, record.phase, record.call_seq) for record in registry.changes()] == [(ready.id, "ready", 9)]
        registry.merge_remote_heartbeats(START_QUIET_S + 4, [(ready.id, 10, 0)])
        assert registry.changes() == ()


def test_backends_that_proxies_were_told_to_be_lost_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry_module, "MAX_STRAYS", 3)
    registry = Registry(0, BEAT_S)
    strays = [msgspec.structs.replace(PROXY_RECORDS[0], id=f"a{number}") for number in range(10)]
    registry.merge_proxy_records(START_QUIET_S + 1, strays, hears_all=True)
    assert list(registry._strays) == ["a7", "a8", "a9"]


def test_that_a_proxy_holds_a_backend_for_lost_changes_nothing() -> None:
    """A controller relies on heartbeats, not on the losses that a proxy reports."""
    registry = Registry(0, BEAT_S)
    registry.heartbeat(1, "c", beat(3, address="1.1.1.1:3"))
    assert registry.merge_proxy_records(2, PROXY_RECORDS, hears_all=True) == []
    assert phases(registry)["c"] == "ready"


def test_ends_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ends are kept for a minute, and a bounded number of them."""
    registry = Registry(0, BEAT_S)
    registry.heartbeat(10, "i", beat(1))
    registry.leave(11, "i")
    registry.expire(11 + TOMBSTONE_S - 0.1)
    assert phases(registry) == {"i": "gone"}
    registry.expire(11 + TOMBSTONE_S)
    assert phases(registry) == {}
    monkeypatch.setattr(registry_module, "MAX_TOMBSTONES", 3)
    for number in range(9):
        registry.heartbeat(100, str(number), beat(1, address=f"10.0.0.{number}:80"))
        registry.leave(100, str(number))
    registry.expire(100)
    assert list(phases(registry)) == ["6", "7", "8"]


@given(st.integers(0, 10**6))
def test_controllers_agree_in_the_end(seed: int) -> None:
    """After random heartbeats, drains, leaves and cuts, controllers that exchange all records agree (for gone backends
    on their phase only); a backend that drained or left is never ready again."""
    random = Random(seed)
    registries = [Registry(0, BEAT_S) for _ in range(3)]
    sequences = dict.fromkeys("abcd", 0)
    phase_of = dict.fromkeys("abcd", "ready")
    ended: list[set[str]] = [set() for _ in registries]
    now = 0.0
    for _ in range(60):
        now += random.random()
        name = random.choice("abcd")
        index = random.randrange(3)
        registry = registries[index]
        match random.randrange(8):
            case 0:
                registry.expire(now, has_contact=random.random() < 0.7)
            case 1:
                other = random.choice(registries)
                other.merge(now, registry.changes())
                other.merge_remote_heartbeats(now, registry.pop_heartbeats(now))
            case 2 if random.random() < 0.3:
                phase_of[name] = "draining"
            case 3 if random.random() < 0.2:
                registry.leave(now, name)
            case _:
                sequences[name] += 1
                registry.heartbeat(now, name, beat(sequences[name], phase_of[name], f"10.0.0.{ord(name)}:80"))
        for seen, held in zip(ended, registries, strict=True):
            seen |= {key for key, phase in phases(held).items() if phase in {"draining", "gone"}}
            assert all(phases(held)[key] in {"draining", "gone"} for key in seen)
    for _ in range(3):
        for registry in registries:
            for other in registries:
                other.merge(now, registry.all_records())
    assert (
        len(
            {
                tuple(
                    sorted(
                        (record.id, "gone")
                        if record.phase == "gone"
                        else (record.id, *map(str, record.models), record.phase, str(record.call_seq))
                        for record in registry.all_records()
                    )
                )
                for registry in registries
            }
        )
        == 1
    )


def test_what_was_known_before_a_restart_counts_until_somebody_knows_better() -> None:
    """After a total power loss, restored backends serve at once, heartbeats update them, and silent ones are lost."""
    registry = Registry(0.0, BEAT_S)
    registry.restore(0.0, [Backend(f"i-{n}", "s", f"10.0.0.{n}:80", "z", "decode", 32, "ready", 4) for n in (1, 2, 3)])
    assert {found.id for found in registry.changes()} == {"i-1", "i-2", "i-3"}
    registry.heartbeat(0.5, "i-1", beat(5, address="10.0.0.1:80"))
    registry.heartbeat(0.6, "i-2", beat(5, "draining", "10.0.0.2:80"))
    assert phases(registry) == {"i-1": "ready", "i-2": "draining", "i-3": "ready"}
    assert not registry.expire(START_QUIET_S - 0.1)
    assert [found.id for found in registry.expire(LOST_S + 0.1)] == ["i-3"]


COLD = {"s": WarmUpLimit(23.0, 3.0)}


def test_a_backend_that_turns_cold_under_its_id_is_news_as_of_the_time_of_telling() -> None:
    """It is reported once, as long as its heartbeats do not extend the known time."""
    registry = Registry(0, BEAT_S)
    registry.limits = COLD
    registry.heartbeat(1, "i", beat(1))
    registry.changes()
    registry.heartbeat(2, "i", beat(2, cold_left_ms=3000))
    (reported,) = registry.with_cold_left(2.5, registry.changes())
    assert reported.cold_left_ms == 2500
    registry.heartbeat(3.2, "i", beat(3, cold_left_ms=1850))
    assert registry.changes() == ()
    assert [record.cold_left_ms for record in registry.with_cold_left(9, registry.all_records())] == [0]
    registry.heartbeat(10, "i", beat(4, cold_left_ms=3000))
    assert [found.until for found in registry.cold(10)] == [13.0] and len(registry.changes()) == 1


def test_a_record_that_is_known_already_may_tell_that_its_backend_is_cold() -> None:
    """Another controller or proxy may know first, and the remaining time is transferred."""
    here, there = Registry(0, BEAT_S), Registry(0, BEAT_S)
    here.limits = there.limits = COLD
    for registry in (here, there):
        registry.heartbeat(1, "i", beat(1))
        registry.changes()
    here.heartbeat(2, "i", beat(1, cold_left_ms=3000))
    there.merge(4, here.with_cold_left(4, here.all_records()))
    assert [found.until for found in there.cold(4)] == [5.0]


def test_without_a_limit_a_cold_backend_is_no_news() -> None:
    registry = Registry(0, BEAT_S)
    registry.heartbeat(1, "i", beat(1))
    registry.changes()
    registry.heartbeat(2, "i", beat(2, cold_left_ms=3000))
    registry.mark_zone_cold(2, "z")
    assert registry.changes() == () and registry.cold(2) == []
    assert registry.with_cold_left(2, registry.all_records()) == registry.all_records()


def test_a_restored_record_counts_as_warm() -> None:
    """The time since it was written is unknown."""
    before, after = Registry(0, BEAT_S), Registry(0, BEAT_S)
    before.limits = after.limits = COLD
    before.heartbeat(1, "i", beat(1, cold_left_ms=3000))
    after.restore(0, before.all_records())
    assert after.cold(0) == []


def test_the_backends_of_a_zone_that_is_taken_back_count_as_cold() -> None:
    registry = Registry(0, BEAT_S)
    registry.limits = COLD
    registry.heartbeat(1, "i", beat(1))
    registry.heartbeat(1, "j", beat(1, address="10.0.0.8:80", zone="other"))
    registry.changes()
    registry.mark_zone_cold(5, "z")
    assert [(record.id, record.cold_left_ms) for record in registry.with_cold_left(5, registry.changes())] == [
        ("i", 3000)
    ]
