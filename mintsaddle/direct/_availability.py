"""Waits until endpoints of a call's service accept work."""

from collections.abc import Callable

from mintsaddle.decisions.direct import (
    DirectCall,
    Incarnation,
    await_until,
    hold_until,
    place_at,
    rank_incarnations,
    usable_endpoints,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.values import Instant, Reason

DISCONNECT_POLL_SECONDS = 0.2
"""Seconds between two checks whether a waiting caller has disconnected."""


class CallerDisconnectedError(ConnectionError):
    """The caller has disconnected, so nobody reads an answer."""


def await_ranked(
    gateway: Gateway, call: DirectCall, is_disconnected: Callable[[], bool]
) -> list[Incarnation] | Reason:
    """Return the endpoints that may be tried, best first, or a reason.

    The request waits here while all groups of the service are down, or while
    its endpoints have asked to wait or are cold and have received their share
    of requests. They would refuse it if it were sent.

    Args:
        gateway: The entry's shared state.
        call: The call, including the endpoints that were tried already.
        is_disconnected: Returns whether the caller has disconnected.

    Raises:
        CallerDisconnectedError: The caller disconnected while it waited.
    """
    with gateway.groups_changed:
        available = _await_available(gateway, call, is_disconnected)
        if isinstance(available, Reason):
            return available
        ranked = rank_incarnations(
            gateway.routing,
            gateway.waits.prefer_proven(call, available),
            call.tried,
            gateway.now(),
            gateway.rng,
            gateway.pool.has_idle,
        )
    return ranked or Reason.NO_ENDPOINT


def unavailable_reason(gateway: Gateway) -> Reason:
    """Return why no endpoint can take a request now."""
    return Reason.GROUP_DOWN if gateway.groups.down_groups() else Reason.FULL


def is_still_usable(gateway: Gateway, endpoint: Incarnation) -> bool:
    """Return whether an endpoint accepts work; requires the lock."""
    usable = usable_endpoints(gateway.directory, endpoint.service)
    return endpoint in usable and gateway.takes_work(endpoint)


def _await_available(
    gateway: Gateway, call: DirectCall, is_disconnected: Callable[[], bool]
) -> list[Incarnation] | Reason:
    wait_until = hold_until(call)
    has_waited = False
    while True:
        usable = usable_endpoints(gateway.directory, call.service)
        available = [endpoint for endpoint in usable if gateway.takes_work(endpoint)]
        if not usable:
            return []
        if available and not has_waited:
            return available
        if available:
            has_waited = False
            _sleep_until(gateway, place_at(call, gateway.now(), gateway.rng))
            continue
        has_waited = True
        if gateway.reach.is_isolated:
            return Reason.ISOLATED
        wait_end = gateway.first_wait_end(call.service)
        if wait_end is not None and wait_end > await_until(call, gateway.now()):
            return Reason.ASKED_TO_WAIT
        permit_at = gateway.limits.next_permit_at(endpoint.name for endpoint in usable)
        if permit_at is not None and permit_at > call.due_at:
            return Reason.RATE_LIMITED
        left = (wait_end or permit_at or wait_until) - gateway.now()
        if left <= 0:
            return unavailable_reason(gateway)
        gateway.groups_changed.wait(min(left, DISCONNECT_POLL_SECONDS))
        if is_disconnected():
            raise CallerDisconnectedError


def _sleep_until(gateway: Gateway, instant: Instant) -> None:
    """Wait until an instant, with the lock released meanwhile."""
    while (left := instant - gateway.now()) > 0:
        gateway.groups_changed.wait(left)
