"""Costs of direct mode as endpoints, entries, workspaces and ranks grow.

Run as ``python -m benchmarks.direct``; prints one row for each cost.
"""

import json
import random
import time
import tracemalloc
import zlib
from collections.abc import Callable
from typing import NamedTuple

from mintsaddle.decisions.direct import (
    Incarnation,
    KnownEntry,
    Membership,
    Position,
    PublishedItem,
    Replica,
    choose_incarnation,
)
from mintsaddle.decisions.expert_maps import (
    MapWatch,
    choose_limits,
    make_first_map,
    spread_experts,
)
from mintsaddle.decisions.routing import RoutingState
from mintsaddle.platform import decode_items
from mintsaddle.rank_agent import AgentReply, RankResponse, encode_reply
from mintsaddle.transport.proto import peer_pb2 as pb

_ROUNDS = 50


class Row(NamedTuple):
    """One cost at two sizes."""

    measurement: str
    small: str
    large: str


def measure_seconds(operation: Callable[[], object]) -> float:
    """Return the mean CPU seconds of a call."""
    started = time.process_time()
    for _ in range(_ROUNDS):
        operation()
    return (time.process_time() - started) / _ROUNDS


def choose_microseconds(endpoints: int) -> float:
    """Return the time to choose one of a number of endpoints."""
    state = RoutingState("entry", "a")
    rng = random.Random(1)
    incarnations = [
        Incarnation(f"e-{number}", "llm", "10.0.0.1:80", "a", 6, False, 0.0, 1)
        for number in range(endpoints)
    ]

    def choose() -> object:
        return choose_incarnation(state, incarnations, frozenset(), 1.0, rng)

    return measure_seconds(choose) * 1e6


def entry_hello_bytes(entries: int) -> int:
    """Return the size of an ``EntryHello`` from an entry that knows others."""
    membership = Membership("e-0", "10.0.0.1:80", [])
    for number in range(entries):
        membership.record_entry(
            KnownEntry(f"edge-dk-east-a-{number}", "10.10.10.10:8080", 1.0)
        )
    hello = pb.EntryHello(vm="edge-dk-east-a-0", address="10.10.10.10:8080")
    for entry in membership.most_recent_entries(1.0):
        hello.entries.add(vm=entry.vm, address=entry.address, age=0.5)
    return hello.ByteSize()


def make_configuration(routes: int, workspaces: int) -> bytes:
    """Return a published configuration as JSON."""
    values = {
        "version": 1,
        "routes": [
            {
                "name": f"r-{number}",
                "host": "desk.example",
                "prefix": f"/r{number}/",
                "kind": "streaming",
                "timeout_ms": 8000,
                "service": "llm",
            }
            for number in range(routes)
        ],
        "services": [{"name": "llm"}],
        "tenants": [
            {"name": f"w-{number}", "api_keys": [f"key-{number}-aaaaaaaaaaaa"]}
            for number in range(workspaces)
        ],
    }
    return json.dumps(values).encode()


def decode_milliseconds(routes: int, workspaces: int) -> float:
    """Return the time to decode a published configuration."""
    item = PublishedItem("op/config", 1, make_configuration(routes, workspaces))
    return measure_seconds(lambda: decode_items([item], 1.0)) * 1e3


def announcement_bytes(endpoints: int) -> float:
    """Return the replica's memory per endpoint announcement."""
    tracemalloc.start()
    replica = Replica("p/")
    value = b"x" * 320
    replica.merge(
        [
            PublishedItem(f"p/i-{number}", number + 1, bytes(value) + b"%d" % number)
            for number in range(endpoints)
        ],
        Position(0, endpoints),
    )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / endpoints


def make_items(endpoints: int, routes: int, workspaces: int) -> list[PublishedItem]:
    """Return all published items: announcements, then the configuration."""
    items = [
        PublishedItem(f"servers/i-{number}", number + 1, b"%320d" % number)
        for number in range(endpoints)
    ]
    configuration = make_configuration(routes, workspaces)
    return [*items, PublishedItem("op/config", endpoints + 1, configuration)]


def full_copy_kilobytes(endpoints: int, routes: int, workspaces: int) -> float:
    """Return the size of a full copy as sent to a follower.

    Only the configuration is compressed.
    """
    *announced, configuration = make_items(endpoints, routes, workspaces)
    size = sum(len(item.key) + len(item.value or b"") for item in announced)
    return (size + len(zlib.compress(configuration.value or b""))) / 1e3


def restore_milliseconds(endpoints: int) -> float:
    """Return the time to detect a restored store and replace the replica."""
    items = make_items(endpoints, 1, 1)
    restored = [item._replace(revision=1) for item in items]

    def resynchronise() -> None:
        replica = Replica("")
        replica.replace(items, Position(0, endpoints + 1))
        requested = replica.position
        assert replica.is_contradicted(restored, requested, requested.revision)
        replica.replace(restored, Position(1, 1))

    return measure_seconds(resynchronise) * 1e3


