"""The queue in which one entry's calls of a service wait for a free slot.

Calls that wait and new ones compete for each slot that becomes free. If every
call attempted placement as soon as it could, chance would decide, and each
attempt costs probes. So waiting calls attempt placement in order: those that
can be on time before late ones, then by priority level, then by due time.

A call that can't be placed in time is refused with the time at which capacity
is expected, which follows from the calls ahead of it and the recent rate of
placements.
"""

import math
from bisect import bisect_left, insort
from typing import NamedTuple

from mintsaddle.decisions.direct import DirectCall, StepModel, hold_until, is_late
from mintsaddle.values import Instant

MAX_CONCURRENT_ATTEMPTS = 2
"""Calls of one queue that may attempt placement at a time. With one, a single
slow probe would delay all others."""

FIRST_EVENT_SECONDS = 0.2
"""Seconds from placement to the first event on an idle group."""

USUAL_SLOT_SECONDS = 0.5
"""Seconds after which a slot is usually free. A caller that returns earlier
probably meets the same streams."""

MAX_EXPECTED_SECONDS = 4.0
"""Longest time until expected capacity. The rate of placements covers about a
second and says little about later ones."""

RATE_DECAY_SECONDS = 1.0
"""Time constant of the rate of placements. Capacity changes within seconds
when groups fail or return."""

_MIN_KNOWN_COUNT = 0.05
"""Decayed count of placements below which the rate is unknown: one placement
about three time constants ago. After an idle time nothing was placed because
nobody called, which says nothing about capacity."""


class _Position(NamedTuple):
    """A call's place in the order; smaller goes first."""

    late: bool
    level: int
    due_at: Instant
    arrived_at: Instant
    number: int
    """Number of its arrival at the queue, which makes the order strict."""

    request_id: str


class CallQueue:
    """The waiting calls of one service at one entry, in a bounded queue.

    It isn't thread-safe: the caller holds a lock. Instants passed in are
    expected not to decrease; a call that was late once stays late.
    """

    def __init__(self, max_calls: int) -> None:
        """Create an empty queue.

        Args:
            max_calls: Number of calls that may wait; with 0 none may.
        """
        self._max_calls = max_calls
        self._order: list[_Position] = []
        self._positions: dict[str, _Position] = {}
        self._due: dict[str, Instant] = {}
        self._late_levels: dict[str, int] = {}
        self._displaced: set[str] = set()
        self._next_late_at: Instant = math.inf
        self._next_number = 0

    @property
    def size(self) -> int:
        """Number of waiting calls, without displaced ones."""
        return len(self._order)

    def enqueue(
        self, call: DirectCall, level: int, now: Instant, *, is_protected: bool = False
    ) -> bool:
        """Let a call wait.

        If the queue is full, the call that goes last is displaced or, if that
        is the new one, isn't accepted.

        Args:
            call: The call.
            level: Its priority level; 0 goes first.
            now: The present instant.
            is_protected: Whether it waits at the first level until it is late.

        Returns:
            False if the queue is full of calls that go first, or if a call of
            the same id waits or is displaced. Only an accepted call may be
            removed later.
        """
        self._refresh(now)
        request_id = call.request_id
        if request_id in self._positions or request_id in self._displaced:
            return False
        late = is_late(call, now)
        position = _Position(
            late,
            0 if is_protected and not late else level,
            call.due_at,
            call.arrived_at,
            self._next_number,
            request_id,
        )
        if len(self._order) >= self._max_calls:
            if not self._order or self._order[-1] < position:
                return False
            last = self._order.pop()
            self._forget(last.request_id)
            self._displaced.add(last.request_id)
        self._next_number += 1
        insort(self._order, position)
        self._positions[request_id] = position
        if not position.late and not call.response_started:
            self._due[request_id] = call.due_at
            self._late_levels[request_id] = level
            self._next_late_at = min(self._next_late_at, call.due_at)
        return True

    def remove(self, request_id: str) -> None:
        """Remove a call that was placed or refused, or whose caller is gone.

        Args:
            request_id: Id of the call. An unknown one is ignored.
        """
        self._displaced.discard(request_id)
        position = self._positions.get(request_id)
        if position is None:
            return
        del self._order[bisect_left(self._order, position)]
        self._forget(request_id)

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a call waits; displaced ones don't."""
        return request_id in self._positions

    def position(self, request_id: str) -> int | None:
        """Return a waiting call's place in the queue; 1 goes first.

        Returns:
            None if the call doesn't wait.
        """
        position = self._positions.get(request_id)
        return None if position is None else bisect_left(self._order, position) + 1

    def may_attempt(self, request_id: str, now: Instant) -> bool:
        """Return whether a waiting call may attempt placement now."""
        self._refresh(now)
        head = self._order[:MAX_CONCURRENT_ATTEMPTS]
        return any(position.request_id == request_id for position in head)

    def is_displaced(self, request_id: str) -> bool:
        """Return whether a call that goes first took this call's place."""
        return request_id in self._displaced

    def calls_ahead(self, level: int, late: bool, now: Instant) -> int:
        """Return how many waiting calls go before a new one.

        Waiting calls of the same level go before it.

        Args:
            level: Priority level of the new call.
            late: Whether the new call is late.
            now: The present instant.
        """
        self._refresh(now)
        after_level = _Position(late, level, math.inf, math.inf, self._next_number, "")
        return bisect_left(self._order, after_level)

    def _refresh(self, now: Instant) -> None:
        """Move calls that have become late behind those on time."""
        if now <= self._next_late_at:
            return
        became_late = [key for key, due_at in self._due.items() if now > due_at]
        for request_id in became_late:
            del self._due[request_id]
            position = self._positions[request_id]
            level = self._late_levels.pop(request_id)
            self._positions[request_id] = position._replace(late=True, level=level)
        if became_late:
            self._order = sorted(self._positions.values())
        self._next_late_at = min(self._due.values(), default=math.inf)

    def _forget(self, request_id: str) -> None:
        del self._positions[request_id]
        self._due.pop(request_id, None)
        self._late_levels.pop(request_id, None)


