"""Admission by the step time of a group."""

import random
from typing import NamedTuple

import pytest

from mintsaddle.decisions.direct import (
    DirectCall,
    EngineLoad,
    EntryShare,
    GroupStepTimes,
    Incarnation,
    RankAssignment,
    Repeat,
    StepModel,
    filter_admissible,
    may_wait_for_slot,
    prefer_quick_groups,
)
from mintsaddle.decisions.direct._pace import (
    SOLE_ENTRY_SHARE,
    STALL_SECONDS,
    admission_share,
)
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.values import Instant

ENTRIES, RANKS, SLOTS = 98, 64, 3
PAUSE = 0.15
OBJECTIVE = 0.5
STEPS_OF_STREAM = 17
TIMEOUT_SECONDS = 2.0
RUN_SECONDS = 20.0


def step_seconds(running: int) -> float:
    """Return the step time; with all slots taken, about 1.5 times PAUSE."""
    return 0.03 + 0.001 * running


def make_call(now: Instant) -> DirectCall:
    route = ROUTE._replace(
        repeat=Repeat.RESUMABLE, longest_pause=PAUSE, objective=OBJECTIVE
    )
    return DirectCall("id", route, "s", "n", now, now + 8.0, due_at=now + OBJECTIVE)


def make_engine(rank: int) -> Incarnation:
    assignment = RankAssignment("g", 1, rank, RANKS, is_open=True)
    return Incarnation(
        f"i-{rank}", "s", f"{rank}:1", "a", SLOTS, False, 0.0, 1, assignment
    )


class Stream(NamedTuple):
    """One stream in the simulation."""

    arrived_at: Instant
    steps: int = 0
    is_late: bool = False


class Simulation:
    """One group with entries that send streams at a given rate."""

    def __init__(self, *, admits: bool) -> None:
        self._rng = random.Random(5)
        self._admits = admits
        self._step_times = [GroupStepTimes() for _ in range(ENTRIES)]
        self._engines = [make_engine(rank) for rank in range(RANKS)]
        self._running: list[Stream] = []
        self._waiting: list[Stream] = []
        self._step = 0
        self.arrived = 0
        self.on_time = 0

    def run(self, rate: float) -> float:
        """Return the share of streams that are on time from start to end."""
        now = 0.0
        while now < RUN_SECONDS:
            seconds = step_seconds(len(self._running))
            self._arrive(now, seconds, rate)
            now += seconds
            self._step += 1
            self._advance(now, seconds)
        return self.on_time / self.arrived

    def _arrive(self, now: Instant, seconds: float, rate: float) -> None:
        for _ in range(int(rate * seconds + self._rng.random())):
            at = now + seconds * self._rng.random()
            self.arrived += 1
            if not self._admits or self._is_admitted(at):
                self._waiting.append(Stream(at))

    def _is_admitted(self, at: Instant) -> bool:
        step_times = self._rng.choice(self._step_times)
        step_times.record("g", 1, self._step, at)
        mean = (len(self._running) + len(self._waiting)) / RANKS
        probed = self._rng.sample(self._engines, 4)
        loads = {
            engine.name: EngineLoad(round(mean), 1, self._step) for engine in probed
        }
        return bool(
            filter_admissible(make_call(at), probed, loads, step_times, at, self._rng)
        )

    def _advance(self, now: Instant, seconds: float) -> None:
        running = []
        for stream in self._running:
            late = stream.is_late or seconds > PAUSE
            moved = stream._replace(steps=stream.steps + 1, is_late=late)
            if moved.steps < STEPS_OF_STREAM:
                running.append(moved)
            else:
                self.on_time += not moved.is_late
        waiting = [
            stream
            for stream in self._waiting
            if now - stream.arrived_at < TIMEOUT_SECONDS
        ]
        free = RANKS * SLOTS - len(running)
        started, self._waiting = waiting[:free], waiting[free:]
        for stream in started:
            running.append(stream._replace(is_late=now - stream.arrived_at > OBJECTIVE))
        self._running = running


class TestOverload:
    RATE = 100.0
    """Streams per second: twice what 120 running ones of 17 steps complete."""

    def test_streams_within_capacity_are_on_time(self) -> None:
        """Guards against an overload that makes all streams late."""
        assert Simulation(admits=True).run(self.RATE) > 0.3

    def test_without_admission_most_streams_are_late(self) -> None:
        assert Simulation(admits=False).run(self.RATE) < 0.1

    def test_a_calm_group_refuses_nothing(self) -> None:
        assert Simulation(admits=True).run(30.0) > 0.9


