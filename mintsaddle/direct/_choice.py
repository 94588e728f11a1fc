"""Selects the endpoint for a call, and waits while none is available."""

from collections.abc import Callable, Mapping, Sequence

from mintsaddle.decisions.direct import (
    MAX_PROBES,
    DirectCall,
    EngineLoad,
    Incarnation,
    filter_admissible,
    group_leaders_first,
    is_late,
    may_wait_for_slot,
    prefer_quick_groups,
)
from mintsaddle.direct._availability import (
    CallerDisconnectedError,
    await_ranked,
    unavailable_reason,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._priority_choice import choose_by_level
from mintsaddle.direct._probing import probe_loads
from mintsaddle.direct._reservation import reserve_endpoint
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import MILLISECONDS, Reason

_SLOT_POLL_SECONDS = 0.2
"""Seconds between two attempts to admit a stream that waits until its group's
steps get shorter; each attempt costs a few probes."""

_log = make_logger("calls")


def choose_endpoint(
    gateway: Gateway, call: DirectCall, is_disconnected: Callable[[], bool]
) -> Incarnation | Reason:
    """Return the endpoint to try, or why there is none.

    The request may wait here for endpoints that accept work, or for a slot.

    Args:
        gateway: The entry's shared state.
        call: The call, including the endpoints that were tried already.
        is_disconnected: Returns whether the caller has disconnected.

    Raises:
        CallerDisconnectedError: The caller disconnected while it waited.
    """
    with gateway.lock:
        levels = gateway.overload.levels_of(call)
    if levels is not None:
        return choose_by_level(gateway, call, levels, is_disconnected)
    while True:
        ranked = await_ranked(gateway, call, is_disconnected)
        if isinstance(ranked, Reason):
            return ranked
        with gateway.lock:
            now = gateway.now()
            ranked, slow = prefer_quick_groups(call, ranked, gateway.step_times, now)
        ranked = group_leaders_first(ranked)
        loads = probe_loads(gateway, ranked, slow)
        admitted = _admit(gateway, call, ranked, loads)
        if admitted:
            endpoint = reserve_endpoint(gateway, call, admitted, loads)
            if endpoint is not None:
                return endpoint
        elif may_wait_for_slot(call, loads, gateway.now()):
            _wait_for_slot(gateway, is_disconnected)
        else:
            _record_not_admitted(gateway, call, ranked[:MAX_PROBES], loads)
            return unavailable_reason(gateway)


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


def _wait_for_slot(gateway: Gateway, is_disconnected: Callable[[], bool]) -> None:
    with gateway.groups_changed:
        gateway.groups_changed.wait(_SLOT_POLL_SECONDS)
    if is_disconnected():
        raise CallerDisconnectedError


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
