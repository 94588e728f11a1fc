"""Admission by the pace of a group."""

import random
from typing import NamedTuple

import pytest

from mintsaddle.decisions.direct import (
    DirectCall,
    EngineLoad,
    EntryShare,
    GroupPaces,
    Incarnation,
    RankAssignment,
    Repeat,
    StepModel,
    admitting,
    may_wait_for_room,
    prefer_quick_groups,
)
from mintsaddle.decisions.direct._pace import (
    ALL_TO_ITSELF,
    STALL_SECONDS,
    admit_share,
)
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.values import Instant

ENTRIES, RANKS, SLOTS = 98, 64, 3
PAUSE = 0.15
OBJECTIVE = 0.5
STEPS_OF_STREAM = 17
CALLER_SECONDS = 2.0
DAY_SECONDS = 20.0


def step_seconds(running: int) -> float:
    """Return how long a step takes: one and a half times PAUSE when full."""
    return 0.03 + 0.001 * running


def make_call(now: Instant) -> DirectCall:
    route = ROUTE._replace(
        repeat=Repeat.RESUMABLE, longest_pause=PAUSE, objective=OBJECTIVE
    )
    return DirectCall("id", route, "s", "n", now, now + 8.0, due_at=now + OBJECTIVE)


def make_engine(rank: int) -> Incarnation:
    place = RankAssignment("g", 1, rank, RANKS, is_open=True)
    return Incarnation(f"i-{rank}", "s", f"{rank}:1", "a", SLOTS, False, 0.0, 1, place)


class Stream(NamedTuple):
    """One stream in the replay."""

    arrived_at: Instant
    steps: int = 0
    is_late: bool = False


class Replay:
    """One group that gets twice the streams that it bears on time."""

    def __init__(self, *, admits: bool) -> None:
        self._rng = random.Random(5)
        self._admits = admits
        self._paces = [GroupPaces() for _ in range(ENTRIES)]
        self._engines = [make_engine(rank) for rank in range(RANKS)]
        self._running: list[Stream] = []
        self._waiting: list[Stream] = []
        self._step = 0
        self.arrived = 0
        self.on_time = 0

    def run(self, rate: float) -> float:
        """Return the share of streams that are on time from start to end."""
        now = 0.0
        while now < DAY_SECONDS:
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
        paces = self._rng.choice(self._paces)
        paces.record("g", 1, self._step, at)
        mean = (len(self._running) + len(self._waiting)) / RANKS
        told = self._rng.sample(self._engines, 4)
        loads = {one.name: EngineLoad(round(mean), 1, self._step) for one in told}
        return bool(admitting(make_call(at), told, loads, paces, at, self._rng))

    def _advance(self, now: Instant, seconds: float) -> None:
        going = []
        for one in self._running:
            late = one.is_late or seconds > PAUSE
            moved = one._replace(steps=one.steps + 1, is_late=late)
            if moved.steps < STEPS_OF_STREAM:
                going.append(moved)
            else:
                self.on_time += not moved.is_late
        waiting = [
            one for one in self._waiting if now - one.arrived_at < CALLER_SECONDS
        ]
        free = RANKS * SLOTS - len(going)
        begun, self._waiting = waiting[:free], waiting[free:]
        for one in begun:
            going.append(one._replace(is_late=now - one.arrived_at > OBJECTIVE))
        self._running = going


class TestOverload:
    RATE = 100.0
    """Streams a second: twice what 120 running ones of 17 steps make."""

    def test_what_a_group_bears_is_on_time(self) -> None:
        """Guards against a crowd that makes everybody late."""
        assert Replay(admits=True).run(self.RATE) > 0.3

    def test_without_admission_hardly_anything_is(self) -> None:
        assert Replay(admits=False).run(self.RATE) < 0.1

    def test_a_calm_group_refuses_nothing(self) -> None:
        assert Replay(admits=True).run(30.0) > 0.9


