"""Starts attempts: chooses the endpoint and sets the timeout."""

from mintsaddle.decisions.calls._endings import give_up
from mintsaddle.decisions.calls._messages import (
    CallActions,
    SendAttempt,
)
from mintsaddle.decisions.calls._queries import is_order
from mintsaddle.decisions.calls._state import Attempt, CallState, RoutingContext
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
"""Seconds for an endpoint daemon to accept. It decides without blocking, so
a longer silence means that it is frozen or unreachable."""

ORDER_TIMEOUT = 2.0
"""The same for an order, which can't be retried at another endpoint."""

_SILENCE_TIMEOUT_FACTOR = 3.0
"""Target latencies of silence, on top of the longest queue time, until an
accepted attempt times out."""

_MAX_ATTEMPTS = 6


def try_next(
    state: CallState, context: RoutingContext, reason: Reason, now: Instant
) -> CallActions:
    """Send an attempt to the next endpoint or home, or give up."""
    if state.attempts >= _MAX_ATTEMPTS:
        return give_up(state, context, reason, now)
    if is_order(state):
        return _try_home(state, context, reason, now)
    route = RouteRequest(state.request.service, state.request.prefix, state.tried)
    endpoint = choose_endpoint(
        context.routing, context.fleet, context.marks, route, now, context.rng
    )
    if endpoint is None:
        return give_up(state, context, reason, now)
    return _send(state, context, endpoint, None, now)


def _try_home(
    state: CallState, context: RoutingContext, reason: Reason, now: Instant
) -> CallActions:
    key = state.request.key
    if key is not None:
        home = _home_of(state, context, key)
        if home is None or home in state.tried:
            return give_up(state, context, reason, now)
        return _send(state, context, home, key, now)
    route = RouteRequest(state.request.service, "", state.tried)
    drawn = draw_key(
        context.routing, context.fleet, context.marks, route, now, context.rng
    )
    if drawn is None:
        return give_up(state, context, reason, now)
    return _send(state, context, drawn.home, drawn.key, now)


def _home_of(state: CallState, context: RoutingContext, key: OrderKey) -> str | None:
    service = state.request.service
    if key.origin is KeyOrigin.SUPPLIED:
        return find_home(list_homes(service).homes, key.text)
    matching = [
        name for name in context.fleet.endpoints if home_tag(name) == key.home_tag
    ]
    for name in matching:
        if context.routing.view(name).boot == key.boot:
            return name
    return matching[0] if matching else None


def _send(
    state: CallState,
    context: RoutingContext,
    endpoint: str,
    key: OrderKey | None,
    now: Instant,
) -> CallActions:
    timeout = ORDER_TIMEOUT if is_order(state) else ACCEPT_TIMEOUT
    number = state.attempts + 1
    state.begin_attempt(Attempt(number, endpoint, key, now + timeout))
    record_sent(context.routing, endpoint)
    return (SendAttempt(number, endpoint, key, state.delivered),)


def handle_accepted(state: CallState, attempt: Attempt, now: Instant) -> CallActions:
    """Record that the endpoint daemon has accepted the attempt."""
    # The attempt may still be queued: a later refusal means that it didn't
    # run. After any other end it is unknown whether it ran.
    state.replace_attempt(
        attempt._replace(accepted=True, timeout_at=next_timeout(state, now))
    )
    return ()


def next_timeout(state: CallState, now: Instant) -> Instant:
    """Return when an accepted attempt times out if nothing more arrives.

    An order times out at its deadline only, as it can't be retried at another
    endpoint.
    """
    service = state.request.service
    if is_order(state):
        return state.request.deadline
    return now + service.longest_queue + _SILENCE_TIMEOUT_FACTOR * service.target