class TestAdmissionShare:
    @pytest.mark.parametrize(
        ("step", "pause", "late", "share"),
        [
            (0.0, PAUSE, False, 1.0),
            (0.1, PAUSE, False, 1.0),
            (0.12375, PAUSE, False, 0.5),
            (0.15, PAUSE, False, 0.0),
            (0.12375, PAUSE, True, 0.1),
            (9.0, 0.0, False, 1.0),
        ],
    )
    def test_it_falls_as_steps_get_longer(
        self, step: float, pause: float, *, late: bool, share: float
    ) -> None:
        assert admission_share(step, pause, late=late) == pytest.approx(share)


class TestStepTimes:
    def test_steps_of_one_epoch_give_the_step_time(self) -> None:
        step_times = GroupStepTimes()
        for at, epoch, step in ((0.0, 1, 5), (0.5, 1, 10), (0.4, 1, 9)):
            step_times.record("g", epoch, step, at)
        assert step_times.step_seconds("g", 0.5) == pytest.approx(0.1)

    def test_a_new_epoch_resets_the_step_time(self) -> None:
        step_times = GroupStepTimes()
        step_times.record("g", 1, 500, 0.0)
        step_times.record("g", 2, 3, 0.5)
        assert step_times.step_seconds("g", 0.5) == 0.0
        step_times.record("g", 1, 501, 0.6)
        step_times.record("g", 2, 5, 0.7)
        assert step_times.step_seconds("g", 0.7) == pytest.approx(0.1)


LOADS = {"i-0": EngineLoad(3, 1, 1), "i-1": EngineLoad(6, 1, 1)}
"""One engine with all slots taken, and one with as many requests queued."""


class TestSlowGroups:
    """A slow rank slows its whole group, which then gets few requests."""

    def make_ranked(self) -> list[Incarnation]:
        engines = [make_engine(rank) for rank in range(4)]
        quick = RankAssignment("q", 1, 0, RANKS, is_open=True)
        return [
            *engines[:2],
            *(engine._replace(assignment=quick) for engine in engines[2:]),
        ]

    def make_step_times(self, *groups: str) -> GroupStepTimes:
        step_times = GroupStepTimes()
        for group in groups:
            step_times.record(group, 1, 0, 0.0)
            step_times.record(group, 1, 2, 2 * 1.6 * PAUSE)
        return step_times

    def test_streams_go_to_groups_that_serve_them_on_time(self) -> None:
        """Guards against streams sent to the slow group for its low load."""
        ranked = self.make_ranked()
        now = 2 * 1.6 * PAUSE
        tried, polled = prefer_quick_groups(
            make_call(now), ranked, self.make_step_times("g"), now
        )
        assert tried == ranked[2:]
        assert polled == ranked[:1]

    def test_while_all_are_slow_all_are_tried(self) -> None:
        ranked = self.make_ranked()
        now = 2 * 1.6 * PAUSE
        step_times = self.make_step_times("g", "q")
        assert prefer_quick_groups(make_call(now), ranked, step_times, now) == (
            ranked,
            [],
        )


class TestStalls:
    """Ranks of a group that has lost one wait for it before they refuse."""

    def test_a_busy_group_that_begins_no_step_is_stalled(self) -> None:
        """Guards against streams that are sent to a stalled group."""
        step_times = GroupStepTimes()
        for at in (0.0, 0.3, STALL_SECONDS):
            step_times.record("g", 1, 7, at, is_busy=True)
        assert step_times.is_stalled("g", STALL_SECONDS)
        step_times.record("g", 1, 8, 0.8, is_busy=True)
        assert not step_times.is_stalled("g", 0.8)

    def test_an_idle_group_is_not(self) -> None:
        step_times = GroupStepTimes()
        for at, is_busy in ((0.0, False), (5.0, False), (5.1, True)):
            step_times.record("g", 1, 7, at, is_busy=is_busy)
        assert not step_times.is_stalled("g", 5.1)

    def test_a_group_that_nobody_polled_is_not(self) -> None:
        """Guards against a stall seen in a group that was idle in between."""
        step_times = GroupStepTimes()
        for at in (0.0, 5.0):
            step_times.record("g", 1, 7, at, is_busy=True)
        assert not step_times.is_stalled("g", 5.0)

    def test_older_reports_change_nothing(self) -> None:
        step_times = GroupStepTimes()
        step_times.record("g", 1, 7, 0.0, is_busy=True)
        step_times.record("g", 1, 6, 0.4, is_busy=True)
        assert step_times.is_stalled("g", STALL_SECONDS)


