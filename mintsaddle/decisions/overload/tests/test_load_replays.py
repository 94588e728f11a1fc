"""Replays of uneven demand and of an outage over groups that entries share."""

import math
import random
from collections.abc import Callable, Sequence
from functools import cache
from typing import NamedTuple

import pytest

from mintsaddle.decisions.overload.tests import engine_groups as groups
from mintsaddle.decisions.overload.tests import shared_engines as shared
from mintsaddle.decisions.overload.tests.samples import make_call

GROUPS, LOST_AT, OUTAGE_SECONDS = 3, 6.0, 6.0
SHIFT_INTERVAL, SHIFT_SECONDS = 3.5, 0.3
RETRY_SECONDS, MAX_RETRIES = 1.0, 3
RUN_SECONDS, DRAIN_SECONDS = 26.0, 6.0
SWING, SWING_SECONDS, MEAN_DEMAND = 0.55, 13.0, 0.75
MOST, LEAST_OF_ALL = 0.9, 0.25
"""Share of the first level that stays on time, and how often the last level is
served relative to all."""


class Caller(NamedTuple):
    """What became of a caller, who returns a few times if refused."""

    at: float
    level: int
    on_time: bool
    served: bool


def outage(_: float) -> list[float]:
    return [0.2] * 4


def swing(seconds: float) -> list[float]:
    phase = math.sin(math.pi * seconds / SWING_SECONDS)
    return [(MEAN_DEMAND + SWING / 2 * phase) / 4] * 4


def flood(_: float) -> list[float]:
    return [1.6, 0.0, 0.0, 0.2]


@cache
def replay(
    demands: Callable[[float], list[float]],
    admission: str = "levels",
    seed: int = 1,
    *,
    ranks: int = 8,
    is_steady: bool = True,
) -> Sequence[Caller]:
    """Send streams of each level, at shares of the capacity."""
    fleet = shared.Fleet(ranks // 2, GROUPS, ranks, seed=seed, admission=admission)
    rng, begun_at = random.Random(seed), fleet.now
    step_seconds = groups.STEPS.step_seconds(groups.SLOTS) * groups.USUAL_SKEW
    slots = GROUPS * ranks * groups.SLOTS
    capacity = slots / (groups.STEPS_OF_STREAM * step_seconds)
    run_seconds = LOST_AT + OUTAGE_SECONDS if demands is outage else RUN_SECONDS
    arrivals: list[tuple[float, int]] = []
    calls: list[tuple[float, int, int]] = []
    while (seconds := fleet.now - begun_at) < run_seconds + DRAIN_SECONDS:
        is_shifted = not is_steady and seconds % SHIFT_INTERVAL < SHIFT_SECONDS
        fleet.skew = groups.SHIFTED_SKEW if is_shifted else groups.USUAL_SKEW
        is_lost = demands is outage and LOST_AT <= seconds < run_seconds
        if fleet.groups[0].is_up == is_lost:
            fleet.lose_or_restore(fleet.groups[0])
        for level, share in enumerate(demands(seconds)):
            count = int(share * capacity * shared.TICK_SECONDS + rng.random())
            for _ in range(count if seconds < run_seconds else 0):
                calls.append((seconds, len(arrivals), 0))
                arrivals.append((seconds, level))
        for at, caller, retries in [call for call in calls if call[0] <= seconds]:
            calls.remove((at, caller, retries))
            priority = groups.LEVELS.priorities[arrivals[caller][1]]
            call = make_call(fleet.now, *priority, late=retries > 0)
            call = call._replace(request_id=f"{caller}/{retries}")
            rng.choice(fleet.entries).arrived.append(call)
        fleet.tick()
        for key, _ in [each for each in fleet.outcomes.items() if each[1] != "placed"]:
            del fleet.outcomes[key]
            caller, retries = map(int, key.split("/"))
            if retries < MAX_RETRIES:
                at = seconds + RETRY_SECONDS * rng.uniform(0.8, 1.2)
                calls.append((at, caller, retries + 1))
    completed, served = fleet.completed, {key.split("/")[0] for key in fleet.completed}
    return [
        Caller(at, level, completed.get(f"{caller}/0", False), str(caller) in served)
        for caller, (at, level) in enumerate(arrivals)
    ]


def first_level_on_time(callers: Sequence[Caller], begin: float = 0.0) -> float:
    found = [each.on_time for each in callers if each.level == 0 and each.at >= begin]
    return sum(found) / len(found)


@pytest.mark.parametrize("is_steady", [True, False], ids=["steady", "shifting"])
class TestOutage:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_the_first_level_stays_on_time(self, seed: int, *, is_steady: bool) -> None:
        """Guards against urgent callers that a lost group makes late."""
        callers = replay(outage, seed=seed, ranks=16, is_steady=is_steady)
        assert first_level_on_time(callers, LOST_AT) >= MOST

    def test_without_levels_and_bound_it_does_not(self, *, is_steady: bool) -> None:
        callers = replay(outage, "direct", ranks=16, is_steady=is_steady)
        assert first_level_on_time(callers, LOST_AT) < MOST


class TestSwingingDemand:
    def test_the_first_level_stays_on_time(self) -> None:
        """Guards against urgent callers that are late at each peak."""
        assert first_level_on_time(replay(swing, is_steady=False)) >= MOST

    def test_without_levels_and_bound_it_does_not(self) -> None:
        callers = replay(swing, "direct", is_steady=False)
        assert first_level_on_time(callers) < MOST


class TestLastLevel:
    def test_it_is_served_a_quarter_as_often_as_all(self) -> None:
        """Guards against a first level that uses all of the capacity."""
        callers = replay(flood, ranks=4)
        last = [each.served for each in callers if each.level == groups.LAST]
        of_all = sum(each.served for each in callers) / len(callers)
        assert sum(last) / len(last) >= LEAST_OF_ALL * of_all
