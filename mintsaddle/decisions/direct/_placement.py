"""Which endpoint gets a request, from what one entry knows.

Load pattern: some entries and a dozen endpoints of one service, each entry
seeing its own requests at once and those of others only by the loads that
endpoints put on their answers.
"""

import random
from collections.abc import Callable, Sequence

from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.routing import RoutingState
from mintsaddle.values import Instant

BLIND_SLOTS = 1
"""Places assumed at an endpoint that tells of none."""


def choose_incarnation(
    state: RoutingState,
    candidates: Sequence[Incarnation],
    tried: frozenset[str],
    now: Instant,
    rng: random.Random,
    has_idle: Callable[[str], bool] = lambda _: False,
) -> Incarnation | None:
    """Return the endpoint to try next, or None when none is left.

    The least utilised one of those that aren't resting after failures. A kept
    connection breaks ties, then the own data centre, then chance, so that
    entries with the same view don't all choose the same endpoint.

    Args:
        state: The entry's views of endpoints.
        candidates: Endpoints that take work.
        tried: Names of those that have had the request.
        now: The present instant.
        rng: The source of chance.
        has_idle: Returns whether a connection to an endpoint is kept.
    """
    left = [one for one in candidates if one.name not in tried]
    rested = [one for one in left if state.view(one.name).blocked_until <= now]
    if not rested:
        return min(
            left, key=lambda one: state.view(one.name).blocked_until, default=None
        )

    def rank(one: Incarnation) -> tuple[float, bool, bool, float]:
        load = state.view(one.name).estimate_load(now)
        is_far = one.data_centre != state.data_centre
        utilisation = load / max(BLIND_SLOTS, one.slots)
        return (utilisation, not has_idle(one.name), is_far, rng.random())

    return min(rested, key=rank)
