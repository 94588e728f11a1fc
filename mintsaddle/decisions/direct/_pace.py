"""How fast the engines of a service write, and when late requests wait.

Load pattern: a group was down, and those who waited or come back ask together
with those who ask for the first time. With every place taken a step takes
longer than the pause that callers bear, so all streams are late, also those
that began in time, and the backlog keeps them so. A late request loses little
by waiting: so it takes a place only while steps are short or places are many,
and goes ahead anyway when its caller would leave.
"""

import math
from typing import NamedTuple

from mintsaddle.values import Instant

AVERAGE_SECONDS = 0.3
"""Seconds over which pauses are averaged: some steps of a busy group."""

BELIEF_SECONDS = 1.0
"""Seconds for which a service's pace is believed after its last event."""

GOOD_SHARE = 0.8
"""Share of the longest pause that callers bear up to which steps are short."""

LATE_SHARE = 0.5
"""Share of an endpoint's places that late requests may fill while steps are
not known to be short."""


class _Pace(NamedTuple):
    pause: float
    at: Instant


class PaceBook:
    """Pauses between the events that an entry has passed on, by service."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def note_pause(self, service: str, pause: float, now: Instant) -> None:
        """Note the time between two events of one stream."""
        last = self._paces.get(service)
        if last is None or now - last.at > BELIEF_SECONDS:
            self._paces[service] = _Pace(pause, now)
            return
        # Streams of one group pause together, so each pause counts by the
        # time since the last one that was noted.
        keep = math.exp((last.at - now) / AVERAGE_SECONDS)
        average = keep * last.pause + (1.0 - keep) * pause
        self._paces[service] = _Pace(average, now)

    def pause(self, service: str, now: Instant) -> float | None:
        """Return the usual pause at present; None if it isn't known."""
        last = self._paces.get(service)
        if last is None or now - last.at > BELIEF_SECONDS:
            return None
        return last.pause


def has_room_for_late(
    load: int, slots: int, pause: float | None, longest_pause: float
) -> bool:
    """Return whether a late request may take a place now.

    Args:
        load: Requests believed to be at the least loaded endpoint.
        slots: That endpoint's places.
        pause: The usual pause at present, if it is known.
        longest_pause: The longest pause that callers bear; 0 if there is none.
    """
    if load < slots * LATE_SHARE or longest_pause <= 0:
        return True
    return pause is not None and pause <= longest_pause * GOOD_SHARE and load < slots
