"""Placement by a hundred entries on hundreds of engines with few slots."""

import heapq
import random

import pytest

from mintsaddle.decisions.direct import (
    MAX_PROBES,
    PROBES_PER_ROUND,
    Incarnation,
    RankAssignment,
    choose_by_load,
    group_leaders_first,
    has_free_slot,
    rank_incarnations,
)
from mintsaddle.decisions.routing import RoutingState, record_finished, record_sent

ENTRIES, ENGINES, SLOTS = 98, 192, 3
HOLD_SECONDS = 1.65
RUN_SECONDS = 12.0


def make_engine(number: int) -> Incarnation:
    name = f"i-{number}"
    return Incarnation(
        name, "letters", f"{name}:1", "abcde"[number % 5], SLOTS, False, 0.0, 1
    )


class Simulation:
    """Streams that arrive at random and hold a slot for a while."""

    def __init__(self, utilisation: float, probes: int) -> None:
        self._rng = random.Random(7)
        self._rate = utilisation * ENGINES * SLOTS / HOLD_SECONDS
        self._probes = probes
        self._engines = [make_engine(number) for number in range(ENGINES)]
        self._states = [
            RoutingState(f"e-{number}", "abcde"[number % 5])
            for number in range(ENTRIES)
        ]
        self._loads = dict.fromkeys((engine.name for engine in self._engines), 0)
        self._ends: list[tuple[float, str, int]] = []

    def run(self) -> float:
        """Return the share of streams that found no free slot."""
        now, arrived, waited = 0.0, 0, 0
        while now < RUN_SECONDS:
            now += self._rng.expovariate(self._rate)
            self._finish_until(now)
            entry = self._rng.randrange(ENTRIES)
            engine = self._choose(self._states[entry], now)
            waited += self._loads[engine.name] >= SLOTS
            arrived += 1
            self._loads[engine.name] += 1
            record_sent(self._states[entry], engine.name)
            hold = HOLD_SECONDS * self._rng.uniform(0.5, 1.5)
            heapq.heappush(self._ends, (now + hold, engine.name, entry))
        return waited / arrived

    def _finish_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, name, entry = heapq.heappop(self._ends)
            self._loads[name] -= 1
            record_finished(self._states[entry], name)

    def _choose(self, state: RoutingState, now: float) -> Incarnation:
        ranked = rank_incarnations(state, self._engines, frozenset(), now, self._rng)
        loads: dict[str, int] = {}
        for first in range(0, self._probes, PROBES_PER_ROUND):
            probed = ranked[first : first + PROBES_PER_ROUND]
            loads.update((engine.name, self._loads[engine.name]) for engine in probed)
            if has_free_slot(probed, loads):
                break
        return choose_by_load(ranked[:MAX_PROBES], loads)


class TestProbes:
    @pytest.mark.parametrize("utilisation", [0.66, 0.85])
    def test_95_in_100_streams_find_a_free_slot(self, utilisation: float) -> None:
        assert Simulation(utilisation, MAX_PROBES).run() < 0.05

    def test_without_probes_more_wait(self) -> None:
        assert Simulation(0.66, 0).run() > 0.05


class TestChoice:
    ENGINES = (make_engine(1), make_engine(2), make_engine(3))

    @pytest.mark.parametrize(
        ("loads", "chosen"),
        [
            ({}, "i-1"),
            ({"i-1": 2, "i-2": 1, "i-3": 1}, "i-2"),
            ({"i-1": 0, "i-2": 0}, "i-1"),
            ({"i-3": 5}, "i-3"),
        ],
        ids=["none probed", "least loaded", "first of equals", "the only one probed"],
    )
    def test_the_least_loaded_is_chosen(
        self, loads: dict[str, int], chosen: str
    ) -> None:
        assert choose_by_load(self.ENGINES, loads).name == chosen


class TestStepTimes:
    """One slow rank slows its group; the other group has capacity."""

    def choose(self, slow_requests: int, quick_requests: int) -> str:
        def make(name: str, group: str) -> Incarnation:
            assignment = RankAssignment(group, 1, 0, 1, is_open=True)
            return Incarnation(name, "s", name, "a", 5, False, 0.0, 1, assignment)

        engines = [make("slow", "g"), make("quick", "h")]
        loads = {"slow": slow_requests, "quick": quick_requests}
        return choose_by_load(engines, loads, {"g": 0.13, "h": 0.07}).name

    def test_a_group_with_longer_steps_gets_fewer_requests(self) -> None:
        """Guards against longer pauses while the other group has capacity."""
        assert self.choose(slow_requests=2, quick_requests=3) == "quick"
        assert self.choose(slow_requests=1, quick_requests=4) == "slow"

    def test_each_group_is_probed(self) -> None:
        """Guards against probing only the one group of a data centre."""
        engines = [
            make_engine(number)._replace(
                assignment=RankAssignment(group, 1, number, 4, is_open=True)
            )
            for number, group in enumerate("ggggh")
        ]
        assert group_leaders_first(engines)[:2] == [engines[0], engines[4]]
        assert sorted(group_leaders_first(engines)) == sorted(engines)

    def test_an_unknown_step_time_counts_as_the_best_known(self) -> None:
        assignment = RankAssignment("new", 1, 0, 1, is_open=True)
        engine = Incarnation("i", "s", "i", "a", 5, False, 0.0, 1, assignment)
        assert choose_by_load([engine], {"i": 1}, {"g": 0.13}) == engine
