"""Choosing an endpoint."""

import random
from collections.abc import Sequence
from functools import lru_cache
from typing import NamedTuple

from mintsaddle.decisions.routing._state import RoutingState
from mintsaddle.fleet import Fleet, Marks, Service
from mintsaddle.values import Instant, OrderKey, issue_key, rank_by_score

SUBSET = 24
"""Endpoints of a service that one entry uses, however many there are."""

AFFINITY_SLACK = 1.25
"""A prefix's own endpoint may be fuller than the mean by this factor."""

_CHOICES = 2


class RouteRequest(NamedTuple):
    """What the choice needs to know of one request."""

    service: Service
    prefix: str
    """Names the prompt prefix; requests that share it share a cache."""

    tried: frozenset[str]
    """Endpoints that this request has tried already."""


def choose_subset(fleet: Fleet, service: Service, state: RoutingState) -> Sequence[str]:
    """Return the stable subset of endpoints that this entry uses.

    Its own data centre fills the subset first, but a part stays with the
    others, so that losing the own data centre leaves somewhere to go.
    """
    places = tuple(
        (name, fleet.endpoints[name].data_centre == state.data_centre)
        for name in service.endpoints
    )
    return _rank_subset(state.vm, places)


@lru_cache(maxsize=256)
def _rank_subset(vm: str, places: tuple[tuple[str, bool], ...]) -> tuple[str, ...]:
    near = rank_by_score(vm, [name for name, is_near in places if is_near])
    far = rank_by_score(vm, [name for name, is_near in places if not is_near])
    near_room = max(SUBSET // 2, SUBSET - len(far))
    chosen = near[:near_room]
    return (*chosen, *far[: SUBSET - len(chosen)])


def choose_endpoint(
    state: RoutingState,
    fleet: Fleet,
    marks: Marks,
    request: RouteRequest,
    now: Instant,
    rng: random.Random,
) -> str | None:
    """Return the endpoint to try next, or None when none is left.

    Own data centre first while it has a free place, then the others. Within
    that: the prefix's own endpoint unless it is much fuller than the mean,
    else the less loaded of two (bounded-load affinity, power of two choices).
    """
    names = [
        name
        for name in choose_subset(fleet, request.service, state)
        if name not in request.tried and not marks.is_out(fleet, name)
    ]
    rested = [name for name in names if state.view(name).blocked_until <= now]
    if not rested:
        return _least_rested(state, names)
    service = request.service
    free = [name for name in rested if has_free_place(state, service, name, now)]
    near = [
        name for name in free if fleet.endpoints[name].data_centre == state.data_centre
    ]
    candidates = near or free or rested
    own = _own_by_prefix(state, request, candidates, now)
    if own is not None:
        return own
    pair = rng.sample(candidates, min(_CHOICES, len(candidates)))
    return min(pair, key=lambda name: _utilisation(state, service, name, now))


def has_free_place(
    state: RoutingState, service: Service, endpoint: str, now: Instant
) -> bool:
    """Return whether an endpoint is believed to have a place."""
    return _utilisation(state, service, endpoint, now) < 1.0


def choose_home(
    state: RoutingState,
    fleet: Fleet,
    marks: Marks,
    request: RouteRequest,
    now: Instant,
    rng: random.Random,
) -> str | None:
    """Return a home for a key about to be issued.

    It must be known by its boot, since the key names that very run.
    """
    unknown = [
        name for name in request.service.endpoints if state.view(name).boot is None
    ]
    known = request._replace(tried=request.tried.union(unknown))
    return choose_endpoint(state, fleet, marks, known, now, rng)


class DrawnKey(NamedTuple):
    """A key issued to a home that answers now."""

    home: str
    key: OrderKey


def draw_key(
    state: RoutingState,
    fleet: Fleet,
    marks: Marks,
    request: RouteRequest,
    now: Instant,
    rng: random.Random,
) -> DrawnKey | None:
    """Return a fresh key for a known home, or None when none answers."""
    home = choose_home(state, fleet, marks, request, now, rng)
    boot = state.view(home).boot if home else None
    if home is None or boot is None:
        return None
    return DrawnKey(home, issue_key(home, boot, now, rng))


def may_retry(state: RoutingState) -> bool:
    """Return whether the retry budget allows one more."""
    return state.budget >= 1.0


def _least_rested(state: RoutingState, names: list[str]) -> str | None:
    """With every endpoint at rest, the one whose rest ends first is tried."""
    if not names:
        return None
    return min(names, key=lambda name: state.view(name).blocked_until)


def _own_by_prefix(
    state: RoutingState, request: RouteRequest, candidates: list[str], now: Instant
) -> str | None:
    if not request.prefix:
        return None
    loads = [state.view(name).estimate_load(now) for name in candidates]
    bound = AFFINITY_SLACK * (sum(loads) + 1) / len(candidates)
    for name in rank_by_score(request.prefix, candidates)[:_CHOICES]:
        if state.view(name).estimate_load(now) < bound:
            return name
    return None


def _utilisation(
    state: RoutingState, service: Service, endpoint: str, now: Instant
) -> float:
    view = state.view(endpoint)
    limit = view.load.limit if view.load else service.cold_limit
    return view.estimate_load(now) / max(1, limit)
