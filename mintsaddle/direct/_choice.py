"""Choosing the endpoint for a call, and waiting while there is none."""

from collections.abc import Callable, Mapping, Sequence

from mintsaddle.decisions.direct import (
    MAX_PROBES,
    PROBES_PER_ROUND,
    DirectCall,
    EngineLoad,
    Incarnation,
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

_POLL_SECONDS = 0.2
"""Seconds between two polls whether a waiting caller has left."""

_ROOM_SECONDS = 0.2
"""Seconds between two tries of a stream that waits for its group's pace; each
costs a few probes."""

_log = make_logger("calls")


class CallerLeftError(ConnectionError):
    """The caller has hung up; nobody reads an answer."""


def choose_endpoint(
    gateway: Gateway, call: DirectCall, is_gone: Callable[[], bool]
) -> Incarnation | Reason:
    """Return the endpoint to try, or why there is none.

    While the service's groups are all down, or its endpoints are cold and have
    got their share, the request waits here: sent there, it would be refused.

    Args:
        gateway: What the entry believes.
        call: The call, with the endpoints that it was sent to.
        is_gone: Whether its caller has hung up.

    Raises:
        CallerLeftError: The caller has hung up meanwhile.
    """
    while True:
        ranked = _await_ranked(gateway, call, is_gone)
        if isinstance(ranked, Reason):
            return ranked
        with gateway.lock:
            now = gateway.now()
            ranked, slow = prefer_quick_groups(call, ranked, gateway.paces, now)
        ranked = group_leaders_first(ranked)
        loads = _probe_loads(gateway, ranked, slow)
        admitted = _admit(gateway, call, ranked, loads)
        if admitted:
            endpoint = _take(gateway, call, admitted, loads)
            if endpoint is not None:
                return endpoint
        elif may_wait_for_slot(call, loads, gateway.now()):
            _wait_for_room(gateway, is_gone)
        else:
            _record_not_admitted(gateway, call, ranked[:MAX_PROBES], loads)
            return _reason_full(gateway)


def _await_ranked(
    gateway: Gateway, call: DirectCall, is_gone: Callable[[], bool]
) -> list[Incarnation] | Reason:
    """Return the endpoints that may be tried, the best one first."""
    with gateway.groups_changed:
        working = _await_working(gateway, call, is_gone)
        if isinstance(working, Reason):
            return working
        ranked = rank_incarnations(
            gateway.routing,
            working,
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
            gateway.paces,
            gateway.now(),
            gateway.rng,
            service.steps if service else None,
            gateway.share_of(ranked),
        )


def _take(
    gateway: Gateway,
    call: DirectCall,
    admitted: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> Incarnation | None:
    """Choose an endpoint and count the request; None if it left meanwhile."""
    requests = {name: load.requests for name, load in loads.items()}
    groups = {one.place.group for one in admitted if one.place is not None}
    with gateway.lock:
        now = gateway.now()
        steps = {group: gateway.paces.step_seconds(group, now) for group in groups}
    endpoint = choose_by_load(admitted, requests, steps)
    if not gateway.limits.take_permit(endpoint.name):
        return None
    with gateway.lock:
        # It may have left, or have got its share, while it was probed.
        if not _is_still_usable(gateway, endpoint):
            return None
        load = gateway.routing.view(endpoint.name).estimate_load(gateway.now())
        gateway.record_chosen(endpoint)
    told = requests.get(endpoint.name)
    _log_chosen(gateway, call, endpoint, load, told)
    return endpoint


def _wait_for_room(gateway: Gateway, is_gone: Callable[[], bool]) -> None:
    with gateway.groups_changed:
        gateway.groups_changed.wait(_ROOM_SECONDS)
    if is_gone():
        raise CallerLeftError


def _reason_full(gateway: Gateway) -> Reason:
    """Return why no endpoint may get a request at present."""
    return Reason.GROUP_DOWN if gateway.groups.down_groups() else Reason.FULL


def _probe_loads(
    gateway: Gateway, ranked: Sequence[Incarnation], slow: Sequence[Incarnation]
) -> dict[str, EngineLoad]:
    """Ask a few endpoints how loaded they are, and more while all are full.

    Args:
        gateway: What the entry believes.
        ranked: Endpoints that may get the request, the best one first.
        slow: Engines that are only asked for the pace of their groups.
    """
    loads: dict[str, EngineLoad] = {}
    for first in range(0, min(len(ranked), MAX_PROBES), PROBES_PER_ROUND):
        asked = list(ranked[first : first + PROBES_PER_ROUND])
        told = gateway.probe.ask([*asked, *slow] if first == 0 else asked)
        loads.update(told)
        _record_paths(gateway, asked, told)
        requests = {name: load.requests for name, load in told.items()}
        if not loads or has_free_slot(asked, requests):
            break
    _record_paces(gateway, [*ranked[:MAX_PROBES], *slow], loads)
    return loads


def _record_paths(
    gateway: Gateway, asked: Sequence[Incarnation], told: Mapping[str, EngineLoad]
) -> None:
    heard = {one.data_centre for one in asked if one.name in told}
    for data_centre in heard:
        gateway.reach.record(data_centre, received=True)
    for one in asked:
        if one.place is not None and one.data_centre not in heard:
            gateway.reach.record(one.data_centre, received=False)


def _record_paces(
    gateway: Gateway,
    endpoints: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> None:
    busy = {
        one.place.group
        for one in endpoints
        if one.place is not None and one.name in loads and loads[one.name].requests
    }
    with gateway.lock:
        for one in endpoints:
            load = loads.get(one.name)
            if load is None or one.place is None:
                continue
            group, now = one.place.group, gateway.now()
            is_busy = group in busy
            gateway.paces.record(group, load.epoch, load.step, now, is_busy=is_busy)
            if gateway.paces.is_stalled(group, now):
                gateway.record_stall(group, load.epoch, load.step)


def _is_still_usable(gateway: Gateway, endpoint: Incarnation) -> bool:
    usable = usable_endpoints(gateway.directory, endpoint.service)
    return endpoint in usable and gateway.takes_work(endpoint)


def _await_working(
    gateway: Gateway, call: DirectCall, is_gone: Callable[[], bool]
) -> list[Incarnation] | Reason:
    wait_until = hold_until(call)
    has_waited = False
    while True:
        usable = usable_endpoints(gateway.directory, call.service)
        working = [one for one in usable if gateway.takes_work(one)]
        if not usable:
            return []
        if working and not has_waited:
            return working
        if working:
            has_waited = False
            _sleep_until(gateway, place_at(call, gateway.now(), gateway.rng))
            continue
        has_waited = True
        if gateway.reach.is_isolated:
            return Reason.ISOLATED
        permit_at = gateway.limits.next_permit_at(one.name for one in usable)
        if permit_at is not None and permit_at > call.due_at:
            return Reason.RATE_LIMITED
        left = (permit_at or wait_until) - gateway.now()
        if left <= 0:
            return _reason_full(gateway)
        gateway.groups_changed.wait(min(left, _POLL_SECONDS))
        if is_gone():
            raise CallerLeftError


def _sleep_until(gateway: Gateway, instant: Instant) -> None:
    """Sleep with the lock released."""
    while (left := instant - gateway.now()) > 0:
        gateway.groups_changed.wait(left)


def _record_not_admitted(
    gateway: Gateway,
    call: DirectCall,
    endpoints: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
) -> None:
    now = gateway.now()
    told = [one for one in endpoints if one.name in loads]
    groups = sorted({one.place.group for one in told if one.place is not None})
    with gateway.lock:
        steps = [gateway.paces.step_seconds(group, now) for group in groups]
    gateway.metrics.count("not_admitted")
    _log.info(
        "Not admitted %s.",
        fields(
            request=call.request_id,
            probed=len(told),
            requests=sum(loads[one.name].requests for one in told),
            slots=sum(one.slots for one in told),
            groups=",".join(groups) or "-",
            step_ms=",".join(f"{seconds * MILLISECONDS:.0f}" for seconds in steps),
            late=is_late(call, now),
        ),
    )


def _log_chosen(
    gateway: Gateway,
    call: DirectCall,
    endpoint: Incarnation,
    load: int,
    told: int | None,
) -> None:
    table = gateway.directory.table
    now = gateway.now()
    _log.info(
        "Chosen %s.",
        fields(
            request=call.request_id,
            endpoint=endpoint.name,
            load=load,
            told=told,
            slots=endpoint.slots,
            version=table.version if table else 0,
            age=now - gateway.replica.confirmed_at,
            waited=now - call.arrived_at,
            late=is_late(call, now),
        ),
    )
