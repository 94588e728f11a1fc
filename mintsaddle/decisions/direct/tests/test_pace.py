"""Admission by the pace of a group."""

import random
from typing import NamedTuple

import pytest

from mintsaddle.decisions.direct import (
    DirectCall,
    EngineLoad,
    GroupPaces,
    Incarnation,
    RankPlace,
    Repeat,
    admitting,
    may_wait_for_room,
)
from mintsaddle.decisions.direct._pace import admit_share
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
    place = RankPlace("g", 1, rank, RANKS, is_open=True)
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


class TestWaiting:
    def test_a_late_stream_waits_and_a_fresh_one_comes_back(self) -> None:
        """Guards against callers that are refused a second time."""
        fresh = make_call(0.0)
        returning = fresh._replace(due_at=0.0)
        assert not may_wait_for_room(fresh, 0.1)
        assert may_wait_for_room(returning, 0.1)
        assert not may_wait_for_room(returning, 1.9)


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
