"""Service while a data centre leaves and returns, against baselines.

Usage: python -m benchmarks.datacentre_move [--short]
"""

import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, NamedTuple
from unittest.mock import patch

from benchmarks.move_site import (
    LIMIT,
    SETTLED,
    SMALL,
    TARGET,
    MoveSite,
    Timing,
    Visit,
    capacity,
)
from fakes.model._world import START
from mintsaddle.decisions.admission import AdmissionRules, AdmissionState, QueuedRequest
from mintsaddle.decisions.admission import _commands as admission
from mintsaddle.decisions.admission import _queries as admission_queries
from mintsaddle.decisions.calls import _attempts as calls
from mintsaddle.decisions.routing import RouteRequest, RoutingState
from mintsaddle.decisions.routing import _queries as routing_queries
from mintsaddle.fleet import Fleet, Marks
from mintsaddle.values import Outcome

LONG = Timing(20.0, 60.0, 100.0)
SHORT = Timing(10.0, 26.0, 44.0)
LOADS = (0.6, 0.8)
WINDOW = 10.0
_SEED = 4


class Policy(NamedTuple):
    """A way to route and admit."""

    name: str
    patches: tuple[tuple[Any, str, Callable[..., Any]], ...]


class Report(NamedTuple):
    """The measures of one run."""

    policy: str
    load: float
    whole: int
    cut: int
    refused: int
    """Requests never served while their caller still came back."""

    lost: int
    falls: int
    """Engines that fell over under more than they bear."""

    over_limit: int
    p50: float
    p95: float
    p99: float
    small_before: float
    """95th percentile of small workspaces' first token before the move."""

    small_during: float
    worst_window: float
    """Least share of first tokens within target in any window of 10 s."""

    last_admission: float
    """Seconds from the mark to the last new admission there."""

    served: float
    """Answers of the move against what the remaining engines can bear."""

    wave: float
    """Most returning callers in a second against the mean."""

    warm_after: float
    """Seconds from the mark in until the returned engines bear their share."""

    gap: float
    """95th percentile of each stream's longest pause, in s for ten tokens."""


def round_robin() -> Callable[..., str | None]:
    """Return a router that takes turns."""
    turns = [0]

    def choose(
        state: RoutingState,
        fleet: Fleet,
        marks: Marks,
        request: RouteRequest,
        now: float,
        rng: random.Random,
    ) -> str | None:
        names = _usable(state, fleet, marks, request, now)
        turns[0] += 1
        return names[turns[0] % len(names)] if names else None

    return choose


def least_in_flight(
    state: RoutingState,
    fleet: Fleet,
    marks: Marks,
    request: RouteRequest,
    now: float,
    rng: random.Random,
) -> str | None:
    """Return the endpoint with the fewest of this entry's own requests."""
    names = _usable(state, fleet, marks, request, now)
    rng.shuffle(names)
    return min(names, key=lambda name: state.view(name).own_in_flight, default=None)


def _usable(
    state: RoutingState, fleet: Fleet, marks: Marks, request: RouteRequest, now: float
) -> list[str]:
    names = [
        name
        for name in request.service.endpoints
        if name not in request.tried and not marks.is_out(fleet, name)
    ]
    rested = [name for name in names if state.view(name).blocked_until <= now]
    return rested or names


def warm_limit(state: AdmissionState, rules: AdmissionRules, now: float) -> int:
    """Return the warm limit, cold engine or not."""
    return 0 if state.engine_boot is None else rules.limit


def by_arrival(state: AdmissionState) -> list[QueuedRequest]:
    """Return the queue by arrival."""
    return sorted(state.waiting.values(), key=lambda waiting: waiting.number)


def by_fair_tags() -> Callable[[AdmissionState], list[QueuedRequest]]:
    """Return start-time fair queueing: virtual tags of started requests."""
    tags: dict[tuple[int, str], float] = {}
    starts: dict[tuple[int, str], float] = {}
    virtual: dict[int, float] = {}

    def order(state: AdmissionState) -> list[QueuedRequest]:
        engine = id(state)
        for request_id, running in state.running.items():
            start = starts.pop((engine, request_id), None)
            if start is not None:
                virtual[engine] = max(start, virtual.get(engine, 0.0))
                candidate = running.candidate
                tags[engine, candidate.workspace] = start + 1.0 / candidate.share
        ahead: Counter[str] = Counter()
        for request_id, waiting in state.waiting.items():
            name = waiting.candidate.workspace
            tag = tags.get((engine, name), 0.0) + ahead[name]
            ahead[name] += 1
            starts[engine, request_id] = max(tag, virtual.get(engine, 0.0))
        return sorted(
            state.waiting.values(),
            key=lambda w: (starts[engine, w.candidate.request_id], w.number),
        )

    return order


