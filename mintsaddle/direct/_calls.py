"""Making a call of what a caller's head and the routing table say."""

from mintsaddle.decisions.direct import (
    DirectCall,
    KeyHolder,
    Route,
    RoutingTable,
    choose_service,
)
from mintsaddle.platform import RequestHead
from mintsaddle.values import Instant

NO_KEY = KeyHolder("", None)
"""Who calls where no key is needed."""


def find_holder(
    table: RoutingTable, route: Route, head: RequestHead
) -> KeyHolder | None:
    """Return who calls, or None when the key names nobody."""
    if table.keys is None:
        return NO_KEY
    holder = table.keys.get(head.key)
    if holder is None and route.allows_anonymous:
        return NO_KEY
    return holder


def make_call(
    head: RequestHead,
    route: Route,
    holder: KeyHolder,
    arrived_at: Instant,
    due_at: Instant,
) -> DirectCall:
    """Return the call of a request that is allowed.

    Args:
        head: What the caller's head says.
        route: The route that it matches.
        holder: Who calls.
        arrived_at: When it arrived.
        due_at: Until when its answer is on time.
    """
    seconds = route.timeout
    if head.seconds_left is not None:
        seconds = min(seconds, head.seconds_left)
    return DirectCall(
        request_id=head.request_id,
        route=route,
        service=choose_service(route, head.request_id),
        workspace=holder.workspace,
        arrived_at=arrived_at,
        deadline=arrived_at + seconds,
        due_at=due_at,
        priority=route.priority if holder.priority is None else holder.priority,
        last_event=head.last_event,
    )
