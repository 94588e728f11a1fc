"""Choice of the endpoint for a request, from the load that one entry knows.

With some entries and a dozen endpoints of a service, each entry knows its own
requests at once, and those of others from the loads that endpoints put on
their responses. With hundreds of endpoints of few slots, an entry sees a
hundredth of the requests and can't tell which endpoints are full, so it
probes a few of them for each request.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType

from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.routing import RoutingState
from mintsaddle.values import Instant

PROBES_PER_ROUND = 4
"""Endpoints probed at the same time. The least loaded of a few is seldom full,
and the cost doesn't grow with the number of endpoints."""

MAX_PROBES = 12
"""Endpoints probed for one request while all that were probed are full."""

DEFAULT_SLOTS = 1
"""Slots assumed at an endpoint that announces none."""


def choose_incarnation(
    state: RoutingState,
    candidates: Sequence[Incarnation],
    tried: frozenset[str],
    now: Instant,
    rng: random.Random,
    has_idle: Callable[[str], bool] = lambda _: False,
) -> Incarnation | None:
    """Return the endpoint to try next, or None if none is left.

    It is the least utilised endpoint that isn't in back-off after failures.
    Ties are broken by an idle connection, then by the entry's own data centre,
    then at random, so that entries with the same view choose different
    endpoints.

    Args:
        state: The entry's views of endpoints.
        candidates: Endpoints that accept work.
        tried: Names of the endpoints that were tried for this request.
        now: The present instant.
        rng: The random number generator.
        has_idle: Returns whether there is an idle connection to an endpoint.
    """
    return next(
        iter(rank_incarnations(state, candidates, tried, now, rng, has_idle)), None
    )


def rank_incarnations(
    state: RoutingState,
    candidates: Sequence[Incarnation],
    tried: frozenset[str],
    now: Instant,
    rng: random.Random,
    has_idle: Callable[[str], bool] = lambda _: False,
) -> list[Incarnation]:
    """Return the endpoints that may be tried next, the best one first.

    If all are in back-off, only the one whose back-off ends first is returned.
    For the arguments see ``choose_incarnation``.
    """
    untried = [endpoint for endpoint in candidates if endpoint.name not in tried]
    available = [
        endpoint
        for endpoint in untried
        if state.view(endpoint.name).blocked_until <= now
    ]
    if not available:
        return sorted(
            untried, key=lambda endpoint: state.view(endpoint.name).blocked_until
        )[:1]

    def sort_key(endpoint: Incarnation) -> tuple[float, bool, bool, float]:
        load = state.view(endpoint.name).estimate_load(now)
        is_remote = endpoint.data_centre != state.data_centre
        utilisation = load / max(DEFAULT_SLOTS, endpoint.slots)
        return (utilisation, not has_idle(endpoint.name), is_remote, rng.random())

    return sorted(available, key=sort_key)


def group_leaders_first(ranked: Sequence[Incarnation]) -> list[Incarnation]:
    """Return the endpoints with the best one of each rank group in front.

    Without this only endpoints of the entry's own data centre would be probed.
    They may all belong to one group, and no load would move to other groups.

    Args:
        ranked: Endpoints, the best one first.
    """
    leaders: dict[str, Incarnation] = {}
    for endpoint in ranked:
        leaders.setdefault(
            endpoint.assignment.group if endpoint.assignment else "", endpoint
        )
    first = list(leaders.values())
    return first + [endpoint for endpoint in ranked if endpoint not in first]


def choose_by_load(
    candidates: Sequence[Incarnation],
    loads: Mapping[str, int],
    step_seconds: Mapping[str, float] = MappingProxyType({}),
) -> Incarnation:
    """Return the endpoint to try, by the loads that were just probed.

    A request takes the same number of steps in each group, so a group with
    longer steps gets fewer requests and its requests keep their pauses.

    Args:
        candidates: Endpoints that may be tried, the best one by earlier
            knowledge first; at least one.
        loads: Requests at the endpoints that answered, including queued ones,
            by name.
        step_seconds: Known step times by group.
    """
    probed = [endpoint for endpoint in candidates if endpoint.name in loads]
    default = min((s for s in step_seconds.values() if s > 0), default=1.0)

    def cost(endpoint: Incarnation) -> float:
        group = endpoint.assignment.group if endpoint.assignment else ""
        seconds = step_seconds.get(group, 0.0) or default
        requests = loads.get(endpoint.name, 0) + 1
        return requests * seconds / max(DEFAULT_SLOTS, endpoint.slots)

    return min(probed or candidates[:1], key=cost)


def has_free_slot(candidates: Sequence[Incarnation], loads: Mapping[str, int]) -> bool:
    """Return whether one of the endpoints reported a free slot."""
    return any(
        loads.get(endpoint.name, endpoint.slots) < endpoint.slots
        for endpoint in candidates
    )
