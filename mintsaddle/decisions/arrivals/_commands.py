"""Deciding on arrivals, and what follows from the engine's events."""

from mintsaddle.decisions.admission import (
    Candidate,
    Evidence,
    Verdict,
    confirm_engine,
    drain_queue,
    expire_queue,
    finish,
    lose_engine,
    offer,
    start_waiting,
)
from mintsaddle.decisions.arrivals._messages import (
    AcceptArrival,
    AnswerArrival,
    Arrival,
    ArrivalAction,
    EngineResult,
    RefuseArrival,
    StartEngine,
)
from mintsaddle.decisions.arrivals._queries import is_refusing, rules_of
from mintsaddle.decisions.arrivals._state import EndpointState
from mintsaddle.decisions.orders import (
    KeyAction,
    KeyDecision,
    OrderStatus,
    adopt_homes,
    close_order,
    decide_key,
    purge_ledger,
    settle_if_only_home,
)
from mintsaddle.fleet import Fleet, Service, list_homes
from mintsaddle.values import Boot, Claim, Instant, OrderKey, Reason, Refusal

Actions = tuple[ArrivalAction, ...]

_AWAITED = 4.0
"""Seconds that a leaving daemon gives other homes to hear its last word."""

_RESUMED_PRIORITY = 10
"""Above all that callers may ask for."""

_BACK_SOON = 1.0
_BACK_LATER = 5.0


def arrive(state: EndpointState, arrival: Arrival, now: Instant) -> Actions:
    """Decide on an arriving attempt; the answer is given at once."""
    if arrival.request_id in state.arrivals:
        # A doubled message: counted as one, it would run as two, which shows
        # as an engine that holds more than its limit.
        return ()
    fleet = state.configuration.fleet
    if fleet is None:
        return _refuse(arrival, _claim_nothing(arrival), Reason.NOT_SERVED, now)
    if arrival.key is not None:
        return _arrive_order(state, fleet, arrival, arrival.key, now)
    return _admit(state, fleet, arrival, now)


def close_engine_call(
    state: EndpointState, request_id: str, result: EngineResult, now: Instant
) -> Actions:
    """Note how the engine's handling of a request ended."""
    arrival = state.drop_arrival(request_id)
    rules = rules_of(state.configuration.fleet, state.vm)
    started = finish(state.admission, rules, request_id, result.evidence, now)
    actions: Actions = ()
    if arrival is not None and arrival.key is not None:
        actions = _close_key(state, arrival, result, now)
    return (*actions, *_start_all(started))


def cancel(state: EndpointState, request_id: str, now: Instant) -> Actions:
    """Note that nobody waits for an attempt any more.

    An order is never cut off: it runs to its end, and its key tells its fate.
    """
    arrival = state.arrivals.get(request_id)
    if arrival is None:
        state.leave_joined(request_id)
        return ()
    if arrival.key is not None:
        return ()
    state.drop_arrival(request_id)
    rules = rules_of(state.configuration.fleet, state.vm)
    started = finish(state.admission, rules, request_id, Evidence.NONE, now)
    return _start_all(started)


def confirm(
    state: EndpointState, boot: Boot, reported_limit: int | None, now: Instant
) -> Actions:
    """Note that the engine's run was seen."""
    returned = confirm_engine(state.admission, boot, reported_limit, now)
    rules = rules_of(state.configuration.fleet, state.vm)
    started = start_waiting(state.admission, rules, now)
    given_back = _give_back(state, returned, Reason.ENGINE_DOWN, now)
    return (*given_back, *_start_all(started))


def lose(state: EndpointState, now: Instant) -> Actions:
    """Note that the engine refused a connection or a status request."""
    returned = lose_engine(state.admission)
    return _give_back(state, returned, Reason.ENGINE_DOWN, now)


def start_leaving(state: EndpointState, now: Instant) -> Actions:
    """Refuse new work from now on and give the queue back."""
    state.mark_leaving(now + _AWAITED)
    return _give_back(state, drain_queue(state.admission), Reason.LEAVING, now)


def follow_text(state: EndpointState, now: Instant) -> Actions:
    """Follow the text and marks in force, after either has changed."""
    fleet = state.configuration.fleet
    if fleet is None:
        return ()
    for name in tuple(state.orders.homes):
        if name not in fleet.services:
            state.orders.drop_home(name)
    for service in fleet.services.values():
        if not service.repeatable:
            homes = list_homes(service)
            bound = fleet.clock_bound
            adopt_homes(state.orders, service.name, homes, service.bootstrap, bound)
            settle_if_only_home(state.orders, service.name, bound, now)
    if is_refusing(state) is None:
        return ()
    returned = drain_queue(state.admission)
    return _give_back(state, returned, Reason.MARKED_OUT, now)


def tick(state: EndpointState, now: Instant) -> Actions:
    """Do what time alone brings: expired waiting, old ledger entries."""
    fleet = state.configuration.fleet
    if fleet is not None:
        bound = fleet.clock_bound
        purge_ledger(state.orders, bound, fleet.ledger_window, now)
    late = expire_queue(state.admission, now)
    rules = rules_of(fleet, state.vm)
    started = start_waiting(state.admission, rules, now)
    return (*_give_back(state, late, Reason.TOO_LATE, now), *_start_all(started))


