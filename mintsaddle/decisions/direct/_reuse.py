"""How long an idle connection to an endpoint may be reused.

Load pattern: each entry sends a few requests per second to each of a dozen
endpoints, and each new connection occupies a slot of the endpoint for a while.
"""

IDLE_MARGIN_SECONDS = 0.5
"""Time before the endpoint's idle timeout when reuse of a connection ends; a
request sent while the endpoint closes it would be reset."""

UNKNOWN_IDLE_SECONDS = 2.0
"""Idle limit if the endpoint doesn't announce its idle timeout."""

MAX_IDLE_CONNECTIONS = 4
"""Idle connections per endpoint; together with those of other entries far
fewer than an endpoint accepts."""


def idle_limit_seconds(announced_seconds: float | None) -> float:
    """Return how long a connection may stay idle; 0 if it must not be reused.

    Args:
        announced_seconds: Idle timeout announced by the endpoint; 0 if it
            closes the connection at once, None if it doesn't announce one.
    """
    if announced_seconds is None:
        return UNKNOWN_IDLE_SECONDS
    return max(0.0, announced_seconds - IDLE_MARGIN_SECONDS)
