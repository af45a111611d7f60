"""Gossip between two proxies on loopback addresses. Tests wait for events, never for a fixed time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine, Iterable, Mapping
from random import Random

import pytest

from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.membership.neighbour_loads import LoadSums
from cranebank.membership.neighbours import MAX_PREFILL_REPORTS_PER_S, Neighbours
from cranebank.programs.edge import Edge
from cranebank.programs.settings import NodeSettings
from cranebank.transport import links
from cranebank.transport.frames import BadFrame, decode_datagram, encode
from cranebank.transport.messages import Backend, CachedPrefix, Fetch, Gossip, Load, PrefillBegun, Push, Shuffle
from cranebank.transport.revision import Revision

A, B = "127.0.0.11", "127.0.0.12"


class FakeDataPlane:
    """A data plane that records updates; its candidates are real."""

    def __init__(self) -> None:
        self.candidates, self.revision, self.document = Candidates(), Revision(0), b""
        self.end: Neighbours | None = None
        self.load: list[tuple[str, int, int]] = []
        self.cached_prefixes: list[CachedPrefix] = []
        self.prefills: list[PrefillBegun] = []
        self.reporters = 0
        self.evacuated: tuple[int, tuple[str, ...]] = (0, ())
        self.changed = asyncio.Event()

    def configure(self, document: bytes) -> bool:
        revision = Revision(int(document.split()[0]))
        if revision > self.revision:
            self.revision, self.document = revision, document
            self.changed.set()
        return True

    def learn(self, backends: Iterable[Backend]) -> None:
        backends = tuple(backends)
        if self.end is not None:
            self.end.changes(backends)
        self.candidates.merge(backends)
        self.changed.set()

    def evacuations(self) -> tuple[int, tuple[str, ...]]:
        return self.evacuated

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        self.evacuated = max(self.evacuated, (number, tuple(zones)))
        return self.evacuated[0]

    def known(self) -> tuple[Backend, ...]:
        return self.candidates.known()

    def records(self) -> Mapping[str, Backend]:
        return self.candidates.records

    def out(self) -> Iterable[tuple[str, int, int]]:
        return self.load

    def set_neighbour_loads(self, sums: LoadSums) -> None:
        for backend, (calls, tokens) in sums.items():
            seen = self.candidates.views[backend]
            seen.others_calls, seen.others_tokens = calls, tokens
            self.changed.set()

    def record_cached_prefix(self, note: CachedPrefix) -> None:
        self.cached_prefixes.append(note)
        self.changed.set()

    def prefill_begun(self, prefill: PrefillBegun) -> None:
        self.prefills.append(prefill)
        self.changed.set()

    def prefill_reporters(self, proxies: int) -> None:
        self.reporters = proxies
        self.changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(20):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def _backend(phase: str = "ready", call_seq: int = 1, name: str = "i-1") -> Backend:
    return Backend(name, "service", "10.1.0.1:80", "z", "decode", 8, phase, call_seq)


def _port() -> int:
    with socket.socket() as one:
        one.bind((A, 0))
        return int(one.getsockname()[1])


def play(
    scenario: Callable[[FakeDataPlane, FakeDataPlane, Neighbours, Neighbours], Coroutine[None, None, None]],
) -> None:
    """Run a scenario with two proxies; only the first knows of the other."""

    async def run() -> None:
        port, planes = _port(), (FakeDataPlane(), FakeDataPlane())
        first = Neighbours(planes[0], lambda: (A, B), A, port, Random(1))
        second = Neighbours(planes[1], lambda: (), B, port, Random(2))
        planes[0].end, planes[1].end = first, second
        for plane in planes:
            plane.learn([_backend()])
        await first.start()
        await second.start()
        try:
            await scenario(*planes, first, second)
        finally:
            first.stop()
            second.stop()

    asyncio.run(run())


def test_news_loads_and_notes_reach_the_neighbour() -> None:
    async def scenario(a: FakeDataPlane, b: FakeDataPlane, first: Neighbours, second: Neighbours) -> None:
        a.load = [("i-1", 3, 700)]
        first.read("i-1", "5c1e07a2", 13_300)
        await b.until(lambda: b.candidates.views["i-1"].others_tokens == 700 and bool(b.cached_prefixes))
        assert b.candidates.views["i-1"].others_calls == 3
        assert b.cached_prefixes == [CachedPrefix("i-1", "5c1e07a2", 13_300)]
        a.load = []
        await b.until(lambda: b.candidates.views["i-1"].others_calls == 0)
        assert second.views.neighbours == (A,), "learned by the shuffle"
        b.learn([_backend("draining", 2)])
        await a.until(lambda: not a.candidates.may_take("i-1"))
        assert a.candidates.views["i-1"].others_calls == 0

    play(scenario)


def test_who_is_behind_fetches_configuration_and_backends() -> None:
    async def scenario(a: FakeDataPlane, b: FakeDataPlane, first: Neighbours, second: Neighbours) -> None:
        b.configure(b"4 routes")
        b.learn([_backend("ready", 9), _backend("lost", 3, "i-2"), _backend("lost", 3, "i-3")])
        a.learn([_backend("ready", 2, "i-3")])
        await a.until(lambda: a.revision == 4 and a.candidates.records["i-1"].call_seq == 9)
        assert a.document == b"4 routes"
        phases = {name: record.phase for name, record in a.candidates.records.items()}
        assert phases == {"i-1": "ready", "i-2": "lost", "i-3": "ready"}, "a neighbour's loss must not be merged"
        assert second.counters.get("fetched", 0) == 0

    play(scenario)


def test_who_fetches_a_configuration_learns_of_evacuated_zones_before_it() -> None:
    async def scenario(a: FakeDataPlane, b: FakeDataPlane, first: Neighbours, second: Neighbours) -> None:
        b.evacuated = (3, ("z",))
        b.configure(b"4 routes")
        await a.until(lambda: bool(a.evacuated[0] or a.revision))
        assert a.evacuated == (3, ("z",)), "otherwise a proxy that has just started could send there"

    play(scenario)


def test_a_reading_is_told_at_once_to_all_that_are_named_and_no_more_than_so_many_a_second() -> None:
    async def scenario(a: FakeDataPlane, b: FakeDataPlane, first: Neighbours, second: Neighbours) -> None:
        await a.until(lambda: a.reporters == 1)
        assert b.reporters == 0
        first.prefill_begun(PrefillBegun("i-1", 17_020, "5c1e07a2", 13_300, 1.25))
        await b.until(lambda: bool(b.prefills))
        assert b.prefills == [PrefillBegun("i-1", 17_020, "5c1e07a2", 13_300, 1.25)] and not a.prefills
        for _ in range(200):
            first.prefill_begun(PrefillBegun("i-1", 1))
        assert 200 - MAX_PREFILL_REPORTS_PER_S - 5 <= first.counters["readings_untold"] <= 200

    play(scenario)


def test_damaged_datagrams_are_dropped_and_counted() -> None:
    async def scenario(a: FakeDataPlane, b: FakeDataPlane, first: Neighbours, second: Neighbours) -> None:
        random = Random(3)
        whole = encode(
            Gossip(1, Revision(0), 0, (Load("i-1", 1, 1),), (CachedPrefix("i-1", "x", 1),), (_backend("gone", 5),))
        )
        bad = [b"", b"x", whole[:-1], whole + b"x", whole + whole, encode(Push(1, ())), encode(Fetch(Revision(1)))]
        bad += [random.randbytes(random.randrange(200)) for _ in range(200)]
        for place in range(len(whole)):
            bad.append(whole[:place] + bytes([whole[place] ^ 0x55]) + whole[place + 1 :])
        for data in bad:
            first.datagram(1.0, B, data)
        assert first.counters == {"damaged": len(bad)}
        assert a.candidates.may_take("i-1")

    play(scenario)


def test_two_configurations_of_one_revision_are_counted() -> None:
    async def scenario(a: FakeDataPlane, b: FakeDataPlane, first: Neighbours, second: Neighbours) -> None:
        a.configure(b"4 routes")
        first.datagram(1.0, B, encode(Shuffle((), Revision(4), first.digest, True)))
        assert "digests_differ" not in first.counters
        first.datagram(1.0, B, encode(Shuffle((), Revision(4), first.digest ^ 1, True)))
        assert first.counters["digests_differ"] == 1

    play(scenario)


def test_without_the_port_a_proxy_goes_on_alone() -> None:
    async def run() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind((A, 0))
            end = Neighbours(FakeDataPlane(), lambda: (B,), A, taken.getsockname()[1], Random(1))
            await end.start()
            end.tick(1.0)
            end.stop()

    asyncio.run(run())


def test_a_fetch_from_one_that_is_not_there_ends_and_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(links, "DIAL_TIMEOUT_S", 0.2)

    async def run() -> None:
        plane = FakeDataPlane()
        end = Neighbours(plane, lambda: (), A, _port(), Random(1))
        for now in (0.0, 0.1, 0.7):
            end.datagram(now, B, encode(Gossip(1, Revision(7), 0)))
            end.tick(now)
        fetch = end._fetch
        assert fetch is not None
        await fetch
        assert end.counters["not_fetched"] == 1

    asyncio.run(run())


def test_a_datagram_is_one_whole_frame() -> None:
    frame = encode(Fetch(Revision(3)))
    assert decode_datagram(frame) == Fetch(Revision(3))
    for data in (b"", frame[:-1], frame + b"\x00", frame + frame):
        with pytest.raises(BadFrame):
            decode_datagram(data)


def test_a_note_counts_for_all_that_comes_before_its_part() -> None:
    cache, parts = CacheView(), (("a", 800), ("b", 410), ("own", 250))
    cache.record_prefix("i-1", "b", 1210, 100_000)
    assert cache.cached_tokens("i-1", parts) == 1210 and cache.cached_tokens("i-2", parts) == 0
    cache.touch("i-1", (("a", 800),), 100_000)
    assert cache.cached_tokens("i-1", (("a", 800), ("c", 5))) == 800
    for number in range(1000):
        cache.record_prefix("i-1", f"p{number}", 1000, 100_000)
        if number < 980:
            cache.touch("i-1", (("a", 800),), 100_000)
    assert cache.cached_tokens("i-1", parts) == 800, "recently used"
    for number in range(1000):
        cache.record_prefix("i-1", f"p{number}", 1000, 100_000)
    assert cache.cached_tokens("i-1", parts) == 0, "the least recently used is evicted, whichever proxy reported it"
    assert sum(cache.cached_tokens("i-1", ((f"p{number}", 1000),)) for number in range(1000)) <= 80_000
    cache.forget("i-1")
    assert cache.cached_tokens("i-1", (("p999", 1000),)) == 0


@pytest.mark.parametrize("wanted", [True, False])
def test_an_edge_has_neighbours_only_where_they_are_wanted(wanted: bool) -> None:
    async def run() -> None:
        settings = NodeSettings("edge-1", A, "z", (7000, 7010), ("10.0.0.1:80",))
        edge = Edge(settings, with_neighbours=wanted)
        plane, shared = edge.links._plane, edge.proxy.shared
        assert (shared.on_prefix_cached is not None) is wanted
        plane.learn([_backend()])
        services = b'[{"name":"service","engine":{"cache_tokens":9000}}]'
        assert plane.configure(b'{"revision":3,"routes":[],"services":%b}' % services)
        if not wanted:
            return
        end = edge._plane.neighbours
        assert end is not None and edge._plane.document.startswith(b'{"revision":3')
        seen = shared.candidates.views["i-1"]
        seen.calls, seen.tokens = 2, 500
        assert list(edge._plane.out()) == [("i-1", 2, 500)]
        gossip = Gossip(
            1,
            Revision(3),
            end.digest,
            (Load("i-1", 4, 90),),
            (CachedPrefix("i-1", "s", 5000),),
            (_backend("draining", 2),),
        )
        end.datagram(1.0, B, encode(gossip))
        assert (seen.others_calls, seen.others_tokens) == (4, 90) and not shared.candidates.may_take("i-1")
        assert shared.cache.cached_tokens("i-1", (("r", 100), ("s", 4900), ("own", 7))) == 5000
        end.tick(1.0 + 1.1)
        assert (seen.others_calls, seen.others_tokens) == (0, 0)

    asyncio.run(run())
