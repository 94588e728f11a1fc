"""Step-time skew and rebalancing cost as expert popularity drifts.

Usage: python -m benchmarks.expert_maps [--short]

Times are in units of one layer's mean time at perfect balance.
"""

import random
import sys
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from mintsaddle.decisions.expert_maps import (
    HORIZON_INTERVALS,
    ExpertMap,
    PlanCost,
    PopularityCounts,
    count_moved,
    is_complete,
    make_first_map,
    measure_skew,
    plan_from_scratch,
    plan_moves,
    step_load,
)

STEPS = 1000
"""Steps between two plans: 50 s at 50 ms a step."""

COST = PlanCost(
    horizon_steps=HORIZON_INTERVALS * STEPS, move_cost=3.0, switch_cost=200.0
)
"""A weight of 50 MB through a store of 2 GB/s slows the group by a tenth for
25 ms, three layer times; a switch holds it for about 0.2 s."""

KEEP = 0.3
"""Share of old counts kept at each plan."""

_SPREAD = 0.6
_DRIFT = 0.08
_STRAGGLER_SPEED = 0.75
_THRESHOLD = 1.2
_SEED = 7


class Shape(NamedTuple):
    """The size of a group."""

    ranks: int
    experts: int
    layers: int
    slots: int
    intervals: int


SMALL = Shape(8, 32, 4, 5, 40)
LARGE = Shape(128, 256, 4, 3, 16)


class Moment(NamedTuple):
    """The truth of one interval."""

    popularity: list[list[float]]
    speeds: list[float]


class Result(NamedTuple):
    """The measures of one policy over one story."""

    policy: str
    skew: float
    """Mean over time."""

    skew95: float
    moved: int
    switches: int
    total: float
    """Step time with the cost of moves and pauses."""

    planning: float
    """Mean processor seconds of one plan."""


Planner = Callable[[int, ExpertMap, list[list[float]], list[float]], ExpertMap | None]


