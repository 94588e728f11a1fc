"""Schedule of an entry that shuts down.

Load pattern: callers use their kept connections until these close, and the
balancer sends new ones until it has seen readiness fail twice. Most requests
end within a second. The few that don't, and callers that read slowly, decide
how long the process stays; the platform kills it at the end of the stop time.
"""

from typing import NamedTuple

from mintsaddle.values import Instant

ACCEPT_SECONDS = 3.0
"""Seconds for which new connections are accepted. The balancer checks
readiness every second and stops sending after two failed checks."""

MAX_ACCEPT_FRACTION = 0.5
"""Fraction of a short stop time for which they are accepted at most."""

LATE_SEND_FRACTION = 0.5
"""Fraction of the time between the last connection and the abort of calls in
which all requests are sent. The rest is left for them to end: one that may run
only once and is cut leaves its caller in doubt."""

REFUSE_FRACTION = 5 / 6
"""Fraction of the stop time after which a request that no endpoint has yet is
refused. Another entry serves it; here it would hardly end in time."""

ABORT_FRACTION = 0.9
"""Fraction of the stop time after which calls are ended, with an answer that
says that the outcome is unknown."""

EXIT_FRACTION = 0.95
"""Fraction of the stop time after which the process exits; a killed one could
not write its log."""


class DrainSchedule(NamedTuple):
    """What an entry does until which instant during its shutdown."""

    accept_until: Instant
    """Until when new connections are accepted."""

    send_all_until: Instant
    """Until when requests are sent to endpoints, however long they may take.
    Later, those that may run only once have to end before calls are
    aborted."""

    refuse_from: Instant
    """From when requests are no longer sent to endpoints."""

    abort_from: Instant
    """From when endpoints' answers are no longer awaited."""

    exit_at: Instant
    """When the process exits, whatever is left."""


def plan_drain(now: Instant, stop_seconds: float) -> DrainSchedule:
    """Return the schedule of an entry that begins to shut down.

    Args:
        now: The present instant.
        stop_seconds: Seconds after which the platform kills the process.
    """
    accept_seconds = min(ACCEPT_SECONDS, stop_seconds * MAX_ACCEPT_FRACTION)
    accept_until = now + accept_seconds
    abort_from = now + stop_seconds * ABORT_FRACTION
    return DrainSchedule(
        accept_until=accept_until,
        send_all_until=accept_until + (abort_from - accept_until) * LATE_SEND_FRACTION,
        refuse_from=now + stop_seconds * REFUSE_FRACTION,
        abort_from=abort_from,
        exit_at=now + stop_seconds * EXIT_FRACTION,
    )


def may_send(
    schedule: DrainSchedule, now: Instant, deadline: Instant, *, runs_once: bool
) -> bool:
    """Return whether a request may be sent to an endpoint during a shutdown.

    Args:
        schedule: The schedule of the shutdown.
        now: The present instant.
        deadline: When the request ends at the latest.
        runs_once: Whether it may run only once. Others may be repeated if they
            are cut.
    """
    if now >= schedule.refuse_from:
        return False
    is_safe = now < schedule.send_all_until or deadline <= schedule.abort_from
    return is_safe or not runs_once
