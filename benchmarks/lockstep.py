"""Routing policies against baselines under overload and rank failures.

Usage: python -m benchmarks.lockstep [--short]

Runs on emulated rank groups. Prints, for each load pattern and policy, the
mean worth of all requests (1 on time, 0.5 late, 0 not served), the share
served and the mean time of a forward pass. All policies get the same
arrivals; figures are means over seeded runs.
"""

import itertools
import random
import sys
from collections.abc import Sequence
from typing import NamedTuple

from fakes.lockstep import (
    PRODUCT,
    CallerModel,
    EngineModel,
    Outage,
    Policy,
    RefusingEngines,
    Scenario,
    ScenarioResult,
    run_scenario,
)
from mintsaddle.decisions.direct import Incarnation, hold_until
from mintsaddle.decisions.routing import RoutingState

SEEDS = 8
SHORT_SEEDS = 2

HIGH_LOAD_CALLERS = CallerModel(rate=26.0)
"""Arrivals under high load."""

LOAD_PATTERNS = {
    "calm": Scenario(duration=30.0),
    "burst": Scenario(duration=30.0, burst=(8.0, 12.0, 1.7)),
    "rank lost for 6 s": Scenario(duration=40.0, outages=(Outage(12.0, 17.8),)),
    "the same, high load": Scenario(
        duration=40.0, outages=(Outage(12.0, 17.8),), callers=HIGH_LOAD_CALLERS
    ),
    "rank lost twice, high load": Scenario(
        duration=44.0,
        outages=(Outage(6.0, 8.5), Outage(22.0, 27.5)),
        callers=HIGH_LOAD_CALLERS,
    ),
    "a third refuses for 8 s": Scenario(
        duration=30.0, refusing=(RefusingEngines(6.0, 14.0, range(4), 3.0),)
    ),
    "all refuse for 1 s": Scenario(
        duration=30.0, refusing=(RefusingEngines(6.0, 7.0, range(12), 3.0),)
    ),
    "all refuse for 4 s, briefly": Scenario(
        duration=30.0, refusing=(RefusingEngines(6.0, 10.0, range(12), 0.5),)
    ),
    "overload with waits": Scenario(
        duration=34.0,
        burst=(8.0, 14.0, 2.6),
        engines=EngineModel(queue=2, overload_wait=3.0),
    ),
}


class Row(NamedTuple):
    """Mean results of one policy under one load pattern."""

    pattern: str
    policy: str
    worth: float
    served: float
    pass_seconds: float


def choose_least_in_flight(
    state: RoutingState, ranks: Sequence[Incarnation], now: float, rng: random.Random
) -> Incarnation:
    """Choose the endpoint with the fewest requests from this entry."""
    del now, rng
    return min(ranks, key=lambda rank: state.view(rank.name).own_in_flight)


def choose_less_loaded_of_two(
    state: RoutingState, ranks: Sequence[Incarnation], now: float, rng: random.Random
) -> Incarnation:
    """Choose the less loaded of two endpoints drawn at random."""
    drawn = rng.sample(list(ranks), min(2, len(ranks)))
    return min(drawn, key=lambda rank: state.view(rank.name).estimate_load(now))


def make_policies() -> dict[str, Policy]:
    """Return the product's policy, reduced variants of it, and baselines."""
    turns = itertools.count()

    def choose_in_turn(
        state: RoutingState,
        ranks: Sequence[Incarnation],
        now: float,
        rng: random.Random,
    ) -> Incarnation:
        del state, now, rng
        return ranks[next(turns) % len(ranks)]

    without_urgency = PRODUCT._replace(sets_urgency=False)
    return {
        "mintsaddle": PRODUCT,
        "without urgency": without_urgency,
        "without waiting": PRODUCT._replace(holds_requests=False),
        "waits ignored": PRODUCT._replace(keeps_waits=False, prefers_proven=False),
        "waits, any endpoint last": PRODUCT._replace(prefers_proven=False),
        "waits, held if on time": PRODUCT._replace(
            await_until=lambda call, now: call.due_at
        ),
        "waits, held as for a group": PRODUCT._replace(
            await_until=lambda call, now: hold_until(call)
        ),
        "round robin": without_urgency._replace(choose=choose_in_turn),
        "least in flight": without_urgency._replace(choose=choose_least_in_flight),
        "two choices": without_urgency._replace(choose=choose_less_loaded_of_two),
    }


def measure(pattern: str, name: str, policy: Policy, seeds: int) -> Row:
    """Run a pattern with each seed and return the means."""
    results = [
        run_scenario(LOAD_PATTERNS[pattern], policy, seed) for seed in range(seeds)
    ]
    return Row(
        pattern,
        name,
        sum(result.score for result in results) / seeds,
        sum(result.served for result in results) / seeds,
        sum(mean_pass_seconds(result) for result in results) / seeds,
    )


def mean_pass_seconds(result: ScenarioResult) -> float:
    """Return the mean seconds per forward pass of one run."""
    return sum(result.pass_seconds) / len(result.pass_seconds)


def main(arguments: Sequence[str]) -> None:
    """Print the table."""
    seeds = SHORT_SEEDS if "--short" in arguments else SEEDS
    print("| pattern | policy | worth | served | ms a pass |")
    print("|---|---|---|---|---|")
    for pattern in LOAD_PATTERNS:
        for name, policy in make_policies().items():
            row = measure(pattern, name, policy, seeds)
            print(
                f"| {row.pattern} | {row.policy} | {row.worth:.3f} "
                f"| {row.served:.3f} | {row.pass_seconds * 1e3:.0f} |"
            )


if __name__ == "__main__":
    main(sys.argv[1:])
