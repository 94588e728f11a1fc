"""Reserves an endpoint for a call that was admitted."""

from collections.abc import Mapping, Sequence

from mintsaddle.decisions.direct import (
    DirectCall,
    EngineLoad,
    Incarnation,
    choose_by_load,
    is_late,
)
from mintsaddle.direct._availability import is_still_usable
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger

_log = make_logger("calls")


def reserve_endpoint(
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
        if not is_still_usable(gateway, endpoint):
            return None
        load = gateway.routing.view(endpoint.name).estimate_load(gateway.now())
        gateway.record_chosen(endpoint)
    reported = requests.get(endpoint.name)
    _log_chosen(gateway, call, endpoint, load, reported)
    return endpoint


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
