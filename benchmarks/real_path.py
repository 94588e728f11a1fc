"""Cost of routing through entry and endpoint, against engines alone.

Usage: python -m benchmarks.real_path [STREAMS ...]

Each stream yields 100 tokens a second. One run measures both paths under the
same load, generated in a separate process; all traffic is on loopback.
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

TOKEN_INTERVAL_SECONDS = 0.01
TOKENS_PER_CALL = 300
CALLS_PER_STREAM = 2

SERVICES = """
[service letters]
endpoints = a-letters1 a-letters2
cold limit = 400
limit = 400
longest = 60

[workspace load]
services = letters
"""

VM_PLANS = (
    VmPlan("a-entry", "a", "entry"),
    VmPlan("a-letters1", "a", "endpoint"),
    VmPlan("a-letters2", "a", "endpoint"),
)
_HEADERS = {"Workspace": "load"}


class LoadPath(NamedTuple):
    """A path to the engines: their own addresses or an entry's."""

    name: str
    addresses: tuple[str, ...]
    path: str


class LoadResult(NamedTuple):
    """Results of one load; times in seconds."""

    tokens: int
    seconds: float
    first_p50: float
    first_p95: float
    gap_p50: float
    gap_p95: float
    gap_p99: float
    incomplete: int


class DaemonUsage(NamedTuple):
    """Memory of a daemon, and CPU time and control bytes since its start."""

    cpu_seconds: float
    memory_mb: float
    control: float
    """Bytes of control traffic."""


def run_load(load_path: LoadPath, streams: int) -> LoadResult:
    """Generate load in a separate process and return its results."""
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return LoadResult(*pool.apply(_generate_load, (load_path, streams)))


def _generate_load(load_path: LoadPath, streams: int) -> tuple[Any, ...]:
    first_delays: list[float] = []
    gaps: list[float] = []
    incomplete: list[int] = []
    threads = [
        threading.Thread(
            target=_run_stream, args=(load_path, number, first_delays, gaps, incomplete)
        )
        for number in range(streams)
    ]
    started = time.perf_counter()
    for thread in threads:
        thread.start()
        time.sleep(TOKEN_INTERVAL_SECONDS / streams)
    for thread in threads:
        thread.join()
    seconds = time.perf_counter() - started
    first_delays.sort()
    gaps.sort()
    return (
        len(first_delays) + len(gaps),
        seconds,
        _percentile(first_delays, 50),
        _percentile(first_delays, 95),
        _percentile(gaps, 50),
        _percentile(gaps, 95),
        _percentile(gaps, 99),
        len(incomplete),
    )


def _run_stream(
    load_path: LoadPath,
    number: int,
    first_delays: list[float],
    gaps: list[float],
    incomplete: list[int],
) -> None:
    address = load_path.addresses[number % len(load_path.addresses)]
    body = json.dumps({"tokens": TOKENS_PER_CALL, "pace": TOKEN_INTERVAL_SECONDS})
    for _ in range(CALLS_PER_STREAM):
        last = time.perf_counter()
        connection = http.client.HTTPConnection(address, timeout=60)
        connection.request("POST", load_path.path, body, _HEADERS)
        response = connection.getresponse()
        received = 0
        for line in response:
            if line.startswith(b"data: w-"):
                now = time.perf_counter()
                (gaps if received else first_delays).append(now - last)
                last = now
                received += 1
        connection.close()
        if received != TOKENS_PER_CALL:
            incomplete.append(received)


def _percentile(ordered: list[float], percent: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def read_usage(address: str) -> DaemonUsage:
    """Read a daemon's resource usage from its status."""
    rows = {row[0]: row[1] for row in show_status(address).unwrap().tables[0].rows}
    return DaemonUsage(
        float(rows["cpu seconds"]),
        float(rows["memory MB"]),
        float(rows["control bytes"]),
    )


def measure(site: Site, streams: int) -> None:
    """Measure both paths under the same load and print the results."""
    engines = LoadPath("engine", tuple(site.engines.values()), "/draft")
    entry = LoadPath("mintsaddle", (site.http["a-entry"],), "/letters/draft")
    direct = run_load(engines, streams)
    names = ("a-entry", "a-letters1")
    before = {name: read_usage(site.addresses[name]) for name in names}
    routed = run_load(entry, streams)
    after = {name: read_usage(site.addresses[name]) for name in names}
    for label, item in (("engine", direct), ("mintsaddle", routed)):
        print(
            f"{streams:8}{label:>12}{item.tokens / item.seconds:9.0f}"
            f"{item.first_p50 * 1e3:9.1f}{item.first_p95 * 1e3:8.1f}"
            f"{item.gap_p50 * 1e3:8.1f}{item.gap_p95 * 1e3:8.1f}"
            f"{item.gap_p99 * 1e3:8.1f}"
            f"{item.incomplete:5}",
            flush=True,
        )
    for name in names:
        cpu = after[name].cpu_seconds - before[name].cpu_seconds
        share = routed.tokens if name == "a-entry" else routed.tokens / 2
        calls = streams * CALLS_PER_STREAM * share / routed.tokens
        print(
            f"  {name}: {cpu / routed.seconds:.0%} of a core,"
            f" {cpu / share * 1e6:.0f} us a token"
            f" ({share / cpu:.0f} tokens/s on one core),"
            f" {cpu / calls * 1e3:.1f} ms a call,"
            f" {after[name].memory_mb:.0f} MB,"
            f" {(after[name].control - before[name].control) / routed.seconds:.0f}"
            " control bytes/s",
            flush=True,
        )


def main() -> None:
    """Print the results for each number of streams."""
    loads = [int(text) for text in sys.argv[1:]] or [8, 32, 65]
    site = Site(VM_PLANS, SERVICES)
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
