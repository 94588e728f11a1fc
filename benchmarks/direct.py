"""Slopes of a direct entry: what grows with endpoints, entries and workspaces.

Run as ``python -m benchmarks.direct``; prints one row for each slope.
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
    """One slope at two sizes."""

    what: str
    small: str
    large: str


def measure_seconds(act: Callable[[], object]) -> float:
    """Return the mean time of a call."""
    began = time.process_time()
    for _ in range(_ROUNDS):
        act()
    return (time.process_time() - began) / _ROUNDS


def choose_microseconds(endpoints: int) -> float:
    """Return the time to choose one of some endpoints."""
    state = RoutingState("entry", "a")
    rng = random.Random(1)
    places = [
        Incarnation(f"e-{number}", "llm", "10.0.0.1:80", "a", 6, False, 0.0, 1)
        for number in range(endpoints)
    ]

    def choose() -> object:
        return choose_incarnation(state, places, frozenset(), 1.0, rng)

    return measure_seconds(choose) * 1e6


def hello_bytes(entries: int) -> int:
    """Return the size of one message to a peer."""
    members = Membership("e-0", "10.0.0.1:80", [])
    for number in range(entries):
        members.record_entry(
            KnownEntry(f"edge-dk-east-a-{number}", "10.10.10.10:8080", 1.0)
        )
    hello = pb.EntryHello(vm="edge-dk-east-a-0", address="10.10.10.10:8080")
    for entry in members.most_recent_entries(1.0):
        hello.entries.add(vm=entry.vm, address=entry.address, age=0.5)
    return hello.ByteSize()


def make_table(routes: int, workspaces: int) -> bytes:
    """Return a published configuration."""
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
    """Return the time to decode a table."""
    item = PublishedItem("op/config", 1, make_table(routes, workspaces))
    return measure_seconds(lambda: decode_items([item], 1.0)) * 1e3


def announcement_bytes(endpoints: int) -> float:
    """Return the memory that one endpoint takes in the replica."""
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
    """Return all that is published: announcements and a table."""
    items = [
        PublishedItem(f"servers/i-{number}", number + 1, b"%320d" % number)
        for number in range(endpoints)
    ]
    table = make_table(routes, workspaces)
    return [*items, PublishedItem("op/config", endpoints + 1, table)]


def whole_copy_kilobytes(endpoints: int, routes: int, workspaces: int) -> float:
    """Return the size of a whole copy, as a follower gets it."""
    *announced, table = make_items(endpoints, routes, workspaces)
    size = sum(len(item.key) + len(item.value or b"") for item in announced)
    return (size + len(zlib.compress(table.value or b""))) / 1e3


def restore_milliseconds(endpoints: int) -> float:
    """Return the time to find that the store was restored, and to follow."""
    items = make_items(endpoints, 1, 1)
    restored = [item._replace(revision=1) for item in items]

    def follow() -> None:
        replica = Replica("")
        replica.replace(items, Position(0, endpoints + 1))
        asked = replica.position
        assert replica.is_contradicted(restored, asked, asked.revision)
        replica.replace(restored, Position(1, 1))

    return measure_seconds(follow) * 1e3


def spread_milliseconds(ranks: int, experts: int, layers: int) -> float:
    """Return the time to plan a map with one expert that is hot."""
    first = make_first_map(0, ranks, experts, layers, -(-experts // ranks))
    popularity = [[1.0 / (1 + e) ** 1.3 for e in range(experts)]] * layers
    limits = choose_limits(-(-experts // ranks) + 3, 4, 0.1)
    return measure_seconds(lambda: spread_experts(1, first, popularity, limits)) * 1e3


def switch_kilobytes(ranks: int, experts: int, layers: int) -> float:
    """Return what the orders of one switch take: each rank gets the whole map.

    A rank is given its prepare twice, which tells when its weights are there.
    """
    first = make_first_map(0, ranks, experts, layers, -(-experts // ranks))
    text = json.dumps(first.layers, separators=(",", ":"))
    return 2 * ranks * len(text) / 1e3


def make_counts(experts: int, layers: int, times: int) -> list[list[int]]:
    """Return counts of experts as they stand after some time."""
    rng = random.Random(times)
    return [
        [rng.randrange(900, 1100) * times for _ in range(experts)]
        for _ in range(layers)
    ]


def look_bytes(experts: int, layers: int) -> int:
    """Return the size of an agent's reply with a report and counts."""
    body = json.dumps({"counts": make_counts(experts, layers, 100)})
    report = json.dumps({"group": {"name": "g", "epoch": 1}, "step": 812, "map": 7})
    answers = (RankResponse(200, report), RankResponse(200, body))
    return len(encode_reply(AgentReply(1, answers)))


def look_milliseconds(experts: int, layers: int, counted: int) -> float:
    """Return the time to take the counts of one poll into the popularity."""
    watch = MapWatch(1, layers, experts, 0.12)
    rounds = iter(range(1, 10_000))

    def poll() -> None:
        times = next(rounds)
        counts = make_counts(experts, layers, times)
        for rank in range(counted):
            watch.record_counts(rank, counts)
        watch.update_popularity(float(times))

    return measure_seconds(poll) * 1e3


def measure() -> tuple[Row, ...]:
    """Return all slopes."""
    return (
        Row(
            "choice of an endpoint",
            f"{choose_microseconds(12):.0f} us of 12",
            f"{choose_microseconds(205):.0f} us of 205",
        ),
        Row(
            "message to a peer",
            f"{hello_bytes(7)} bytes with 7 entries",
            f"{hello_bytes(340)} bytes with 340",
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
            f"{whole_copy_kilobytes(15, 115, 10):.1f} KB, 15 endpoints, 115 routes",
            f"{whole_copy_kilobytes(820, 500, 4700):.0f} KB, 820 endpoints, 500 routes",
        ),
        Row(
            "taking a restored store over",
            f"{restore_milliseconds(15):.2f} ms, 15 endpoints",
            f"{restore_milliseconds(820):.1f} ms, 820 endpoints",
        ),
        Row(
            "planning copies of hot experts",
            f"{spread_milliseconds(12, 96, 3):.1f} ms, 12 ranks, 96 experts, 3 layers",
            f"{spread_milliseconds(128, 256, 8):.1f} ms, 128 ranks, 256, 8 layers",
        ),
        Row(
            "reply of a rank's agent, with counts",
            f"{look_bytes(96, 3) / 1e3:.1f} KB, 96 experts, 3 layers",
            f"{look_bytes(256, 8) / 1e3:.1f} KB, 256 experts, 8 layers",
        ),
        Row(
            "taking the counts of a poll",
            f"{look_milliseconds(96, 3, 12):.1f} ms of 12 ranks, 96, 3 layers",
            f"{look_milliseconds(256, 8, 7):.1f} ms of 7 ranks, 256, 8 layers",
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
