"""When a loop counts as stalled, and when the process must end for it.

Load pattern: a loop under full load makes many passes a second, an idle one at
least one. A process that is stopped for seconds makes none, and then
continues; its loops must not count as stalled for that.
"""

from typing import NamedTuple

from mintsaddle.values import Instant

MAX_SILENCE_SECONDS = 2.0
"""Seconds since the last pass after which callers aren't served: an idle pass
takes one, and callers leave after another one without being read."""

STALL_SECONDS = 8.0
"""Seconds for which a loop is stalled after which it won't go on."""

MAX_CHECK_GAP_SECONDS = 1.0
"""Seconds between two checks above which the process was stopped."""


class Stall(NamedTuple):
    """What checks of a loop have shown."""

    checked_at: Instant = float("-inf")
    ends_at: Instant = float("inf")
    """When the process must end unless the loop makes a pass before."""


def is_alive(passed_at: Instant, now: Instant) -> bool:
    """Return whether a loop has made a pass lately."""
    return now - passed_at <= MAX_SILENCE_SECONDS


def record_check(stall: Stall, passed_at: Instant, now: Instant) -> Stall:
    """Record a check.

    Args:
        stall: What earlier checks have shown.
        passed_at: When the loop made its last pass.
        now: The present time.
    """
    if is_alive(passed_at, now):
        return Stall(now)
    ends_at = now + STALL_SECONDS
    if now - stall.checked_at <= MAX_CHECK_GAP_SECONDS:
        ends_at = min(ends_at, stall.ends_at)
    return Stall(now, ends_at)


def is_stalled_for_good(stall: Stall) -> bool:
    """Return whether the process must end at the last check."""
    return stall.checked_at >= stall.ends_at
