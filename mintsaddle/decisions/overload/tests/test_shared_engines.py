"""Entries that share engines: what holds whatever happens."""

import random
from collections.abc import Mapping

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions import direct, overload
from mintsaddle.decisions.direct import DirectCall, EngineLoad, Incarnation
from mintsaddle.decisions.overload.tests import engine_groups as groups
from mintsaddle.decisions.overload.tests import shared_engines as shared
from mintsaddle.decisions.overload.tests.call_samples import ArrivalOrderQueue
from mintsaddle.decisions.overload.tests.engine_groups import Entry, Waiting
from mintsaddle.decisions.overload.tests.samples import make_call
from mintsaddle.decisions.overload.tests.shared_engines import Fleet

SLOT_SHARES = {False: (1.2, 0.8), True: (0.8, 0.4)}
"""Shares of the slots for the first and the last level, by lateness, as the
design states them."""

STEP_LIMIT = settings(stateful_step_count=15, phases=[Phase.generate])
"""Examples aren't made smaller, which takes minutes for a simulation."""

FAULTS = ("join", "freeze", "restart", "lose probes", "lose group", "end streams")


class CheckedFleet(Fleet):
    """Entries whose every admission is checked."""

    def admit(
        self,
        entry: Entry,
        waiting: Waiting,
        engines: list[Incarnation],
        loads: Mapping[str, EngineLoad],
    ) -> list[Incarnation]:
        order, now = waiting.order(self.now), self.now
        ahead = sum(each.order(now) < order for each in entry.waiting.values())
        assert ahead < overload.MAX_CONCURRENT_ATTEMPTS, "overtakes"
        state = self.rng.getstate()
        for level in range(waiting.level if loads else 0):
            higher = waiting._replace(level=level)
            found = super().admit(entry, higher, engines, loads)
            self.rng.setstate(state)
            admitted = super().admit(entry, waiting, engines, loads)
            self.rng.setstate(state)
            assert set(admitted) <= set(found), "inverts"
        admitted = super().admit(entry, waiting, engines, loads)
        first, last = SLOT_SHARES[order[0]]
        share = first - (first - last) * order[1] / groups.LAST
        for load in (loads[each.name] for each in admitted if each.name in loads):
            assert load.requests < max(1.0, groups.SLOTS * share), "uses the reserve"
        return admitted


