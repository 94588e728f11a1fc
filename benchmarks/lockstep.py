"""Load at its worst, on emulated rank groups: policies against baselines.

Usage: python -m benchmarks.lockstep [--short]

Prints, for each load pattern and policy, the mean worth of all requests (1 on
time, 0.5 late, 0 not served), the share served and the mean time of a pass.
All policies meet the same callers; figures are means over seeded days.
"""

import itertools
import random
import sys
from collections.abc import Sequence
from typing import NamedTuple

from fakes.lockstep import (
    PRODUCT,
    CallerModel,
    Outage,
    Policy,
    Scenario,
    ScenarioResult,
    run_scenario,
)
from mintsaddle.decisions.direct import Incarnation
from mintsaddle.decisions.routing import RoutingState

SEEDS = 8
SHORT_SEEDS = 2

BUSY = CallerModel(rate=26.0)
"""Callers of a day of high load."""

PATTERNS = {
    "calm": Scenario(duration=30.0),
    "burst": Scenario(duration=30.0, burst=(8.0, 12.0, 1.7)),
    "rank lost for 6 s": Scenario(duration=40.0, outages=(Outage(12.0, 17.8),)),
    "the same, high load": Scenario(
        duration=40.0, outages=(Outage(12.0, 17.8),), callers=BUSY
    ),
    "rank lost twice, high load": Scenario(
        duration=44.0, outages=(Outage(6.0, 8.5), Outage(22.0, 27.5)), callers=BUSY
    ),
}


class Row(NamedTuple):
    """What one policy gave its callers under one load pattern."""

    pattern: str
    policy: str
    worth: float
    served: float
    pass_seconds: float


def choose_least_in_flight(
    state: RoutingState, ranks: Sequence[Incarnation], now: float, rng: random.Random
) -> Incarnation:
    """Choose the endpoint with the fewest own requests."""
    del now, rng
    return min(ranks, key=lambda one: state.view(one.name).own_in_flight)


def choose_of_two(
    state: RoutingState, ranks: Sequence[Incarnation], now: float, rng: random.Random
) -> Incarnation:
    """Choose the less loaded of two drawn endpoints."""
    pair = rng.sample(list(ranks), 2)
    return min(pair, key=lambda one: state.view(one.name).estimate_load(now))


def make_policies() -> dict[str, Policy]:
    """Return the product's policy, what it was before, and baselines."""
    turn = itertools.count()

    def choose_in_turn(
        state: RoutingState,
        ranks: Sequence[Incarnation],
        now: float,
        rng: random.Random,
    ) -> Incarnation:
        del state, now, rng
        return ranks[next(turn) % len(ranks)]

    plain = PRODUCT._replace(sets_urgency=False)
    return {
        "mintsaddle": PRODUCT,
        "without urgency": plain,
        "without waiting": PRODUCT._replace(holds_requests=False),
        "round robin": plain._replace(choose=choose_in_turn),
        "least in flight": plain._replace(choose=choose_least_in_flight),
        "two choices": plain._replace(choose=choose_of_two),
    }


def measure(pattern: str, name: str, policy: Policy, seeds: int) -> Row:
    """Play a pattern's days and return their means."""
    results = [run_scenario(PATTERNS[pattern], policy, seed) for seed in range(seeds)]
    return Row(
        pattern,
        name,
        sum(result.score for result in results) / seeds,
        sum(result.served for result in results) / seeds,
        sum(mean_pass(result) for result in results) / seeds,
    )


def mean_pass(result: ScenarioResult) -> float:
    """Return the mean seconds of a day's passes."""
    return sum(result.pass_seconds) / len(result.pass_seconds)


def main(arguments: Sequence[str]) -> None:
    """Print the table."""
    seeds = SHORT_SEEDS if "--short" in arguments else SEEDS
    print("| pattern | policy | worth | served | ms a pass |")
    print("|---|---|---|---|---|")
    for pattern in PATTERNS:
        for name, policy in make_policies().items():
            row = measure(pattern, name, policy, seeds)
            print(
                f"| {row.pattern} | {row.policy} | {row.worth:.3f} "
                f"| {row.served:.3f} | {row.pass_seconds * 1e3:.0f} |"
            )


if __name__ == "__main__":
    main(sys.argv[1:])
