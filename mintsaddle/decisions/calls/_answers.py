"""Delivers a response to the caller: each chunk once and in order."""

from mintsaddle.decisions.calls._attempts import next_timeout
from mintsaddle.decisions.calls._endings import end_attempt, finish
from mintsaddle.decisions.calls._messages import (
    CallActions,
    ChunkArrived,
    DeliverChunk,
    DeliverHead,
    EndArrived,
    HeadArrived,
)
from mintsaddle.decisions.calls._state import Attempt, CallState, RoutingContext
from mintsaddle.values import (
    Instant,
    Outcome,
)

_MAX_BUFFERED_CHUNKS = 1024
"""Bounds the memory for chunks that arrive out of order."""


def handle_head(
    state: CallState,
    context: RoutingContext,
    attempt: Attempt,
    event: HeadArrived,
    now: Instant,
) -> CallActions:
    """Deliver the status, then the chunks that arrived before it."""
    state.mark_reached()
    state.replace_attempt(attempt._replace(timeout_at=next_timeout(state, now)))
    if state.head_delivered:
        return ()
    state.mark_head_delivered()
    head = DeliverHead(event.status, event.content_type)
    return (head, *_deliver(state), *_finish_if_complete(state, context))


def handle_chunk(
    state: CallState,
    context: RoutingContext,
    attempt: Attempt,
    event: ChunkArrived,
    now: Instant,
) -> CallActions:
    """Deliver a chunk in order; buffer an early one, drop a duplicate."""
    state.replace_attempt(attempt._replace(timeout_at=next_timeout(state, now)))
    if (
        event.sequence <= state.delivered
        or len(state.buffered_chunks) >= _MAX_BUFFERED_CHUNKS
    ):
        return ()
    state.buffer_chunk(event.sequence, event.data)
    return (*_deliver(state), *_finish_if_complete(state, context))


def _deliver(state: CallState) -> CallActions:
    if not state.head_delivered:
        return ()
    actions = []
    data = state.pop_buffered_chunk(state.delivered + 1)
    while data is not None:
        actions.append(DeliverChunk(state.count_delivered(), data))
        data = state.pop_buffered_chunk(state.delivered + 1)
    return tuple(actions)


def handle_end(
    state: CallState, context: RoutingContext, event: EndArrived
) -> CallActions:
    """Record how many chunks the response has."""
    state.set_end_count(event.total)
    return (*_deliver(state), *_finish_if_complete(state, context))


def _finish_if_complete(state: CallState, context: RoutingContext) -> CallActions:
    """Finish the call once every chunk was delivered.

    The end may arrive before the last chunk. The attempt's timeout then keeps
    running; when it expires, the response is resumed at another endpoint.
    """
    complete = state.head_delivered and state.end_count == state.delivered
    if not complete or state.attempt is None:
        return ()
    end_attempt(state, context, state.attempt)
    return finish(state, Outcome.DONE, None, 0.0)
