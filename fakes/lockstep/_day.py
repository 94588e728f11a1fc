"""A load scenario: arrivals, outages and the results that callers get."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fakes.lockstep._callers import CallerModel, CallerRequest
from fakes.lockstep._entry import Entry, Policy
from fakes.lockstep._group import EngineModel, RankGroup
from fakes.model._world import START, World

ENTRIES = 7
_MAX_REPORT_DELAY = 0.15
"""Longest time in seconds until an entry learns that the group is open."""


class Outage(NamedTuple):
    """The loss of a rank, in seconds from the start of the scenario."""

    at: float
    until: float


class RefusingEngines(NamedTuple):
    """Engines that refuse all requests; times as for an outage."""

    at: float
    until: float
    ranks: Sequence[int]
    wait: float
    """Seconds for which they ask each entry to wait."""


class Scenario(NamedTuple):
    """The load, outages and expert-map changes of one run."""

    duration: float = 40.0
    """Seconds during which requests arrive."""

    outages: Sequence[Outage] = ()
    refusing: Sequence[RefusingEngines] = ()
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    """Start and end in seconds, and the factor applied to the arrival rate."""

    callers: CallerModel = CallerModel()
    engines: EngineModel = EngineModel()
    current_map_skew: float = 1.5
    """Load of the slowest rank over the mean with an up-to-date map."""

    stale_map_skew: float = 3.3
    """Load of the slowest rank over the mean with an outdated map."""

    popularity_interval: float = 3.5
    """Seconds between two changes of expert popularity."""

    map_delay: float = 1.3
    """Seconds until the map follows a change; twice that after an outage."""


class ScenarioResult(NamedTuple):
    """The requests and pass durations of one run."""

    requests: list[CallerRequest]
    pass_seconds: list[float]

    @property
    def score(self) -> float:
        """Mean score of all requests."""
        return sum(request.score for request in self.requests) / len(self.requests)

    @property
    def served(self) -> float:
        """Share of requests that got a complete answer."""
        return sum(request.is_served for request in self.requests) / len(self.requests)

    def score_between(self, begin: float, end: float) -> float:
        """Return the mean score of requests that arrive in a time range."""
        arrived = [r for r in self.requests if begin <= r.arrived_at - START < end]
        return sum(request.score for request in arrived) / max(1, len(arrived))


def run_scenario(scenario: Scenario, policy: Policy, seed: int) -> ScenarioResult:
    """Run a scenario and return the results of its callers."""
    world = World(seed)
    # Arrivals use a separate generator, so that every policy gets the same
    # requests.
    rng = random.Random(seed)
    group = RankGroup(world, scenario.engines, _make_skew(scenario))
    entries = [
        Entry(world, f"e{number}", group, scenario.engines.ranks, policy)
        for number in range(ENTRIES)
    ]
    for outage in scenario.outages:
        _schedule_outage(world, group, entries, outage)
    for refusing in scenario.refusing:
        _schedule_refusals(world, group, refusing)
    requests: list[CallerRequest] = []
    _schedule_arrivals(world, scenario, entries, requests, rng)
    world.run_until(START + scenario.duration + 2 * scenario.callers.deadline)
    return ScenarioResult(requests, group.pass_seconds)


def _make_skew(scenario: Scenario) -> Callable[[float], float]:
    def skew(now: float) -> float:
        at = now - START
        ended = [outage.until for outage in scenario.outages if at >= outage.until]
        is_recovering = bool(ended) and at - ended[-1] < 2 * scenario.map_delay
        is_stale = at % scenario.popularity_interval < scenario.map_delay
        return (
            scenario.stale_map_skew
            if is_stale or is_recovering
            else scenario.current_map_skew
        )

    return skew


def _schedule_outage(
    world: World, group: RankGroup, entries: Sequence[Entry], outage: Outage
) -> None:
    def notify_entries() -> None:
        for entry in entries:
            delay = _MAX_REPORT_DELAY * world.rng.random()
            world.after(delay, entry.record_open)

    world.after(outage.at, group.lose_rank)
    world.after(outage.until, lambda: group.restore_rank(notify_entries))


def _schedule_refusals(
    world: World, group: RankGroup, refusing: RefusingEngines
) -> None:
    world.after(
        refusing.at, lambda: group.begin_refusing(refusing.ranks, refusing.wait)
    )
    world.after(refusing.until, group.end_refusing)


def _schedule_arrivals(
    world: World,
    scenario: Scenario,
    entries: Sequence[Entry],
    requests: list[CallerRequest],
    rng: random.Random,
) -> None:
    begin, end, factor = scenario.burst

    def arrive() -> None:
        request = CallerRequest(world, scenario.callers, rng)
        requests.append(request)
        _start_attempt(world, request, entries)
        schedule_next()

    def schedule_next() -> None:
        at = world.now - START
        rate = scenario.callers.rate * (factor if begin <= at < end else 1.0)
        delay = rng.expovariate(rate)
        if at + delay < scenario.duration:
            world.after(delay, arrive)

    schedule_next()


def _start_attempt(
    world: World, request: CallerRequest, entries: Sequence[Entry]
) -> None:
    """Send a request to a random entry unless its retries or time are spent.

    The entry schedules the next attempt when it refuses the request or the
    caller abandons the attempt.
    """
    if request.is_finished:
        return
    if request.attempts > request.model.retries or world.now >= request.deadline:
        request.is_finished = True
        return

    def retry_after(seconds: float) -> None:
        world.after(seconds, lambda: _start_attempt(world, request, entries))

    world.rng.choice(entries).serve(request, retry_after)