class PlacementRate:
    """Recent rate at which one entry's calls of a service are placed."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at: Instant = 0.0

    def record(self, now: Instant) -> None:
        """Record that a call was placed."""
        self._count = self._decayed_count(now) + 1.0
        self._counted_at = max(self._counted_at, now)

    def rate(self, now: Instant) -> float:
        """Return the placements per second; 0 if unknown."""
        count = self._decayed_count(now)
        return count / RATE_DECAY_SECONDS if count >= _MIN_KNOWN_COUNT else 0.0

    def _decayed_count(self, now: Instant) -> float:
        seconds = max(0.0, now - self._counted_at)
        return self._count * math.exp(-seconds / RATE_DECAY_SECONDS)


def first_event_seconds(steps: StepModel | None, step_seconds: float) -> float:
    """Return how long a placed call waits for its first event.

    The first event takes a fixed number of steps, so the time grows with the
    duration of a step.

    Args:
        steps: The published model of step times, if there is one.
        step_seconds: The present step time; 0 if unknown.
    """
    if steps is None:
        return FIRST_EVENT_SECONDS
    idle_seconds = steps.step_seconds(1)
    return FIRST_EVENT_SECONDS * max(1.0, step_seconds / idle_seconds)


def wait_deadline(
    call: DirectCall, now: Instant, first_event: float = FIRST_EVENT_SECONDS
) -> Instant:
    """Return until when a call may wait in the queue.

    It is determined when the call is enqueued and then kept: a call that
    can't be placed on time is refused instead of becoming late.

    Args:
        call: The call. It isn't enqueued if the result is past.
        now: The present instant.
        first_event: Seconds from placement to the first event.
    """
    latest = hold_until(call)
    # A caller that returns is late from its arrival on.
    is_returning = call.due_at <= call.arrived_at
    if call.response_started or is_returning or is_late(call, now):
        return latest
    return min(call.due_at - first_event, latest)


def capacity_expected_at(calls_ahead: int, rate: float, now: Instant) -> Instant:
    """Return when a refused call could be placed if its caller returns.

    Args:
        calls_ahead: Number of waiting calls that go before it.
        rate: Recent placements per second; 0 if unknown.
        now: The present instant.
    """
    if rate <= 0:
        return now + USUAL_SLOT_SECONDS
    seconds = (max(0, calls_ahead) + 1) / rate
    return now + min(max(seconds, USUAL_SLOT_SECONDS), MAX_EXPECTED_SECONDS)
