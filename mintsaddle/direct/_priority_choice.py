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
    hold_until,
    prefer_quick_groups,
)
from mintsaddle.decisions.overload import (
    PriorityLevels,
    filter_by_level,
    first_event_seconds,
    has_minimum_share,
    wait_deadline,
    with_local_capacity,
)
from mintsaddle.direct._admission_logs import (
    log_not_admitted,
    log_over_share,
)
from mintsaddle.direct._availability import (
    await_ranked,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._levelled_call import LevelledCall, WaitState
from mintsaddle.direct._probing import probe_loads
from mintsaddle.direct._reservation import reserve_endpoint
from mintsaddle.direct._turns import (
    await_next_attempt,
    await_turn,
    join_returning_calls,
    leave_queue,
    leave_queue_if_unavailable,
)
from mintsaddle.values import Instant, Reason

FIRST_TURN_SECONDS = 0.1
"""Seconds for which each call may wait for its first attempt, even if it can't
be on time any more: when a group returns, slots may be free for all."""

MAX_LOCAL_PROBES = 8
"""Endpoints of the own data centre that are probed before those of others."""


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
        ticket = gateway.overload.next_ticket()
    try:
        while True:
            was_unavailable = leave_queue_if_unavailable(gateway, call, ticket)
            ranked = await_ranked(gateway, call, is_disconnected)
            if isinstance(ranked, Reason):
                return ranked
            if levelled is None or was_unavailable:
                levelled = _begin(gateway, call, levels, ticket, ranked)
            if was_unavailable:
                join_returning_calls(gateway, levelled)
            if not await_turn(gateway, levelled, is_disconnected):
                if not has_failed:
                    _record_not_admitted(gateway, call)
                return _refuse(gateway, levelled, {}, None)
            probed_at = gateway.now()
            probed = _probe(gateway, levelled, ranked)
            endpoint = None
            if probed.admitted:
                endpoint = reserve_endpoint(
                    gateway, call, probed.admitted, probed.loads
                )
            if endpoint is not None:
                _record_placed(gateway, levelled, endpoint)
                return endpoint
            if probed.admitted and gateway.now() < levelled.wait_until:
                # The endpoint left, or its last permit went to another call.
                continue
            if not has_failed:
                has_failed = True
                _record_not_admitted(gateway, call)
            if gateway.now() >= levelled.wait_until:
                return _refuse(gateway, levelled, probed.loads, probed_at)
            await_next_attempt(gateway, levelled, is_disconnected)
    finally:
        leave_queue(gateway, call, ticket)


def _begin(
    gateway: Gateway,
    call: DirectCall,
    levels: PriorityLevels,
    ticket: str,
    available: Sequence[Incarnation],
) -> LevelledCall:
    groups = {
        endpoint.assignment.group
        for endpoint in available
        if endpoint.assignment is not None
    }
    with gateway.lock:
        now = gateway.now()
        judged, level = gateway.overload.judge(call, levels, now)
        draw = gateway.overload.draw(call)
        steps = gateway.overload.step_model(call.service)
        step_seconds = max(
            (gateway.step_times.step_seconds(group, now) for group in groups),
            default=0.0,
        )
    is_over_share = (judged, level) != (call, levels.level_of(call))
    is_protected = has_minimum_share(levels, level, draw)
    first_turn_until = min(now + FIRST_TURN_SECONDS, hold_until(call))
    first_event = first_event_seconds(steps, step_seconds)
    wait_until = max(wait_deadline(judged, now, first_event), first_turn_until)
    levelled = LevelledCall(
        judged,
        levels,
        level,
        is_over_share,
        is_protected,
        wait_until,
        ticket,
        WaitState(),
    )
    if is_over_share:
        gateway.metrics.count("over_share")
        log_over_share(gateway, levelled)
    return levelled


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
    local = local[:MAX_LOCAL_PROBES]
    loads: dict[str, EngineLoad] = {}
    for first in range(0, len(local), PROBES_PER_ROUND):
        loads |= probe_loads(gateway, local[first : first + PROBES_PER_ROUND], [])
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
        if not loads:
            break
    others = group_leaders_first(
        [endpoint for endpoint in quick if endpoint not in local]
    )
    loads |= probe_loads(gateway, others, slow)
    candidates = [*local, *others[:MAX_PROBES]]
    return _admit(gateway, levelled, candidates, ranked, loads)


def _admit(
    gateway: Gateway,
    levelled: LevelledCall,
    candidates: list[Incarnation],
    available: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> _Probed:
    call = levelled.call
    requests: dict[str, list[int]] = {}
    for engine in candidates:
        if engine.assignment is not None and engine.name in loads:
            reported = loads[engine.name].requests
            requests.setdefault(engine.assignment.group, []).append(reported)
    with gateway.lock:
        gateway.overload.record_loads(requests)
        admitted = filter_by_level(
            call,
            candidates,
            loads,
            gateway.step_times,
            gateway.now(),
            gateway.rng,
            levelled.levels,
            levelled.level,
            gateway.overload.step_model(call.service),
            gateway.entry_share(available),
            is_protected=levelled.is_protected,
            skews=gateway.overload.skews(requests, gateway.now()),
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
        gateway.overload.record_not_admitted(call, gateway.now())


def _refuse(
    gateway: Gateway,
    levelled: LevelledCall,
    loads: Mapping[str, EngineLoad],
    probed_at: Instant | None,
) -> Reason:
    gateway.metrics.count("not_admitted")
    gateway.metrics.count(f'refused{{level="{levelled.level}"}}')
    if not levelled.wait_state.has_begun:
        gateway.metrics.count("refused_at_once")
    log_not_admitted(gateway, levelled, loads, probed_at)
    return Reason.FULL
