"""Step-time skew and rebalancing cost as expert popularity drifts.

Usage: python -m benchmarks.expert_maps [--short]

Each planning policy runs through the same seeded load scenarios. Times are
in units of the mean time of one layer at perfect balance.
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
"""Steps per planning interval: 50 s at 50 ms a step."""

COST = PlanCost(
    horizon_steps=HORIZON_INTERVALS * STEPS, move_cost=3.0, switch_cost=200.0
)
"""Costs in layer times. Loading 50 MB of weights at 2 GB/s slows the group
by a tenth for 25 ms, three layer times; a map switch pauses it for about
0.2 s."""

COUNT_RETENTION = 0.3
"""Share of the older popularity counts kept at each plan."""

_POPULARITY_SIGMA = 0.6
_DRIFT_SIGMA = 0.08
_STRAGGLER_SPEED = 0.75
_SKEW_THRESHOLD = 1.2
_SEED = 7


class GroupShape(NamedTuple):
    """The size of a group."""

    ranks: int
    experts: int
    layers: int
    slots: int
    intervals: int


SMALL_GROUP = GroupShape(8, 32, 4, 5, 40)
LARGE_GROUP = GroupShape(128, 256, 4, 3, 16)


class IntervalLoad(NamedTuple):
    """Actual expert popularity and rank speeds in one planning interval."""

    popularity: list[list[float]]
    speeds: list[float]


class Result(NamedTuple):
    """Metrics of one policy over one scenario."""

    policy: str
    skew: float
    """Mean over all intervals."""

    skew_p95: float
    moved: int
    switches: int
    total: float
    """Step time of all intervals plus the cost of moves and switches."""

    planning_seconds: float
    """Mean CPU seconds per plan."""


Planner = Callable[[int, ExpertMap, list[list[float]], list[float]], ExpertMap | None]


def keep_first_map(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Keep the initial map."""
    return None


