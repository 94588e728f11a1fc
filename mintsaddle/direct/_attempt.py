"""One attempt of a call: sends the request, reads the head of the answer."""

import http.client
from typing import NamedTuple

from mintsaddle.decisions.direct import DirectCall, Ending, Incarnation, Repeat
from mintsaddle.direct._answer_records import find_urgency, record_head
from mintsaddle.direct._answers import CallerRequest
from mintsaddle.direct._broken_answers import record_broken_answer
from mintsaddle.direct._exchange import REUSED_ACK_TIMEOUT_SECONDS, Exchange
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._watchdog import WatchedExchange
from mintsaddle.engines import StrictResponse
from mintsaddle.platform import ResponseHead, make_endpoint_headers, read_response_head
from mintsaddle.values import Instant

DEADLINE_GRACE_SECONDS = 0.15
"""Seconds past the deadline for which the endpoint's own timeout answer is
awaited: the endpoint works until the deadline, and its answer takes 1 ms to
arrive."""


class Attempt(NamedTuple):
    """An attempt whose answer has begun."""

    endpoint: Incarnation
    exchange: Exchange
    watched: WatchedExchange
    response: StrictResponse
    head: ResponseHead
    begun_at: Instant
    """When the head of the answer arrived."""

    def is_aborted(self) -> bool:
        """Return whether this entry has aborted the exchange."""
        return self.exchange.aborted


def acquire_exchange(
    gateway: Gateway, call: DirectCall, endpoint: Incarnation
) -> Exchange:
    """Return a pooled connection if repeats are allowed, or a new one."""
    pooled = None
    if call.route.repeat is not Repeat.ONCE and not call.avoids_reuse:
        pooled = gateway.pool.acquire(endpoint)
    gateway.metrics.count("connection_kept" if pooled else "connection_fresh")
    return pooled or Exchange(endpoint.address)


def send_request(
    gateway: Gateway,
    call: DirectCall,
    request: CallerRequest,
    endpoint: Incarnation,
    watched: WatchedExchange,
) -> tuple[Ending, Attempt | None]:
    """Send a request; return the attempt if its answer has begun.

    Args:
        gateway: The entry's shared state.
        call: The call.
        request: The caller's request.
        endpoint: The endpoint to send it to.
        watched: The connection to use.

    Returns:
        How the attempt ended if there is no usable answer, and the attempt.
    """
    exchange = watched.exchange
    is_fresh = not exchange.is_reused
    if not exchange.connect():
        gateway.reach.record(endpoint.data_centre, received=False)
        return Ending.NOT_SENT, None
    if is_fresh:
        gateway.reach.record(endpoint.data_centre, received=True)
    left = call.deadline - gateway.now()
    is_waiting = gateway.waits.is_waiting(endpoint.name)
    is_quarantined = gateway.quarantine.is_quarantined(call.features)
    if left <= 0 or is_waiting or is_quarantined:
        return Ending.NOT_SENT, None
    headers = make_endpoint_headers(
        request.environ,
        endpoint.name,
        call.workspace,
        left,
        call.last_event,
        find_urgency(gateway, call),
    )
    sent_at = gateway.now()
    try:
        response = exchange.send(
            request.method,
            request.target,
            headers,
            request.body,
            left + 2 * DEADLINE_GRACE_SECONDS,
        )
    except (OSError, http.client.HTTPException, ValueError) as error:
        record_broken_answer(gateway, call, endpoint, watched, error, None)
        if exchange.aborted and gateway.quarantine.is_quarantined(call.features):
            return Ending.WITHDRAWN, None
        now = gateway.now()
        is_reused = exchange.is_reused and not exchange.aborted
        if is_stale_break(is_reused, error, now - sent_at):
            return Ending.STALE, None
        return Ending.SILENT if now >= watched.expires_at else Ending.BROKEN, None
    head = read_response_head(response, call.request_id, endpoint.slots)
    record_head(gateway, call, endpoint, head)
    ending = _ending_of(gateway, endpoint, head)
    if ending is not None:
        return ending, None
    begun_at = gateway.now()
    attempt = Attempt(endpoint, exchange, watched, response, head, begun_at)
    return Ending.BROKEN, attempt


def is_stale_break(is_reused: bool, error: Exception, seconds: float) -> bool:
    """Return whether the endpoint had probably closed an idle connection.

    Args:
        is_reused: Whether the connection has served an earlier request.
        error: What broke it.
        seconds: Time from sending the request to the error.
    """
    is_closed = isinstance(error, ConnectionError)
    return is_reused and is_closed and seconds < REUSED_ACK_TIMEOUT_SECONDS


def _ending_of(
    gateway: Gateway, endpoint: Incarnation, head: ResponseHead
) -> Ending | None:
    """Return how an answer ends the attempt; None if it may be used."""
    if head.is_misdirected:
        if not head.at_fault:
            gateway.record_replaced(endpoint.name)
        return Ending.MISDIRECTED
    if head.not_executed:
        assignment = endpoint.assignment
        if head.at_fault and assignment is not None:
            gateway.record_group_refusal(
                assignment.group, assignment.epoch, head.at_fault
            )
            return Ending.GROUP_DOWN
        return Ending.NOT_RUN
    return None if head.is_authentic else Ending.BROKEN
