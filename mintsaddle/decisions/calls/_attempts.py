"""Making an attempt: where it goes and how long it may be silent."""

from mintsaddle.decisions.calls._endings import give_up
from mintsaddle.decisions.calls._messages import (
    CallActions,
    SendAttempt,
)
from mintsaddle.decisions.calls._queries import is_order
from mintsaddle.decisions.calls._state import Attempt, CallState, RouteFacts
from mintsaddle.decisions.routing import (
    RouteRequest,
    choose_endpoint,
    draw_key,
    record_sent,
)
from mintsaddle.fleet import find_home, list_homes
from mintsaddle.values import (
    Instant,
    KeyOrigin,
    OrderKey,
    Reason,
    home_tag,
)

ACCEPT_TIMEOUT = 0.5
"""Seconds for an endpoint daemon to accept; it decides at once, so a longer
silence means that it is frozen or cut off."""

ORDER_TIMEOUT = 2.0
"""The same for an order, which can't be tried elsewhere."""

_TARGETS_OF_TIMEOUT = 3.0
_MOST_ATTEMPTS = 6


def try_next(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> CallActions:
    """Try the next endpoint or home, or give up."""
    if state.attempts >= _MOST_ATTEMPTS:
        return give_up(state, facts, reason, now)
    if is_order(state):
        return _try_home(state, facts, reason, now)
    route = RouteRequest(state.request.service, state.request.prefix, state.tried)
    endpoint = choose_endpoint(
        facts.routing, facts.fleet, facts.marks, route, now, facts.rng
    )
    if endpoint is None:
        return give_up(state, facts, reason, now)
    return _send(state, facts, endpoint, None, now)


def _try_home(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> CallActions:
    key = state.request.key
    if key is not None:
        home = _home_of(state, facts, key)
        if home is None or home in state.tried:
            return give_up(state, facts, reason, now)
        return _send(state, facts, home, key, now)
    route = RouteRequest(state.request.service, "", state.tried)
    drawn = draw_key(facts.routing, facts.fleet, facts.marks, route, now, facts.rng)
    if drawn is None:
        return give_up(state, facts, reason, now)
    return _send(state, facts, drawn.home, drawn.key, now)


def _home_of(state: CallState, facts: RouteFacts, key: OrderKey) -> str | None:
    service = state.request.service
    if key.origin is KeyOrigin.SUPPLIED:
        return find_home(list_homes(service).homes, key.text)
    named = [name for name in facts.fleet.endpoints if home_tag(name) == key.home_tag]
    for name in named:
        if facts.routing.view(name).boot == key.boot:
            return name
    return named[0] if named else None


def _send(
    state: CallState,
    facts: RouteFacts,
    endpoint: str,
    key: OrderKey | None,
    now: Instant,
) -> CallActions:
    timeout = ORDER_TIMEOUT if is_order(state) else ACCEPT_TIMEOUT
    number = state.attempts + 1
    state.begin_attempt(Attempt(number, endpoint, key, now + timeout))
    record_sent(facts.routing, endpoint)
    return (SendAttempt(number, endpoint, key, state.delivered),)


def accept(state: CallState, attempt: Attempt, now: Instant) -> CallActions:
    """Note that the endpoint daemon has taken the attempt."""
    # It may only wait in the queue there: a refusal that follows still says
    # that it didn't run. Any other end of the attempt leaves that open.
    state.replace_attempt(
        attempt._replace(accepted=True, silent_at=silent_at(state, now))
    )
    return ()


def silent_at(state: CallState, now: Instant) -> Instant:
    """Return when an accepted attempt counts as silent.

    An order is waited for until its deadline: it can't be tried elsewhere.
    """
    service = state.request.service
    if is_order(state):
        return state.request.deadline
    return now + service.longest_queue + _TARGETS_OF_TIMEOUT * service.target
