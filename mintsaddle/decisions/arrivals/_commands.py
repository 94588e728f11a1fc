"""Handles arriving attempts, engine events and configuration changes."""

from mintsaddle.decisions.admission import (
    AdmissionDecision,
    Candidate,
    EngineFeedback,
    confirm_engine,
    drain_queue,
    expire_queue,
    finish,
    mark_engine_down,
    start_waiting,
    try_admit,
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
from mintsaddle.decisions.arrivals._queries import refusal_reason, rules_of
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

_LEAVE_GRACE = 4.0
"""Seconds that a leaving daemon waits at most for homes to take over keys."""

_RESUMED_PRIORITY = 10
"""Higher than any priority that callers may request."""

_SHORT_RETRY_DELAY = 1.0
"""Seconds after which a refused request may be retried."""

_LONG_RETRY_DELAY = 5.0
"""The same while the endpoint is leaving or marked out."""


def handle_arrival(state: EndpointState, arrival: Arrival, now: Instant) -> Actions:
    """Decide on an arriving attempt without blocking."""
    if arrival.request_id in state.arrivals:
        # A duplicate message. It would run as a second request but count as
        # one, so that the engine would hold more than its limit.
        return ()
    fleet = state.configuration.fleet
    if fleet is None:
        return _refuse(arrival, _unserved_claim(arrival), Reason.NOT_SERVED, now)
    if arrival.key is not None:
        return _handle_order_arrival(state, fleet, arrival, arrival.key, now)
    return _admit(state, fleet, arrival, now)


def close_engine_call(
    state: EndpointState, request_id: str, result: EngineResult, now: Instant
) -> Actions:
    """Record how the engine's handling of a request ended."""
    arrival = state.drop_arrival(request_id)
    rules = rules_of(state.configuration.fleet, state.vm)
    started = finish(state.admission, rules, request_id, result.feedback, now)
    actions: Actions = ()
    if arrival is not None and arrival.key is not None:
        actions = _close_keyed_order(state, arrival, result, now)
    return (*actions, *_start_requests(started))


def cancel(state: EndpointState, request_id: str, now: Instant) -> Actions:
    """Cancel an attempt that nobody waits for any more.

    An order is never aborted: it runs to its end, and its outcome can be
    looked up by its key.
    """
    arrival = state.arrivals.get(request_id)
    if arrival is None:
        state.drop_joined(request_id)
        return ()
    if arrival.key is not None:
        return ()
    state.drop_arrival(request_id)
    rules = rules_of(state.configuration.fleet, state.vm)
    started = finish(state.admission, rules, request_id, EngineFeedback.NONE, now)
    return _start_requests(started)


def handle_engine_up(
    state: EndpointState, boot: Boot, reported_limit: int | None, now: Instant
) -> Actions:
    """Record that a run of the engine was confirmed."""
    returned = confirm_engine(state.admission, boot, reported_limit, now)
    rules = rules_of(state.configuration.fleet, state.vm)
    started = start_waiting(state.admission, rules, now)
    refusals = _refuse_queued(state, returned, Reason.ENGINE_DOWN, now)
    return (*refusals, *_start_requests(started))


def handle_engine_down(state: EndpointState, now: Instant) -> Actions:
    """Handle an engine that refused a connection or a status request."""
    returned = mark_engine_down(state.admission)
    return _refuse_queued(state, returned, Reason.ENGINE_DOWN, now)


def start_leaving(state: EndpointState, now: Instant) -> Actions:
    """Refuse new requests from now on, and all those in the queue."""
    state.mark_leaving(now + _LEAVE_GRACE)
    return _refuse_queued(state, drain_queue(state.admission), Reason.LEAVING, now)


def apply_configuration(state: EndpointState, now: Instant) -> Actions:
    """Apply the active fleet text and marks after either has changed."""
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
    if refusal_reason(state) is None:
        return ()
    returned = drain_queue(state.admission)
    return _refuse_queued(state, returned, Reason.MARKED_OUT, now)


def tick(state: EndpointState, now: Instant) -> Actions:
    """Expire queued requests and purge old ledger entries."""
    fleet = state.configuration.fleet
    if fleet is not None:
        bound = fleet.clock_bound
        purge_ledger(state.orders, bound, fleet.ledger_window, now)
    late = expire_queue(state.admission, now)
    rules = rules_of(fleet, state.vm)
    started = start_waiting(state.admission, rules, now)
    return (
        *_refuse_queued(state, late, Reason.TOO_LATE, now),
        *_start_requests(started),
    )


def _handle_order_arrival(
    state: EndpointState,
    fleet: Fleet,
    arrival: Arrival,
    key: OrderKey,
    now: Instant,
) -> Actions:
    """Decide on an order, even if its service has moved to other homes.

    A former home still knows the outcome of the orders it ran. Only the home
    that issued a key can state that the key will never run.
    """
    decision = decide_key(
        state.orders,
        key,
        arrival.service,
        fleet.clock_bound,
        fleet.ledger_window,
        now,
    )
    if decision.action is KeyAction.RUN:
        return _admit(state, fleet, arrival, now)
    return _apply_key_decision(state, arrival, key, decision)


def _apply_key_decision(
    state: EndpointState, arrival: Arrival, key: OrderKey, decision: KeyDecision
) -> Actions:
    if decision.action is KeyAction.JOIN:
        state.join(key.text, arrival.request_id)
        return (AcceptArrival(arrival.request_id),)
    if decision.entry is not None:
        return (AnswerArrival(arrival.request_id, decision.entry),)
    assert decision.refusal is not None
    return (RefuseArrival(arrival.request_id, decision.refusal),)


def _admit(
    state: EndpointState, fleet: Fleet, arrival: Arrival, now: Instant
) -> Actions:
    service = fleet.services.get(arrival.service)
    if service is None or state.vm not in service.endpoints:
        return _refuse_new(state, arrival, Reason.NOT_SERVED, now)
    reason = refusal_reason(state)
    if reason is not None:
        return _refuse_new(state, arrival, reason, now)
    if now >= arrival.deadline:
        return _refuse_new(state, arrival, Reason.TOO_LATE, now)
    candidate = _make_candidate(fleet, service, arrival, now)
    rules = rules_of(fleet, state.vm)
    result = try_admit(state.admission, rules, candidate, now)
    refusals = _refuse_queued(state, result.displaced, Reason.FULL, now)
    if result.decision is AdmissionDecision.REFUSE:
        down = state.admission.engine_boot is None
        reason = Reason.ENGINE_DOWN if down else Reason.FULL
        return (*refusals, *_refuse_new(state, arrival, reason, now))
    state.put_arrival(arrival)
    accept = AcceptArrival(arrival.request_id)
    if result.decision is AdmissionDecision.START:
        return (*refusals, accept, StartEngine(arrival.request_id))
    return (*refusals, accept)


def _make_candidate(
    fleet: Fleet, service: Service, arrival: Arrival, now: Instant
) -> Candidate:
    workspace = fleet.workspaces.get(arrival.workspace)
    start_by = min(arrival.deadline, now + service.longest_queue)
    priority = arrival.priority
    if arrival.resumes:
        # Refusing it would truncate a response that the caller can't repair.
        # It precedes all requests that haven't begun, and queues if needed.
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
    """Refuse a request that hasn't started; record a tombstone first."""
    joined = _write_tombstone(state, arrival, reason, now)
    return (*_refuse(arrival, Claim.NEVER, reason, now), *joined)


def _write_tombstone(
    state: EndpointState, arrival: Arrival, reason: Reason, now: Instant
) -> Actions:
    if arrival.key is None:
        return ()
    close_order(state.orders, arrival.key, OrderStatus.TOMBSTONE)
    refusal = _make_refusal(Claim.NEVER, reason, now)
    joined = state.take_joined(arrival.key.text)
    return tuple(RefuseArrival(name, refusal) for name in joined)


def _refuse_queued(
    state: EndpointState, request_ids: tuple[str, ...], reason: Reason, now: Instant
) -> Actions:
    actions: list[ArrivalAction] = []
    for request_id in request_ids:
        arrival = state.drop_arrival(request_id)
        if arrival is not None:
            actions.extend(_refuse_new(state, arrival, reason, now))
    return tuple(actions)


def _close_keyed_order(
    state: EndpointState, arrival: Arrival, result: EngineResult, now: Instant
) -> Actions:
    """Record how an order ended and answer all arrivals that wait for it."""
    assert arrival.key is not None
    status = _order_status(result)
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


def _order_status(result: EngineResult) -> OrderStatus:
    """Return the status; an order of which no byte was sent did not run."""
    if result.feedback in (EngineFeedback.GOOD, EngineFeedback.SLOW):
        return OrderStatus.DONE
    if not result.reached:
        return OrderStatus.TOMBSTONE
    return OrderStatus.IN_DOUBT


def _refuse(arrival: Arrival, claim: Claim, reason: Reason, now: Instant) -> Actions:
    return (RefuseArrival(arrival.request_id, _make_refusal(claim, reason, now)),)


def _unserved_claim(arrival: Arrival) -> Claim:
    """Return NONE for a key: another home of the service may know it."""
    return Claim.NEVER if arrival.key is None else Claim.NONE


def _make_refusal(claim: Claim, reason: Reason, now: Instant) -> Refusal:
    is_long = reason in (Reason.LEAVING, Reason.MARKED_OUT)
    return Refusal(
        claim, reason, now + (_LONG_RETRY_DELAY if is_long else _SHORT_RETRY_DELAY)
    )


def _start_requests(request_ids: tuple[str, ...]) -> Actions:
    return tuple(StartEngine(request_id) for request_id in request_ids)
