"""Detects a group that begins no steps although it has work.

Failure: an entry holds a step for a map switch and is killed or frozen before
it releases the step. All streams of the group then pause indefinitely, and
callers leave after two seconds.
"""

from mintsaddle.values import Instant

STALL_TIMEOUT_SECONDS = 0.6
"""Seconds without a new step while requests run, after which the group is
checked for a held step. The longest steps take 0.25 s."""

SUCCESSOR_DELAY_SECONDS = 0.3
"""Additional delay for each successor that comes earlier in the order: two
rollbacks at the same time would interfere with each other."""


def watchdog_timeout(succession_index: int) -> float:
    """Return how long a group may be stalled before a successor acts.

    Args:
        succession_index: Index of the successor; 0 is the coordinator.
    """
    return STALL_TIMEOUT_SECONDS + SUCCESSOR_DELAY_SECONDS * succession_index


class StallDetector:
    """Detects that a group has begun no step for some time."""

    def __init__(self) -> None:
        self._step = -1
        self._running = 0
        self._last_progress_at: Instant = 0.0

    def record_step(self, step: int, running: int, now: Instant) -> None:
        """Record the last step and the running requests of a report."""
        if step != self._step or not running or not self._running:
            self._last_progress_at = now
        self._step = step
        self._running = running

    def is_stalled(self, now: Instant, timeout: float = STALL_TIMEOUT_SECONDS) -> bool:
        """Return whether the group is stalled although it has work."""
        return self._running > 0 and now - self._last_progress_at > timeout
