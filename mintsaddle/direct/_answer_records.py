"""Records what the head of an endpoint's answer says about the endpoint."""

from mintsaddle.decisions.direct import (
    DirectCall,
    Incarnation,
    choose_urgency,
    is_late,
)
from mintsaddle.decisions.routing import record_load
from mintsaddle.direct._engine_checks import EngineState
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import ResponseHead

_UNUSED_BOOT = 0
"""Boot number under which loads are recorded. It isn't needed to tell runs
apart, since each incarnation has a name of its own."""

MAX_LOGGED_PARTS = 8
"""Parts of a prompt that a log line names."""

_log = make_logger("calls")


def find_urgency(gateway: Gateway, call: DirectCall) -> int | None:
    """Return a call's urgency; None for services that aren't engines."""
    table = gateway.directory.table
    service = table.services.get(call.service) if table else None
    if service is None or not service.is_engine:
        return None
    now = gateway.now()
    levels = gateway.overload.levels_of(call)
    if levels is None:
        return choose_urgency(call, now)
    return levels.urgency_of(levels.level_of(call), late=is_late(call, now))


def record_head(
    gateway: Gateway, call: DirectCall, endpoint: Incarnation, head: ResponseHead
) -> None:
    """Record load, limits and notices of an answer's head.

    Args:
        gateway: The entry's shared state.
        call: The call that was answered.
        endpoint: The endpoint that it was sent to.
        head: The head of the answer.
    """
    if not head.is_misdirected:
        gateway.record_rate_limit(endpoint.name, head.rate_limit, gateway.now())
    _record_notices(gateway, call, endpoint, head)
    if head.load is None:
        return
    with gateway.lock:
        record_load(
            gateway.routing,
            endpoint.name,
            _UNUSED_BOOT,
            head.load,
            gateway.now(),
            is_refusal=head.not_executed,
        )


def log_broken_answer(
    call: DirectCall,
    endpoint: Incarnation,
    error: Exception,
    begun_seconds: float | None,
    engine_state: EngineState | None,
) -> None:
    """Log that an answer can't be used.

    Args:
        call: The call.
        endpoint: The endpoint that it was sent to.
        error: What broke the answer.
        begun_seconds: Seconds since the head of the answer; None without one.
        engine_state: State of the engine; None if it wasn't checked.
    """
    _log.info(
        "Answer broken %s.",
        fields(
            request=call.request_id,
            endpoint=endpoint.name,
            error=type(error).__name__,
            last_event=call.last_event,
            begun_seconds=begun_seconds,
            engine=engine_state.value if engine_state else None,
            parts=",".join(call.parts[:MAX_LOGGED_PARTS]) or "-",
        ),
    )


def _record_notices(
    gateway: Gateway, call: DirectCall, endpoint: Incarnation, head: ResponseHead
) -> None:
    """Record a request to wait, or that the endpoint is shutting down."""
    gateway.waits.record_answer(endpoint.name, head.retry_after)
    names = {"request": call.request_id, "endpoint": endpoint.name}
    if head.retry_after > 0:
        gateway.metrics.count("endpoint_asked_to_wait")
        details = fields(**names, status=head.status, seconds=head.retry_after)
        _log.info("Endpoint asked to wait %s.", details)
    if head.is_leaving and gateway.record_said_leaving(endpoint):
        gateway.metrics.count("endpoint_said_leaving")
        details = fields(**names, status=head.status)
        _log.info("Endpoint said that it leaves %s.", details)
