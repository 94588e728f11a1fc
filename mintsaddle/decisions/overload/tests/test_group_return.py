"""The queue when a group returns after an outage of seconds."""

import random
from collections import Counter

import pytest

from mintsaddle.decisions.direct import DirectCall, hold_until
from mintsaddle.decisions.overload import FIRST_EVENT_SECONDS, CallQueue
from mintsaddle.decisions.overload.tests.call_samples import (
    ArrivalOrderQueue,
    make_call,
)
from mintsaddle.decisions.overload.tests.simulated_entry import (
    SimulatedEntry,
    UnorderedEntry,
)
from mintsaddle.values import Instant

POLL_SECONDS = 0.05
TOLERANCE = 1e-9

OUTAGE_SECONDS = 6.0
WINDOW_SECONDS = 3.0
FRESH_PER_SECOND = 40
RETURN_DELAY_SECONDS = 0.7


def run_outage(entry: SimulatedEntry, slots_per_second: float) -> set[str]:
    """Run an outage and a window; return the fresh calls of the window."""
    rng = random.Random(7)
    fresh: set[str] = set()
    held: list[DirectCall] = []
    returning: list[tuple[Instant, str]] = []
    slots = 0.0
    window_end = OUTAGE_SECONDS + WINDOW_SECONDS
    for poll in range(round(window_end / POLL_SECONDS)):
        entry.now = now = poll * POLL_SECONDS
        is_back = now >= OUTAGE_SECONDS - TOLERANCE
        arrivals = [
            make_call(f"{poll}.{number}", now - 0.001 * (number + 1))
            for number in range(round(FRESH_PER_SECOND * POLL_SECONDS))
        ]
        if is_back:
            fresh.update(call.request_id for call in arrivals)
        arrivals += [
            make_call(f"{key}+", now - 0.0001 * number - 0.0001, is_returning=True)
            for number, (_, key) in enumerate(r for r in returning if r[0] <= now)
        ]
        returning = [each for each in returning if each[0] > now]
        if not is_back:
            # Calls wait for the group; those that time out come back later.
            held += arrivals
            for call in [call for call in held if hold_until(call) <= now]:
                held.remove(call)
                returning.append((now + RETURN_DELAY_SECONDS, call.request_id))
            continue
        waited, held = held, []
        for number, call in enumerate([*waited, *arrivals]):
            entry.arrive(call, number % 3)
        slots = min(slots + slots_per_second * POLL_SECONDS, slots_per_second)
        while (placements := entry.poll(slots, rng)) > 0:
            slots -= placements
    return fresh


def count_on_time(entry: SimulatedEntry, fresh: set[str]) -> int:
    placed = [(at, call) for at, call in entry.placed if call.request_id in fresh]
    return sum(
        at + FIRST_EVENT_SECONDS <= call.due_at + TOLERANCE for at, call in placed
    )


class TestReturnOfAGroup:
    @pytest.mark.parametrize("slots_per_second", [10.0, 30.0, 60.0, 120.0])
    def test_the_window_after_it_is_on_time_as_far_as_capacity_goes(
        self, slots_per_second: float
    ) -> None:
        """Guards against a backlog that makes the fresh calls late."""
        entry = SimulatedEntry(CallQueue(64), 64, 0.0)
        fresh = run_outage(entry, slots_per_second)
        possible = min(slots_per_second, FRESH_PER_SECOND) * WINDOW_SECONDS
        # Calls held for less than their objective are on time, too, and the
        # last arrivals may wait beyond the window.
        held_on_time = 0.2 * FRESH_PER_SECOND
        assert count_on_time(entry, fresh) >= possible - held_on_time
        late = [at for at, call in entry.placed if at > call.due_at]
        assert bool(late) == (slots_per_second > FRESH_PER_SECOND)

    def test_order_of_arrival_makes_fresh_calls_late(self) -> None:
        """Guards against a scenario that any order passes."""
        entry = UnorderedEntry(ArrivalOrderQueue(64), 64, 0.0)
        fresh = run_outage(entry, 60.0)
        assert count_on_time(entry, fresh) < 0.8 * len(fresh)

    def test_every_call_of_it_ends_at_most_once(self) -> None:
        entry = SimulatedEntry(CallQueue(16), 16, 0.0)
        run_outage(entry, 30.0)
        outcomes = Counter(entry.outcomes.values())
        assert set(outcomes) == {"placed", "refused", "displaced"}
        assert len(entry.placed) == outcomes["placed"]
        assert entry.queue.size <= 16
