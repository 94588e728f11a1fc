"""Placement in the entry's own data centre while it has capacity.

Load pattern: demand and endpoints are spread unevenly over data centres, and
bytes between them are expensive. Calls stay in their data centre until its
probed endpoints are nearly full or its groups' steps get long. They overflow
before callers are late, and each call decides by current loads, so nothing
has to be switched back.
"""

from collections.abc import Mapping, Sequence

from mintsaddle.decisions.direct import (
    DEFAULT_SLOTS,
    DirectCall,
    EngineLoad,
    GroupStepTimes,
    Incarnation,
)
from mintsaddle.values import Instant

OVERFLOW_SHARE = 0.8
"""Share of an endpoint's slots from which it no longer has local capacity. A
report is one step old, so the endpoint may be full by then."""

OVERFLOW_STEP_SHARE = 0.7
"""Step time, as a share of the route's longest pause, from which other groups
are considered as well. Admission begins to refuse calls at this step time."""


def with_local_capacity(
    call: DirectCall,
    admitted: Sequence[Incarnation],
    loads: Mapping[str, EngineLoad],
    step_times: GroupStepTimes,
    data_centre: str,
    now: Instant,
) -> list[Incarnation]:
    """Return the endpoints that take a call without asking other data centres.

    Args:
        call: The call.
        admitted: Endpoints that the call may be sent to.
        loads: Loads that the probed endpoints reported, by name.
        step_times: Step times of their groups.
        data_centre: The entry's own data centre.
        now: The present instant.
    """
    longest_step = call.route.longest_pause * OVERFLOW_STEP_SHARE

    def has_capacity(endpoint: Incarnation) -> bool:
        load = loads.get(endpoint.name)
        if load is None or endpoint.data_centre != data_centre:
            return False
        slots = max(DEFAULT_SLOTS, endpoint.slots)
        if load.requests >= slots * OVERFLOW_SHARE:
            return False
        if endpoint.assignment is None or longest_step <= 0:
            return True
        group = endpoint.assignment.group
        return step_times.step_seconds(group, now) < longest_step

    return [endpoint for endpoint in admitted if has_capacity(endpoint)]