def replan_always(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Plan from scratch at every interval."""
    return plan_from_scratch(version, old, counts, speeds)


def replan_above_threshold(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Plan from scratch when skew exceeds a threshold, at any move cost."""
    if measure_skew(old, counts, speeds) < _SKEW_THRESHOLD:
        return None
    return plan_from_scratch(version, old, counts, speeds)


def plan_worthwhile_moves(
    version: int, old: ExpertMap, counts: list[list[float]], speeds: list[float]
) -> ExpertMap | None:
    """Make only the moves whose expected gain exceeds their cost."""
    return plan_moves(version, old, counts, speeds, COST)


PLANNERS: dict[str, Planner] = {
    "mintsaddle": plan_worthwhile_moves,
    "never": keep_first_map,
    "always": replan_always,
    "threshold": replan_above_threshold,
}


def letter_season(shape: GroupShape, rng: random.Random) -> Iterator[IntervalLoad]:
    """Yield popularity that drifts slowly, with no other disturbance."""
    popularity = _draw_popularity(shape, rng)
    for _ in range(shape.intervals):
        _drift(popularity, rng)
        yield IntervalLoad(_normalise(shape, popularity), [1.0] * shape.ranks)


def cooperative_burst(shape: GroupShape, rng: random.Random) -> Iterator[IntervalLoad]:
    """Yield recurring bursts that triple the load of some experts."""
    popularity = _draw_popularity(shape, rng)
    hot_experts = rng.sample(range(shape.experts), shape.experts // 8)
    for number in range(shape.intervals):
        _drift(popularity, rng)
        in_burst = (number // 6) % 2 == 1
        boosted = [[*layer] for layer in popularity]
        if in_burst:
            for layer in boosted:
                for expert in hot_experts:
                    layer[expert] *= 3.0
        yield IntervalLoad(_normalise(shape, boosted), [1.0] * shape.ranks)


def hot_expert(shape: GroupShape, rng: random.Random) -> Iterator[IntervalLoad]:
    """Yield one expert per layer that abruptly becomes hot."""
    popularity = _draw_popularity(shape, rng)
    for number in range(shape.intervals):
        _drift(popularity, rng)
        if number == shape.intervals // 3:
            for layer in popularity:
                layer[rng.randrange(shape.experts)] *= 8.0
        yield IntervalLoad(_normalise(shape, popularity), [1.0] * shape.ranks)


def straggler(shape: GroupShape, rng: random.Random) -> Iterator[IntervalLoad]:
    """Yield one rank that slows down permanently."""
    popularity = _draw_popularity(shape, rng)
    slow = rng.randrange(shape.ranks)
    for number in range(shape.intervals):
        _drift(popularity, rng)
        speeds = [1.0] * shape.ranks
        if number >= shape.intervals // 3:
            speeds[slow] = _STRAGGLER_SPEED
        yield IntervalLoad(_normalise(shape, popularity), speeds)


SCENARIOS = (letter_season, cooperative_burst, hot_expert, straggler)


def _draw_popularity(shape: GroupShape, rng: random.Random) -> list[list[float]]:
    return [
        [rng.lognormvariate(0.0, _POPULARITY_SIGMA) for _ in range(shape.experts)]
        for _ in range(shape.layers)
    ]


def _drift(loads: list[list[float]], rng: random.Random) -> None:
    for layer in loads:
        for expert in range(len(layer)):
            layer[expert] *= rng.lognormvariate(0.0, _DRIFT_SIGMA)


def _normalise(shape: GroupShape, loads: list[list[float]]) -> list[list[float]]:
    """Scale each layer so that the mean load per rank is one unit of time."""
    scaled = []
    for layer in loads:
        factor = shape.ranks / sum(layer)
        scaled.append([load * factor for load in layer])
    return scaled


def run(
    name: str,
    scenario: Callable[[GroupShape, random.Random], Iterator[IntervalLoad]],
    shape: GroupShape,
) -> Result:
    """Run one policy, which plans on decayed counts of past intervals."""
    rng = random.Random(_SEED)
    current = _balanced_start(shape, scenario)
    counts = PopularityCounts(shape.layers, shape.experts, COUNT_RETENTION)
    skews: list[float] = []
    moved = switches = 0
    total = planning_seconds = 0.0
    speeds = [1.0] * shape.ranks
    for number, interval_load in enumerate(scenario(shape, rng)):
        if number:
            started = time.process_time()
            planned = PLANNERS[name](number + 1, current, list(counts.counts), speeds)
            planning_seconds += time.process_time() - started
            if planned is not None:
                assert is_complete(planned, shape.experts)
                moves = count_moved(current, planned)
                moved += moves
                switches += 1
                total += moves * COST.move_cost + COST.switch_cost
                current = planned
        skews.append(
            measure_skew(current, interval_load.popularity, interval_load.speeds)
        )
        total += STEPS * step_load(
            current, interval_load.popularity, interval_load.speeds
        )
        counts.add(interval_load.popularity)
        speeds = interval_load.speeds
    skews.sort()
    return Result(
        name,
        sum(skews) / len(skews),
        skews[int(len(skews) * 0.95)],
        moved,
        switches,
        total,
        planning_seconds / max(1, shape.intervals - 1),
    )


def lower_bound(
    scenario: Callable[[GroupShape, random.Random], Iterator[IntervalLoad]],
    shape: GroupShape,
) -> float:
    """Return the total of a planner with perfect knowledge and free moves."""
    current = _balanced_start(shape, scenario)
    total = 0.0
    for interval_load in scenario(shape, random.Random(_SEED)):
        current = plan_from_scratch(
            1, current, interval_load.popularity, interval_load.speeds
        )
        total += STEPS * step_load(
            current, interval_load.popularity, interval_load.speeds
        )
    return total


def _balanced_start(
    shape: GroupShape,
    scenario: Callable[[GroupShape, random.Random], Iterator[IntervalLoad]],
) -> ExpertMap:
    """Return a map for the first interval, so that policies start balanced."""
    first = make_first_map(1, shape.ranks, shape.experts, shape.layers, shape.slots)
    interval_load = next(scenario(shape, random.Random(_SEED)))
    return plan_from_scratch(1, first, interval_load.popularity, interval_load.speeds)


def main() -> None:
    """Print a table for each group shape and scenario."""
    shapes = (SMALL_GROUP,) if "--short" in sys.argv else (SMALL_GROUP, LARGE_GROUP)
    for shape in shapes:
        for scenario in SCENARIOS:
            bound = lower_bound(scenario, shape)
            print(
                f"\n{shape.ranks} ranks, {shape.experts} experts, {scenario.__name__}"
            )
            print(
                f"{'policy':12}{'skew':>8}{'95th':>8}{'moved':>8}{'switches':>9}"
                f"{'over bound':>11}{'plan s':>8}"
            )
            for name in PLANNERS:
                item = run(name, scenario, shape)
                print(
                    f"{name:12}{item.skew:8.3f}{item.skew_p95:8.3f}{item.moved:8}"
                    f"{item.switches:9}{item.total / bound - 1:11.2%}"
                    f"{item.planning_seconds:8.3f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
