"""Endpoint selection."""

import random
from collections.abc import Sequence
from functools import lru_cache
from typing import NamedTuple

from mintsaddle.decisions.routing._state import RoutingState
from mintsaddle.fleet import Fleet, Marks, Service
from mintsaddle.values import Instant, OrderKey, issue_key, rank_by_score

SUBSET_SIZE = 24
"""Maximum endpoints of a service that one entry uses."""

AFFINITY_LOAD_FACTOR = 1.25
"""Maximum load of a prefix's preferred endpoint, relative to the mean."""

_CANDIDATES_COMPARED = 2


class RouteRequest(NamedTuple):
    """Routing parameters of one request."""

    service: Service
    prefix: str
    """Identifies the prompt prefix; requests that share it share a cache."""

    tried: frozenset[str]
    """Endpoints already tried for this request."""


def choose_subset(fleet: Fleet, service: Service, state: RoutingState) -> Sequence[str]:
    """Return the stable subset of endpoints that this entry uses.

    Endpoints of the local data centre come first, but part of the subset is
    reserved for others, so that the entry can still route if the local data
    centre fails.
    """
    endpoints = tuple(
        (name, fleet.endpoints[name].data_centre == state.data_centre)
        for name in service.endpoints
    )
    return _rank_subset(state.vm, endpoints)


@lru_cache(maxsize=256)
def _rank_subset(vm: str, endpoints: tuple[tuple[str, bool], ...]) -> tuple[str, ...]:
    local = rank_by_score(vm, [name for name, is_local in endpoints if is_local])
    remote = rank_by_score(vm, [name for name, is_local in endpoints if not is_local])
    local_count = max(SUBSET_SIZE // 2, SUBSET_SIZE - len(remote))
    chosen = local[:local_count]
    return (*chosen, *remote[: SUBSET_SIZE - len(chosen)])


def choose_endpoint(
    state: RoutingState,
    fleet: Fleet,
    marks: Marks,
    request: RouteRequest,
    now: Instant,
    rng: random.Random,
) -> str | None:
    """Return the endpoint to try next, or None when none is left.

    Endpoints of the local data centre are preferred while any of them has
    capacity. Among the candidates, the preferred endpoint of the prefix is
    used unless its load exceeds the bound (bounded-load affinity); otherwise
    the less loaded of two random ones (power of two choices).
    """
    names = [
        name
        for name in choose_subset(fleet, request.service, state)
        if name not in request.tried and not marks.is_out(fleet, name)
    ]
    available = [name for name in names if state.view(name).blocked_until <= now]
    if not available:
        return _earliest_available(state, names)
    service = request.service
    free = [name for name in available if has_free_capacity(state, service, name, now)]
    local = [
        name for name in free if fleet.endpoints[name].data_centre == state.data_centre
    ]
    candidates = local or free or available
    preferred = _choose_by_prefix(state, request, candidates, now)
    if preferred is not None:
        return preferred
    pair = rng.sample(candidates, min(_CANDIDATES_COMPARED, len(candidates)))
    return min(pair, key=lambda name: _utilisation(state, service, name, now))


def has_free_capacity(
    state: RoutingState, service: Service, endpoint: str, now: Instant
) -> bool:
    """Return whether an endpoint is estimated to have capacity."""
    return _utilisation(state, service, endpoint, now) < 1.0


def choose_home(
    state: RoutingState,
    fleet: Fleet,
    marks: Marks,
    request: RouteRequest,
    now: Instant,
    rng: random.Random,
) -> str | None:
    """Return a home endpoint for a new key.

    Only endpoints with a known boot number qualify: the key contains it.
    """
    unknown = [
        name for name in request.service.endpoints if state.view(name).boot is None
    ]
    known = request._replace(tried=request.tried.union(unknown))
    return choose_endpoint(state, fleet, marks, known, now, rng)


class DrawnKey(NamedTuple):
    """A new key and the home endpoint that it is bound to."""

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
    """Return a new key for an available home, or None if there is none."""
    home = choose_home(state, fleet, marks, request, now, rng)
    boot = state.view(home).boot if home else None
    if home is None or boot is None:
        return None
    return DrawnKey(home, issue_key(home, boot, now, rng))


def may_retry(state: RoutingState) -> bool:
    """Return whether the budget allows another retry."""
    return state.budget >= 1.0


def _earliest_available(state: RoutingState, names: list[str]) -> str | None:
    """Return the endpoint whose backoff ends first."""
    if not names:
        return None
    return min(names, key=lambda name: state.view(name).blocked_until)


def _choose_by_prefix(
    state: RoutingState, request: RouteRequest, candidates: list[str], now: Instant
) -> str | None:
    if not request.prefix:
        return None
    loads = [state.view(name).estimate_load(now) for name in candidates]
    bound = AFFINITY_LOAD_FACTOR * (sum(loads) + 1) / len(candidates)
    for name in rank_by_score(request.prefix, candidates)[:_CANDIDATES_COMPARED]:
        if state.view(name).estimate_load(now) < bound:
            return name
    return None


def _utilisation(
    state: RoutingState, service: Service, endpoint: str, now: Instant
) -> float:
    view = state.view(endpoint)
    limit = view.load.limit if view.load else service.cold_limit
    return view.estimate_load(now) / max(1, limit)