def by_shortest() -> Callable[[AdmissionState], list[QueuedRequest]]:
    """Return predicted-shortest-first, after the ELIS paper's ISRTF.

    Predicted by a running mean for each workspace, read off what the engine
    holds; the queue is ordered again whenever it is looked at.
    """
    means: dict[str, float] = {}
    seen: dict[str, tuple[str, float]] = {}

    def order(state: AdmissionState) -> list[QueuedRequest]:
        for request_id, running in state.running.items():
            seen[request_id] = (running.candidate.workspace, running.started_at)
        for request_id in [name for name in seen if name not in state.running]:
            workspace, _ = seen.pop(request_id)
            mean = means.get(workspace, state.mean_service_time)
            means[workspace] = mean + 0.1 * (state.mean_service_time - mean)
        return sorted(
            state.waiting.values(),
            key=lambda w: (means.get(w.candidate.workspace, 0.0), w.number),
        )

    return order


_NO_COLD_LIMIT = ((admission_queries, "current_limit", warm_limit),)


def make_policies() -> tuple[Policy, ...]:
    """Return the product, its other queue orders, and the baselines."""
    return (
        Policy("mintsaddle", ()),
        Policy("queue: arrival", ((admission, "order_queue", by_arrival),)),
        Policy("queue: fair tags", ((admission, "order_queue", by_fair_tags()),)),
        Policy("queue: shortest", ((admission, "order_queue", by_shortest()),)),
        Policy("two choices, no cold limit", _NO_COLD_LIMIT),
        Policy(
            "round robin",
            ((calls, "choose_endpoint", round_robin()), *_NO_COLD_LIMIT),
        ),
        Policy(
            "least in flight",
            ((calls, "choose_endpoint", least_in_flight), *_NO_COLD_LIMIT),
        ),
    )


def run_move(policy: Policy, load: float, timing: Timing, seed: int = _SEED) -> Report:
    """Run one move and measure it."""
    with _patched(policy):
        site = MoveSite(load, timing, seed)
        site.run()
    return measure(policy.name, load, site)


@contextmanager
def _patched(policy: Policy) -> Iterator[None]:
    routing_queries._rank_subset.cache_clear()
    with ExitStack() as stack:
        for module, name, replacement in policy.patches:
            stack.enter_context(patch.object(module, name, replacement))
        yield


def measure(name: str, load: float, site: MoveSite) -> Report:
    """Return the measures of a finished move."""
    timing = site.timing
    letters = [visit for visit in site.visits if visit.workspace != "orders"]
    done = [visit for visit in letters if visit.outcome is Outcome.DONE]
    first = sorted(
        visit.first - visit.came for visit in done if visit.first is not None
    )
    small = [visit for visit in done if visit.workspace in SMALL]
    before = [v for v in small if v.came < timing.out]
    during = [v for v in small if timing.out <= v.came < timing.back]
    refused = sum(visit.outcome is Outcome.NOT_RUN for visit in letters)
    cut = len(letters) - len(done) - refused
    return Report(
        policy=name,
        load=load,
        whole=len(done),
        cut=cut,
        refused=refused,
        lost=sum(visit.outcome is None for visit in site.visits),
        falls=sum(engine.falls for engine in site.engines.values()),
        over_limit=sum(run.held > run.capacity for run in site.world.executions),
        p50=percentile(first, 50),
        p95=percentile(first, 95),
        p99=percentile(first, 99),
        small_before=percentile(_waits(before), 95),
        small_during=percentile(_waits(during), 95),
        worst_window=_worst_window(letters, timing),
        last_admission=_last_admission(site),
        served=_served(site),
        wave=_wave(site),
        warm_after=_warm_after(site),
        gap=percentile(sorted(visit.longest_gap for visit in done), 95),
    )


