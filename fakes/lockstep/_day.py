"""A day of load: arrivals, outages, what the callers got."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fakes.lockstep._callers import CallerModel, Visit
from fakes.lockstep._entry import Entry, Policy
from fakes.lockstep._group import EngineModel, RankGroup
from fakes.model._world import START, World

ENTRIES = 7
_OPEN_LOOK = 0.15


class Outage(NamedTuple):
    """A rank that is lost for a while."""

    at: float
    until: float


class Day(NamedTuple):
    """What happens."""

    length: float = 40.0
    outages: Sequence[Outage] = ()
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    """From, until, and times the usual rate."""

    callers: CallerModel = CallerModel()
    engines: EngineModel = EngineModel()
    good_skew: float = 1.5
    """Slowest rank over the mean with a map that fits."""

    bad_skew: float = 3.3
    """The same for as long as the map is behind."""

    shift_gap: float = 3.5
    """Seconds between two changes of popularity."""

    map_delay: float = 1.3
    """Seconds until a map follows; after an outage twice that."""


class DayResult(NamedTuple):
    """What the callers of a day got."""

    visits: list[Visit]
    pass_seconds: list[float]

    @property
    def worth(self) -> float:
        """Mean worth of all requests."""
        return sum(visit.worth for visit in self.visits) / len(self.visits)

    @property
    def served(self) -> float:
        """Share of requests that got a whole answer."""
        return sum(visit.is_served for visit in self.visits) / len(self.visits)

    def worth_between(self, begin: float, end: float) -> float:
        """Return the mean worth of those that came within some seconds."""
        came = [v for v in self.visits if begin <= v.came - START < end]
        return sum(visit.worth for visit in came) / max(1, len(came))


def play_day(day: Day, policy: Policy, seed: int) -> DayResult:
    """Play a day and return what its callers got."""
    world = World(seed)
    # Arrivals have a source of their own: all policies meet the same callers.
    rng = random.Random(seed)
    group = RankGroup(world, day.engines, _make_skew(day))
    entries = [
        Entry(world, f"e{number}", group, day.engines.ranks, policy)
        for number in range(ENTRIES)
    ]
    for outage in day.outages:
        _plan_outage(world, group, entries, outage)
    visits: list[Visit] = []
    _plan_arrivals(world, day, entries, visits, rng)
    world.run_until(START + day.length + 2 * day.callers.deadline)
    return DayResult(visits, group.pass_seconds)


def _make_skew(day: Day) -> Callable[[float], float]:
    def skew(now: float) -> float:
        at = now - START
        opened = [outage.until for outage in day.outages if at >= outage.until]
        is_fresh = bool(opened) and at - opened[-1] < 2 * day.map_delay
        is_behind = at % day.shift_gap < day.map_delay
        return day.bad_skew if is_behind or is_fresh else day.good_skew

    return skew


def _plan_outage(
    world: World, group: RankGroup, entries: Sequence[Entry], outage: Outage
) -> None:
    def learn() -> None:
        for entry in entries:
            delay = _OPEN_LOOK * world.rng.random()
            world.after(delay, entry.record_open)

    world.after(outage.at, group.lose)
    world.after(outage.until, lambda: group.come_back(learn))


def _plan_arrivals(
    world: World,
    day: Day,
    entries: Sequence[Entry],
    visits: list[Visit],
    rng: random.Random,
) -> None:
    begin, end, times = day.burst

    def arrive() -> None:
        visit = Visit(world, day.callers, rng)
        visits.append(visit)
        _attempt(world, visit, entries)
        plan_next()

    def plan_next() -> None:
        at = world.now - START
        rate = day.callers.rate * (times if begin <= at < end else 1.0)
        delay = rng.expovariate(rate)
        if at + delay < day.length:
            world.after(delay, arrive)

    plan_next()


def _attempt(world: World, visit: Visit, entries: Sequence[Entry]) -> None:
    """Ask an entry; come back once if it refuses or falls silent."""
    if visit.is_over:
        return
    if visit.attempts > visit.model.retries or world.now >= visit.ends_at:
        visit.is_over = True
        return

    def come_back(seconds: float) -> None:
        world.after(seconds, lambda: _attempt(world, visit, entries))

    world.rng.choice(entries).take(visit, come_back)
