"""What a proxy's control plane costs as the fleet grows: ``python benchmarks/plane.py``. In one process, no sockets.

Prints microseconds a call (the fastest of several rounds) at several sizes, and bytes of memory and of frames.
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

ENGINE = Engine(capacity=32, cache_tokens=400_000, token_bytes=163_840, link_mbps=1.4e6)


def backend(number: int, call_seq: int = 1, models: int = 1) -> Backend:
    """28 in 100 read prompts; all of one service unless there are more models."""
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


def micros(work: Callable[[], Any], count: int, rounds: int = 3) -> float:
    """Processor microseconds a call, the fastest round."""
    best = float("inf")
    for _ in range(rounds):
        gc.collect()
        began = time.process_time()
        for _ in range(count):
            work()
        best = min(best, time.process_time() - began)
    return round(1e6 * best / count, 2)


def choices(count: int, models: int) -> dict[str, float]:
    """Merge, choose and the tellings to neighbours with so many backends of so many services."""
    candidates, cache = Candidates(), CacheView()
    tracemalloc.start()
    candidates.merge(backend(number, models=models) for number in range(count))
    held = tracemalloc.get_traced_memory()[0]
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

    def tell() -> None:
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

    few = 20 if count > 1000 else 200
    return {
        "backends": count,
        "models": models,
        "held_bytes_a_backend": round(held / count),
        "push_of_one_us": micros(push, few),
        "one_comes_and_goes_us": micros(come_and_go, few),
        "choose_own_prompt_us": micros(lambda: chooser.choose(100.0, "model-0", ENGINE, own, 1800.0, set()), few),
        "choose_new_shared_prompt_us": micros(lambda: choose_shared(400), few, 2),
        "choose_known_shared_prompt_us": micros(lambda: choose_shared(10), few, 3),
        "tell_neighbours_us": micros(tell, few),
    }


def tables(tenants: int) -> dict[str, float]:
    """A configuration of so many tenants: at the proxy, on the wire, at the primary."""
    body = json.dumps(document(tenants)).encode()
    tracemalloc.start()
    table = RouteTable.read(body)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    frame = encode(ConfigPush(1, body))
    change = json.dumps({"revision": 2, "upsert": {"routes": [route(0)]}}).encode()
    return {
        "tenants": tenants,
        "document_bytes": len(body),
        "change_bytes": len(change),
        "held_bytes": held,
        "read_us": micros(lambda: RouteTable.read(body), 3),
        "encode_us": micros(lambda: encode(ConfigPush(1, body)), 5),
        "decode_us": micros(lambda: Decoder().feed(frame), 5),
        "match_us": micros(lambda: table.match("tenant-00007.models.example", "/v1/chat"), 2000),
        "amend_us": micros(lambda: amend(body, change), 1),
    }


def peers(count: int) -> dict[str, float]:
    """A controller's core with so many proxies."""
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

    def tell() -> None:
        delivery.push_backends(change)
        for link, message in delivery.pop_messages():
            assert isinstance(message, Push)
            encode(message)
            delivery.acknowledged(link, message.number)

    return {
        "proxies": count,
        "tick_us": micros(lambda: delivery.tick(0.0), 200),
        "welcome_round_us": micros(welcome, 3),
        "push_and_acks_us": micros(tell, 10),
    }


