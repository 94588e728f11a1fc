"""Selects the endpoint for a call, and waits while none is available."""

from collections.abc import Callable, Mapping, Sequence

from mintsaddle.decisions.direct import (
    MAX_PROBES,
    PROBES_PER_ROUND,
    DirectCall,
    EngineLoad,
    Incarnation,
    await_until,
    choose_by_load,
    filter_admissible,
    group_leaders_first,
    has_free_slot,
    hold_until,
    is_late,
    may_wait_for_slot,
    place_at,
    prefer_quick_groups,
    rank_incarnations,
    usable_endpoints,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import MILLISECONDS, Instant, Reason

_DISCONNECT_POLL_SECONDS = 0.2
"""Seconds between two checks whether a waiting caller has disconnected."""

_SLOT_POLL_SECONDS = 0.2
"""Seconds between two attempts to admit a stream that waits until its group's
steps get shorter; each attempt costs a few probes."""

_log = make_logger("calls")


class CallerDisconnectedError(ConnectionError):
    """The caller has disconnected, so nobody reads an answer."""


def choose_endpoint(
    gateway: Gateway, call: DirectCall, is_disconnected: Callable[[], bool]
) -> Incarnation | Reason:
    """Return the endpoint to try, or why there is none.

    The request waits here while all groups of the service are down, or while
    its endpoints have asked to wait or are cold and have received their share
    of requests. They would refuse it if it were sent.

    Args:
        gateway: The entry's shared state.
        call: The call, including the endpoints that were tried already.
        is_disconnected: Returns whether the caller has disconnected.

    Raises:
        CallerDisconnectedError: The caller disconnected while it waited.
    """
    while True:
        ranked = _await_ranked(gateway, call, is_disconnected)
        if isinstance(ranked, Reason):
            return ranked
        with gateway.lock:
            now = gateway.now()
            ranked, slow = prefer_quick_groups(call, ranked, gateway.step_times, now)
        ranked = group_leaders_first(ranked)
        loads = _probe_loads(gateway, ranked, slow)
        admitted = _admit(gateway, call, ranked, loads)
        if admitted:
            endpoint = _reserve_endpoint(gateway, call, admitted, loads)
            if endpoint is not None:
                return endpoint
        elif may_wait_for_slot(call, loads, gateway.now()):
            _wait_for_slot(gateway, is_disconnected)
        else:
            _record_not_admitted(gateway, call, ranked[:MAX_PROBES], loads)
            return _unavailable_reason(gateway)


def _await_ranked(
    gateway: Gateway, call: DirectCall, is_disconnected: Callable[[], bool]
) -> list[Incarnation] | Reason:
    """Return the endpoints that may be tried, best first."""
    with gateway.groups_changed:
        available = _await_available(gateway, call, is_disconnected)
        if isinstance(available, Reason):
            return available
        ranked = rank_incarnations(
            gateway.routing,
            gateway.waits.prefer_proven(call, available),
            call.tried,
            gateway.now(),
            gateway.rng,
            gateway.pool.has_idle,
        )
    return ranked or Reason.NO_ENDPOINT


def _admit(
    gateway: Gateway,
    call: DirectCall,
    ranked: list[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> list[Incarnation]:
    table = gateway.directory.table
    service = table.services.get(call.service) if table else None
    with gateway.lock:
        return filter_admissible(
            call,
            ranked[:MAX_PROBES],
            loads,
            gateway.step_times,
            gateway.now(),
            gateway.rng,
            service.steps if service else None,
            gateway.entry_share(ranked),
        )


def _reserve_endpoint(
    gateway: Gateway,
    call: DirectCall,
    admitted: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> Incarnation | None:
    """Choose an endpoint and count the request as sent to it.

    Returns:
        None if no permit is granted or the endpoint is no longer usable.
    """
    requests = {name: load.requests for name, load in loads.items()}
    groups = {
        candidate.assignment.group
        for candidate in admitted
        if candidate.assignment is not None
    }
    with gateway.lock:
        now = gateway.now()
        step_seconds = {
            group: gateway.step_times.step_seconds(group, now) for group in groups
        }
    endpoint = choose_by_load(admitted, requests, step_seconds)
    if not gateway.limits.take_permit(endpoint.name):
        return None
    with gateway.lock:
        # It may have left or received its share while it was probed.
        if not _is_still_usable(gateway, endpoint):
            return None
        load = gateway.routing.view(endpoint.name).estimate_load(gateway.now())
        gateway.record_chosen(endpoint)
    reported = requests.get(endpoint.name)
    _log_chosen(gateway, call, endpoint, load, reported)
    return endpoint


def _wait_for_slot(gateway: Gateway, is_disconnected: Callable[[], bool]) -> None:
    with gateway.groups_changed:
        gateway.groups_changed.wait(_SLOT_POLL_SECONDS)
    if is_disconnected():
        raise CallerDisconnectedError


def _unavailable_reason(gateway: Gateway) -> Reason:
    """Return why no endpoint can take a request now."""
    return Reason.GROUP_DOWN if gateway.groups.down_groups() else Reason.FULL


def _probe_loads(
    gateway: Gateway, ranked: Sequence[Incarnation], slow: Sequence[Incarnation]
) -> dict[str, EngineLoad]:
    """Read the loads of a few endpoints, and of more while all are full.

    Args:
        gateway: The entry's shared state.
        ranked: Endpoints that may get the request, best first.
        slow: Engines that are probed only for the step time of their groups.
    """
    loads: dict[str, EngineLoad] = {}
    for first in range(0, min(len(ranked), MAX_PROBES), PROBES_PER_ROUND):
        probed = list(ranked[first : first + PROBES_PER_ROUND])
        reports = gateway.probe.read_loads([*probed, *slow] if first == 0 else probed)
        loads.update(reports)
        _record_reachability(gateway, probed, reports)
        requests = {name: load.requests for name, load in reports.items()}
        if not loads or has_free_slot(probed, requests):
            break
    _record_step_times(gateway, [*ranked[:MAX_PROBES], *slow], loads)
    return loads


def _record_reachability(
    gateway: Gateway, probed: Sequence[Incarnation], reports: Mapping[str, EngineLoad]
) -> None:
    reached = {endpoint.data_centre for endpoint in probed if endpoint.name in reports}
    for data_centre in reached:
        gateway.reach.record(data_centre, received=True)
    for endpoint in probed:
        if endpoint.assignment is not None and endpoint.data_centre not in reached:
            gateway.reach.record(endpoint.data_centre, received=False)


def _record_step_times(
    gateway: Gateway,
    endpoints: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> None:
    busy = {
        endpoint.assignment.group
        for endpoint in endpoints
        if endpoint.assignment is not None
        and endpoint.name in loads
        and loads[endpoint.name].requests
    }
    with gateway.lock:
        for endpoint in endpoints:
            load = loads.get(endpoint.name)
            if load is None or endpoint.assignment is None:
                continue
            group, now = endpoint.assignment.group, gateway.now()
            is_busy = group in busy
            gateway.step_times.record(
                group, load.epoch, load.step, now, is_busy=is_busy
            )
            if gateway.step_times.is_stalled(group, now):
                gateway.record_stall(group, load.epoch, load.step)


def _is_still_usable(gateway: Gateway, endpoint: Incarnation) -> bool:
    usable = usable_endpoints(gateway.directory, endpoint.service)
    return endpoint in usable and gateway.takes_work(endpoint)


def _await_available(
    gateway: Gateway, call: DirectCall, is_disconnected: Callable[[], bool]
) -> list[Incarnation] | Reason:
    wait_until = hold_until(call)
    has_waited = False
    while True:
        usable = usable_endpoints(gateway.directory, call.service)
        available = [endpoint for endpoint in usable if gateway.takes_work(endpoint)]
        if not usable:
            return []
        if available and not has_waited:
            return available
        if available:
            has_waited = False
            _sleep_until(gateway, place_at(call, gateway.now(), gateway.rng))
            continue
        has_waited = True
        if gateway.reach.is_isolated:
            return Reason.ISOLATED
        wait_end = gateway.first_wait_end(call.service)
        if wait_end is not None and wait_end > await_until(call, gateway.now()):
            return Reason.ASKED_TO_WAIT
        permit_at = gateway.limits.next_permit_at(endpoint.name for endpoint in usable)
        if permit_at is not None and permit_at > call.due_at:
            return Reason.RATE_LIMITED
        left = (wait_end or permit_at or wait_until) - gateway.now()
        if left <= 0:
            return _unavailable_reason(gateway)
        gateway.groups_changed.wait(min(left, _DISCONNECT_POLL_SECONDS))
        if is_disconnected():
            raise CallerDisconnectedError


def _sleep_until(gateway: Gateway, instant: Instant) -> None:
    """Wait until an instant, with the lock released meanwhile."""
    while (left := instant - gateway.now()) > 0:
        gateway.groups_changed.wait(left)


def _record_not_admitted(
    gateway: Gateway,
    call: DirectCall,
    endpoints: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> None:
    now = gateway.now()
    probed = [endpoint for endpoint in endpoints if endpoint.name in loads]
    groups = sorted(
        {
            endpoint.assignment.group
            for endpoint in probed
            if endpoint.assignment is not None
        }
    )
    with gateway.lock:
        step_seconds = [gateway.step_times.step_seconds(group, now) for group in groups]
    gateway.metrics.count("not_admitted")
    _log.info(
        "Request not admitted %s.",
        fields(
            request=call.request_id,
            probed=len(probed),
            requests=sum(loads[endpoint.name].requests for endpoint in probed),
            slots=sum(endpoint.slots for endpoint in probed),
            groups=",".join(groups) or "-",
            step_ms=",".join(
                f"{seconds * MILLISECONDS:.0f}" for seconds in step_seconds
            ),
            late=is_late(call, now),
        ),
    )


def _log_chosen(
    gateway: Gateway,
    call: DirectCall,
    endpoint: Incarnation,
    load: int,
    reported: int | None,
) -> None:
    table = gateway.directory.table
    now = gateway.now()
    _log.info(
        "Chosen %s.",
        fields(
            request=call.request_id,
            endpoint=endpoint.name,
            load=load,
            told=reported,
            slots=endpoint.slots,
            version=table.version if table else 0,
            age=now - gateway.replica.confirmed_at,
            waited=now - call.arrived_at,
            late=is_late(call, now),
        ),
    )
