"""One rank group under overload, in virtual time.

Callers that aren't admitted retry a few times and are late by then.
"""

import random
from collections import Counter
from collections.abc import Sequence

from mintsaddle.decisions.direct import (
    DirectCall,
    EngineLoad,
    GroupStepTimes,
    Incarnation,
    choose_by_load,
    choose_urgency,
    filter_admissible,
    is_late,
)
from mintsaddle.decisions.overload import (
    CallPriority,
    PriorityLevels,
    filter_by_level,
    has_minimum_share,
)
from mintsaddle.decisions.overload.tests.samples import (
    OBJECTIVE,
    PAUSE,
    make_call,
    make_engine,
)
from mintsaddle.values import Instant

RANKS, SLOTS, PROBES = 32, 5, 4
STEPS_OF_STREAM = 17
BASE_SECONDS, REQUEST_SECONDS = 0.052, 0.00837
"""Step time of an idle group, and what one more request at each engine adds:
the published model with an outdated expert map."""

RETRY_SECONDS, MAX_RETRIES = 1.0, 3
WINDOW_SECONDS = 2.0
FULL_STEP_SECONDS = BASE_SECONDS + REQUEST_SECONDS * SLOTS
CAPACITY = RANKS * SLOTS / (STEPS_OF_STREAM * FULL_STEP_SECONDS)
"""Streams per second that the group completes with all slots taken."""

LEVELS = PriorityLevels(tuple(CallPriority(w, r) for w in (0, 1) for r in (0, 1)))
LAST = len(LEVELS.priorities) - 1


class Caller:
    """One caller and the progress of its stream."""

    def __init__(self, at: Instant, level: int, *, is_protected: bool) -> None:
        self.at = at
        self.level = level
        self.is_protected = is_protected
        self.attempts = 0
        self.urgency = 0
        self.steps = 0
        self.on_time = True


class Simulation:
    """One group with entries that send streams of all levels."""

    def __init__(self, entries: int, *, by_level: bool, seed: int = 5) -> None:
        self._rng = random.Random(seed)
        self._by_level = by_level
        self._step_times = [GroupStepTimes() for _ in range(entries)]
        self._engines = [make_engine(rank, SLOTS, RANKS) for rank in range(RANKS)]
        self._queued: list[list[Caller]] = [[] for _ in self._engines]
        self._running: list[list[Caller]] = [[] for _ in self._engines]
        self._retries: list[tuple[Instant, Caller]] = []
        self._step = 0
        self._now = 0.0
        self.arrived: Counter[tuple[int, int]] = Counter()
        """Callers by window and level; the same keys are used below."""

        self.served: Counter[tuple[int, int]] = Counter()
        self.on_time: Counter[tuple[int, int]] = Counter()
        self.utilisation: list[tuple[Instant, float]] = []
        """Share of the slots that are taken, by instant."""

    def run(self, rates: Sequence[float], seconds: float) -> None:
        """Send streams at a rate for each level, in streams per second."""
        until = self._now + seconds
        while self._now < until:
            running = sum(map(len, self._running))
            length = BASE_SECONDS + REQUEST_SECONDS * running / RANKS
            arrivals = self._draw_arrivals(rates, length)
            # Engines report new requests one step late.
            requests = [
                len(queued) + len(taken)
                for queued, taken in zip(self._queued, self._running, strict=True)
            ]
            for at, caller in sorted(arrivals, key=lambda arrival: arrival[0]):
                self._attempt(at, caller, requests)
            self._now += length
            self._step += 1
            self._advance(length)
            taken = sum(map(len, self._running)) / (RANKS * SLOTS)
            self.utilisation.append((self._now, taken))

    def _draw_arrivals(
        self, rates: Sequence[float], length: float
    ) -> list[tuple[Instant, Caller]]:
        until = self._now + length
        arrivals = [retry for retry in self._retries if retry[0] < until]
        self._retries = [retry for retry in self._retries if retry[0] >= until]
        for level, rate in enumerate(rates):
            for _ in range(int(rate * length + self._rng.random())):
                at = self._now + length * self._rng.random()
                protected = has_minimum_share(LEVELS, level, self._rng.random())
                caller = Caller(at, level, is_protected=protected)
                self.arrived[self._key(caller)] += 1
                arrivals.append((at, caller))
        return arrivals

    def _attempt(self, at: Instant, caller: Caller, requests: list[int]) -> None:
        caller.attempts += 1
        priority = LEVELS.priorities[caller.level]
        late = caller.attempts > 1
        call = make_call(at, priority.workspace, priority.route, late=late)
        step_times = self._rng.choice(self._step_times)
        step_times.record("g", 1, self._step, at)
        probed = self._rng.sample(self._engines, PROBES)
        loads = {
            engine.name: EngineLoad(requests[self._rank(engine)], 1, self._step)
            for engine in probed
        }
        admitted = self._filter(call, caller, probed, loads, step_times, at)
        if admitted:
            counts = {name: load.requests for name, load in loads.items()}
            rank = self._rank(choose_by_load(admitted, counts))
            self._queued[rank].append(caller)
        elif caller.attempts <= MAX_RETRIES:
            delay = RETRY_SECONDS * self._rng.uniform(0.8, 1.2)
            self._retries.append((at + delay, caller))

    def _filter(
        self,
        call: DirectCall,
        caller: Caller,
        probed: list[Incarnation],
        loads: dict[str, EngineLoad],
        step_times: GroupStepTimes,
        at: Instant,
    ) -> list[Incarnation]:
        if not self._by_level:
            caller.urgency = choose_urgency(call, at)
            return filter_admissible(call, probed, loads, step_times, at, self._rng)
        late = is_late(call, at)
        level = 0 if caller.is_protected and not late else caller.level
        caller.urgency = LEVELS.urgency_of(level, late=late)
        return filter_by_level(
            call,
            probed,
            loads,
            step_times,
            at,
            self._rng,
            LEVELS,
            caller.level,
            is_protected=caller.is_protected,
        )

    def _advance(self, length: float) -> None:
        for rank, running in enumerate(self._running):
            for caller in running:
                caller.steps += 1
                caller.on_time &= length <= PAUSE
                if caller.steps == STEPS_OF_STREAM:
                    self.served[self._key(caller)] += 1
                    self.on_time[self._key(caller)] += caller.on_time
            kept = [caller for caller in running if caller.steps < STEPS_OF_STREAM]
            self._queued[rank].sort(key=lambda caller: (caller.urgency, caller.at))
            free = SLOTS - len(kept)
            started = self._queued[rank][:free]
            self._queued[rank] = self._queued[rank][free:]
            for caller in started:
                # The first event comes at the end of the next step.
                caller.on_time = self._now + length - caller.at <= OBJECTIVE
            self._running[rank] = kept + started

    def _key(self, caller: Caller) -> tuple[int, int]:
        return int(caller.at / WINDOW_SECONDS), caller.level

    def _rank(self, engine: Incarnation) -> int:
        assert engine.assignment is not None
        return engine.assignment.rank
