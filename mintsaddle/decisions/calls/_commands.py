"""Moving a call on by one event."""

from mintsaddle.decisions.calls._messages import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    CallAction,
    CallerLeft,
    CallEvent,
    CancelAttempt,
    ChunkArrived,
    DeliverChunk,
    DeliverHead,
    EndArrived,
    FinishCall,
    HeadArrived,
    SendAttempt,
    TimePassed,
)
from mintsaddle.decisions.calls._queries import is_order, may_start_over
from mintsaddle.decisions.calls._state import Attempt, CallState, RouteFacts
from mintsaddle.decisions.routing import (
    RouteRequest,
    choose_endpoint,
    choose_home,
    has_free_place,
    may_retry,
    note_failed,
    note_finished,
    note_refused,
    note_request,
    note_sent,
    spend_retry,
)
from mintsaddle.fleet import find_home, list_homes
from mintsaddle.values import (
    Claim,
    Instant,
    KeyOrigin,
    OrderKey,
    Outcome,
    Reason,
    home_tag,
    issue_key,
)

ACCEPT_PATIENCE = 0.5
"""Seconds for an endpoint daemon to accept; it decides at once, so a longer
silence means that it is frozen or cut off."""

ORDER_PATIENCE = 2.0
"""The same for an order, which can't be tried elsewhere."""

_TARGETS_OF_PATIENCE = 3.0
_MOST_ATTEMPTS = 6
_BLIND_ATTEMPTS = 2
_MOST_REROUTES = 3
_COME_BACK = 1.0
_COME_BACK_SPREAD = 4.0
_MOST_EARLY = 1024

Actions = tuple[CallAction, ...]


def start_call(state: CallState, facts: RouteFacts, now: Instant) -> Actions:
    """Begin a call: send its first attempt, or refuse it at once."""
    note_request(facts.routing)
    if now >= state.request.deadline:
        return _give_up(state, facts, Reason.TOO_LATE, now)
    return _try_next(state, facts, Reason.NO_ENDPOINT, now)


def handle_event(
    state: CallState, facts: RouteFacts, event: CallEvent, now: Instant
) -> Actions:
    """Move a call on by one event; return what to do.

    An event of an attempt that isn't the present one is late or doubled and
    changes nothing: the caller gets the answer of one attempt only.
    """
    if state.over:
        return ()
    match event:
        case CallerLeft():
            return _leave(state, facts)
        case TimePassed():
            return _pass_time(state, facts, now)
    attempt = state.attempt
    if attempt is None or event.attempt != attempt.number:
        return ()
    match event:
        case AttemptAccepted():
            return _accept(state, attempt, now)
        case AttemptRefused():
            return _refuse(state, facts, attempt, event, now)
        case AttemptFailed():
            return _fail(state, facts, attempt, event.sent, now)
        case HeadArrived():
            return _take_head(state, facts, attempt, event, now)
        case ChunkArrived():
            return _take_chunk(state, facts, attempt, event, now)
        case EndArrived():
            return _take_end(state, facts, event)


