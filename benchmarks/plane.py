"""Measures the control plane's costs as the fleet grows: ``python benchmarks/plane.py``. One process, no sockets.

Prints microseconds per call (the fastest of several rounds) at several sizes, and bytes of memory and of frames.
"""

from __future__ import annotations

import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))
sys.path.insert(0, str(Path(__file__).parent))

import msgspec
import psutil
from hollow import document, route

from cranebank.control.configuration import amend
from cranebank.control.delivery import Delivery
from cranebank.control.registry import Registry
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.pair import PairChooser
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine, RouteTable
from cranebank.membership.neighbour_loads import NeighbourLoads
from cranebank.membership.outbox import GossipOutbox
from cranebank.transport.frames import Decoder, decode_datagram, encode
from cranebank.transport.messages import Backend, ConfigPush, Gossip, Hello, LinkHeartbeat, Load, Push
from cranebank.transport.revision import Revision

ENGINE = Engine(capacity=32, cache_tokens=400_000, token_bytes=163_840, link_mbps=1.4e6)


def backend(number: int, call_seq: int = 1, models: int = 1) -> Backend:
    """Return a backend's record: 28 of 100 are prefill backends; all belong to one service unless ``models`` > 1."""
    model = f"model-{number % models}"
    return Backend(
        f"backend-{number:06d}-a1b2c3",
        model,
        f"10.0.{number // 250}.{1 + number % 250}:8000",
        f"zone-{number % 9}",
        "prefill" if number % 100 < 28 else "decode",
        32,
        "ready",
        call_seq,
        0,
        (model,),
    )


def measure_us(call: Callable[[], Any], count: int, rounds: int = 3) -> float:
    """Return the processor time per call in microseconds, of the fastest round."""
    fastest_s = float("inf")
    for _ in range(rounds):
        gc.collect()
        began = time.process_time()
        for _ in range(count):
            call()
        fastest_s = min(fastest_s, time.process_time() - began)
    return round(1e6 * fastest_s / count, 2)


def measure_choices(count: int, models: int) -> dict[str, float]:
    """Measure merging, choosing and gossip with ``count`` backends of ``models`` services."""
    candidates, cache = Candidates(), CacheView()
    tracemalloc.start()
    candidates.merge(backend(number, models=models) for number in range(count))
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    chooser = PairChooser(candidates, cache, Random(1))
    chooser.proxies = 350
    seq, turn = [1], [0]

    def push() -> None:
        seq[0] += 1
        candidates.merge([backend(0, seq[0], models)])

    def come_and_go() -> None:
        turn[0] += 1
        candidates.merge([backend(count + turn[0], 1, models)])
        candidates.merge([msgspec.structs.replace(backend(count + turn[0], 2, models), phase="gone")])

    own = Prompt(6_000, 10, (("o", 6_000),))
    shared = [Prompt(17_000, 10, ((f"s{number}", 13_000), ("o", 4_000))) for number in range(400)]

    def choose_shared(kinds: int) -> None:
        turn[0] += 1
        chooser.choose(100.0, "model-0", ENGINE, shared[turn[0] % kinds], 1800.0, set())

    outbox = GossipOutbox()
    now = [0.0]

    def gossip() -> None:
        now[0] += 0.1
        outbox.next(
            now[0],
            1,
            1,
            (
                (seen.backend.id, seen.calls, seen.tokens)
                for seen in candidates.views.values()
                if seen.calls or seen.tokens
            ),
        )

    repeats = 20 if count > 1000 else 200
    return {
        "backends": count,
        "models": models,
        "held_bytes_a_backend": round(held_bytes / count),
        "push_of_one_us": measure_us(push, repeats),
        "one_comes_and_goes_us": measure_us(come_and_go, repeats),
        "choose_own_prompt_us": measure_us(
            lambda: chooser.choose(100.0, "model-0", ENGINE, own, 1800.0, set()), repeats
        ),
        "choose_new_shared_prompt_us": measure_us(lambda: choose_shared(400), repeats, 2),
        "choose_known_shared_prompt_us": measure_us(lambda: choose_shared(10), repeats, 3),
        "tell_neighbours_us": measure_us(gossip, repeats),
    }


def measure_configuration(tenants: int) -> dict[str, float]:
    """Measure a configuration of ``tenants`` at the proxy, on the wire and at the primary."""
    body = json.dumps(document(tenants)).encode()
    tracemalloc.start()
    table = RouteTable.read(body)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    frame = encode(ConfigPush(1, body))
    change = json.dumps({"revision": 2, "upsert": {"routes": [route(0)]}}).encode()
    return {
        "tenants": tenants,
        "document_bytes": len(body),
        "change_bytes": len(change),
        "held_bytes": held_bytes,
        "read_us": measure_us(lambda: RouteTable.read(body), 3),
        "encode_us": measure_us(lambda: encode(ConfigPush(1, body)), 5),
        "decode_us": measure_us(lambda: Decoder().feed(frame), 5),
        "match_us": measure_us(lambda: table.match("tenant-00007.models.example", "/v1/chat"), 2000),
        "amend_us": measure_us(lambda: amend(body, change), 1),
    }


def measure_delivery(count: int) -> dict[str, float]:
    """Measure a controller's delivery to ``count`` proxies."""
    delivery = Delivery("c", Random(1), lambda _now, _revision: True)
    delivery.set_primary(0.0, True)
    delivery.update_controllers([f"10.9.0.{number}" for number in range(6)])
    for number in range(count):
        delivery.join(0.0, number, f"edge-{number}", f"10.8.{number // 250}.{number % 250}", True, 0, ())
    delivery.pop_messages()
    change = (backend(1),)

    def welcome() -> None:
        delivery._stale_welcome, delivery._stale_since = True, -1.0
        delivery.tick(1.0)
        delivery.pop_messages()

    def push_change() -> None:
        delivery.push_backends(change)
        for link, message in delivery.pop_messages():
            assert isinstance(message, Push)
            encode(message)
            delivery.acknowledged(link, message.number)

    return {
        "proxies": count,
        "tick_us": measure_us(lambda: delivery.tick(0.0), 200),
        "welcome_round_us": measure_us(welcome, 3),
        "push_and_acks_us": measure_us(push_change, 10),
    }


