"""Runs one call to the engine in a worker thread."""

from typing import TYPE_CHECKING, NamedTuple

from mintsaddle.decisions.admission import EngineFeedback
from mintsaddle.decisions.arrivals import EngineResult
from mintsaddle.endpoint._mailbox import Mailbox
from mintsaddle.endpoint._reply_events import (
    Broken,
    Chunk,
    End,
    Head,
    Refused,
    ReplyEvent,
)
from mintsaddle.engines import EngineCall, EngineCallResult, EngineHead
from mintsaddle.values import Claim, Reason, Refusal

if TYPE_CHECKING:
    from mintsaddle.endpoint._host import EndpointHost

_OVERLOAD_STATUSES = frozenset({429, 503})

_RETRY_DELAY = 1.0
"""Seconds after which a refused request may be retried."""


class CallParameters(NamedTuple):
    """Parameters of a call in a worker thread."""

    request_id: str
    mailbox: Mailbox
    """Receives the reply events for the entry."""

    target: float
    """Seconds within which the first chunk of a response is in time."""

    is_engine: bool
    """Whether the service is a model engine.

    Only for these do statuses 429 and 503 count as overload.
    """


def run_call(
    host: "EndpointHost", call: EngineCall, parameters: CallParameters
) -> None:
    """Run a repeatable call and stream its response into the mailbox."""
    post = host.node.loop_thread.post
    clock = host.node.now
    started = clock()
    request_id = parameters.request_id
    detects_overload = parameters.is_engine
    first_chunk_times: list[float] = []
    heads: list[EngineHead] = []
    sequence = int(parameters.mailbox.message.resume_after) + 1

    def on_head(head: EngineHead) -> None:
        heads.append(head)
        refused = detects_overload and head.status in _OVERLOAD_STATUSES
        post(host.handle_response_head, head)
        if not refused:
            parameters.mailbox.put_from_thread(
                Head(head.status, head.content_type), post
            )

    def on_chunk(data: bytes) -> None:
        nonlocal sequence
        if not first_chunk_times:
            first_chunk_times.append(clock())
        if not (detects_overload and heads[0].status in _OVERLOAD_STATUSES):
            parameters.mailbox.put_from_thread(Chunk(sequence, data), post)
        sequence += 1

    call_result = call.run(on_head, on_chunk)
    overloaded = (
        detects_overload and bool(heads) and heads[0].status in _OVERLOAD_STATUSES
    )
    in_time = (
        bool(first_chunk_times) and first_chunk_times[0] - started <= parameters.target
    )
    feedback = _classify_feedback(call_result, overloaded=overloaded, in_time=in_time)
    final_event = _make_final_event(
        call_result, sequence - 1, overloaded=overloaded, now=clock()
    )
    post(
        host.handle_call_end,
        request_id,
        EngineResult(feedback, call_result.reached),
        final_event,
    )


def run_order(
    host: "EndpointHost", call: EngineCall, parameters: CallParameters
) -> None:
    """Run an order and collect its response for the ledger."""
    post = host.node.loop_thread.post
    clock = host.node.now
    started = clock()
    request_id = parameters.request_id
    heads: list[EngineHead] = []
    parts: list[bytes] = []

    def on_head(head: EngineHead) -> None:
        heads.append(head)
        post(host.handle_response_head, head)

    call_result = call.run(on_head, parts.append)
    in_time = clock() - started <= parameters.target
    feedback = _classify_feedback(call_result, overloaded=False, in_time=in_time)
    status = heads[0].status if heads else 0
    content_type = heads[0].content_type if heads else ""
    body = b"".join(parts)
    result = EngineResult(feedback, call_result.reached, status, content_type, body)
    post(host.handle_call_end, request_id, result, None)


def _classify_feedback(
    call_result: EngineCallResult, *, overloaded: bool, in_time: bool
) -> EngineFeedback:
    if overloaded:
        return EngineFeedback.OVERLOADED
    if not call_result.is_complete:
        return EngineFeedback.FAILED
    return EngineFeedback.GOOD if in_time else EngineFeedback.SLOW


def _make_final_event(
    call_result: EngineCallResult, count: int, *, overloaded: bool, now: float
) -> ReplyEvent:
    if overloaded:
        return Refused(Refusal(Claim.NEVER, Reason.FULL, now + _RETRY_DELAY))
    if not call_result.reached:
        return Refused(Refusal(Claim.NEVER, Reason.ENGINE_DOWN, now + _RETRY_DELAY))
    if not call_result.is_complete:
        return Broken(Reason.ENGINE_FAILED)
    return End(count)