def _arrive_order(
    state: EndpointState,
    fleet: Fleet,
    arrival: Arrival,
    key: OrderKey,
    now: Instant,
) -> Actions:
    """Decide on an order, also one of a service that has moved away.

    A former home still knows the fate of what it ran, and is the only one
    that can say of a key issued to it that it never will run.
    """
    verdict = decide_key(
        state.orders,
        key,
        arrival.service,
        fleet.clock_bound,
        fleet.ledger_window,
        now,
    )
    if verdict.action is KeyAction.RUN:
        return _admit(state, fleet, arrival, now)
    return _answer_known(state, arrival, key, verdict)


def _answer_known(
    state: EndpointState, arrival: Arrival, key: OrderKey, verdict: KeyDecision
) -> Actions:
    if verdict.action is KeyAction.JOIN:
        state.join(key.text, arrival.request_id)
        return (AcceptArrival(arrival.request_id),)
    if verdict.entry is not None:
        return (AnswerArrival(arrival.request_id, verdict.entry),)
    assert verdict.refusal is not None
    return (RefuseArrival(arrival.request_id, verdict.refusal),)


def _admit(
    state: EndpointState, fleet: Fleet, arrival: Arrival, now: Instant
) -> Actions:
    service = fleet.services.get(arrival.service)
    if service is None or state.vm not in service.endpoints:
        return _refuse_new(state, arrival, Reason.NOT_SERVED, now)
    reason = is_refusing(state)
    if reason is not None:
        return _refuse_new(state, arrival, reason, now)
    if now >= arrival.deadline:
        return _refuse_new(state, arrival, Reason.TOO_LATE, now)
    candidate = _make_candidate(fleet, service, arrival, now)
    rules = rules_of(fleet, state.vm)
    result = offer(state.admission, rules, candidate, now)
    given_back = _give_back(state, result.displaced, Reason.FULL, now)
    if result.verdict is Verdict.REFUSE:
        down = state.admission.engine_boot is None
        reason = Reason.ENGINE_DOWN if down else Reason.FULL
        return (*given_back, *_refuse_new(state, arrival, reason, now))
    state.put_arrival(arrival)
    accept = AcceptArrival(arrival.request_id)
    if result.verdict is Verdict.START:
        return (*given_back, accept, StartEngine(arrival.request_id))
    return (*given_back, accept)


def _make_candidate(
    fleet: Fleet, service: Service, arrival: Arrival, now: Instant
) -> Candidate:
    workspace = fleet.workspaces.get(arrival.workspace)
    start_by = min(arrival.deadline, now + service.longest_queue)
    priority = arrival.priority
    if arrival.resumes:
        # Refused, it would be cut in the middle, which the caller can't mend:
        # it goes before all that has not begun, and waits if it must.
        start_by = arrival.deadline
        priority = _RESUMED_PRIORITY
    return Candidate(
        request_id=arrival.request_id,
        workspace=arrival.workspace,
        share=workspace.share if workspace else 1.0,
        priority=priority,
        start_by=start_by,
    )


def _refuse_new(
    state: EndpointState, arrival: Arrival, reason: Reason, now: Instant
) -> Actions:
    """Refuse a request that hasn't started; a tombstone goes first."""
    joined = _bury(state, arrival, reason, now)
    return (*_refuse(arrival, Claim.NEVER, reason, now), *joined)


def _bury(
    state: EndpointState, arrival: Arrival, reason: Reason, now: Instant
) -> Actions:
    if arrival.key is None:
        return ()
    close_order(state.orders, arrival.key, OrderStatus.TOMBSTONE)
    refusal = _make_refusal(Claim.NEVER, reason, now)
    joined = state.take_joined(arrival.key.text)
    return tuple(RefuseArrival(name, refusal) for name in joined)


def _give_back(
    state: EndpointState, request_ids: tuple[str, ...], reason: Reason, now: Instant
) -> Actions:
    actions: list[ArrivalAction] = []
    for request_id in request_ids:
        arrival = state.drop_arrival(request_id)
        if arrival is not None:
            actions.extend(_refuse_new(state, arrival, reason, now))
    return tuple(actions)


def _close_key(
    state: EndpointState, arrival: Arrival, result: EngineResult, now: Instant
) -> Actions:
    """Write down how an order ended, and tell all who wait for it."""
    assert arrival.key is not None
    status = _status_of(result)
    entry = close_order(
        state.orders,
        arrival.key,
        status,
        result.http_status,
        result.content_type,
        result.body,
    )
    waiting = (arrival.request_id, *state.take_joined(arrival.key.text))
    return tuple(AnswerArrival(name, entry) for name in waiting)


def _status_of(result: EngineResult) -> OrderStatus:
    """Return what is known: with no byte at the engine it did not run."""
    if result.evidence in (Evidence.GOOD, Evidence.SLOW):
        return OrderStatus.DONE
    if not result.reached:
        return OrderStatus.TOMBSTONE
    return OrderStatus.IN_DOUBT


def _refuse(arrival: Arrival, claim: Claim, reason: Reason, now: Instant) -> Actions:
    return (RefuseArrival(arrival.request_id, _make_refusal(claim, reason, now)),)


def _claim_nothing(arrival: Arrival) -> Claim:
    """A service that isn't served here: another home may know the key."""
    return Claim.NEVER if arrival.key is None else Claim.NONE


def _make_refusal(claim: Claim, reason: Reason, now: Instant) -> Refusal:
    later = reason in (Reason.LEAVING, Reason.MARKED_OUT)
    return Refusal(claim, reason, now + (_BACK_LATER if later else _BACK_SOON))


def _start_all(request_ids: tuple[str, ...]) -> Actions:
    return tuple(StartEngine(request_id) for request_id in request_ids)
