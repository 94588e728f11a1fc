"""Placement in the entry's own data centre and its overflow."""

import itertools
import random
from functools import partial
from typing import NamedTuple

import pytest

from mintsaddle.decisions.direct import (
    PROBES_PER_ROUND,
    EngineLoad,
    GroupStepTimes,
    Incarnation,
    RankAssignment,
    choose_by_load,
)
from mintsaddle.decisions.overload import (
    CallPriority,
    PriorityLevels,
    filter_by_level,
    with_local_capacity,
)
from mintsaddle.decisions.overload._locality import (
    OVERFLOW_SHARE,
    OVERFLOW_STEP_SHARE,
)
from mintsaddle.decisions.overload.tests.samples import PAUSE, make_call
from mintsaddle.values import Instant

SLOTS = 5
NEARLY_FULL = int(SLOTS * OVERFLOW_SHARE)
NOW = 10.0


def make_engine(data_centre: str, rank: int) -> Incarnation:
    assignment = RankAssignment(f"g-{data_centre}", 1, rank, 32, is_open=True)
    name = f"{data_centre}-{rank}"
    return Incarnation(
        name, "s", f"{name}:1", data_centre, SLOTS, False, 0.0, 1, assignment
    )


def make_step_times(data_centre: str, seconds: float) -> GroupStepTimes:
    """Return step times of a data centre's group that makes such steps."""
    step_times = GroupStepTimes()
    for step in range(5):
        at = NOW - seconds * (4 - step)
        step_times.record(f"g-{data_centre}", 1, step, at)
    return step_times


class _Case(NamedTuple):
    admitted: tuple[str, ...]
    requests: dict[str, int]
    expected: set[str]
    step_seconds: float = PAUSE * OVERFLOW_STEP_SHARE * 0.9


CASES = {
    "free": _Case(
        ("a-0", "a-1", "b-0"), {"a-0": 0, "a-1": 3, "b-0": 0}, {"a-0", "a-1"}
    ),
    "full": _Case(("a-0", "a-1", "b-0"), {"a-0": 5, "a-1": 6, "b-0": 0}, set()),
    "nearly full": _Case(("a-0",), {"a-0": NEARLY_FULL}, set()),
    "one nearly full": _Case(
        ("a-0", "a-1"), {"a-0": NEARLY_FULL, "a-1": NEARLY_FULL - 1}, {"a-1"}
    ),
    "slow steps": _Case(("a-0",), {"a-0": 0}, set(), PAUSE * OVERFLOW_STEP_SHARE * 1.1),
    "evacuated": _Case(("b-0",), {"b-0": 0}, set()),
    "not admitted": _Case((), {"a-0": 0}, set()),
    "no loads": _Case(("a-0", "b-0"), {}, set()),
    "one without load": _Case(("a-0", "a-1"), {"a-1": 0}, {"a-1"}),
}


class TestLocalCapacity:
    @pytest.mark.parametrize("case", CASES.values(), ids=CASES)
    def test_only_local_engines_with_capacity_keep_the_call(self, case: _Case) -> None:
        """Guards against calls that stay where they would be late."""
        engines = {
            engine.name: engine
            for engine in (
                make_engine("a", 0),
                make_engine("a", 1),
                make_engine("b", 0),
            )
        }
        near = with_local_capacity(
            make_call(NOW, 0, 0),
            [engines[name] for name in case.admitted],
            {name: EngineLoad(count, 1, 4) for name, count in case.requests.items()},
            make_step_times("a", case.step_seconds),
            "a",
            NOW,
        )
        assert {engine.name for engine in near} == case.expected


ENGINES = 16
STREAM_SECONDS = 1.0
USUAL_RATE = 0.55 * ENGINES * SLOTS / STREAM_SECONDS
"""Streams per second that a data centre serves alone, but not twice that."""

STEP_SECONDS = 0.05
LEVELS = PriorityLevels((CallPriority(0, 0), CallPriority(0, 1)))