def registry(count: int) -> dict[str, float]:
    """A controller's registry with so many backends."""
    made = Registry(0.0, 1.2)
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
        made.heartbeat(0.0, f"backend-{number}", bodies[number])
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    made.changes()
    heard = tuple((f"backend-{number}", 1, 10) for number in range(count))

    def tell() -> None:
        for number in range(count):
            made._own[f"backend-{number}"] = 0.0
        encode(Hello("c", "controller", "", "", 1))
        msgspec.msgpack.encode(made.pop_heartbeats(0.5))

    return {
        "backends": count,
        "held_bytes_a_backend": round(held / count),
        "heartbeat_us": micros(lambda: made.heartbeat(0.5, "backend-0", bodies[0]), 2000),
        "expire_us": micros(lambda: made.expire(4.8), 10),
        "take_heard_us": micros(tell, 3),
        "heard_us": micros(lambda: made.merge_remote_heartbeats(0.5, heard), 3),
        "heard_bytes": len(msgspec.msgpack.encode(heard)),
        "hello_bytes": len(
            encode(
                Hello("p", "proxy", "10.0.0.1", "z", 1, 1, tuple(backend(number, models=4) for number in range(count)))
            )
        ),
        "hello_encode_us": micros(lambda: encode(Push(1, tuple(made.records.values()))), 3),
    }


def neighbours(loads: int) -> dict[str, float]:
    """A neighbour's datagram with so many loads, and a part that the cache view keeps."""
    told = tuple(Load(f"backend-{number:06d}-a1b2c3", 3, 4000 + number) for number in range(loads))
    data, number, sums = encode(Gossip(1, 7, 9, told)), [0], NeighbourLoads()

    def take() -> None:
        message = decode_datagram(data)
        assert isinstance(message, Gossip)
        number[0] += 1
        sums.merge(0.0, "10.0.0.1", number[0], message.loads)

    view = CacheView()
    tracemalloc.start()
    for turn in range(2000):
        view.touch(f"b{turn % 20}", ((f"o{turn:05d}-0123456789abcdef", 400),), 400_000)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "loads": loads,
        "datagram_bytes": len(data),
        "take_us": micros(take, 200),
        "encode_us": micros(lambda: encode(Gossip(1, 7, 9, told)), 200),
        "held_bytes_a_part": round(held / 2000),
    }


def process(count: int, tenants: int) -> dict[str, float]:
    """Memory of this process, with a proxy's programs loaded, before and after it learns of a fleet."""
    from cranebank.programs import edge  # noqa: F401, PLC0415

    me = psutil.Process()
    before = me.memory_info().rss
    candidates = Candidates()
    candidates.merge(backend(number, models=4) for number in range(count))
    known = me.memory_info().rss
    document_ = json.dumps(document(tenants)).encode()
    table = RouteTable.read(document_)
    after = me.memory_info().rss
    table = RouteTable.read(document_)  # the next one, while the last is in force
    assert table.revision
    return {
        "rss_mb": round(before / 1e6, 1),
        "with_backends_mb": round(known / 1e6, 1),
        "with_tenants_mb": round(after / 1e6, 1),
        "after_a_change_mb": round(me.memory_info().rss / 1e6, 1),
    }


def main() -> None:
    """One line of JSON for each size."""
    print(json.dumps(process(5700, 5200)), flush=True)
    for count, models in ((50, 1), (500, 1), (2000, 1), (5700, 1), (5700, 4), (64, 1)):
        print(json.dumps(choices(count, models)), flush=True)
    for tenants in (50, 500, 2000, 5200):
        print(json.dumps(tables(tenants)), flush=True)
    for count in (10, 50, 150, 350):
        print(json.dumps(peers(count)), flush=True)
    for count in (50, 500, 2000, 5700):
        print(json.dumps(registry(count)), flush=True)
    for loads in (0, 7, 38):
        print(json.dumps(neighbours(loads)), flush=True)
    pulse, load = encode(LinkHeartbeat(7)), msgspec.msgpack.encode(Load("backend-000001-a1b2c3", 3, 4000))
    print(
        json.dumps(
            {
                "pulse_bytes": len(pulse),
                "load_bytes": len(load),
                "encode_pulse_us": micros(lambda: encode(LinkHeartbeat(7)), 2000),
                "decode_pulse_us": micros(lambda: Decoder().feed(pulse), 2000),
                "push_of_one_bytes": len(encode(Push(1000, (backend(1),)))),
            }
        )
    )


if __name__ == "__main__":
    main()
