"""What a worker thread does: one call to the engine, from start to end."""

from typing import TYPE_CHECKING, NamedTuple

from mintsaddle.decisions.admission import EngineFeedback
from mintsaddle.decisions.arrivals import EngineResult
from mintsaddle.endpoint._mailbox import Mailbox
from mintsaddle.endpoint._words import Broken, Chunk, End, Head, Refused, Word
from mintsaddle.engines import EngineCall, EngineCallResult, EngineHead
from mintsaddle.values import Claim, Reason, Refusal

if TYPE_CHECKING:
    from mintsaddle.endpoint._host import EndpointHost

_OVERLOADED = frozenset({429, 503})
_BACK_SOON = 1.0


class CallPlan(NamedTuple):
    """What a worker thread needs to know of its call."""

    request_id: str
    mailbox: Mailbox
    """Where words to the entry go."""

    target: float
    """Seconds within which a first chunk counts as good."""

    is_engine: bool
    """Whether statuses of overload count as such."""


def run_call(host: "EndpointHost", call: EngineCall, plan: CallPlan) -> None:
    """Run a repeatable call in a worker thread."""
    post = host.node.loop_thread.post
    clock = host.node.now
    started = clock()
    request_id = plan.request_id
    overload_counts = plan.is_engine
    firsts: list[float] = []
    heads: list[EngineHead] = []
    sequence = int(plan.mailbox.message.resume_after) + 1

    def on_head(head: EngineHead) -> None:
        heads.append(head)
        refused = overload_counts and head.status in _OVERLOADED
        post(host.see_head, head)
        if not refused:
            plan.mailbox.put_from_thread(Head(head.status, head.content_type), post)

    def on_chunk(data: bytes) -> None:
        nonlocal sequence
        if not firsts:
            firsts.append(clock())
        if not (overload_counts and heads[0].status in _OVERLOADED):
            plan.mailbox.put_from_thread(Chunk(sequence, data), post)
        sequence += 1

    end = call.run(on_head, on_chunk)
    overloaded = overload_counts and bool(heads) and heads[0].status in _OVERLOADED
    in_time = bool(firsts) and firsts[0] - started <= plan.target
    evidence = _judge(end, overloaded=overloaded, in_time=in_time)
    word = _last_word(end, sequence - 1, overloaded=overloaded, now=clock())
    post(host.see_end, request_id, EngineResult(evidence, end.reached), word)


def run_order(host: "EndpointHost", call: EngineCall, plan: CallPlan) -> None:
    """Run an order in a worker thread; the ledger keeps its answer."""
    post = host.node.loop_thread.post
    clock = host.node.now
    started = clock()
    request_id = plan.request_id
    heads: list[EngineHead] = []
    parts: list[bytes] = []

    def on_head(head: EngineHead) -> None:
        heads.append(head)
        post(host.see_head, head)

    end = call.run(on_head, parts.append)
    in_time = clock() - started <= plan.target
    evidence = _judge(end, overloaded=False, in_time=in_time)
    status = heads[0].status if heads else 0
    content_type = heads[0].content_type if heads else ""
    body = b"".join(parts)
    result = EngineResult(evidence, end.reached, status, content_type, body)
    post(host.see_end, request_id, result, None)


def _judge(end: EngineCallResult, *, overloaded: bool, in_time: bool) -> EngineFeedback:
    if overloaded:
        return EngineFeedback.OVERLOADED
    if not end.is_complete:
        return EngineFeedback.FAILED
    return EngineFeedback.GOOD if in_time else EngineFeedback.SLOW


def _last_word(
    end: EngineCallResult, count: int, *, overloaded: bool, now: float
) -> Word:
    if overloaded:
        return Refused(Refusal(Claim.NEVER, Reason.FULL, now + _BACK_SOON))
    if not end.reached:
        return Refused(Refusal(Claim.NEVER, Reason.ENGINE_DOWN, now + _BACK_SOON))
    if not end.is_complete:
        return Broken(Reason.ENGINE_FAILED)
    return End(count)