class TestShares:
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
        assert admit_share(step, pause, late=late) == pytest.approx(share)


class TestPaces:
    def test_steps_of_one_epoch_give_the_pace(self) -> None:
        paces = GroupPaces()
        for at, epoch, step in ((0.0, 1, 5), (0.5, 1, 10), (0.4, 1, 9)):
            paces.record("g", epoch, step, at)
        assert paces.step_seconds("g", 0.5) == pytest.approx(0.1)

    def test_a_new_epoch_begins_anew(self) -> None:
        paces = GroupPaces()
        paces.record("g", 1, 500, 0.0)
        paces.record("g", 2, 3, 0.5)
        assert paces.step_seconds("g", 0.5) == 0.0
        paces.record("g", 1, 501, 0.6)
        paces.record("g", 2, 5, 0.7)
        assert paces.step_seconds("g", 0.7) == pytest.approx(0.1)


LOADS = {"i-0": EngineLoad(3, 1, 1), "i-1": EngineLoad(6, 1, 1)}
"""One engine whose places are taken, one with as many requests waiting."""


class TestSlowGroups:
    """A slow rank holds up its whole group, which then has few requests."""

    def make_ranked(self) -> list[Incarnation]:
        engines = [make_engine(rank) for rank in range(4)]
        quick = RankAssignment("q", 1, 0, RANKS, is_open=True)
        return [*engines[:2], *(one._replace(place=quick) for one in engines[2:])]

    def make_paces(self, *groups: str) -> GroupPaces:
        paces = GroupPaces()
        for group in groups:
            paces.record(group, 1, 0, 0.0)
            paces.record(group, 1, 2, 2 * 1.6 * PAUSE)
        return paces

    def test_streams_go_to_groups_that_bear_them_on_time(self) -> None:
        """Guards against streams for the slow group because it looks idle."""
        ranked = self.make_ranked()
        now = 2 * 1.6 * PAUSE
        tried, watched = prefer_quick_groups(
            make_call(now), ranked, self.make_paces("g"), now
        )
        assert tried == ranked[2:]
        assert watched == ranked[:1]

    def test_while_all_are_slow_all_are_tried(self) -> None:
        ranked = self.make_ranked()
        now = 2 * 1.6 * PAUSE
        paces = self.make_paces("g", "q")
        assert prefer_quick_groups(make_call(now), ranked, paces, now) == (ranked, [])


class TestStalls:
    """Ranks of a group that has lost one wait for it before they refuse."""

    def test_a_busy_group_that_begins_no_step_is_stalled(self) -> None:
        """Guards against streams that wait in a group that stands still."""
        paces = GroupPaces()
        for at in (0.0, 0.3, STALL_SECONDS):
            paces.record("g", 1, 7, at, is_busy=True)
        assert paces.is_stalled("g", STALL_SECONDS)
        paces.record("g", 1, 8, 0.8, is_busy=True)
        assert not paces.is_stalled("g", 0.8)

    def test_an_idle_group_is_not(self) -> None:
        paces = GroupPaces()
        for at, is_busy in ((0.0, False), (5.0, False), (5.1, True)):
            paces.record("g", 1, 7, at, is_busy=is_busy)
        assert not paces.is_stalled("g", 5.1)

    def test_a_group_that_nobody_polled_is_not(self) -> None:
        """Guards against a group that was idle between two requests."""
        paces = GroupPaces()
        for at in (0.0, 5.0):
            paces.record("g", 1, 7, at, is_busy=True)
        assert not paces.is_stalled("g", 5.0)

    def test_older_reports_change_nothing(self) -> None:
        paces = GroupPaces()
        paces.record("g", 1, 7, 0.0, is_busy=True)
        paces.record("g", 1, 6, 0.4, is_busy=True)
        assert paces.is_stalled("g", STALL_SECONDS)