def percentile(ordered: list[float], at: float) -> float:
    """Return a percentile of an ordered list; 0 for an empty one."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * at / 100))]


def _waits(visits: list[Visit]) -> list[float]:
    return sorted(v.first - v.came for v in visits if v.first is not None)


def _worst_window(letters: list[Visit], timing: Timing) -> float:
    """Return the least share within target, of all that came in a window."""
    shares = []
    start = 0.0
    while start + WINDOW <= timing.end:
        came = [v for v in letters if start <= v.came < start + WINDOW]
        good = [v for v in came if v.first is not None and v.first - v.came <= TARGET]
        shares.append(len(good) / max(1, len(came)))
        start += WINDOW
    return min(shares)


def _last_admission(site: MoveSite) -> float:
    out = site.timing.out
    back = site.timing.back
    times = [
        run.at - START - SETTLED - out
        for run in site.world.executions
        if run.endpoint.startswith("c-") and out <= run.at - START - SETTLED < back
    ]
    return max(times, default=0.0)


def _served(site: MoveSite) -> float:
    """Return the share of the offered or the bearable that was served.

    Counted once the move has settled, ten seconds after the mark.
    """
    begin = site.timing.out + 4.0
    end = site.timing.back
    done = sum(
        visit.outcome is Outcome.DONE and begin <= visit.over < end
        for visit in site.visits
        if visit.workspace != "orders"
    )
    bearable = min(site.rate, capacity() * 2 / 3) * (end - begin)
    return done / bearable


def _wave(site: MoveSite) -> float:
    """Return peak over mean of returning callers a second, while out."""
    seconds = [
        int(at) for at in site.returns if site.timing.out <= at < site.timing.back
    ]
    if not seconds:
        return 0.0
    span = site.timing.back - site.timing.out
    most = max(seconds.count(second) for second in set(seconds))
    return most / (len(seconds) / span)


def _warm_after(site: MoveSite) -> float:
    """Return when the slowest returned engine bears most of its share."""
    share = min(LIMIT, site.rate / capacity() * LIMIT) * 0.9
    warm: dict[str, float] = {}
    for at, name, _, bears in site.limits:
        if name.startswith("c-letters") and at >= site.timing.back and bears >= share:
            warm.setdefault(name, at - site.timing.back)
    return max(warm.values(), default=0.0) if len(warm) == 4 else float("inf")


def best_warm_up(load: float) -> float:
    """Return how long an engine needs that always holds all that it bears."""
    share = min(LIMIT, load * LIMIT) * 0.9
    held: list[float] = []
    now = 0.0
    served = 0
    while 2 + served < share:
        while len(held) < 2 + served:
            pace = 0.28 + 0.003 * len(held)
            held.append(now + 0.08 + 0.005 * len(held) + 6 * pace)
        held.sort()
        now = held.pop(0)
        served += 1
    return now


def show(report: Report) -> str:
    """Return one line of the table."""
    return (
        f"{report.policy:27}{report.load:5.0%}{report.whole:7}{report.cut:5}"
        f"{report.refused:6}{report.falls:6}{report.over_limit:6}"
        f"{report.p50:7.2f}{report.p95:6.2f}{report.p99:6.2f}"
        f"{report.small_before:7.2f}{report.small_during:6.2f}"
        f"{report.worst_window:8.1%}{report.last_admission:7.2f}"
        f"{report.served:8.1%}{report.wave:6.1f}{report.warm_after:7.1f}"
        f"{report.gap:6.2f}"
    )


HEADING = (
    f"{'policy':27}{'load':>5}{'whole':>7}{'cut':>5}{'ref.':>6}{'falls':>6}"
    f"{'over':>6}{'p50':>7}{'p95':>6}{'p99':>6}{'small':>7}{'move':>6}"
    f"{'window':>8}{'last':>7}{'served':>8}{'wave':>6}{'warm':>7}{'gap':>6}"
)


def main() -> None:
    """Print the table."""
    timing = SHORT if "--short" in sys.argv else LONG
    print(HEADING)
    for load in LOADS:
        for policy in make_policies():
            started = time.perf_counter()
            print(show(run_move(policy, load, timing)), end="")
            print(f"  ({time.perf_counter() - started:.0f} s)", flush=True)
        print(f"an engine that is always full warms up in {best_warm_up(load):.1f} s")


if __name__ == "__main__":
    main()
