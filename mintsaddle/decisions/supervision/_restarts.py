"""When a loop that has ended by an exception runs again.

Load pattern: one exception must cost callers no pause. One that comes again at
once, until its cause is gone, must not take the processor from the other
loops.
"""

from typing import NamedTuple

from mintsaddle.values import Instant

FIRST_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 1.0
"""Limits for the pause before a loop that has failed several times."""

SOUND_SECONDS = 10.0
"""Seconds after which a run counts as sound; what fails then has another
cause."""

MAX_FAILURES = 10
"""Failures in a row after which running it again is no help. With the pauses
between them they take longer than the platform needs to notice."""


class Restarts(NamedTuple):
    """The failures of a loop."""

    failures: int = 0
    """Failures since its last sound run."""

    restart_at: Instant = float("-inf")
    """From when on it may run again."""


def record_failure(restarts: Restarts, started_at: Instant, now: Instant) -> Restarts:
    """Record that a run has ended by an exception.

    Args:
        restarts: The failures before.
        started_at: When the run began.
        now: The present time.
    """
    was_sound = now - started_at >= SOUND_SECONDS
    failures = 1 if was_sound else restarts.failures + 1
    if failures == 1:
        return Restarts(failures, now)
    doublings = min(failures - 2, MAX_FAILURES)
    pause = min(MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**doublings)
    return Restarts(failures, now + pause)


def is_beyond_help(restarts: Restarts) -> bool:
    """Return whether another run would probably fail like those before."""
    return restarts.failures >= MAX_FAILURES
