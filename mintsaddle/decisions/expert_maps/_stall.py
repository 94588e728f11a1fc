"""Noticing that a group stands still although it has work.

Failure: an entry has held a step for a switch of the map and is killed or
frozen before it lets the step begin. All streams of the group pause for good,
and callers leave after two seconds.
"""

from mintsaddle.values import Instant

STUCK_SECONDS = 0.6
"""Seconds without a step, with requests running, after which a held step is
looked for: the longest steps take 0.25 s."""

WATCHDOG_SECONDS = 0.3
"""Seconds more for each successor that ranks higher: two that withdraw a
switch at once hinder each other."""


def watchdog_timeout(place: int) -> float:
    """Return for how long a group may stand still until a successor acts.

    Args:
        place: Place in the order of succession; 0 is the coordinator.
    """
    return STUCK_SECONDS + WATCHDOG_SECONDS * place


class StallWatch:
    """When a group was last managed begin a step."""

    def __init__(self) -> None:
        self._step = -1
        self._running = 0
        self._moved_at: Instant = 0.0

    def note(self, step: int, running: int, now: Instant) -> None:
        """Note a report's last step and its requests."""
        if step != self._step or not running or not self._running:
            self._moved_at = now
        self._step = step
        self._running = running

    def is_stuck(self, now: Instant, timeout: float = STUCK_SECONDS) -> bool:
        """Return whether the group stands still although it has work."""
        return self._running > 0 and now - self._moved_at > timeout
