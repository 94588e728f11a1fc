"""Finds out why an answer broke: its engine ended, or only the connection."""

from mintsaddle.decisions.direct import DirectCall, Incarnation
from mintsaddle.direct._answer_records import log_broken_answer
from mintsaddle.direct._engine_checks import check_engine
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._watchdog import WatchedExchange
from mintsaddle.values import Instant

BEGINNING_SECONDS = 1.0
"""Seconds after the head of an answer during which its request may be what
ended the engine."""


def record_broken_answer(
    gateway: Gateway,
    call: DirectCall,
    endpoint: Incarnation,
    watched: WatchedExchange,
    error: Exception,
    begun_at: Instant | None,
) -> None:
    """Check the engine of an answer that broke at its beginning, and log it.

    Args:
        gateway: The entry's shared state.
        call: The call.
        endpoint: The endpoint that it was sent to.
        watched: The connection, which broke or was aborted.
        error: What broke the answer.
        begun_at: When the head of the answer arrived; None without one.
    """
    now = gateway.now()
    begun_seconds = None if begun_at is None else now - begun_at
    is_aborted = watched.exchange.aborted or now >= watched.expires_at
    has_just_begun = begun_seconds is None or begun_seconds < BEGINNING_SECONDS
    state = None
    if has_just_begun and not is_aborted:
        state = check_engine(endpoint.address)
        gateway.metrics.count(f"broken_answer_engine_{state.value}")
    log_broken_answer(call, endpoint, error, begun_seconds, state)