class SharedEnginesMachine(RuleBasedStateMachine):
    """Calls, faults and time, in any order."""

    fleet_type: type[Fleet] = CheckedFleet
    admission, queue_type = "levels", overload.CallQueue

    @initialize(count=st.integers(1, 3), seed=st.integers(0, 1000))
    def start(self, count: int, seed: int) -> None:
        admission, queue_type = self.admission, self.queue_type
        self.fleet = self.fleet_type(
            3, count, 2, seed=seed, admission=admission, queue_type=queue_type
        )
        self.calls: dict[str, DirectCall] = {}
        self.rng = random.Random(seed)

    @rule(
        ticks=st.sampled_from([1, 5, 25, 50]),
        calls=st.sampled_from([0, 1, 2, 8]),
        late_share=st.sampled_from([0.0, 0.3, 1.0]),
        skew=st.sampled_from([1.0, groups.USUAL_SKEW, groups.SHIFTED_SKEW]),
    )
    def advance(self, ticks: int, calls: int, late_share: float, skew: float) -> None:
        """Let time pass while some calls arrive in each time step."""
        self.fleet.skew, rng = skew, self.rng
        for _ in range(ticks):
            for _ in range(calls):
                priority = rng.choice((None, -3, 0, 1, 7)), rng.randint(0, 2)
                late = rng.random() < late_share
                call = make_call(self.fleet.now, *priority, late=late)
                call = call._replace(request_id=str(len(self.calls)))
                self.calls[call.request_id] = call
                rng.choice(self.fleet.entries).arrived.append(call)
            self.fleet.tick()
            self.check_engines()
            self.check_deadlines()

    @rule(fault=st.sampled_from(FAULTS), number=st.integers(0, 5))
    def disturb(self, fault: str, number: int) -> None:
        """Begin a fault of an entry, group or engine, or end it."""
        fleet = self.fleet
        entry = fleet.entries[number % len(fleet.entries)]
        if fault == "join" and len(fleet.entries) < 5:
            fleet.entries.append(fleet.make_entry())
        elif fault == "freeze":
            entry.is_frozen = not entry.is_frozen
        elif fault == "restart":
            fleet.restart(number % len(fleet.entries))
        elif fault == "lose probes":
            entry.is_probe_lost = not entry.is_probe_lost
        elif fault == "lose group":
            fleet.lose_or_restore(fleet.groups[number % len(fleet.groups)])
        elif fault == "end streams":
            list(fleet.engines.values())[number % len(fleet.engines)].running.clear()

    @invariant()
    def check_engines(self) -> None:
        """Allow an excess of what all entries placed within one step.

        Probes report the requests as of the last step. Calls without answers
        to their probes, and resumed streams, are placed at any load.
        """
        for engine in self.fleet.engines.values():
            streams = engine.running + engine.queued
            limit = groups.SLOTS * SLOT_SHARES[False][0]
            limit += max(0, engine.most_placed - 1)
            assert sum(each.was_probed for each in streams) <= limit, "too many"

    def check_deadlines(self) -> None:
        """Check that calls end in time unless their entry is frozen."""
        now = self.fleet.now - shared.TICK_SECONDS
        for entry in (each for each in self.fleet.entries if not each.is_frozen):
            for waiting in entry.waiting.values():
                assert now < waiting.until, "ends too late"
                assert waiting.until <= direct.hold_until(waiting.call)

    @invariant()
    def check_outcomes(self) -> None:
        """Each call has an outcome or waits, and only the latter queue."""
        ids = [*self.fleet.outcomes]
        for entry in self.fleet.entries:
            queue, waiting = entry.queue, entry.waiting
            ids += [*waiting, *(call.request_id for call in entry.arrived)]
            assert queue.size == sum(queue.is_waiting(key) for key in waiting)
            assert queue.size <= shared.MAX_WAITING_CALLS
        assert sorted(ids) == sorted(self.calls)

    def teardown(self) -> None:
        for entry in self.fleet.entries:
            entry.is_frozen = False
        for _ in range(int(3.0 / shared.TICK_SECONDS)):
            self.fleet.tick()
        assert set(self.fleet.outcomes) == set(self.calls)
        assert all(entry.queue.size == 0 for entry in self.fleet.entries)


class TestSharedEngines:
    def test_admission_holds_whatever_happens(self) -> None:
        """Guards against overfull engines, inversions and endless waits."""
        run_state_machine_as_test(SharedEnginesMachine, settings=STEP_LIMIT)

    @pytest.mark.parametrize(
        ("variant", "failure"),
        [
            ({"admission": "direct"}, "uses the reserve"),
            ({"admission": "reversed"}, "inverts"),
            ({"admission": "none", "fleet_type": Fleet}, "too many"),
            ({"queue_type": ArrivalOrderQueue}, "overtakes"),
        ],
    )
    def test_permissive_variants_fail(
        self, variant: dict[str, object], failure: str
    ) -> None:
        """Guards against checks that accept everything."""
        machine = type("Permissive", (SharedEnginesMachine,), variant)
        with pytest.raises(AssertionError, match=failure):
            run_state_machine_as_test(machine, settings=STEP_LIMIT)

    @pytest.mark.parametrize("seed", range(8))
    def test_late_calls_have_no_minimum_share(self, seed: int) -> None:
        """Guards against a frozen entry whose late calls overtake others."""
        fleet, rng = CheckedFleet(1, 1, 2, seed=seed), random.Random(seed)
        entry = fleet.entries[0]
        for number in range(26):
            priority = (0, 0) if number < 14 else rng.choice(groups.LEVELS.priorities)
            call = make_call(fleet.now, *priority)._replace(request_id=str(number))
            entry.arrived.append(call)
            for _ in range({13: 3, 25: 1}.get(number, 0)):
                fleet.tick()
        entry.is_frozen = True
        for _ in range(40):
            fleet.tick()
        entry.is_frozen = False
        fleet.tick()