class TestWaiting:
    def test_a_late_stream_waits_and_a_fresh_one_comes_back(self) -> None:
        """Guards against callers that are refused again when they retry."""
        fresh = make_call(0.0)
        returning = fresh._replace(due_at=0.0)
        assert not may_wait_for_slot(fresh, {}, 0.1)
        assert may_wait_for_slot(returning, {}, 0.1)
        assert not may_wait_for_slot(returning, {}, 1.9)

    def test_a_fresh_stream_waits_for_a_group_that_has_just_formed(self) -> None:
        fresh = make_call(0.0)
        loads = {"i-0": EngineLoad(2, 2, 5, has_first_map=True)}
        assert may_wait_for_slot(fresh, loads, 0.1)


class TestFirstMap:
    """A group that has formed again starts with a map without popularity."""

    STEPS = StepModel(token_seconds=0.00585, request_seconds=0.00093, tokens=6)
    CALL_PAUSE = 0.12

    def filter_engine(
        self,
        requests: int,
        *,
        late: bool,
        step_seconds: float = 0.0,
        share: EntryShare = SOLE_ENTRY_SHARE,
    ) -> list[Incarnation]:
        call = make_call(0.0)
        route = call.route._replace(longest_pause=self.CALL_PAUSE)
        call = call._replace(route=route, due_at=-1.0 if late else 9.0)
        step_times = GroupStepTimes()
        if step_seconds:
            step_times.record("g", 2, 0, 0.0)
            step_times.record("g", 2, 10, 10 * step_seconds)
        engine = make_engine(0)._replace(slots=5)
        loads = {engine.name: EngineLoad(requests, 2, 10, has_first_map=True)}
        now, rng = 10 * step_seconds, random.Random(1)
        return filter_admissible(
            call, [engine], loads, step_times, now, rng, self.STEPS, share
        )

    @pytest.mark.parametrize(
        ("requests", "is_admitted"), [(0, True), (2, True), (3, False)]
    )
    def test_only_what_it_can_serve_on_time_is_admitted(
        self, requests: int, *, is_admitted: bool
    ) -> None:
        """Guards against long pauses of all streams when a group is back."""
        assert bool(self.filter_engine(requests, late=False)) is is_admitted

    @pytest.mark.parametrize(
        ("requests", "is_admitted"), [(0, True), (1, True), (2, False)]
    )
    def test_late_streams_leave_slots_to_fresh_ones(
        self, requests: int, *, is_admitted: bool
    ) -> None:
        assert bool(self.filter_engine(requests, late=True)) is is_admitted

    def test_observed_steps_override_the_model(self) -> None:
        """Guards against refusals while the first map is balanced enough."""
        assert self.filter_engine(3, late=False, step_seconds=0.06)

    @pytest.mark.parametrize(
        ("in_flight", "late", "is_admitted"),
        [(2, True, True), (3, True, False), (7, False, True), (8, False, False)],
    )
    def test_an_entry_keeps_to_its_share_while_engines_look_idle(
        self, in_flight: int, *, late: bool, is_admitted: bool
    ) -> None:
        """Guards against a burst that arrives before engines report it."""
        share = EntryShare(in_flight, engines=RANKS, entries=40)
        assert bool(self.filter_engine(0, late=late, share=share)) is is_admitted

    def test_without_a_published_model_all_slots_count(self) -> None:
        engine = make_engine(0)._replace(slots=5)
        loads = {engine.name: EngineLoad(4, 2, 10, has_first_map=True)}
        rng = random.Random(1)
        step_times = GroupStepTimes()
        found = filter_admissible(make_call(0.0), [engine], loads, step_times, 0.0, rng)
        assert found == [engine]


class TestExceptions:
    def test_a_stream_that_has_begun_is_always_admitted(self) -> None:
        engines = [make_engine(1)]
        call = make_call(0.0)._replace(response_started=True)
        rng = random.Random(1)
        found = filter_admissible(call, engines, LOADS, GroupStepTimes(), 0.0, rng)
        assert found == engines

    def test_an_engine_with_a_long_queue_is_left_out(self) -> None:
        engines = [make_engine(0), make_engine(1)]
        rng = random.Random(1)
        found = filter_admissible(
            make_call(0.0), engines, LOADS, GroupStepTimes(), 0.0, rng
        )
        assert found == engines[:1]
