"""Replays entries that share rank groups while engines end.

On virtual time: entries decide with the real ledger and leases; the ways of
messages between them are simulated, with their delays.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

from mintsaddle.decisions.quarantine import (
    SURVIVAL_SECONDS,
    CrashLedger,
    Feature,
    RequestFeatures,
    TrialLeases,
    Verdict,
    rank_arbiters,
)
from mintsaddle.decisions.quarantine.tests.fleet import (
    CONTACT_SECONDS,
    CRASHING_PART,
    EVENT_SECONDS,
    FIRST_PART,
    GOSSIP_SECONDS,
    HOLD_SECONDS,
    POLL_SECONDS,
    RETURN_SECONDS,
    SESSIONS,
    STALL_SECONDS,
    STREAM_SECONDS,
    Entry,
    Group,
    Request,
    Running,
    Scenario,
)


class FleetReplay:
    """One replay; the results are read after it has run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.crashing_ends: list[float] = []
        self.crashing_arrivals: list[float] = []
        """When entries in touch have sent requests that end engines."""

        self.sound_begun: list[float] = []
        self.sound_refused: list[tuple[float, Verdict]] = []
        """Sound requests refused because of a verdict."""

        self._rng = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(10_000)
        self._groups = [
            Group(f"group-{n}", scenario.ranks) for n in range(scenario.groups)
        ]
        self._entries = [Entry(f"entry-{n}") for n in range(scenario.entries)]

    def run(self) -> "FleetReplay":
        """Run the replay to its end."""
        scenario = self.scenario
        for rate, is_crashing in (
            (scenario.sound_per_second, False),
            (scenario.crashing_per_second, True),
        ):
            if rate:
                self._schedule_arrivals(rate, is_crashing=is_crashing)
        for at in scenario.crash_at:
            self._at(at, self._crash_any_engine)
        for entry in self._entries:
            self._at(self._rng.random(), partial(self._gossip, entry))
        self._at(5.0, self._silence_entries)
        if scenario.restarts_at is not None:
            self._at(scenario.restarts_at, self._restart_entries)
        while self._events and self._events[0][0] < scenario.seconds:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _schedule_arrivals(self, rate: float, *, is_crashing: bool) -> None:
        at = 3.0 if is_crashing else 0.0
        while (at := at + self._rng.expovariate(rate)) < self.scenario.seconds:
            self._at(at, lambda: self._arrive(is_crashing=is_crashing))

    def _arrive(self, *, is_crashing: bool) -> None:
        number = next(self._numbers)
        session = Feature(100 + self._rng.randrange(SESSIONS))
        middle = CRASHING_PART if is_crashing else session
        features = RequestFeatures((FIRST_PART, middle), Feature(number))
        entry = self._rng.choice(self._entries)
        self._pass(entry, Request(number, features, is_crashing, self._now))

    def _pass(self, entry: Entry, request: Request) -> None:
        """Send a request if it may be sent, or try again later."""
        if entry.frozen_until > self._now:
            self._at(entry.frozen_until, lambda: self._pass(entry, request))
            return
        judgement = entry.ledger.judge(request.features, self._now)
        has_time = self._now < request.arrived_at + HOLD_SECONDS
        if judgement.verdict is Verdict.QUARANTINED or not has_time:
            if judgement.verdict is not Verdict.CLEAR and not request.is_crashing:
                self.sound_refused.append((self._now, judgement.verdict))
            self._end_trials(entry, request)
            return
        groups = [one for one in self._groups if one.opens_at <= self._now]
        trials = [
            self._request_trial(entry, feature, request)
            for feature in judgement.suspects
        ]
        if groups and all(trials):
            self._send(entry, request, self._rng.choice(groups))
            return
        if not all(trials):
            self._end_trials(entry, request)
        opens_at = min(group.opens_at for group in self._groups)
        retry_at = self._now + POLL_SECONDS
        if not groups:
            retry_at = min(max(opens_at, self._now + 0.01), retry_at)
        self._at(retry_at, lambda: self._pass(entry, request))

    def _send(self, entry: Entry, request: Request, group: Group) -> None:
        running = Running(entry, request, self._rng.randrange(group.ranks))
        group.running.append(running)
        if request.is_crashing and self._now >= entry.in_touch_from:
            self.crashing_arrivals.append(self._now)
        begins_at = self._now + 0.05 + 0.15 * self._rng.random()
        self._at(begins_at, lambda: self._begin(group, running))

    def _begin(self, group: Group, running: Running) -> None:
        if running not in group.running:
            return
        running.begun_at = self._now
        if running.request.is_crashing:
            self._at(self._now + 0.08, lambda: self._crash(group, running))
        else:
            self.sound_begun.append(self._now)
        self._at(self._now + SURVIVAL_SECONDS, lambda: self._survive(group, running))
        self._at(self._now + STREAM_SECONDS, lambda: self._finish(group, running))

    def _crash(self, group: Group, running: Running) -> None:
        if running in group.running:
            self.crashing_ends.append(self._now)
            self._end_engine(group, running.rank)

    def _survive(self, group: Group, running: Running) -> None:
        if running in group.running:
            self._learn_survival(running, group.engine(running.rank))

    def _finish(self, group: Group, running: Running) -> None:
        if running in group.running:
            group.running.remove(running)

    def _crash_any_engine(self) -> None:
        group = self._rng.choice(self._groups)
        self._end_engine(group, self._rng.randrange(group.ranks))

    def _end_engine(self, group: Group, rank: int) -> None:
        """End an engine; the other ranks cut their requests off later."""
        stalled = []
        for running in group.running:
            engine = group.engine(running.rank)
            age = self._now - (running.begun_at or self._now)
            if running.rank != rank:
                has_event = age >= EVENT_SECONDS and not running.request.is_crashing
                stalled.append((running, engine, has_event))
            elif age < SURVIVAL_SECONDS:
                self._learn_end(running, engine)
        group.running = []
        group.runs[rank] += 1
        group.opens_at = self._now + RETURN_SECONDS
        self._at(self._now + STALL_SECONDS, lambda: self._cut_off(stalled))

    def _cut_off(self, stalled: list[tuple[Running, int, bool]]) -> None:
        for running, engine, has_event in stalled:
            if has_event:
                self._learn_survival(running, engine)
            else:
                self._end_trials(running.entry, running.request)

    def _learn_end(self, running: Running, engine: int) -> None:
        entry, features = running.entry, running.request.features
        self._publish(entry, entry.ledger.record_ended(features, engine, self._now))
        self._end_trials(entry, running.request)

    def _learn_survival(self, running: Running, engine: int) -> None:
        entry, features = running.entry, running.request.features
        self._publish(entry, entry.ledger.record_survived(features, engine, self._now))
        self._end_trials(entry, running.request)

    def _request_trial(self, entry: Entry, feature: Feature, request: Request) -> bool:
        arbiter = self._arbiter(entry, feature)
        arbiter.ledger.merge(entry.ledger.report_on([feature]), self._now)
        verdict = arbiter.ledger.verdict(feature, self._now)
        entry.ledger.merge(arbiter.ledger.report_on([feature]), self._now)
        if verdict is Verdict.CLEAR:
            return True
        max_trials = arbiter.ledger.max_trials(feature, self._now)
        until, holder = self._now + 8.0, str(request.number)
        if not arbiter.leases.request(feature, holder, max_trials, until, self._now):
            return False
        entry.trials.setdefault(request.number, set()).add(feature)
        return True

    def _end_trials(self, entry: Entry, request: Request) -> None:
        for feature in entry.trials.pop(request.number, ()):
            self._arbiter(entry, feature).leases.end(feature, str(request.number))

    def _arbiter(self, entry: Entry, feature: Feature) -> Entry:
        names = {one.name: one for one in self._reachable(entry)} | {entry.name: entry}
        return names[rank_arbiters(feature, names)[0]]

    def _reachable(self, entry: Entry) -> list[Entry]:
        if entry.silent_until > self._now:
            return []
        return [
            one
            for one in self._entries
            if one is not entry and one.silent_until <= self._now
        ]

    def _publish(self, entry: Entry, changed: list[Feature]) -> None:
        if not changed:
            return
        for other in self._reachable(entry):
            delay = 0.05 + 0.25 * self._rng.random()
            self._at(self._now + delay, partial(self._share, entry, other, changed))

    def _share(self, entry: Entry, other: Entry, features: list[Feature]) -> None:
        if other.silent_until > self._now:
            return
        other.ledger.merge(entry.ledger.report_on(features), self._now)
        news = entry.ledger.merge(other.ledger.report_on(features), self._now)
        self._publish(entry, news)

    def _gossip(self, entry: Entry) -> None:
        others = self._reachable(entry)
        for other in self._rng.sample(others, min(2, len(others))):
            self._exchange(entry, other)
        self._at(self._now + GOSSIP_SECONDS, lambda: self._gossip(entry))

    def _exchange(self, entry: Entry, other: Entry) -> None:
        for sender, receiver in ((entry, other), (other, entry)):
            reports = sender.ledger.report(self._now)
            receiver.ledger.merge(reports, self._now)
            asked = [report.feature for report in reports]
            sender.ledger.merge(receiver.ledger.report_on(asked), self._now)

    def _silence_entries(self) -> None:
        cut, frozen = self.scenario.cut_entries, self.scenario.frozen_entries
        for entry in self._entries[:cut]:
            entry.silent_until = 15.0
        for entry in self._entries[cut : cut + frozen]:
            entry.silent_until = entry.frozen_until = 12.0
            entry.in_touch_from = 12.0 + CONTACT_SECONDS

    def _restart_entries(self) -> None:
        for entry in self._entries[::2]:
            entry.ledger, entry.leases = CrashLedger(), TrialLeases()
            entry.in_touch_from = self._now + CONTACT_SECONDS