def _try_next(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> Actions:
    if state.attempts >= _MOST_ATTEMPTS:
        return _give_up(state, facts, reason, now)
    if is_order(state):
        return _try_home(state, facts, reason, now)
    route = RouteRequest(state.request.service, state.request.prefix, state.tried)
    endpoint = choose_endpoint(
        facts.routing, facts.fleet, facts.marks, route, now, facts.rng
    )
    if endpoint is None:
        return _give_up(state, facts, reason, now)
    return _send(state, facts, endpoint, None, now)


def _try_home(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> Actions:
    key = state.request.key
    if key is not None:
        home = _home_of(state, facts, key)
        if home is None or home in state.tried:
            return _give_up(state, facts, reason, now)
        return _send(state, facts, home, key, now)
    route = RouteRequest(state.request.service, "", state.tried)
    home = choose_home(facts.routing, facts.fleet, facts.marks, route, now, facts.rng)
    boot = facts.routing.view(home).boot if home else None
    if home is None or boot is None:
        return _give_up(state, facts, reason, now)
    drawn = issue_key(home, boot, now, facts.rng)
    return _send(state, facts, home, drawn, now)


def _home_of(state: CallState, facts: RouteFacts, key: OrderKey) -> str | None:
    service = state.request.service
    if key.origin is KeyOrigin.BROUGHT:
        return find_home(list_homes(service).homes, key.text)
    named = [name for name in facts.fleet.endpoints if home_tag(name) == key.home_tag]
    for name in named:
        if facts.routing.view(name).boot == key.boot:
            return name
    return named[0] if named else None


def _send(
    state: CallState,
    facts: RouteFacts,
    endpoint: str,
    key: OrderKey | None,
    now: Instant,
) -> Actions:
    patience = ORDER_PATIENCE if is_order(state) else ACCEPT_PATIENCE
    number = state.attempts + 1
    state.begin_attempt(Attempt(number, endpoint, key, now + patience))
    note_sent(facts.routing, endpoint)
    return (SendAttempt(number, endpoint, key, state.delivered),)


def _accept(state: CallState, attempt: Attempt, now: Instant) -> Actions:
    # It may only wait in the queue there: a refusal that follows still says
    # that it didn't run. Any other end of the attempt leaves that open.
    state.replace_attempt(
        attempt._replace(accepted=True, silent_at=_silent_at(state, now))
    )
    return ()


def _silent_at(state: CallState, now: Instant) -> Instant:
    """Return when an accepted attempt counts as silent.

    An order is waited for until its deadline: it can't be tried elsewhere.
    """
    service = state.request.service
    if is_order(state):
        return state.request.deadline
    return now + service.longest_queue + _TARGETS_OF_PATIENCE * service.target


def _refuse(
    state: CallState,
    facts: RouteFacts,
    attempt: Attempt,
    event: AttemptRefused,
    now: Instant,
) -> Actions:
    refusal = event.refusal
    _end_attempt(state, facts, attempt)
    note_refused(facts.routing, attempt.endpoint, refusal.reason, now)
    state.put_retry_at(refusal.retry_at)
    if refusal.claim is Claim.MAYBE:
        state.mark_reached()
    if is_order(state):
        return _refuse_order(state, facts, refusal.claim, refusal.reason, now)
    if not may_start_over(state) or not _may_reroute(state, facts, now):
        return _give_up(state, facts, refusal.reason, now)
    return _try_next(state, facts, refusal.reason, now)


def _refuse_order(
    state: CallState, facts: RouteFacts, claim: Claim, reason: Reason, now: Instant
) -> Actions:
    """Pass the home's claim on, or draw another key where that is safe.

    A key drawn here was sent to one home only, and that home has written a
    tombstone for it; the caller never had it, so another one may be drawn.
    """
    if claim is Claim.MAYBE:
        return _finish(state, Outcome.IN_DOUBT, reason, state.retry_at)
    if claim is Claim.NONE:
        return _finish(state, Outcome.ASK_AGAIN, reason, state.retry_at)
    if state.request.key is None and state.attempts < _MOST_REROUTES:
        return _try_next(state, facts, reason, now)
    return _give_up(state, facts, reason, now)


def _may_reroute(state: CallState, facts: RouteFacts, now: Instant) -> bool:
    """Return whether a refused call should try once more.

    Once anywhere, since another endpoint's queue may be shorter or fairer to
    it; after that only where a free place is believed to be: under overload a
    refusal would otherwise cost every endpoint a look at every request.
    """
    if state.attempts < _BLIND_ATTEMPTS:
        return True
    if state.attempts >= _MOST_REROUTES:
        return False
    service = state.request.service
    return any(
        has_free_place(facts.routing, service, name, now)
        for name in service.endpoints
        if name not in state.tried and not facts.marks.is_out(facts.fleet, name)
    )


def _fail(
    state: CallState, facts: RouteFacts, attempt: Attempt, sent: bool, now: Instant
) -> Actions:
    _end_attempt(state, facts, attempt)
    note_failed(facts.routing, attempt.endpoint, now)
    if sent or attempt.accepted:
        state.mark_reached()
    return _retry(state, facts, Reason.UNREACHABLE, now)


def _retry(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> Actions:
    if is_order(state):
        return _retry_order(state, facts, reason, now)
    if not may_start_over(state) or not may_retry(facts.routing):
        return _give_up(state, facts, reason, now)
    spend_retry(facts.routing)
    return _try_next(state, facts, reason, now)


def _retry_order(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> Actions:
    """An order that may have been sent is never sent again from here."""
    unsent_draw = state.request.key is None and not state.reached
    if unsent_draw:
        return _try_next(state, facts, reason, now)
    return _give_up(state, facts, reason, now)


def _pass_time(state: CallState, facts: RouteFacts, now: Instant) -> Actions:
    attempt = state.attempt
    if now >= state.request.deadline:
        if attempt is None:
            return _give_up(state, facts, Reason.TOO_LATE, now)
        state.mark_reached()
        cancel = _cancel(state, facts, attempt)
        return (*cancel, *_give_up(state, facts, Reason.TOO_LATE, now))
    if attempt is None or now < attempt.silent_at:
        return ()
    # A silent attempt may have reached an engine; no later refusal may turn
    # the answer into not-run.
    state.mark_reached()
    note_failed(facts.routing, attempt.endpoint, now)
    cancel = _cancel(state, facts, attempt)
    return (*cancel, *_retry(state, facts, Reason.SILENT, now))


def _cancel(state: CallState, facts: RouteFacts, attempt: Attempt) -> Actions:
    """End the present attempt; an order is left to run to its end."""
    _end_attempt(state, facts, attempt)
    if is_order(state):
        return ()
    return (CancelAttempt(attempt.number, attempt.endpoint),)


def _leave(state: CallState, facts: RouteFacts) -> Actions:
    attempt = state.attempt
    actions = _cancel(state, facts, attempt) if attempt else ()
    state.close()
    return actions


def _end_attempt(state: CallState, facts: RouteFacts, attempt: Attempt) -> None:
    note_finished(facts.routing, attempt.endpoint)
    state.replace_attempt(None)


def _take_head(
    state: CallState,
    facts: RouteFacts,
    attempt: Attempt,
    event: HeadArrived,
    now: Instant,
) -> Actions:
    state.mark_reached()
    state.replace_attempt(attempt._replace(silent_at=_silent_at(state, now)))
    if state.head_delivered:
        return ()
    state.mark_head()
    head = DeliverHead(event.status, event.content_type)
    return (head, *_deliver(state), *_finish_if_whole(state, facts))


def _take_chunk(
    state: CallState,
    facts: RouteFacts,
    attempt: Attempt,
    event: ChunkArrived,
    now: Instant,
) -> Actions:
    """Deliver a chunk in its turn; keep an early one; drop a doubled one."""
    state.replace_attempt(attempt._replace(silent_at=_silent_at(state, now)))
    if event.sequence <= state.delivered or len(state.early) >= _MOST_EARLY:
        return ()
    state.put_early(event.sequence, event.data)
    return (*_deliver(state), *_finish_if_whole(state, facts))


def _deliver(state: CallState) -> Actions:
    if not state.head_delivered:
        return ()
    actions = []
    data = state.take_early(state.delivered + 1)
    while data is not None:
        actions.append(DeliverChunk(state.count_delivered(), data))
        data = state.take_early(state.delivered + 1)
    return tuple(actions)


def _take_end(state: CallState, facts: RouteFacts, event: EndArrived) -> Actions:
    state.put_end(event.total)
    return (*_deliver(state), *_finish_if_whole(state, facts))


def _finish_if_whole(state: CallState, facts: RouteFacts) -> Actions:
    """Finish once every chunk was delivered.

    An end that overtook a chunk isn't enough: until the chunk comes, the
    attempt's patience runs, and then it is resumed elsewhere.
    """
    whole = state.head_delivered and state.end_count == state.delivered
    if not whole or state.attempt is None:
        return ()
    _end_attempt(state, facts, state.attempt)
    return _finish(state, Outcome.DONE, None, 0.0)


def _give_up(
    state: CallState, facts: RouteFacts, reason: Reason, now: Instant
) -> Actions:
    """Give the final word at once, with a spread-out time to come back."""
    spread = _COME_BACK_SPREAD * facts.rng.random()
    retry_at = max(state.retry_at, now + _COME_BACK) + spread
    outcome = _final_outcome(state, reason)
    fresh = None
    if outcome is Outcome.NOT_RUN and is_order(state):
        fresh = _draw_fresh(state, facts, now)
    return _finish(state, outcome, reason, retry_at, fresh)


def _draw_fresh(state: CallState, facts: RouteFacts, now: Instant) -> OrderKey | None:
    """Return a key with which the caller's next try reaches a living home.

    A key that the caller draws itself may belong to the very home that is
    leaving, and would end in doubt when that home comes back.
    """
    route = RouteRequest(state.request.service, "", state.tried)
    home = choose_home(facts.routing, facts.fleet, facts.marks, route, now, facts.rng)
    boot = facts.routing.view(home).boot if home else None
    if home is None or boot is None:
        return None
    return issue_key(home, boot, now, facts.rng)


def _final_outcome(state: CallState, reason: Reason) -> Outcome:
    order = is_order(state)
    if state.reached:
        return Outcome.IN_DOUBT if order else Outcome.ASK_AGAIN
    brought = state.request.key is not None
    refused_by_home = state.attempts > 0 and reason is not Reason.UNREACHABLE
    if order and brought and not refused_by_home:
        # Only the home may say not-run for a key that the caller has: another
        # entry may have delivered an earlier attempt.
        return Outcome.ASK_AGAIN
    return Outcome.NOT_RUN


def _finish(
    state: CallState,
    outcome: Outcome,
    reason: Reason | None,
    retry_at: Instant,
    fresh: OrderKey | None = None,
) -> Actions:
    count = state.delivered
    key = state.request.key or state.drawn
    state.close()
    return (FinishCall(outcome, reason, retry_at, count, key, fresh),)
