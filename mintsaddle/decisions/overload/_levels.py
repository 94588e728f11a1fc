"""Priority levels of a service's calls, from the published priorities.

The priority of a call's workspace is compared before that of its route. All
entries derive the same levels from the same routing table.
"""

from bisect import bisect_left
from collections import Counter
from typing import NamedTuple

from mintsaddle.decisions.direct import LATE_URGENCY, DirectCall, RoutingTable

MAX_LEVELS = 10
"""Most levels of one service. Engines have few slots, so more levels would
share their reserves of slots anyway."""

_URGENCIES_PER_CLASS = LATE_URGENCY
"""Urgencies that endpoints accept for calls that can be on time, and as many
for late ones."""


class CallPriority(NamedTuple):
    """The priority of a call; the smaller one goes first."""

    workspace: int
    route: int


class PriorityLevels(NamedTuple):
    """The priority levels of one service's calls."""

    priorities: tuple[CallPriority, ...]
    """The last priority of each level, the most urgent level first."""

    default_workspace: int = 0
    """Priority of workspaces that publish none."""

    def level_of(self, call: DirectCall) -> int:
        """Return the level of a call; 0 goes first.

        A call whose priority isn't published gets the level of the next one.
        """
        workspace = call.workspace_priority
        if workspace is None:
            workspace = self.default_workspace
        priority = CallPriority(max(0, workspace), max(0, call.route.priority))
        return self.clamp(bisect_left(self.priorities, priority))

    def urgency_of(self, level: int, *, late: bool) -> int:
        """Return the urgency to send to an endpoint with a call.

        Args:
            level: The call's level.
            late: Whether the call is late.

        Returns:
            0 to 4 on time, and 5 to 9 if late.
        """
        rank = self.clamp(level)
        count = len(self.priorities)
        if count > _URGENCIES_PER_CLASS:
            rank = rank * _URGENCIES_PER_CLASS // count
        return LATE_URGENCY + rank if late else rank

    def position_of(self, level: int) -> float:
        """Return 0 for the first level, 1 for the last and steps between."""
        return self.clamp(level) / max(1, len(self.priorities) - 1)

    def clamp(self, level: int) -> int:
        """Return the nearest level that exists."""
        return min(max(0, level), len(self.priorities) - 1)


def find_priority_levels(table: RoutingTable, service: str) -> PriorityLevels | None:
    """Return the priority levels of a service's calls.

    Returns:
        None unless the stream routes to the service publish more than one
        priority.
    """
    routes = sorted(
        {
            max(0, route.priority)
            for candidates in table.hosts.values()
            for route in candidates
            if route.is_stream
            and any(
                destination.service == service for destination in route.destinations
            )
        }
    )
    if len(routes) < 2:
        return None
    # A workspace counts once, however many keys it has.
    published = Counter(
        priority
        for _, priority in {
            (holder.workspace, max(0, holder.priority))
            for holder in (table.keys or {}).values()
            if holder.priority is not None
        }
    )
    workspaces = sorted(published) or [0]
    # Of equally common priorities the least urgent one is the default, so that
    # publishing none gives no advantage.
    default = max(workspaces, key=lambda priority: (published[priority], priority))
    total = len(workspaces) * len(routes)
    count = min(total, MAX_LEVELS)
    ends = [(level + 1) * total // count - 1 for level in range(count)]
    priorities = tuple(
        CallPriority(workspaces[end // len(routes)], routes[end % len(routes)])
        for end in ends
    )
    return PriorityLevels(priorities, default)
