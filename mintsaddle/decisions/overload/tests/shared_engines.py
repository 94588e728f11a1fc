"""Entries that share the engines of rank groups, in virtual time.

Entries decide as in the I/O code, by loads as of the last step. They know at
once which groups are up, and all endpoints are in one data centre.
"""

import random
from collections.abc import Mapping, Sequence
from statistics import mean

from mintsaddle.decisions import direct, overload
from mintsaddle.decisions.direct import DirectCall, EngineLoad, Incarnation
from mintsaddle.decisions.overload import CallQueue
from mintsaddle.decisions.overload.tests.engine_groups import (
    LAST,
    LEVELS,
    STEPS,
    STEPS_OF_STREAM,
    USUAL_SKEW,
    Engine,
    Entry,
    Group,
    Stream,
    Waiting,
)
from mintsaddle.decisions.overload.tests.samples import PAUSE
from mintsaddle.values import Instant

TICK_SECONDS = 0.02
ATTEMPT_INTERVAL_SECONDS, FIRST_TURN_SECONDS = 0.1, 0.1
MAX_WAITING_CALLS = 64


class Fleet:
    """Entries and the rank groups that they share.

    They admit by "levels", by the "reversed" levels, all calls alike
    ("direct"), or everything ("none").
    """

    def __init__(
        self,
        entries: int,
        groups: int,
        ranks: int,
        *,
        seed: int = 1,
        admission: str = "levels",
        queue_type: type[CallQueue] = CallQueue,
    ) -> None:
        self.rng = random.Random(seed)
        self._admission, self._queue_type = admission, queue_type
        self.now: Instant = 100.0
        self.skew = USUAL_SKEW
        self.groups = [Group(f"g{number}", ranks) for number in range(groups)]
        self.engines = {e.name: e for group in self.groups for e in group.engines}
        self.entries = [self.make_entry() for _ in range(entries)]
        self.outcomes: dict[str, str] = {}
        self.completed: dict[str, bool] = {}
        """Completed calls, and whether each was on time."""
        for group in self.groups:
            group.begin_step(self.now, self.skew)

    def make_entry(self) -> Entry:
        """Return an entry without calls."""
        return Entry(self._queue_type(MAX_WAITING_CALLS))

    def restart(self, number: int) -> None:
        """Replace an entry, whose callers lose their connections."""
        entry, self.entries[number] = self.entries[number], self.make_entry()
        for key in [*entry.waiting, *(call.request_id for call in entry.arrived)]:
            self._end(key, "lost")

    def lose_or_restore(self, group: Group) -> None:
        """Lose a group, whose streams are resumed at others, or restore it."""
        group.is_up = not group.is_up
        if group.is_up:
            group.epoch, group.step = group.epoch + 1, 0
            group.begin_step(self.now, self.skew)
        for engine in group.engines:
            streams = engine.running + engine.queued
            engine.running, engine.queued = [], []
            for stream in streams if self._ranked() else ():
                ranked = self._ranked()
                counts = self._probe(stream.entry, ranked, [])
                chosen = direct.choose_by_load(
                    ranked, {name: load.requests for name, load in counts.items()}
                )
                self.engines[chosen.name].queued.append(stream)
                stream.was_probed, stream.urgency = False, 0
                stream.on_time &= stream.steps == 0

    def tick(self) -> None:
        """Let a time step pass."""
        self.now += TICK_SECONDS
        for group in self.groups:
            while group.is_up and group.step_ends_at <= self.now:
                for engine in group.engines:
                    self._advance_streams(engine, group.step_ends_at)
                group.begin_step(group.step_ends_at, self.skew)
        for entry in self.rng.sample(self.entries, len(self.entries)):
            if not entry.is_frozen:
                self._poll(entry)

    def _advance_streams(self, engine: Engine, at: Instant) -> None:
        group, seconds = engine.group.name, engine.group.step_seconds
        for stream in engine.running:
            call, entry = stream.call, stream.entry
            stream.steps += 1
            if stream.steps == 1:
                stream.on_time = at <= call.due_at
                continue
            stream.on_time &= seconds <= PAUSE
            if group in entry.requests and not entry.is_frozen:
                expected = STEPS.step_seconds(round(entry.requests[group]))
                entry.skews.record_pause(group, call.request_id, seconds, expected, at)
            if stream.steps == STEPS_OF_STREAM:
                self.completed[call.request_id] = stream.on_time
        engine.running = [s for s in engine.running if s.steps < STEPS_OF_STREAM]

    def _poll(self, entry: Entry) -> None:
        """Let the thread of each call of an entry go on, in any order."""
        if not self._ranked():
            for key, waiting in entry.waiting.items():
                entry.queue.remove(key)
                entry.arrived.append(waiting.call)
            entry.waiting = {}
            for call in entry.arrived:
                if self.now >= direct.hold_until(call):
                    self._end(call.request_id, "refused")
            entry.arrived = [
                call for call in entry.arrived if call.request_id not in self.outcomes
            ]
            return
        for call in entry.arrived:
            self._begin(entry, call)
        entry.arrived = []
        keys = self.rng.sample(list(entry.waiting), len(entry.waiting))
        while sum(key in entry.waiting and self._go_on(entry, key) for key in keys):
            continue

    def _begin(self, entry: Entry, call: DirectCall) -> None:
        now, level = self.now, LEVELS.level_of(call)
        draw = random.Random(call.request_id).random()
        is_protected = overload.has_minimum_share(LEVELS, level, draw)
        first_turn_until = min(now + FIRST_TURN_SECONDS, direct.hold_until(call))
        until = max(overload.wait_deadline(call, now), first_turn_until)
        waiting = Waiting(call, level, is_protected, until)
        if entry.queue.enqueue(call, level, now, is_protected=is_protected):
            entry.waiting[call.request_id] = waiting
        else:
            self._end(call.request_id, "refused")

    def _go_on(self, entry: Entry, key: str) -> bool:
        """Return whether the call was placed."""
        now, waiting = self.now, entry.waiting[key]
        is_placed = False
        if not entry.queue.is_displaced(key):
            if entry.queue.may_attempt(key, now):
                if now < min(entry.attempt_at.get(key, now), waiting.until):
                    return False
                is_placed = self._attempt(entry, waiting)
                entry.attempt_at[key] = now + ATTEMPT_INTERVAL_SECONDS
            if now < waiting.until and not is_placed:
                return False
        if is_placed:
            # All that wait for a slot try again.
            entry.attempt_at.clear()
        entry.queue.remove(key)
        del entry.waiting[key]
        self._end(key, "placed" if is_placed else "refused")
        return is_placed

    def _end(self, key: str, outcome: str) -> None:
        assert key not in self.outcomes, "ends twice"
        self.outcomes[key] = outcome

    def _ranked(self) -> list[Incarnation]:
        found = [e.incarnation for e in self.engines.values() if e.group.is_up]
        return direct.group_leaders_first(self.rng.sample(found, len(found)))

    def _attempt(self, entry: Entry, waiting: Waiting) -> bool:
        call, now, times = waiting.call, self.now, entry.step_times
        quick, slow = direct.prefer_quick_groups(call, self._ranked(), times, now)
        loads = self._probe(entry, quick, slow)
        admitted = self.admit(entry, waiting, quick[: direct.MAX_PROBES], loads)
        if not admitted:
            return False
        late, level, _ = waiting.order(now)
        urgency = LEVELS.urgency_of(level, late=late)
        if self._admission == "direct":
            urgency = direct.choose_urgency(call, now)
        counts = {name: load.requests for name, load in loads.items()}
        seconds = {g.name: times.step_seconds(g.name, now) for g in self.groups}
        engine = self.engines[direct.choose_by_load(admitted, counts, seconds).name]
        engine.queued.append(Stream(call, entry, urgency, was_probed=bool(loads)))
        engine.placed += bool(loads)
        engine.most_placed = max(engine.most_placed, engine.placed)
        return True

    def admit(
        self,
        entry: Entry,
        waiting: Waiting,
        engines: list[Incarnation],
        loads: Mapping[str, EngineLoad],
    ) -> list[Incarnation]:
        """Return the engines that a call may be sent to."""
        now, level = self.now, waiting.level
        facts = waiting.call, engines, loads, entry.step_times, now, self.rng
        if self._admission == "none":
            return engines
        if self._admission == "direct":
            return direct.filter_admissible(*facts, STEPS)
        level = LAST - level if self._admission == "reversed" else level
        skews = {g.name: entry.skews.largest_skew(g.name, now) for g in self.groups}
        protected = waiting.is_protected
        return overload.filter_by_level(
            *facts, LEVELS, level, STEPS, is_protected=protected, skews=skews
        )

    def _probe(
        self, entry: Entry, ranked: Sequence[Incarnation], slow: Sequence[Incarnation]
    ) -> dict[str, EngineLoad]:
        loads: dict[str, EngineLoad] = {}
        reported: dict[str, list[int]] = {}
        count = 0 if entry.is_probe_lost else direct.MAX_PROBES
        for first in range(0, count, direct.PROBES_PER_ROUND):
            probed = ranked[first : first + direct.PROBES_PER_ROUND]
            for each in [*probed, *(slow if first == 0 else ())]:
                requests, group = (
                    self.engines[each.name].reported,
                    self.engines[each.name].group,
                )
                loads[each.name] = EngineLoad(requests, group.epoch, group.step)
                reported.setdefault(group.name, []).append(requests)
                entry.step_times.record(
                    group.name, group.epoch, group.step, self.now, is_busy=True
                )
            if direct.has_free_slot(probed, {k: v.requests for k, v in loads.items()}):
                break
        entry.requests |= {group: mean(found) for group, found in reported.items()}
        return loads
