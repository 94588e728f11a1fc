"""One entry whose callers wait in a queue, with the checks of its order."""

import random
from typing import NamedTuple

from mintsaddle.decisions.direct import DirectCall
from mintsaddle.decisions.overload import (
    MAX_CONCURRENT_ATTEMPTS,
    CallQueue,
    PlacementRate,
    capacity_expected_at,
    wait_deadline,
)
from mintsaddle.values import Instant


class Waiting(NamedTuple):
    """A call that waits at the simulated entry."""

    call: DirectCall
    level: int
    until: Instant


def order_key(waiting: Waiting, now: Instant) -> tuple[bool, int, float, float]:
    """Return the order that the queue must keep, from its definition."""
    call = waiting.call
    return now > call.due_at, waiting.level, call.due_at, call.arrived_at


class SimulatedEntry:
    """Callers' threads of one entry, using a queue as the I/O code does."""

    def __init__(self, queue: CallQueue, max_calls: int, now: Instant) -> None:
        self.queue = queue
        self.max_calls = max_calls
        self.now = now
        self.rate = PlacementRate()
        self.waiting: dict[str, Waiting] = {}
        self.displaced: dict[str, Waiting] = {}
        self.outcomes: dict[str, str] = {}
        self.placed: list[tuple[Instant, DirectCall]] = []
        self.accepted = 0

    def arrive(self, call: DirectCall, level: int) -> None:
        until = wait_deadline(call, self.now)
        if until <= self.now:
            self._end(call.request_id, "refused")
            return
        new = Waiting(call, level, until)
        ranked = sorted(
            [*self.waiting.values(), new], key=lambda each: order_key(each, self.now)
        )
        is_accepted = self.queue.enqueue(call, level, self.now)
        if not is_accepted:
            assert len(self.waiting) == self.max_calls
            assert order_key(ranked[-1], self.now) == order_key(new, self.now)
            self._end(call.request_id, "refused")
            return
        self.accepted += 1
        self.waiting[call.request_id] = new
        displaced = [key for key in self.waiting if self.queue.is_displaced(key)]
        assert len(displaced) == (len(ranked) > self.max_calls)
        for key in displaced:
            last = self.waiting.pop(key)
            assert order_key(last, self.now) == order_key(ranked[-1], self.now)
            self.displaced[key] = last

    def disconnect(self, request_id: str) -> None:
        was_waiting = self.waiting.pop(request_id, None)
        was_displaced = self.displaced.pop(request_id, None)
        if was_waiting or was_displaced:
            self.queue.remove(request_id)
            self._end(request_id, "disconnected")

    def poll(self, slots: float, rng: random.Random) -> int:
        """Let each thread look once, in any order; return the placements."""
        placements = 0
        keys = [*self.waiting, *self.displaced]
        rng.shuffle(keys)
        for key in keys:
            if key in self.displaced:
                assert self.queue.is_displaced(key)
                assert not self.queue.may_attempt(key, self.now)
                del self.displaced[key]
                self.queue.remove(key)
                assert not self.queue.is_displaced(key)
                self._end(key, "displaced")
                continue
            waiting = self.waiting[key]
            if self.now >= waiting.until:
                self._remove(key, "refused")
                self._check_expected(waiting)
                continue
            may_attempt = self.queue.may_attempt(key, self.now)
            self.check_attempt(waiting, may_attempt)
            if may_attempt and placements + 1 <= slots:
                placements += 1
                self.rate.record(self.now)
                self.placed.append((self.now, waiting.call))
                self._remove(key, "placed")
        assert all(self.now < each.until for each in self.waiting.values())
        return placements

    def check_attempt(self, waiting: Waiting, may_attempt: bool) -> None:
        """Check that exactly the first calls in order may attempt."""
        self.check_overtaking(waiting, may_attempt)
        assert may_attempt or self._ahead(waiting) >= MAX_CONCURRENT_ATTEMPTS

    def check_overtaking(self, waiting: Waiting, may_attempt: bool) -> None:
        if may_attempt:
            assert self._ahead(waiting) < MAX_CONCURRENT_ATTEMPTS, "overtakes"

    def _ahead(self, waiting: Waiting) -> int:
        key = order_key(waiting, self.now)
        return sum(order_key(each, self.now) < key for each in self.waiting.values())

    def _check_expected(self, refused: Waiting) -> None:
        late = self.now > refused.call.due_at
        ahead = self.queue.calls_ahead(refused.level, late, self.now)
        assert ahead == sum(
            order_key(each, self.now)[:2] <= (late, refused.level)
            for each in self.waiting.values()
        )
        rate = self.rate.rate(self.now)
        assert capacity_expected_at(ahead, rate, self.now) > self.now

    def _remove(self, request_id: str, outcome: str) -> None:
        del self.waiting[request_id]
        self.queue.remove(request_id)
        self._end(request_id, outcome)

    def _end(self, request_id: str, outcome: str) -> None:
        assert request_id not in self.outcomes
        self.outcomes[request_id] = outcome


class UnorderedEntry(SimulatedEntry):
    """An entry with any order of attempts."""

    def check_attempt(self, waiting: Waiting, may_attempt: bool) -> None:
        """Check nothing."""


class OvertakingEntry(SimulatedEntry):
    """An entry that only checks that nobody overtakes."""

    def check_attempt(self, waiting: Waiting, may_attempt: bool) -> None:
        self.check_overtaking(waiting, may_attempt)
