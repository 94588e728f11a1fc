"""Shares of slots and step times by level."""

import random
from itertools import pairwise

import pytest

from mintsaddle.decisions.direct import (
    EngineLoad,
    EntryShare,
    GroupStepTimes,
    StepModel,
    filter_admissible,
)
from mintsaddle.decisions.overload import (
    CallPriority,
    PriorityLevels,
    filter_by_level,
    has_minimum_share,
    max_slot_share,
)
from mintsaddle.decisions.overload._capacity import step_time_ramp
from mintsaddle.decisions.overload.tests.samples import PAUSE, make_call, make_engine

LEVELS = PriorityLevels(tuple(CallPriority(0, n) for n in range(5)))
STEPS = StepModel(token_seconds=0.00585, request_seconds=0.00093, tokens=6)


def make_step_times(step_seconds: float) -> GroupStepTimes:
    step_times = GroupStepTimes()
    step_times.record("g", 1, 0, 0.0)
    step_times.record("g", 1, 10, 10 * step_seconds)
    return step_times


def admits(
    requests: list[int],
    level: int,
    *,
    late: bool = False,
    is_protected: bool = False,
    slots: int = 5,
    step_share: float = 0.1,
    has_first_map: bool = False,
    seed: int = 1,
) -> set[str]:
    engines = [make_engine(rank, slots) for rank in range(len(requests))]
    loads = {
        engine.name: EngineLoad(count, 1, 10, has_first_map)
        for engine, count in zip(engines, requests, strict=True)
    }
    now = 10 * step_share * PAUSE
    call = make_call(now, 0, level, late=late)
    found = filter_by_level(
        call,
        engines,
        loads,
        make_step_times(step_share * PAUSE),
        now,
        random.Random(seed),
        LEVELS,
        level,
        STEPS,
        EntryShare(0, len(engines), 1),
        is_protected=is_protected,
    )
    return {engine.name for engine in found}


class TestShares:
    @pytest.mark.parametrize(
        ("level", "late", "share"),
        [
            (-1, False, 1.2),
            (0, False, 1.2),
            (2, False, 1.0),
            (4, False, 0.8),
            (9, False, 0.8),
            (0, True, 0.8),
            (2, True, 0.6),
            (4, True, 0.4),
        ],
    )
    def test_lower_levels_leave_slots_to_those_above(
        self, level: int, *, late: bool, share: float
    ) -> None:
        """Guards against slots filled by the least urgent."""
        assert max_slot_share(LEVELS, level, late=late) == pytest.approx(share)

    @pytest.mark.parametrize(
        ("level", "late", "ramp"),
        [
            (0, False, (0.7, 0.95)),
            (4, False, (0.45, 0.7)),
            (0, True, (0.6, 0.85)),
            (4, True, (0.35, 0.6)),
        ],
    )
    def test_lower_levels_leave_step_time_to_those_above(
        self, level: int, *, late: bool, ramp: tuple[float, float]
    ) -> None:
        """Guards against pauses that the least urgent make longer for all."""
        assert step_time_ramp(LEVELS, level, late=late) == pytest.approx(ramp)

    @pytest.mark.parametrize(
        ("level", "draw", "expected"),
        [(0, 0.0, False), (1, 0.2, True), (4, 0.2, True), (4, 0.25, False)],
    )
    def test_a_quarter_of_lower_calls_has_the_minimum_share(
        self, level: int, draw: float, *, expected: bool
    ) -> None:
        """Guards against starvation of the least urgent."""
        assert has_minimum_share(LEVELS, level, draw) is expected


class TestAdmission:
    @pytest.mark.parametrize(
        ("requests", "level", "late", "is_protected", "is_admitted"),
        [
            (5, 0, False, False, True),
            (6, 0, False, False, False),
            (3, 4, False, False, True),
            (4, 4, False, False, False),
            (5, 4, False, True, True),
            (3, 0, True, False, True),
            (4, 0, True, False, False),
            (1, 4, True, False, True),
            (2, 4, True, False, False),
            (2, 4, True, True, False),
        ],
    )
    def test_slots_decide(
        self,
        requests: int,
        level: int,
        *,
        late: bool,
        is_protected: bool,
        is_admitted: bool,
    ) -> None:
        """Guards against late calls and retries that use the minimum share."""
        found = admits([requests], level, late=late, is_protected=is_protected)
        assert bool(found) is is_admitted

    @pytest.mark.parametrize("slots", [0, 1, 2, 5])
    @pytest.mark.parametrize("has_first_map", [False, True])
    @pytest.mark.parametrize("late", [False, True])
    def test_an_idle_engine_admits_all_levels(
        self, slots: int, *, has_first_map: bool, late: bool
    ) -> None:
        """Guards against levels that engines with one slot lock out."""
        for level in range(len(LEVELS.priorities)):
            assert admits(
                [0],
                level,
                late=late,
                slots=slots,
                step_share=2.0,
                has_first_map=has_first_map,
            )

    @pytest.mark.parametrize("seed", range(200))
    def test_no_lower_level_is_admitted_where_a_higher_one_is_not(
        self, seed: int
    ) -> None:
        """Guards against inversions by loads, step times and few slots."""
        rng = random.Random(seed)
        slots = rng.choice((1, 2, 3, 5))
        requests = [rng.randint(0, slots + 1) for _ in range(4)]
        step_share, has_first_map = rng.uniform(0.3, 1.0), rng.random() < 0.2
        for late in (False, True):
            admitted = [
                admits(
                    requests,
                    level,
                    late=late,
                    slots=slots,
                    step_share=step_share,
                    has_first_map=has_first_map,
                    seed=seed,
                )
                for level in range(len(LEVELS.priorities))
            ]
            for higher, lower in pairwise(admitted):
                assert lower <= higher

    @pytest.mark.parametrize("seed", range(50))
    def test_fresh_calls_of_the_first_level_are_admitted_as_without_levels(
        self, seed: int
    ) -> None:
        """Guards against a first level that loses capacity to the reserves."""
        rng = random.Random(seed)
        requests = [rng.randint(0, 6) for _ in range(4)]
        step_share, has_first_map = rng.uniform(0.5, 1.0), rng.random() < 0.3
        engines = [make_engine(rank, 5) for rank in range(4)]
        loads = {
            engine.name: EngineLoad(count, 1, 10, has_first_map)
            for engine, count in zip(engines, requests, strict=True)
        }
        now = 10 * step_share * PAUSE
        today = filter_admissible(
            make_call(now, 0, 0),
            engines,
            loads,
            make_step_times(step_share * PAUSE),
            now,
            random.Random(seed),
            STEPS,
            EntryShare(0, 4, 1),
        )
        assert admits(
            requests, 0, step_share=step_share, has_first_map=has_first_map, seed=seed
        ) == {engine.name for engine in today}


class TestExceptions:
    def test_without_probe_answers_all_candidates_are_returned(self) -> None:
        """Guards against refusals because probes were lost."""
        engines = [make_engine(0, 5)]
        call, rng = make_call(0.0, 0, 4), random.Random(1)
        step_times = GroupStepTimes()
        assert (
            filter_by_level(call, engines, {}, step_times, 0.0, rng, LEVELS, 4)
            == engines
        )
        loads = {"i-0": EngineLoad(9, 1, 1)}
        begun = call._replace(response_started=True)
        assert (
            filter_by_level(begun, engines, loads, step_times, 0.0, rng, LEVELS, 4)
            == engines
        )