def plan_milliseconds(ranks: int, experts: int, layers: int) -> float:
    """Return the time to plan copies of hot experts, by skewed popularity."""
    first_map = make_first_map(0, ranks, experts, layers, -(-experts // ranks))
    popularity = [[1.0 / (1 + e) ** 1.3 for e in range(experts)]] * layers
    limits = choose_limits(-(-experts // ranks) + 3, 4, 0.1)
    return (
        measure_seconds(lambda: spread_experts(1, first_map, popularity, limits)) * 1e3
    )


def switch_kilobytes(ranks: int, experts: int, layers: int) -> float:
    """Return the size of the orders of one switch; each has the whole map.

    Each rank gets its prepare order twice: the second reply tells whether the
    weights are loaded.
    """
    first_map = make_first_map(0, ranks, experts, layers, -(-experts // ranks))
    encoded_map = json.dumps(first_map.layers, separators=(",", ":"))
    return 2 * ranks * len(encoded_map) / 1e3


def make_counts(experts: int, layers: int, times: int) -> list[list[int]]:
    """Return random cumulative expert counts that grow with ``times``."""
    rng = random.Random(times)
    return [
        [rng.randrange(900, 1100) * times for _ in range(experts)]
        for _ in range(layers)
    ]


def poll_reply_bytes(experts: int, layers: int) -> int:
    """Return the size of an agent's reply to a poll: a report and counts."""
    body = json.dumps({"counts": make_counts(experts, layers, 100)})
    report = json.dumps({"group": {"name": "g", "epoch": 1}, "step": 812, "map": 7})
    answers = (RankResponse(200, report), RankResponse(200, body))
    return len(encode_reply(AgentReply(1, answers)))


def poll_milliseconds(experts: int, layers: int, ranks: int) -> float:
    """Return the time to update the popularity from the counts of one poll."""
    watch = MapWatch(1, layers, experts, 0.12)
    rounds = iter(range(1, 10_000))

    def poll() -> None:
        times = next(rounds)
        counts = make_counts(experts, layers, times)
        for rank in range(ranks):
            watch.record_counts(rank, counts)
        watch.update_popularity(float(times))

    return measure_seconds(poll) * 1e3


def measure() -> tuple[Row, ...]:
    """Return all costs at both sizes."""
    return (
        Row(
            "choice of an endpoint",
            f"{choose_microseconds(12):.0f} us of 12",
            f"{choose_microseconds(205):.0f} us of 205",
        ),
        Row(
            "message to a peer",
            f"{entry_hello_bytes(7)} bytes with 7 entries",
            f"{entry_hello_bytes(340)} bytes with 340",
        ),
        Row(
            "decoding a table",
            f"{decode_milliseconds(115, 10):.1f} ms, 115 routes, 10 workspaces",
            f"{decode_milliseconds(500, 4700):.1f} ms, 500 routes, 4,700 workspaces",
        ),
        Row(
            "an announcement in the replica",
            f"{announcement_bytes(15):.0f} bytes of 15",
            f"{announcement_bytes(820):.0f} bytes of 820",
        ),
        Row(
            "a whole copy for a follower, table packed",
            f"{full_copy_kilobytes(15, 115, 10):.1f} KB, 15 endpoints, 115 routes",
            f"{full_copy_kilobytes(820, 500, 4700):.0f} KB, 820 endpoints, 500 routes",
        ),
        Row(
            "taking a restored store over",
            f"{restore_milliseconds(15):.2f} ms, 15 endpoints",
            f"{restore_milliseconds(820):.1f} ms, 820 endpoints",
        ),
        Row(
            "planning copies of hot experts",
            f"{plan_milliseconds(12, 96, 3):.1f} ms, 12 ranks, 96 experts, 3 layers",
            f"{plan_milliseconds(128, 256, 8):.1f} ms, 128 ranks, 256, 8 layers",
        ),
        Row(
            "reply of a rank's agent, with counts",
            f"{poll_reply_bytes(96, 3) / 1e3:.1f} KB, 96 experts, 3 layers",
            f"{poll_reply_bytes(256, 8) / 1e3:.1f} KB, 256 experts, 8 layers",
        ),
        Row(
            "taking the counts of a poll",
            f"{poll_milliseconds(96, 3, 12):.1f} ms of 12 ranks, 96, 3 layers",
            f"{poll_milliseconds(256, 8, 7):.1f} ms of 7 ranks, 256, 8 layers",
        ),
        Row(
            "orders of one switch of a map",
            f"{switch_kilobytes(12, 96, 3):.0f} KB, 12 ranks, 96 experts, 3 layers",
            f"{switch_kilobytes(128, 256, 8):.0f} KB, 128 ranks, 256, 8 layers",
        ),
    )


if __name__ == "__main__":
    for row in measure():
        print(" | ".join(row))
