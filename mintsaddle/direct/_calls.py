"""Creates a call from a caller's request head and the routing table."""

from mintsaddle.decisions.direct import (
    DirectCall,
    KeyHolder,
    Route,
    RoutingTable,
    choose_service,
)
from mintsaddle.decisions.overload import call_work
from mintsaddle.platform import RequestHead
from mintsaddle.values import Instant

ANONYMOUS = KeyHolder("", None)
"""Stands for callers of routes and tables that need no key."""


def find_key_holder(
    table: RoutingTable, route: Route, head: RequestHead
) -> KeyHolder | None:
    """Return the holder of the caller's key; None if it is unknown."""
    if table.keys is None:
        return ANONYMOUS
    holder = table.keys.get(head.key)
    if holder is None and route.allows_anonymous:
        return ANONYMOUS
    return holder


def make_call(
    head: RequestHead,
    route: Route,
    holder: KeyHolder,
    arrived_at: Instant,
    due_at: Instant,
) -> DirectCall:
    """Return the call for an allowed request.

    Args:
        head: The parsed head of the request.
        route: The route that it matches.
        holder: The holder of its key.
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
        work=call_work(head.tokens),
        last_event=head.last_event,
        workspace_priority=holder.priority,
        parts=head.parts,
    )