class TestWaiting:
    def test_a_late_stream_waits_and_a_fresh_one_comes_back(self) -> None:
        """Guards against callers that are refused a second time."""
        fresh = make_call(0.0)
        returning = fresh._replace(due_at=0.0)
        assert not may_wait_for_room(fresh, {}, 0.1)
        assert may_wait_for_room(returning, {}, 0.1)
        assert not may_wait_for_room(returning, {}, 1.9)

    def test_a_fresh_stream_waits_for_a_group_that_has_just_formed(self) -> None:
        fresh = make_call(0.0)
        loads = {"i-0": EngineLoad(2, 2, 5, has_first_map=True)}
        assert may_wait_for_room(fresh, loads, 0.1)


class TestFirstMap:
    """A group that is back begins with a map that follows no popularity."""

    STEPS = StepModel(token_seconds=0.00585, request_seconds=0.00093, tokens=6)
    CALL_PAUSE = 0.12

    def found(
        self,
        requests: int,
        *,
        late: bool,
        step_seconds: float = 0.0,
        share: EntryShare = ALL_TO_ITSELF,
    ) -> list[Incarnation]:
        call = make_call(0.0)
        route = call.route._replace(longest_pause=self.CALL_PAUSE)
        call = call._replace(route=route, due_at=-1.0 if late else 9.0)
        paces = GroupPaces()
        if step_seconds:
            paces.record("g", 2, 0, 0.0)
            paces.record("g", 2, 10, 10 * step_seconds)
        engine = make_engine(0)._replace(slots=5)
        loads = {engine.name: EngineLoad(requests, 2, 10, has_first_map=True)}
        now, rng = 10 * step_seconds, random.Random(1)
        return admitting(call, [engine], loads, paces, now, rng, self.STEPS, share)

    @pytest.mark.parametrize(("requests", "let_in"), [(0, True), (2, True), (3, False)])
    def test_only_what_it_bears_on_time_is_let_in(
        self, requests: int, *, let_in: bool
    ) -> None:
        """Guards against a return at which everybody is late by pauses."""
        assert bool(self.found(requests, late=False)) is let_in

    @pytest.mark.parametrize(("requests", "let_in"), [(0, True), (1, True), (2, False)])
    def test_late_streams_leave_places_to_fresh_ones(
        self, requests: int, *, let_in: bool
    ) -> None:
        assert bool(self.found(requests, late=True)) is let_in

    def test_observed_steps_tell_more_than_the_model(self) -> None:
        """Guards against refusals by a group whose first map does well."""
        assert self.found(3, late=False, step_seconds=0.06)

    @pytest.mark.parametrize(
        ("in_flight", "late", "let_in"),
        [(2, True, True), (3, True, False), (7, False, True), (8, False, False)],
    )
    def test_an_entry_keeps_to_its_share_while_engines_look_idle(
        self, in_flight: int, *, late: bool, let_in: bool
    ) -> None:
        """Guards against a crowd that arrives before engines tell of it."""
        share = EntryShare(in_flight, engines=RANKS, entries=40)
        assert bool(self.found(0, late=late, share=share)) is let_in

    def test_without_a_published_model_all_places_count(self) -> None:
        engine = make_engine(0)._replace(slots=5)
        loads = {engine.name: EngineLoad(4, 2, 10, has_first_map=True)}
        rng = random.Random(1)
        paces = GroupPaces()
        found = admitting(make_call(0.0), [engine], loads, paces, 0.0, rng)
        assert found == [engine]


class TestExceptions:
    def test_a_stream_that_has_begun_always_goes_on(self) -> None:
        engines = [make_engine(1)]
        call = make_call(0.0)._replace(began=True)
        rng = random.Random(1)
        found = admitting(call, engines, LOADS, GroupPaces(), 0.0, rng)
        assert found == engines

    def test_an_engine_with_a_long_queue_is_left_out(self) -> None:
        engines = [make_engine(0), make_engine(1)]
        rng = random.Random(1)
        found = admitting(make_call(0.0), engines, LOADS, GroupPaces(), 0.0, rng)
        assert found == engines[:1]
