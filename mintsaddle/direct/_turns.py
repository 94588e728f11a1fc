"""Turns of the calls that wait in the queue of a service with levels."""

from collections.abc import Callable

from mintsaddle.decisions.direct import DirectCall
from mintsaddle.direct._admission_logs import log_displaced, log_waiting
from mintsaddle.direct._availability import (
    DISCONNECT_POLL_SECONDS,
    CallerDisconnectedError,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._levelled_call import LevelledCall

ATTEMPT_INTERVAL_SECONDS = 0.1
"""Seconds between two attempts to place a waiting call; each attempt costs a
few probes."""

RETURN_SECONDS = 0.02
"""Seconds for which calls that waited for endpoints only join the queue. They
wake up one after the other, and the first ones would attempt placement before
more urgent ones are in the queue."""


def leave_queue(gateway: Gateway, call: DirectCall, ticket: str) -> None:
    """Free a call's place and let the next one attempt placement."""
    with gateway.queue_changed:
        queue = gateway.overload.queue(call.service)
        if queue.is_waiting(ticket):
            gateway.queue_changed.notify_all()
        queue.remove(ticket)


def leave_queue_if_unavailable(gateway: Gateway, call: DirectCall, ticket: str) -> bool:
    """Let others go first while the call waits for an endpoint."""
    with gateway.queue_changed:
        if gateway.has_available(call.service):
            return False
        leave_queue(gateway, call, ticket)
        return True


def join_returning_calls(gateway: Gateway, levelled: LevelledCall) -> None:
    """Queue the call and let others that waited for endpoints do the same."""
    until = min(gateway.now() + RETURN_SECONDS, levelled.wait_until)
    with gateway.queue_changed:
        _enqueue(gateway, levelled)
        while (left := until - gateway.now()) > 0:
            gateway.queue_changed.wait(left)


def _enqueue(gateway: Gateway, levelled: LevelledCall) -> bool:
    """Return whether the call waits in the queue; requires the lock."""
    now = gateway.now()
    call = levelled.call._replace(request_id=levelled.ticket)
    queue = gateway.overload.queue(call.service)
    return queue.is_waiting(levelled.ticket) or queue.enqueue(
        call, levelled.level, now, is_protected=levelled.is_protected
    )


def await_turn(
    gateway: Gateway, levelled: LevelledCall, is_disconnected: Callable[[], bool]
) -> bool:
    """Return whether the call may attempt placement in time."""
    ticket = levelled.ticket
    has_waited = False
    with gateway.queue_changed:
        queue = gateway.overload.queue(levelled.call.service)
        while not queue.is_displaced(ticket):
            now = gateway.now()
            if not _enqueue(gateway, levelled):
                return False
            if queue.may_attempt(ticket, now):
                return True
            left = levelled.wait_until - now
            if left <= 0:
                return False
            if not has_waited:
                has_waited = True
                gateway.metrics.count("waited_for_turn")
                log_waiting(gateway, levelled)
            gateway.queue_changed.wait(min(left, DISCONNECT_POLL_SECONDS))
            if is_disconnected():
                raise CallerDisconnectedError
    gateway.metrics.count("displaced")
    log_displaced(gateway, levelled)
    return False


def await_next_attempt(
    gateway: Gateway, levelled: LevelledCall, is_disconnected: Callable[[], bool]
) -> None:
    """Wait until the next attempt; the call keeps its place in the queue.

    The placement of another call shows that slots become free. The calls that
    come up next then attempt placement and must not overtake this one.
    """
    gateway.metrics.count("waited_for_slot")
    log_waiting(gateway, levelled)
    service = levelled.call.service
    next_attempt_at = gateway.now() + ATTEMPT_INTERVAL_SECONDS
    with gateway.queue_changed:
        placed = gateway.overload.placed_calls(service)
        while (
            placed == gateway.overload.placed_calls(service)
            and (left := min(next_attempt_at, levelled.wait_until) - gateway.now()) > 0
        ):
            gateway.queue_changed.wait(left)
    if is_disconnected():
        raise CallerDisconnectedError
