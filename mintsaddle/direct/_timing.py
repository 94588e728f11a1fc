"""Measures how long a caller waits for the events of a stream."""

from mintsaddle.decisions.direct import Route
from mintsaddle.values import Instant


class StreamTiming:
    """Times at which the events of one stream are relayed."""

    def __init__(self, arrived_at: Instant) -> None:
        self._arrived_at = arrived_at
        self._last_at: Instant = arrived_at
        self._first_seconds: float | None = None
        self._longest_pause = 0.0

    @property
    def first(self) -> float | None:
        """Seconds from arrival to the first event; None until then."""
        return self._first_seconds

    @property
    def longest_pause(self) -> float:
        """The longest pause between two events, in seconds."""
        return self._longest_pause

    def record_event(self, now: Instant) -> None:
        """Record that an event is relayed."""
        if self._first_seconds is None:
            self._first_seconds = now - self._arrived_at
        else:
            self._longest_pause = max(self._longest_pause, now - self._last_at)
        self._last_at = now

    def is_late(self, route: Route) -> bool:
        """Return whether the stream misses the objectives of its route."""
        is_first_late = (
            self._first_seconds is not None
            and self._first_seconds > route.objective > 0
        )
        return is_first_late or self._longest_pause > route.longest_pause > 0
