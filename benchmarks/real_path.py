"""What the two daemons cost on the real path, against the engine alone.

Usage: python -m benchmarks.real_path [STREAMS ...]

Each stream brings 100 tokens a second. Both ways are measured in one run by
the same load, in a process of its own; everything is on loopback.
"""

import http.client
import json
import multiprocessing
import sys
import threading
import time
from typing import Any, NamedTuple

from fakes.site import Site, VmPlan
from mintsaddle.cli import show_status

PACE = 0.01
TOKENS = 300
CALLS_EACH = 2

SERVICES = """
[service letters]
endpoints = a-letters1 a-letters2
cold limit = 400
limit = 400
longest = 60

[workspace load]
services = letters
"""

PLANS = (
    VmPlan("a-entry", "a", "entry"),
    VmPlan("a-letters1", "a", "endpoint"),
    VmPlan("a-letters2", "a", "endpoint"),
)
_HEADERS = {"Workspace": "load"}


class Way(NamedTuple):
    """One way to the engines."""

    name: str
    addresses: tuple[str, ...]
    path: str


class Figures(NamedTuple):
    """What a load measured; seconds."""

    tokens: int
    seconds: float
    first50: float
    first95: float
    gap50: float
    gap95: float
    gap99: float
    cut: int


class Cost(NamedTuple):
    """What one daemon spent."""

    cpu: float
    memory: float
    control: float


def run_load(way: Way, streams: int) -> Figures:
    """Run a load in a process of its own."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return Figures(*pool.apply(_load, (way, streams)))


def _load(way: Way, streams: int) -> tuple[Any, ...]:
    firsts: list[float] = []
    gaps: list[float] = []
    cut: list[int] = []
    threads = [
        threading.Thread(target=_stream, args=(way, number, firsts, gaps, cut))
        for number in range(streams)
    ]
    started = time.perf_counter()
    for thread in threads:
        thread.start()
        time.sleep(PACE / streams)
    for thread in threads:
        thread.join()
    seconds = time.perf_counter() - started
    firsts.sort()
    gaps.sort()
    return (
        len(firsts) + len(gaps),
        seconds,
        _at(firsts, 50),
        _at(firsts, 95),
        _at(gaps, 50),
        _at(gaps, 95),
        _at(gaps, 99),
        len(cut),
    )


def _stream(
    way: Way, number: int, firsts: list[float], gaps: list[float], cut: list[int]
) -> None:
    address = way.addresses[number % len(way.addresses)]
    body = json.dumps({"tokens": TOKENS, "pace": PACE})
    for _ in range(CALLS_EACH):
        last = time.perf_counter()
        connection = http.client.HTTPConnection(address, timeout=60)
        connection.request("POST", way.path, body, _HEADERS)
        response = connection.getresponse()
        got = 0
        for line in response:
            if line.startswith(b"data: w-"):
                now = time.perf_counter()
                (gaps if got else firsts).append(now - last)
                last = now
                got += 1
        connection.close()
        if got != TOKENS:
            cut.append(got)


def _at(ordered: list[float], percent: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def read_cost(address: str) -> Cost:
    """Return what a daemon has spent so far."""
    rows = {row[0]: row[1] for row in show_status(address).unwrap().tables[0].rows}
    return Cost(
        float(rows["cpu seconds"]),
        float(rows["memory MB"]),
        float(rows["control bytes"]),
    )


def measure(site: Site, streams: int) -> None:
    """Measure both ways under one load and print them."""
    engines = Way("engine", tuple(site.engines.values()), "/draft")
    entry = Way("mintsaddle", (site.http["a-entry"],), "/letters/draft")
    direct = run_load(engines, streams)
    names = ("a-entry", "a-letters1")
    before = {name: read_cost(site.addresses[name]) for name in names}
    routed = run_load(entry, streams)
    after = {name: read_cost(site.addresses[name]) for name in names}
    for way, item in (("engine", direct), ("mintsaddle", routed)):
        print(
            f"{streams:8}{way:>12}{item.tokens / item.seconds:9.0f}"
            f"{item.first50 * 1e3:9.1f}{item.first95 * 1e3:8.1f}"
            f"{item.gap50 * 1e3:8.1f}{item.gap95 * 1e3:8.1f}{item.gap99 * 1e3:8.1f}"
            f"{item.cut:5}",
            flush=True,
        )
    for name in names:
        cpu = after[name].cpu - before[name].cpu
        share = routed.tokens if name == "a-entry" else routed.tokens / 2
        calls = streams * CALLS_EACH * share / routed.tokens
        print(
            f"  {name}: {cpu / routed.seconds:.0%} of a core,"
            f" {cpu / share * 1e6:.0f} us a token"
            f" ({share / cpu:.0f} tokens/s on one core),"
            f" {cpu / calls * 1e3:.1f} ms a call,"
            f" {after[name].memory:.0f} MB,"
            f" {(after[name].control - before[name].control) / routed.seconds:.0f}"
            " control bytes/s",
            flush=True,
        )


def main() -> None:
    """Print the table."""
    loads = [int(text) for text in sys.argv[1:]] or [8, 32, 65]
    site = Site(PLANS, SERVICES)
    try:
        site.start()
        site.publish("fleet", 1, site.fleet_text())
        site.wait_until_serving()
        print(
            f"{'streams':>8}{'way':>12}{'tokens/s':>9}{'first50':>9}{'95':>8}"
            f"{'gap50':>8}{'95':>8}{'99':>8}{'cut':>5}   (ms)"
        )
        for streams in loads:
            measure(site, streams)
    finally:
        site.stop()


if __name__ == "__main__":
    main()
