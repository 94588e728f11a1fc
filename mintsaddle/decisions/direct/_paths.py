"""Reachability of data centres from one entry.

Load pattern: a data centre is partitioned from the others, while callers still
reach its entries. Each request to another data centre would try one endpoint
after the other, each until its connection times out, until the caller gives
up, although all of them are behind the same partition. So failures to reach
endpoints count for their whole data centre, once separate test connections
have confirmed them.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

SUSPECT_MISSES = 3
"""Consecutive missing responses after which a path is checked; some datagrams
and endpoints are also lost without a partition."""

ENDPOINTS_PER_CHECK = 2
"""Endpoints of a data centre that one check connects to."""


class _PathState(NamedTuple):
    misses: int = 0
    """Responses missing since the last received one."""

    is_unreachable: bool = False


class ReachabilityTracker:
    """Tracks which data centres one entry can reach."""

    def __init__(self, data_centre: str) -> None:
        self._own_data_centre = data_centre
        self._paths: dict[str, _PathState] = {}
        self._is_platform_reached = True

    def record_answer(self, data_centre: str) -> None:
        """Record that a response came from a data centre."""
        self._paths.pop(data_centre, None)

    def record_miss(self, data_centre: str, weight: int = 1) -> bool:
        """Record that a response is missing.

        Args:
            data_centre: The data centre that it was expected from.
            weight: Number of lost datagrams that it counts as.

        Returns:
            Whether the path must be checked.
        """
        if data_centre in ("", self._own_data_centre):
            return False
        path = self._paths.get(data_centre, _PathState())
        self._paths[data_centre] = path._replace(misses=path.misses + weight)
        return path.misses + weight >= SUSPECT_MISSES

    def record_check(
        self, data_centre: str, data_centres: Iterable[str], *, reached: bool
    ) -> bool:
        """Record whether endpoints of a data centre accepted a connection.

        An unreachable data centre makes all paths suspect, because the entry's
        own data centre may be the one that is cut off.

        Args:
            data_centre: The data centre.
            data_centres: All data centres that have endpoints.
            reached: Whether one of its endpoints accepted a connection.

        Returns:
            Whether its reachability changed.
        """
        path = self._paths.get(data_centre, _PathState())
        if reached:
            self._paths.pop(data_centre, None)
            return path.is_unreachable
        self._paths[data_centre] = path._replace(is_unreachable=True)
        if not path.is_unreachable:
            for other in data_centres:
                self.record_miss(other, SUSPECT_MISSES)
        return not path.is_unreachable

    def record_platform(self, *, reached: bool) -> None:
        """Record whether the platform accepted a connection."""
        self._is_platform_reached = reached

    def to_check(self) -> tuple[str, ...]:
        """Return the data centres that are suspect or unreachable."""
        return tuple(
            name
            for name, path in self._paths.items()
            if path.is_unreachable or path.misses >= SUSPECT_MISSES
        )

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether a data centre is unreachable."""
        path = self._paths.get(data_centre)
        return path is not None and path.is_unreachable

    def unreachable_data_centres(self) -> list[str]:
        """Return all unreachable data centres."""
        return [name for name, path in self._paths.items() if path.is_unreachable]

    def is_isolated(self, data_centres: Collection[str]) -> bool:
        """Return whether this entry's data centre is the one that is cut off.

        The last data centre in operation also reaches no other one, but still
        reaches the platform, and so isn't considered isolated.

        Args:
            data_centres: All data centres that have endpoints.
        """
        others = [name for name in data_centres if name != self._own_data_centre]
        if not others or self._is_platform_reached:
            return False
        return all(self.is_unreachable(name) for name in others)
