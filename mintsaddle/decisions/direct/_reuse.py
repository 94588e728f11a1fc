"""How long a connection to an endpoint may be kept for the next request.

Load pattern: each entry sends some requests a second to each of a dozen
endpoints, and each new connection costs an endpoint a while of a place.
"""

IDLE_MARGIN_SECONDS = 0.5
"""Seconds before the endpoint's own end of an idle connection from which it
isn't used: what is sent as the endpoint closes it is reset."""

UNKNOWN_IDLE_SECONDS = 2.0
"""Seconds for a connection whose endpoint doesn't say how long it keeps it."""

MOST_IDLE = 4
"""Idle connections to one endpoint: together with those of other entries far
fewer than an endpoint takes."""


def keep_seconds(told: float | None) -> float:
    """Return for how long a connection may stay idle; 0 if it must not.

    Args:
        told: Seconds after which the endpoint says that it closes it; 0 if it
            closes it at once, None if it doesn't say.
    """
    if told is None:
        return UNKNOWN_IDLE_SECONDS
    return max(0.0, told - IDLE_MARGIN_SECONDS)
