"""Floods of calls of one level, by simulation."""

from collections import Counter
from functools import cache

import pytest

from mintsaddle.decisions.overload._capacity import MINIMUM_SHARE
from mintsaddle.decisions.overload.tests.overload_simulation import (
    CAPACITY,
    LAST,
    LEVELS,
    WINDOW_SECONDS,
    Simulation,
)

CALM_SECONDS, FLOOD_SECONDS = 6.0, 40.0
DRAIN_SECONDS = 6.0
WINDOWS = range(
    int(CALM_SECONDS / WINDOW_SECONDS),
    int((CALM_SECONDS + FLOOD_SECONDS) / WINDOW_SECONDS),
)
"""The windows of the flood."""

CALM_RATES = [0.75 * CAPACITY / len(LEVELS.priorities)] * len(LEVELS.priorities)
FLOOD_RATES = [*CALM_RATES[:-1], 2.6 * CALM_RATES[-1]]
FIRST_ONLY_RATES = [1.6 * CAPACITY, 0.0, 0.0, CALM_RATES[-1]]

NOISE_CALLERS = 2
"""Callers of the first level in a window that are counted as on time without
being so. Windows have a few dozen callers of a level, so fewer would take the
chance of single callers for an inversion."""

NEARLY_ALL = 0.95
"""Share of the first level that is on time if it is nearly unaffected."""


@cache
def simulate(
    entries: int, *, by_level: bool, first_only: bool = False, seed: int = 5
) -> Simulation:
    simulation = Simulation(entries, by_level=by_level, seed=seed)
    simulation.run(CALM_RATES, CALM_SECONDS)
    simulation.run(FIRST_ONLY_RATES if first_only else FLOOD_RATES, FLOOD_SECONDS)
    simulation.run([0.0] * len(LEVELS.priorities), DRAIN_SECONDS)
    return simulation


def share_of(
    part: Counter[tuple[int, int]], whole: Counter[tuple[int, int]], *levels: int
) -> float:
    """Return a share of the callers of some levels during the flood."""
    keys = [(window, level) for window in WINDOWS for level in levels]
    return sum(part[key] for key in keys) / sum(whole[key] for key in keys)


def count_inversions(simulation: Simulation) -> int:
    """Return the windows in which more of the last level are on time."""
    on_time, arrived = simulation.on_time, simulation.arrived
    return sum(
        (on_time[window, 0] + NOISE_CALLERS) / arrived[window, 0]
        < on_time[window, LAST] / arrived[window, LAST]
        for window in range(WINDOWS.stop)
    )


@pytest.mark.parametrize("entries", [34, 340])
class TestFloodOfTheLeastUrgent:
    def test_no_window_serves_the_last_level_better(self, entries: int) -> None:
        """Guards against inversions of priority while entries see little."""
        assert count_inversions(simulate(entries, by_level=True)) == 0

    def test_without_levels_windows_are_inverted(self, entries: int) -> None:
        """Guards against a check that admission without levels passes too."""
        assert count_inversions(simulate(entries, by_level=False)) > 0

    def test_the_first_level_is_nearly_unaffected(self, entries: int) -> None:
        """Guards against a flood that makes urgent callers late."""
        simulation = simulate(entries, by_level=True)
        assert share_of(simulation.on_time, simulation.arrived, 0) >= NEARLY_ALL

    def test_the_last_level_is_not_starved(self, entries: int) -> None:
        """Guards against reserves that lock the least urgent out."""
        simulation = simulate(entries, by_level=True)
        served, arrived = simulation.served, simulation.arrived
        all_levels = range(len(LEVELS.priorities))
        least = MINIMUM_SHARE * share_of(served, arrived, *all_levels)
        assert share_of(served, arrived, LAST) >= least

    def test_utilisation_does_not_oscillate(self, entries: int) -> None:
        """Guards against entries that all stop and start together."""
        simulation = simulate(entries, by_level=True)
        flood = [
            share
            for at, share in simulation.utilisation
            if CALM_SECONDS + WINDOW_SECONDS < at < CALM_SECONDS + FLOOD_SECONDS
        ]
        assert min(flood) >= max(flood) / 2


@pytest.mark.parametrize("entries", [34, 340])
class TestOverloadByTheFirstLevel:
    def test_the_last_level_is_not_starved(self, entries: int) -> None:
        """Guards against urgent callers that use all of the capacity."""
        served: Counter[tuple[int, int]] = Counter()
        arrived: Counter[tuple[int, int]] = Counter()
        # One run has too few callers of the last level that are served.
        for seed in range(4):
            simulation = simulate(entries, by_level=True, first_only=True, seed=seed)
            served += simulation.served
            arrived += simulation.arrived
        least = MINIMUM_SHARE * share_of(served, arrived, 0, LAST)
        assert share_of(served, arrived, LAST) >= least