def measure_registry(count: int) -> dict[str, float]:
    """Measure a controller's registry with ``count`` backends."""
    registry = Registry(0.0, 1.2)
    bodies = [
        json.dumps(
            {
                "target": "m",
                "address": f"10.0.{number // 250}.{number % 250}:1",
                "phase": "ready",
                "call_seq": 1,
                "zone": "z",
                "stage": "decode",
                "models": [{"name": "m"}],
            }
        ).encode()
        for number in range(count)
    ]
    tracemalloc.start()
    for number in range(count):
        registry.heartbeat(0.0, f"backend-{number}", bodies[number])
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    registry.changes()
    heard = tuple((f"backend-{number}", 1, 10) for number in range(count))

    def pop_heartbeats() -> None:
        for number in range(count):
            registry._own[f"backend-{number}"] = 0.0
        encode(Hello("c", "controller", "", "", 1))
        msgspec.msgpack.encode(registry.pop_heartbeats(0.5))

    return {
        "backends": count,
        "held_bytes_a_backend": round(held_bytes / count),
        "heartbeat_us": measure_us(lambda: registry.heartbeat(0.5, "backend-0", bodies[0]), 2000),
        "expire_us": measure_us(lambda: registry.expire(4.8), 10),
        "take_heard_us": measure_us(pop_heartbeats, 3),
        "heard_us": measure_us(lambda: registry.merge_remote_heartbeats(0.5, heard), 3),
        "heard_bytes": len(msgspec.msgpack.encode(heard)),
        "hello_bytes": len(
            encode(
                Hello("p", "proxy", "10.0.0.1", "z", 1, 1, tuple(backend(number, models=4) for number in range(count)))
            )
        ),
        "hello_encode_us": measure_us(lambda: encode(Push(1, tuple(registry.records.values()))), 3),
    }


def measure_gossip(loads: int) -> dict[str, float]:
    """Measure a neighbour's datagram with ``loads`` loads, and the memory per prompt part in the cache view."""
    reported = tuple(Load(f"backend-{number:06d}-a1b2c3", 3, 4000 + number) for number in range(loads))
    datagram, number, sums = encode(Gossip(1, 7, 9, reported)), [0], NeighbourLoads()

    def receive() -> None:
        message = decode_datagram(datagram)
        assert isinstance(message, Gossip)
        number[0] += 1
        sums.merge(0.0, "10.0.0.1", number[0], message.loads)

    view = CacheView()
    tracemalloc.start()
    for turn in range(2000):
        view.touch(f"b{turn % 20}", ((f"o{turn:05d}-0123456789abcdef", 400),), 400_000)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "loads": loads,
        "datagram_bytes": len(datagram),
        "take_us": measure_us(receive, 200),
        "encode_us": measure_us(lambda: encode(Gossip(1, 7, 9, reported)), 200),
        "held_bytes_a_part": round(held_bytes / 2000),
    }


def measure_memory(count: int, tenants: int) -> dict[str, float]:
    """Measure the memory of this process with a proxy's modules, before and after it learns of a fleet."""
    from cranebank.programs import edge  # noqa: F401, PLC0415

    this_process = psutil.Process()
    before = this_process.memory_info().rss
    candidates = Candidates()
    candidates.merge(backend(number, models=4) for number in range(count))
    known = this_process.memory_info().rss
    body = json.dumps(document(tenants)).encode()
    table = RouteTable.read(body)
    after = this_process.memory_info().rss
    table = RouteTable.read(body)  # the next table, while the last one is still in use
    assert table.revision
    return {
        "rss_mb": round(before / 1e6, 1),
        "with_backends_mb": round(known / 1e6, 1),
        "with_tenants_mb": round(after / 1e6, 1),
        "after_a_change_mb": round(this_process.memory_info().rss / 1e6, 1),
    }


def main() -> None:
    """Print a line of JSON for each size."""
    print(json.dumps(measure_memory(5700, 5200)), flush=True)
    for count, models in ((50, 1), (500, 1), (2000, 1), (5700, 1), (5700, 4), (64, 1)):
        print(json.dumps(measure_choices(count, models)), flush=True)
    for tenants in (50, 500, 2000, 5200):
        print(json.dumps(measure_configuration(tenants)), flush=True)
    for count in (10, 50, 150, 350):
        print(json.dumps(measure_delivery(count)), flush=True)
    for count in (50, 500, 2000, 5700):
        print(json.dumps(measure_registry(count)), flush=True)
    for loads in (0, 7, 38):
        print(json.dumps(measure_gossip(loads)), flush=True)
    heartbeat, load = encode(LinkHeartbeat(Revision(7))), msgspec.msgpack.encode(Load("backend-000001-a1b2c3", 3, 4000))
    print(
        json.dumps(
            {
                "pulse_bytes": len(heartbeat),
                "load_bytes": len(load),
                "encode_pulse_us": measure_us(lambda: encode(LinkHeartbeat(Revision(7))), 2000),
                "decode_pulse_us": measure_us(lambda: Decoder().feed(heartbeat), 2000),
                "push_of_one_bytes": len(encode(Push(1000, (backend(1),)))),
            }
        )
    )


if __name__ == "__main__":
    main()