class _Simulation:
    """Entries and engines of two data centres; b is half idle.

    If permissive, calls never leave their data centre.
    """

    def __init__(self, seed: int, *, is_permissive: bool) -> None:
        self._is_permissive = is_permissive
        self._rng = random.Random(seed)
        self._engines = {
            data_centre: [make_engine(data_centre, rank) for rank in range(ENGINES)]
            for data_centre in "ab"
        }
        self._ends: dict[str, list[Instant]] = {
            engine.name: [] for engines in self._engines.values() for engine in engines
        }
        self._now = 0.0
        self.remote_shares: list[float] = []
        """Share of the streams placed in another data centre, by second."""

        self.max_utilisation = 0.0
        """Largest number of streams in data centre a, per slot there."""

    def run(self, rate: float, seconds: int) -> None:
        for _ in range(seconds):
            placed: list[bool] = []
            for _ in range(round(1.0 / STEP_SECONDS)):
                self._now += STEP_SECONDS
                placed += self._step(rate)
            self.remote_shares.append(sum(placed) / max(1, len(placed)))

    def _step(self, rate: float) -> list[bool]:
        for name, ends in self._ends.items():
            self._ends[name] = [end for end in ends if end > self._now]
        # Engines report what they had when the step began.
        reported = {name: len(ends) for name, ends in self._ends.items()}
        expected = rate * STEP_SECONDS
        number = int(expected) + (self._rng.random() < expected % 1)
        placed = [self._place("a", reported) for _ in range(number)]
        own = USUAL_RATE / 2 * STEP_SECONDS
        for _ in range(int(own) + (self._rng.random() < own % 1)):
            self._place("b", reported)
        local = sum(len(self._ends[engine.name]) for engine in self._engines["a"])
        self.max_utilisation = max(self.max_utilisation, local / (ENGINES * SLOTS))
        return placed

    def _place(self, data_centre: str, reported: dict[str, int]) -> bool:
        """Place a stream; return whether it goes to another data centre."""
        call = make_call(self._now, 0, 0)
        local = self._rng.sample(self._engines[data_centre], PROBES_PER_ROUND)
        admitted, loads = self._probe(local, reported)
        near = admitted
        if not self._is_permissive:
            near = with_local_capacity(
                call, admitted, loads, GroupStepTimes(), data_centre, self._now
            )
        if not near and not self._is_permissive:
            (other,) = {"a", "b"} - {data_centre}
            remote = self._rng.sample(self._engines[other], PROBES_PER_ROUND)
            near, loads = self._probe([*remote, *local], reported)
        if not near:
            return False
        requests = {name: load.requests for name, load in loads.items()}
        chosen = choose_by_load(near, requests)
        self._ends[chosen.name].append(self._now + STREAM_SECONDS)
        return chosen.data_centre != data_centre

    def _probe(
        self, engines: list[Incarnation], reported: dict[str, int]
    ) -> tuple[list[Incarnation], dict[str, EngineLoad]]:
        loads = {e.name: EngineLoad(reported[e.name], 1, 1) for e in engines}
        call = make_call(self._now, 0, 0)
        admit = partial(filter_by_level, call, engines, loads, GroupStepTimes())
        return admit(self._now, self._rng, LEVELS, 0), loads


class TestDoubledDemand:
    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("is_permissive", [False, True], ids=["rule", "always"])
    def test_calls_overflow_in_time_and_return(
        self, seed: int, is_permissive: bool
    ) -> None:
        """Guards against a full data centre beside a half idle one.

        A variant that always stays local has to fail the bounds.
        """
        simulation = _Simulation(seed, is_permissive=is_permissive)
        simulation.run(USUAL_RATE, 6)
        simulation.run(2 * USUAL_RATE, 10)
        simulation.run(USUAL_RATE, 8)
        shares = simulation.remote_shares
        before, during, after = shares[2:6], shares[7:16], shares[18:]
        assert before == [0.0] * len(before)
        assert after == [0.0] * len(after)
        jumps = [abs(b - a) for a, b in itertools.pairwise(shares)]
        assert max(jumps) < 0.5
        does_overflow = min(during) > 0
        is_slot_left = simulation.max_utilisation < 1.0
        assert does_overflow is not is_permissive
        assert is_slot_left is not is_permissive