def never(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Keep the first map."""
    return None


def always(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Plan afresh at each interval."""
    return plan_from_scratch(version, old, counts, speeds)


def threshold(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Plan afresh when the skew is over a threshold, whatever it costs."""
    if measure_skew(old, counts, speeds) < _THRESHOLD:
        return None
    return plan_from_scratch(version, old, counts, speeds)


def mintsaddle(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Take the few moves that are worth their cost."""
    return plan_moves(version, old, counts, speeds, COST)


PLANNERS: dict[str, Planner] = {
    "mintsaddle": mintsaddle,
    "never": never,
    "always": always,
    "threshold": threshold,
}


def letter_season(shape: Shape, rng: random.Random) -> Iterator[Moment]:
    """Popularity drifts slowly."""
    logs = _first_logs(shape, rng)
    for _ in range(shape.intervals):
        _drift(logs, rng)
        yield Moment(_normalise(shape, logs), [1.0] * shape.ranks)


def cooperative_burst(shape: Shape, rng: random.Random) -> Iterator[Moment]:
    """A set of experts is asked for three times as much, for a while."""
    logs = _first_logs(shape, rng)
    favoured = rng.sample(range(shape.experts), shape.experts // 8)
    for number in range(shape.intervals):
        _drift(logs, rng)
        bursts = (number // 6) % 2 == 1
        lifted = [[*layer] for layer in logs]
        if bursts:
            for layer in lifted:
                for expert in favoured:
                    layer[expert] *= 3.0
        yield Moment(_normalise(shape, lifted), [1.0] * shape.ranks)


def hot_expert(shape: Shape, rng: random.Random) -> Iterator[Moment]:
    """One expert of each layer becomes hot at once."""
    logs = _first_logs(shape, rng)
    for number in range(shape.intervals):
        _drift(logs, rng)
        if number == shape.intervals // 3:
            for layer in logs:
                layer[rng.randrange(shape.experts)] *= 8.0
        yield Moment(_normalise(shape, logs), [1.0] * shape.ranks)


def straggler(shape: Shape, rng: random.Random) -> Iterator[Moment]:
    """One rank becomes slow and stays so."""
    logs = _first_logs(shape, rng)
    slow = rng.randrange(shape.ranks)
    for number in range(shape.intervals):
        _drift(logs, rng)
        speeds = [1.0] * shape.ranks
        if number >= shape.intervals // 3:
            speeds[slow] = _STRAGGLER_SPEED
        yield Moment(_normalise(shape, logs), speeds)


STORIES = (letter_season, cooperative_burst, hot_expert, straggler)


def _first_logs(shape: Shape, rng: random.Random) -> list[list[float]]:
    return [
        [rng.lognormvariate(0.0, _SPREAD) for _ in range(shape.experts)]
        for _ in range(shape.layers)
    ]


def _drift(loads: list[list[float]], rng: random.Random) -> None:
    for layer in loads:
        for expert in range(len(layer)):
            layer[expert] *= rng.lognormvariate(0.0, _DRIFT)


def _normalise(shape: Shape, loads: list[list[float]]) -> list[list[float]]:
    """Scale each layer so that the mean rank needs one unit of time."""
    scaled = []
    for layer in loads:
        factor = shape.ranks / sum(layer)
        scaled.append([load * factor for load in layer])
    return scaled


def run(
    name: str,
    story: Callable[[Shape, random.Random], Iterator[Moment]],
    shape: Shape,
) -> Result:
    """Run one policy; it plans on the decayed counts of past intervals."""
    rng = random.Random(_SEED)
    current = _balanced_start(shape, story)
    counts = PopularityCounts(shape.layers, shape.experts, KEEP)
    skews: list[float] = []
    moved = switches = 0
    total = planning = 0.0
    speeds = [1.0] * shape.ranks
    for number, moment in enumerate(story(shape, rng)):
        if number:
            started = time.process_time()
            planned = PLANNERS[name](number + 1, current, list(counts.counts), speeds)
            planning += time.process_time() - started
            if planned is not None:
                assert is_complete(planned, shape.experts)
                moves = count_moved(current, planned)
                moved += moves
                switches += 1
                total += moves * COST.move_cost + COST.switch_cost
                current = planned
        skews.append(measure_skew(current, moment.popularity, moment.speeds))
        total += STEPS * step_load(current, moment.popularity, moment.speeds)
        counts.add(moment.popularity)
        speeds = moment.speeds
    skews.sort()
    return Result(
        name,
        sum(skews) / len(skews),
        skews[int(len(skews) * 0.95)],
        moved,
        switches,
        total,
        planning / max(1, shape.intervals - 1),
    )


def lower_bound(
    story: Callable[[Shape, random.Random], Iterator[Moment]], shape: Shape
) -> float:
    """Return the total of a planner that knows each interval, moves free."""
    current = _balanced_start(shape, story)
    total = 0.0
    for moment in story(shape, random.Random(_SEED)):
        current = plan_from_scratch(1, current, moment.popularity, moment.speeds)
        total += STEPS * step_load(current, moment.popularity, moment.speeds)
    return total


def _balanced_start(
    shape: Shape, story: Callable[[Shape, random.Random], Iterator[Moment]]
) -> ExpertMap:
    """Return a map planned on the first interval: all begin well."""
    first = make_first_map(1, shape.ranks, shape.experts, shape.layers, shape.slots)
    moment = next(story(shape, random.Random(_SEED)))
    return plan_from_scratch(1, first, moment.popularity, moment.speeds)


def main() -> None:
    """Print the table."""
    shapes = (SMALL,) if "--short" in sys.argv else (SMALL, LARGE)
    for shape in shapes:
        for story in STORIES:
            bound = lower_bound(story, shape)
            print(f"\n{shape.ranks} ranks, {shape.experts} experts, {story.__name__}")
            print(
                f"{'policy':12}{'skew':>8}{'95th':>8}{'moved':>8}{'switches':>9}"
                f"{'over bound':>11}{'plan s':>8}"
            )
            for name in PLANNERS:
                item = run(name, story, shape)
                print(
                    f"{name:12}{item.skew:8.3f}{item.skew95:8.3f}{item.moved:8}"
                    f"{item.switches:9}{item.total / bound - 1:11.2%}"
                    f"{item.planning:8.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
