"""Service quality while a data centre is marked out and in again.

Usage: python -m benchmarks.datacentre_move [--short]

Compares the product with other queue orders and with baseline routers.
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
    SETTLE_SECONDS,
    SMALL_WORKSPACES,
    TARGET_SECONDS,
    MoveSite,
    RequestRecord,
    Timing,
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

LONG_TIMING = Timing(20.0, 60.0, 100.0)
SHORT_TIMING = Timing(10.0, 26.0, 44.0)
LOADS = (0.6, 0.8)
WINDOW_SECONDS = 10.0
_SEED = 4


class Policy(NamedTuple):
    """A combination of routing and admission, as patches of the product."""

    name: str
    patches: tuple[tuple[Any, str, Callable[..., Any]], ...]


class Report(NamedTuple):
    """Metrics of one run; times in seconds."""

    policy: str
    load: float
    completed: int
    interrupted: int
    refused: int
    """Requests not served before their caller stopped retrying."""

    unanswered: int
    crashes: int
    """Engine crashes caused by overload."""

    over_limit: int
    p50: float
    p95: float
    p99: float
    small_p95_before: float
    """95th percentile of small workspaces' first token delay; before the
    data centre is marked out."""

    small_p95_during: float
    """The same while it is marked out."""

    worst_window_share: float
    """Lowest share of first tokens within target in any window of 10 s."""

    last_admission: float
    """Seconds from the mark out to the last admission in that data centre."""

    served: float
    """Answers during the move, relative to the remaining engines' capacity."""

    retry_peak_ratio: float
    """Peak retries per second relative to their mean."""

    warm_up_seconds: float
    """Seconds from the mark in until the returned engines bear their share."""

    gap_p95: float
    """95th percentile of each stream's longest gap, in s for ten tokens."""


def round_robin() -> Callable[..., str | None]:
    """Return a router that cycles through the usable endpoints."""
    next_index = [0]

    def choose(
        state: RoutingState,
        fleet: Fleet,
        marks: Marks,
        request: RouteRequest,
        now: float,
        rng: random.Random,
    ) -> str | None:
        names = _usable(state, fleet, marks, request, now)
        next_index[0] += 1
        return names[next_index[0] % len(names)] if names else None

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
    unblocked = [name for name in names if state.view(name).blocked_until <= now]
    return unblocked or names


def ignore_cold_limit(state: AdmissionState, rules: AdmissionRules, now: float) -> int:
    """Return the warm limit even for a cold engine."""
    return 0 if state.engine_boot is None else rules.limit


def by_arrival(state: AdmissionState) -> list[QueuedRequest]:
    """Return the queue in order of arrival."""
    return sorted(state.waiting.values(), key=lambda waiting: waiting.number)


def by_fair_tags() -> Callable[[AdmissionState], list[QueuedRequest]]:
    """Return an order by start-time fair queueing.

    Virtual time is the highest start tag of any started request.
    """
    finish_tags: dict[tuple[int, str], float] = {}
    start_tags: dict[tuple[int, str], float] = {}
    virtual_times: dict[int, float] = {}

    def order(state: AdmissionState) -> list[QueuedRequest]:
        engine = id(state)
        for request_id, running in state.running.items():
            start = start_tags.pop((engine, request_id), None)
            if start is not None:
                virtual_times[engine] = max(start, virtual_times.get(engine, 0.0))
                candidate = running.candidate
                finish_tags[engine, candidate.workspace] = start + 1.0 / candidate.share
        queued_ahead: Counter[str] = Counter()
        for request_id, waiting in state.waiting.items():
            name = waiting.candidate.workspace
            tag = finish_tags.get((engine, name), 0.0) + queued_ahead[name]
            queued_ahead[name] += 1
            start_tags[engine, request_id] = max(tag, virtual_times.get(engine, 0.0))
        return sorted(
            state.waiting.values(),
            key=lambda w: (start_tags[engine, w.candidate.request_id], w.number),
        )

    return order


