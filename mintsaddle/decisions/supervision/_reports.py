"""Which failures are written to the log.

Load pattern: most failures come once, for one connection or request. One whose
cause stays comes again in each pass of a loop, thousands of times a second,
and is the same each time.
"""

from typing import NamedTuple

from mintsaddle.values import Instant

REPORT_PERIOD_SECONDS = 10.0
"""Length of the periods in which log entries are counted."""

REPORTS_PER_PERIOD = 5
"""Failures of one loop that are logged in a period; the others are counted."""


class ReportLimit(NamedTuple):
    """What was logged of one loop's failures in the present period."""

    period_ends_at: Instant = float("-inf")
    logged: int = 0
    omitted: int = 0
    """Failures since the last one that was logged."""


class Report(NamedTuple):
    """A failure that is logged."""

    omitted: int
    """Failures before it that were not logged."""


def take_report(limit: ReportLimit, now: Instant) -> tuple[ReportLimit, Report | None]:
    """Count a failure; return the new state, and its report if it has one."""
    if now >= limit.period_ends_at:
        limit = ReportLimit(now + REPORT_PERIOD_SECONDS, 0, limit.omitted)
    if limit.logged >= REPORTS_PER_PERIOD:
        return limit._replace(omitted=limit.omitted + 1), None
    report = Report(limit.omitted)
    return limit._replace(logged=limit.logged + 1, omitted=0), report
