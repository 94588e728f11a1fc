"""Records how attempts without a usable answer ended."""

from mintsaddle.decisions.direct import (
    DirectCall,
    Ending,
    GiveUp,
    Incarnation,
    decide_next,
    record_attempt,
)
from mintsaddle.decisions.routing import (
    may_retry,
    record_failed,
    record_turned_away,
    spend_retry,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger

_SAYS_NOTHING = frozenset(
    {Ending.FAILED, Ending.GROUP_DOWN, Ending.STALE, Ending.WITHDRAWN}
)
"""Endings that don't speak against the endpoint."""

_log = make_logger("calls")


def record_ending(
    gateway: Gateway, call: DirectCall, endpoint: Incarnation, ending: Ending
) -> tuple[DirectCall, GiveUp | None]:
    """Record a failed attempt.

    Args:
        gateway: The entry's shared state.
        call: The call before the attempt.
        endpoint: The endpoint that it was sent to.
        ending: How the attempt ended.

    Returns:
        The call after the attempt, and a GiveUp; None to try again.
    """
    call = record_attempt(call, endpoint.name, ending)
    now = gateway.now()
    with gateway.lock:
        if ending is Ending.NOT_RUN:
            record_turned_away(gateway.routing, endpoint.name, now)
        elif ending not in _SAYS_NOTHING:
            record_failed(gateway.routing, endpoint.name, now)
        has_budget = may_retry(gateway.routing)
        decision = decide_next(call, ending, has_budget=has_budget, now=now)
        if not isinstance(decision, GiveUp) and ending is not Ending.NOT_SENT:
            spend_retry(gateway.routing)
    gateway.metrics.count(f"attempt_{ending.value}")
    _log.info(
        "Attempt failed %s.",
        fields(
            request=call.request_id,
            endpoint=endpoint.name,
            ending=ending.value,
            sends=call.sends,
            budget=has_budget,
            next="stop" if isinstance(decision, GiveUp) else "again",
        ),
    )
    return call, decision if isinstance(decision, GiveUp) else None
