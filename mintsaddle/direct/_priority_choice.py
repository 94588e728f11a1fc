"""Selects the endpoint for a stream of a service with priority levels.

Streams wait in the queue of their service, those that go first attempt
placement, and a stream that can't be placed in time is refused.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from mintsaddle.decisions.direct import (
    MAX_PROBES,
    PROBES_PER_ROUND,
    DirectCall,
    EngineLoad,
    Incarnation,
    group_leaders_first,
    is_late,
    prefer_quick_groups,
)
from mintsaddle.decisions.overload import (
    PriorityLevels,
    filter_by_level,
    has_minimum_share,
    wait_deadline,
    with_local_capacity,
)
from mintsaddle.direct._availability import await_ranked, unavailable_reason
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._probing import probe_loads
from mintsaddle.direct._reservation import reserve_endpoint
from mintsaddle.direct._turns import (
    LevelledCall,
    await_next_attempt,
    await_turn,
    join_returning_calls,
    leave_queue_if_unavailable,
)
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Reason

_log = make_logger("calls")


class _Probed(NamedTuple):
    """Endpoints that a call may be sent to, and the loads that were read."""

    admitted: list[Incarnation]
    loads: Mapping[str, EngineLoad]


def choose_by_level(
    gateway: Gateway,
    call: DirectCall,
    levels: PriorityLevels,
    is_disconnected: Callable[[], bool],
) -> Incarnation | Reason:
    """Return the endpoint to try, or why there is none.

    Args:
        gateway: The entry's shared state.
        call: The call, including the endpoints that were tried already.
        levels: The priority levels of its service.
        is_disconnected: Returns whether the caller has disconnected.

    Raises:
        CallerDisconnectedError: The caller disconnected while it waited.
    """
    levelled: LevelledCall | None = None
    has_failed = False
    with gateway.lock:
        draw = gateway.rng.random()
        ticket = gateway.overload.next_ticket()
    try:
        while True:
            was_unavailable = leave_queue_if_unavailable(gateway, call, ticket)
            ranked = await_ranked(gateway, call, is_disconnected)
            if isinstance(ranked, Reason):
                return ranked
            levelled = levelled or _begin(gateway, call, levels, draw, ticket)
            if was_unavailable:
                join_returning_calls(gateway, levelled)
            if not await_turn(gateway, levelled, is_disconnected):
                if not has_failed:
                    _record_not_admitted(gateway, call)
                return _refuse(gateway, levelled, {})
            probed = _probe(gateway, levelled, ranked)
            endpoint = None
            if probed.admitted:
                endpoint = reserve_endpoint(
                    gateway, call, probed.admitted, probed.loads
                )
            if endpoint is not None:
                _record_placed(gateway, levelled, endpoint)
                return endpoint
            if not has_failed:
                has_failed = True
                _record_not_admitted(gateway, call)
            if gateway.now() >= levelled.wait_until:
                return _refuse(gateway, levelled, probed.loads)
            await_next_attempt(gateway, levelled, is_disconnected)
    finally:
        with gateway.groups_changed:
            gateway.overload.queue(call.service).remove(ticket)
            gateway.groups_changed.notify_all()


def _begin(
    gateway: Gateway,
    call: DirectCall,
    levels: PriorityLevels,
    draw: float,
    ticket: str,
) -> LevelledCall:
    with gateway.lock:
        now = gateway.now()
        judged, level = gateway.overload.judge(call, levels, now)
    if (judged, level) != (call, levels.level_of(call)):
        gateway.metrics.count("over_share")
    is_protected = has_minimum_share(levels, level, draw)
    wait_until = wait_deadline(judged, now)
    return LevelledCall(judged, levels, level, is_protected, wait_until, ticket)


def _probe(
    gateway: Gateway, levelled: LevelledCall, ranked: Sequence[Incarnation]
) -> _Probed:
    """Probe endpoints of the own data centre, and others while it is full."""
    data_centre = gateway.settings.data_centre
    with gateway.lock:
        quick, slow = prefer_quick_groups(
            levelled.call, ranked, gateway.step_times, gateway.now()
        )
    local = [endpoint for endpoint in quick if endpoint.data_centre == data_centre]
    loads: dict[str, EngineLoad] = {}
    if local:
        local = local[:PROBES_PER_ROUND]
        loads = probe_loads(gateway, local, slow)
        probed = _admit(gateway, levelled, local, ranked, loads)
        with gateway.lock:
            near = with_local_capacity(
                levelled.call,
                probed.admitted,
                loads,
                gateway.step_times,
                data_centre,
                gateway.now(),
            )
        if near:
            return _Probed(near, loads)
    others = group_leaders_first(
        [endpoint for endpoint in quick if endpoint not in local]
    )
    loads |= probe_loads(gateway, others, [] if local else slow)
    candidates = [*others[:MAX_PROBES], *local]
    return _admit(gateway, levelled, candidates, ranked, loads)


def _admit(
    gateway: Gateway,
    levelled: LevelledCall,
    candidates: list[Incarnation],
    available: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> _Probed:
    call = levelled.call
    table = gateway.directory.table
    service = table.services.get(call.service) if table else None
    with gateway.lock:
        admitted = filter_by_level(
            call,
            candidates,
            loads,
            gateway.step_times,
            gateway.now(),
            gateway.rng,
            levelled.levels,
            levelled.level,
            service.steps if service else None,
            gateway.entry_share(available),
            is_protected=levelled.is_protected,
        )
    return _Probed(admitted, loads)


def _record_placed(
    gateway: Gateway, levelled: LevelledCall, endpoint: Incarnation
) -> None:
    with gateway.lock:
        gateway.overload.record_placed(levelled.call, gateway.now())
    is_local = endpoint.data_centre == gateway.settings.data_centre
    gateway.metrics.count("placed_local" if is_local else "placed_remote")
    gateway.metrics.count(f'admitted{{level="{levelled.level}"}}')


def _record_not_admitted(gateway: Gateway, call: DirectCall) -> None:
    with gateway.lock:
        use = gateway.overload.workspace_use
        use.record_not_admitted(gateway.now(), call.workspace)


def _refuse(
    gateway: Gateway, levelled: LevelledCall, loads: Mapping[str, EngineLoad]
) -> Reason:
    call = levelled.call
    with gateway.lock:
        now = gateway.now()
        expected_at = gateway.overload.expected_at(call, now) or now
        waiting = gateway.overload.queue(call.service).size
    gateway.metrics.count("not_admitted")
    gateway.metrics.count(f'refused{{level="{levelled.level}"}}')
    _log.info(
        "Request not admitted %s.",
        fields(
            request=call.request_id,
            part="levels",
            level=levelled.level,
            late=is_late(call, now),
            probed=len(loads),
            requests=sum(load.requests for load in loads.values()),
            waited=now - call.arrived_at,
            waiting=waiting,
            expected=expected_at - now,
        ),
    )
    return unavailable_reason(gateway)
