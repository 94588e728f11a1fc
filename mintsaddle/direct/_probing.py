"""Probes endpoints for their loads before a call is placed."""

from collections.abc import Mapping, Sequence

from mintsaddle.decisions.direct import (
    MAX_PROBES,
    PROBES_PER_ROUND,
    EngineLoad,
    Incarnation,
    has_free_slot,
)
from mintsaddle.direct._gateway import Gateway


def probe_loads(
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
