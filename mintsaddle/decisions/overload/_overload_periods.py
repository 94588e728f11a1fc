"""Which services are overloaded, and since when."""

from typing import NamedTuple

from mintsaddle.decisions.overload._workspace_use import OVERLOAD_WINDOW_SECONDS
from mintsaddle.values import Instant


class OverloadPeriod(NamedTuple):
    """Time during which calls of a service weren't admitted at once."""

    service: str
    since: Instant
    """When the first of these calls wasn't admitted."""

    last_at: Instant
    """When the last of them wasn't."""

    calls: int
    """Number of these calls."""

    def is_over(self, now: Instant) -> bool:
        """Return whether no call has been turned away for the window."""
        return now - self.last_at > OVERLOAD_WINDOW_SECONDS


class OverloadPeriods:
    """The overload of each service at one entry. Not thread-safe."""

    def __init__(self) -> None:
        self._periods: dict[str, OverloadPeriod] = {}

    def record_not_admitted(self, service: str, now: Instant) -> bool:
        """Record that a call wasn't admitted for lack of capacity.

        Returns:
            Whether the overload of the service began with it.
        """
        period = self._periods.get(service)
        is_new = period is None or period.is_over(now)
        if period is None or is_new:
            period = OverloadPeriod(service, now, now, 0)
        self._periods[service] = period._replace(
            last_at=max(period.last_at, now), calls=period.calls + 1
        )
        return is_new

    def since(self, service: str, now: Instant) -> Instant | None:
        """Return when a service's overload began; None if it has none."""
        period = self._periods.get(service)
        return None if period is None or period.is_over(now) else period.since

    def remove_ended(self, now: Instant) -> list[OverloadPeriod]:
        """Return the periods that are over, each of them once."""
        ended = [period for period in self._periods.values() if period.is_over(now)]
        for period in ended:
            del self._periods[period.service]
        return ended
