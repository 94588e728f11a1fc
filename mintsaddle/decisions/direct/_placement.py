"""Which endpoint gets a request, from what one entry knows.

Load patterns: some entries and a dozen endpoints of one service, each entry
seeing its own requests at once and those of others only by the loads that
endpoints put on their answers; and hundreds of endpoints of few places, of
which an entry sees a hundredth of the requests. There what it knows tells
nothing of who is full, so a few endpoints are probed for each request.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType

from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.routing import RoutingState
from mintsaddle.values import Instant

PROBES = 4
"""Endpoints probed at one time: the least loaded of a few is seldom full, and
the work of probing doesn't grow with their number."""

MOST_PROBES = 12
"""Endpoints probed for a request while all before were full."""

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

    While all are resting it is the one whose rest is over first. Arguments as
    for ``choose_incarnation``.
    """
    left = [one for one in candidates if one.name not in tried]
    rested = [one for one in left if state.view(one.name).blocked_until <= now]
    if not rested:
        return sorted(left, key=lambda one: state.view(one.name).blocked_until)[:1]

    def rank(one: Incarnation) -> tuple[float, bool, bool, float]:
        load = state.view(one.name).estimate_load(now)
        is_far = one.data_centre != state.data_centre
        utilisation = load / max(BLIND_SLOTS, one.slots)
        return (utilisation, not has_idle(one.name), is_far, rng.random())

    return sorted(rested, key=rank)


def lead_each_group(ranked: Sequence[Incarnation]) -> list[Incarnation]:
    """Return endpoints so that the best one of each rank group comes first.

    Otherwise those of the own data centre, which may all be of one group, are
    the only ones that are probed, and no group's load moves to another.

    Args:
        ranked: Endpoints, the best one first.
    """
    leaders: dict[str, Incarnation] = {}
    for one in ranked:
        leaders.setdefault(one.place.group if one.place else "", one)
    first = list(leaders.values())
    return first + [one for one in ranked if one not in first]


def choose_by_load(
    candidates: Sequence[Incarnation],
    loads: Mapping[str, int],
    step_seconds: Mapping[str, float] = MappingProxyType({}),
) -> Incarnation:
    """Return the endpoint to try by loads that were told a moment ago.

    A request lasts as many steps in each group, so a group whose steps take
    longer gets fewer requests: those that it has keep their pauses.

    Args:
        candidates: Endpoints that may be tried, the best one first by what was
            known before; at least one.
        loads: Requests at those that told, waiting ones included, by name.
        step_seconds: How long steps take, by group, where that is known.
    """
    told = [one for one in candidates if one.name in loads]
    usual = min((s for s in step_seconds.values() if s > 0), default=1.0)

    def cost(one: Incarnation) -> float:
        group = one.place.group if one.place else ""
        seconds = step_seconds.get(group, 0.0) or usual
        requests = loads.get(one.name, 0) + 1
        return requests * seconds / max(BLIND_SLOTS, one.slots)

    return min(told or candidates[:1], key=cost)


def has_free_place(candidates: Sequence[Incarnation], loads: Mapping[str, int]) -> bool:
    """Return whether one of the endpoints told of a free place."""
    return any(loads.get(one.name, one.slots) < one.slots for one in candidates)
