"""The queue under arrivals, disconnects, freezes and changing capacity."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.overload import CallQueue
from mintsaddle.decisions.overload.tests.call_samples import (
    ArrivalOrderQueue,
    make_call,
)
from mintsaddle.decisions.overload.tests.simulated_entry import (
    OvertakingEntry,
    SimulatedEntry,
)

MAX_CALLS = 6
POLL_SECONDS = 0.05


class QueueMachine(RuleBasedStateMachine):
    """Callers arrive and leave while capacity comes and goes."""

    queue_type: type[CallQueue] = CallQueue
    entry_type: type[SimulatedEntry] = SimulatedEntry

    def __init__(self) -> None:
        super().__init__()
        queue = self.queue_type(MAX_CALLS)
        self.entry = self.entry_type(queue, MAX_CALLS, 100.0)
        self.slots = 0
        self.arrived = 0

    @rule(
        level=st.integers(0, 4),
        is_returning=st.booleans(),
        age=st.sampled_from([0.001, 0.02, 0.1, 0.6]),
        count=st.integers(1, 4),
    )
    def arrive(self, level: int, is_returning: bool, age: float, count: int) -> None:
        for _ in range(count):
            self.arrived += 1
            # Distinct instants, so that the definition gives a strict order.
            arrived_at = self.entry.now - age - self.arrived * 1e-6
            call = make_call(f"{self.arrived}", arrived_at, is_returning=is_returning)
            self.entry.arrive(call, level)

    @rule(number=st.integers(0, MAX_CALLS - 1))
    def disconnect(self, number: int) -> None:
        keys = [*self.entry.waiting, *self.entry.displaced]
        if keys:
            self.entry.disconnect(keys[number % len(keys)])

    @rule(slots=st.integers(0, 3))
    def change_capacity(self, slots: int) -> None:
        self.slots = slots

    @rule(polls=st.integers(1, 6), seed=st.integers(0, 1000))
    def wait(self, polls: int, seed: int) -> None:
        rng = random.Random(seed)
        for _ in range(polls):
            self.entry.now += POLL_SECONDS
            self.entry.poll(self.slots, rng)

    @rule(seconds=st.sampled_from([0.3, 2.0, 30.0]))
    def freeze(self, seconds: float) -> None:
        """The VM stands still; the first caller arrives before any poll."""
        self.entry.now += seconds

    @invariant()
    def is_bounded(self) -> None:
        assert self.entry.queue.size == len(self.entry.waiting) <= MAX_CALLS

    @invariant()
    def each_call_is_accounted_for_once(self) -> None:
        entry = self.entry
        active = set(entry.waiting) | set(entry.displaced)
        assert not active & set(entry.outcomes)
        assert len(active) + len(entry.outcomes) == self.arrived

    def teardown(self) -> None:
        self.entry.now += 10.0
        self.entry.poll(0, random.Random(0))
        assert self.entry.queue.size == 0
        assert len(self.entry.outcomes) == self.arrived


class PermissiveMachine(QueueMachine):
    """Calls attempt in order of arrival; only overtaking is checked."""

    queue_type = ArrivalOrderQueue
    entry_type = OvertakingEntry


class TestCallQueueMachine:
    def test_every_call_ends_once_and_none_overtakes(self) -> None:
        """Guards against lost calls, an unbounded queue and overtaking."""
        run_state_machine_as_test(QueueMachine)

    def test_order_of_arrival_fails_the_check(self) -> None:
        """Guards against a check that accepts overtaking."""
        with pytest.raises(AssertionError, match="overtakes"):
            run_state_machine_as_test(PermissiveMachine)
