"""Passing an answer on: every chunk once, in order, to its end."""

from mintsaddle.decisions.calls._attempts import silent_at
from mintsaddle.decisions.calls._endings import end_attempt, finish
from mintsaddle.decisions.calls._messages import (
    CallActions,
    ChunkArrived,
    DeliverChunk,
    DeliverHead,
    EndArrived,
    HeadArrived,
)
from mintsaddle.decisions.calls._state import Attempt, CallState, RouteFacts
from mintsaddle.values import (
    Instant,
    Outcome,
)

_MOST_EARLY = 1024


def take_head(
    state: CallState,
    facts: RouteFacts,
    attempt: Attempt,
    event: HeadArrived,
    now: Instant,
) -> CallActions:
    """Pass the status on, and chunks that came before it."""
    state.mark_reached()
    state.replace_attempt(attempt._replace(silent_at=silent_at(state, now)))
    if state.head_delivered:
        return ()
    state.mark_head()
    head = DeliverHead(event.status, event.content_type)
    return (head, *_deliver(state), *_finish_if_whole(state, facts))


def take_chunk(
    state: CallState,
    facts: RouteFacts,
    attempt: Attempt,
    event: ChunkArrived,
    now: Instant,
) -> CallActions:
    """Deliver a chunk in its turn; keep an early one; drop a doubled one."""
    state.replace_attempt(attempt._replace(silent_at=silent_at(state, now)))
    if event.sequence <= state.delivered or len(state.early) >= _MOST_EARLY:
        return ()
    state.put_early(event.sequence, event.data)
    return (*_deliver(state), *_finish_if_whole(state, facts))


def _deliver(state: CallState) -> CallActions:
    if not state.head_delivered:
        return ()
    actions = []
    data = state.take_early(state.delivered + 1)
    while data is not None:
        actions.append(DeliverChunk(state.count_delivered(), data))
        data = state.take_early(state.delivered + 1)
    return tuple(actions)


def take_end(state: CallState, facts: RouteFacts, event: EndArrived) -> CallActions:
    """Note how many chunks the answer has."""
    state.put_end(event.total)
    return (*_deliver(state), *_finish_if_whole(state, facts))


def _finish_if_whole(state: CallState, facts: RouteFacts) -> CallActions:
    """Finish once every chunk was delivered.

    An end that overtook a chunk isn't enough: until the chunk comes, the
    attempt's timeout runs, and then it is resumed elsewhere.
    """
    whole = state.head_delivered and state.end_count == state.delivered
    if not whole or state.attempt is None:
        return ()
    end_attempt(state, facts, state.attempt)
    return finish(state, Outcome.DONE, None, 0.0)
