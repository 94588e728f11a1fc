"""How long a caller waited for each part of a stream."""

from mintsaddle.decisions.direct import Route
from mintsaddle.values import Instant


class StreamTiming:
    """When the events of one stream were passed on."""

    def __init__(self, arrived_at: Instant) -> None:
        self._arrived_at = arrived_at
        self._last_at: Instant = arrived_at
        self._first: float | None = None
        self._longest_pause = 0.0

    @property
    def first(self) -> float | None:
        """Seconds until the first event; None before it."""
        return self._first

    @property
    def longest_pause(self) -> float:
        """Seconds of the longest pause between two events."""
        return self._longest_pause

    def record_event(self, now: Instant) -> None:
        """Note that an event is passed on."""
        if self._first is None:
            self._first = now - self._arrived_at
        else:
            self._longest_pause = max(self._longest_pause, now - self._last_at)
        self._last_at = now

    def is_late(self, route: Route) -> bool:
        """Return whether its caller got it later than the route aims at."""
        is_first_late = self._first is not None and self._first > route.objective > 0
        return is_first_late or self._longest_pause > route.longest_pause > 0