def by_shortest_predicted() -> Callable[[AdmissionState], list[QueuedRequest]]:
    """Return a shortest-predicted-first order, after ISRTF of the ELIS paper.

    The prediction is a running mean for each workspace, updated as requests
    leave the engine; every read of the queue sorts it again.
    """
    means: dict[str, float] = {}
    running_requests: dict[str, tuple[str, float]] = {}

    def order(state: AdmissionState) -> list[QueuedRequest]:
        for request_id, running in state.running.items():
            running_requests[request_id] = (
                running.candidate.workspace,
                running.started_at,
            )
        for request_id in [
            name for name in running_requests if name not in state.running
        ]:
            workspace, _ = running_requests.pop(request_id)
            mean = means.get(workspace, state.mean_service_time)
            means[workspace] = mean + 0.1 * (state.mean_service_time - mean)
        return sorted(
            state.waiting.values(),
            key=lambda w: (means.get(w.candidate.workspace, 0.0), w.number),
        )

    return order


_NO_COLD_LIMIT = ((admission_queries, "current_limit", ignore_cold_limit),)


def make_policies() -> tuple[Policy, ...]:
    """Return the product, variants with other queue orders, and baselines."""
    return (
        Policy("mintsaddle", ()),
        Policy("queue: arrival", ((admission, "order_queue", by_arrival),)),
        Policy("queue: fair tags", ((admission, "order_queue", by_fair_tags()),)),
        Policy(
            "queue: shortest", ((admission, "order_queue", by_shortest_predicted()),)
        ),
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
    """Run one move under a policy and return its metrics."""
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
    """Return the metrics of a finished move."""
    timing = site.timing
    requests = [record for record in site.records if record.workspace != "orders"]
    completed = [record for record in requests if record.outcome is Outcome.DONE]
    first_token_delays = sorted(
        record.first_token_at - record.arrived_at
        for record in completed
        if record.first_token_at is not None
    )
    small = [record for record in completed if record.workspace in SMALL_WORKSPACES]
    before = [v for v in small if v.arrived_at < timing.leave_at]
    during = [v for v in small if timing.leave_at <= v.arrived_at < timing.return_at]
    refused = sum(record.outcome is Outcome.NOT_RUN for record in requests)
    interrupted = len(requests) - len(completed) - refused
    return Report(
        policy=name,
        load=load,
        completed=len(completed),
        interrupted=interrupted,
        refused=refused,
        unanswered=sum(record.outcome is None for record in site.records),
        crashes=sum(engine.crashes for engine in site.engines.values()),
        over_limit=sum(run.held > run.capacity for run in site.world.executions),
        p50=percentile(first_token_delays, 50),
        p95=percentile(first_token_delays, 95),
        p99=percentile(first_token_delays, 99),
        small_p95_before=percentile(_first_token_delays(before), 95),
        small_p95_during=percentile(_first_token_delays(during), 95),
        worst_window_share=_worst_window_share(requests, timing),
        last_admission=_last_admission(site),
        served=_served_share(site),
        retry_peak_ratio=_retry_peak_ratio(site),
        warm_up_seconds=_warm_up_seconds(site),
        gap_p95=percentile(sorted(record.longest_gap for record in completed), 95),
    )


def percentile(ordered: list[float], at: float) -> float:
    """Return a percentile of an ordered list; 0 for an empty one."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * at / 100))]


def _first_token_delays(records: list[RequestRecord]) -> list[float]:
    return sorted(
        v.first_token_at - v.arrived_at for v in records if v.first_token_at is not None
    )


def _worst_window_share(requests: list[RequestRecord], timing: Timing) -> float:
    """Return the lowest share of a window's arrivals served within target."""
    shares = []
    start = 0.0
    while start + WINDOW_SECONDS <= timing.end_at:
        arrivals = [
            v for v in requests if start <= v.arrived_at < start + WINDOW_SECONDS
        ]
        in_target = [
            v
            for v in arrivals
            if v.first_token_at is not None
            and v.first_token_at - v.arrived_at <= TARGET_SECONDS
        ]
        shares.append(len(in_target) / max(1, len(arrivals)))
        start += WINDOW_SECONDS
    return min(shares)


def _last_admission(site: MoveSite) -> float:
    leave_at = site.timing.leave_at
    return_at = site.timing.return_at
    times = [
        run.at - START - SETTLE_SECONDS - leave_at
        for run in site.world.executions
        if run.endpoint.startswith("c-")
        and leave_at <= run.at - START - SETTLE_SECONDS < return_at
    ]
    return max(times, default=0.0)


def _served_share(site: MoveSite) -> float:
    """Return answers relative to the offered load or remaining capacity.

    The lesser of the two is the base. Counting starts 4 s after the mark,
    once the move has settled.
    """
    begin = site.timing.leave_at + 4.0
    end = site.timing.return_at
    completed = sum(
        record.outcome is Outcome.DONE and begin <= record.ended_at < end
        for record in site.records
        if record.workspace != "orders"
    )
    bearable = min(site.arrival_rate, capacity() * 2 / 3) * (end - begin)
    return completed / bearable


def _retry_peak_ratio(site: MoveSite) -> float:
    """Return peak over mean of retries a second while marked out."""
    seconds = [
        int(at)
        for at in site.retry_times
        if site.timing.leave_at <= at < site.timing.return_at
    ]
    if not seconds:
        return 0.0
    span = site.timing.return_at - site.timing.leave_at
    most = max(seconds.count(second) for second in set(seconds))
    return most / (len(seconds) / span)


def _warm_up_seconds(site: MoveSite) -> float:
    """Return when the slowest returned engine bears 0.9 of its share."""
    share = min(LIMIT, site.arrival_rate / capacity() * LIMIT) * 0.9
    warm: dict[str, float] = {}
    for at, name, _, bears in site.limit_samples:
        if (
            name.startswith("c-letters")
            and at >= site.timing.return_at
            and bears >= share
        ):
            warm.setdefault(name, at - site.timing.return_at)
    return max(warm.values(), default=0.0) if len(warm) == 4 else float("inf")


def best_warm_up(load: float) -> float:
    """Return the warm-up seconds of an engine kept at its limit throughout."""
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


def format_row(report: Report) -> str:
    """Format a report as one line of the table."""
    return (
        f"{report.policy:27}{report.load:5.0%}{report.completed:7}{report.interrupted:5}"
        f"{report.refused:6}{report.crashes:6}{report.over_limit:6}"
        f"{report.p50:7.2f}{report.p95:6.2f}{report.p99:6.2f}"
        f"{report.small_p95_before:7.2f}{report.small_p95_during:6.2f}"
        f"{report.worst_window_share:8.1%}{report.last_admission:7.2f}"
        f"{report.served:8.1%}{report.retry_peak_ratio:6.1f}{report.warm_up_seconds:7.1f}"
        f"{report.gap_p95:6.2f}"
    )


HEADING = (
    f"{'policy':27}{'load':>5}{'whole':>7}{'cut':>5}{'ref.':>6}{'falls':>6}"
    f"{'over':>6}{'p50':>7}{'p95':>6}{'p99':>6}{'small':>7}{'move':>6}"
    f"{'window':>8}{'last':>7}{'served':>8}{'wave':>6}{'warm':>7}{'gap':>6}"
)


def main() -> None:
    """Print a line for each load and policy."""
    timing = SHORT_TIMING if "--short" in sys.argv else LONG_TIMING
    print(HEADING)
    for load in LOADS:
        for policy in make_policies():
            started = time.perf_counter()
            print(format_row(run_move(policy, load, timing)), end="")
            print(f"  ({time.perf_counter() - started:.0f} s)", flush=True)
        print(f"an engine that is always full warms up in {best_warm_up(load):.1f} s")


if __name__ == "__main__":
    main()
