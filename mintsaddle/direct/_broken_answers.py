"""Finds out why an answer broke: its engine ended, or only the connection."""

from mintsaddle.decisions.direct import DirectCall, Incarnation
from mintsaddle.decisions.quarantine import SURVIVAL_SECONDS
from mintsaddle.direct._answer_records import log_broken_answer
from mintsaddle.direct._engine_checks import EngineState, check_engine
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._watchdog import WatchedExchange
from mintsaddle.values import Instant


def record_broken_answer(
    gateway: Gateway,
    call: DirectCall,
    endpoint: Incarnation,
    watched: WatchedExchange,
    error: Exception,
    begun_at: Instant | None,
    *,
    has_event: bool = False,
) -> None:
    """Record what an answer that broke says of the features of its request.

    Args:
        gateway: The entry's shared state.
        call: The call.
        endpoint: The endpoint that it was sent to.
        watched: The connection, which broke or was aborted.
        error: What broke the answer.
        begun_at: When the head of the answer arrived; None without one.
        has_event: Whether an event has arrived. Without one, a stalled rank
            can't be told from one that would have ended.
    """
    now = gateway.now()
    begun_seconds = None if begun_at is None else now - begun_at
    state = None
    if not watched.exchange.aborted and now < watched.expires_at:
        if begun_seconds is not None and begun_seconds >= SURVIVAL_SECONDS:
            if has_event:
                gateway.quarantine.record_survived(call.features, endpoint.name)
        else:
            state = check_engine(endpoint.address)
            gateway.metrics.count(f"broken_answer_engine_{state.value}")
    # The planned end of an engine says nothing of its requests.
    if state is EngineState.ENDED and gateway.is_expected_to_run(endpoint):
        gateway.quarantine.record_ended(call.features, endpoint.name)
    log_broken_answer(call, endpoint, error, begun_seconds, state)
