"""Thread-safe reachability of data centres from this entry."""

import threading
from collections.abc import Callable, Collection

from mintsaddle.decisions.direct import ReachabilityTracker
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Clock, Instant

FAILOVER_SECONDS = 3.0
"""Seconds from an entry's isolation until the balancer sends its callers to
other data centres: two or three failed readiness checks, a second apart."""

_log = make_logger("paths")


class Reachability:
    """Tracks which data centres are reachable, under the entry's lock."""

    def __init__(
        self,
        data_centre: str,
        lock: threading.RLock,
        now: Clock,
        data_centres: Callable[[], Collection[str]],
    ) -> None:
        """Start with all data centres reachable.

        Args:
            data_centre: The data centre of this entry.
            lock: The lock that guards the entry's shared state.
            now: The clock.
            data_centres: Returns the data centres that have endpoints.
        """
        self._tracker = ReachabilityTracker(data_centre)
        self._lock = lock
        self._check_requested = threading.Condition(lock)
        self._now = now
        self._data_centres = data_centres
        self._listeners: list[Callable[[], None]] = []
        self._isolated_since: Instant | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether the platform and all other data centres are unreachable."""
        with self._lock:
            # Fast path: this runs for every response, and data centres are
            # rarely unreachable.
            if not self._tracker.unreachable_data_centres():
                return False
            return self._tracker.is_isolated(self._data_centres())

    @property
    def unreachable(self) -> list[str]:
        """The data centres that can't be reached."""
        with self._lock:
            return self._tracker.unreachable_data_centres()

    @property
    def failover_seconds_left(self) -> float:
        """Seconds for which the balancer may still send callers here."""
        since = self._isolated_since
        return (
            FAILOVER_SECONDS
            if since is None
            else since + FAILOVER_SECONDS - self._now()
        )

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a function to call when reachability changes."""
        self._listeners.append(listener)

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether a data centre is unreachable; hold the lock."""
        return self._tracker.is_unreachable(data_centre)

    def record(self, data_centre: str, *, received: bool, weight: int = 1) -> None:
        """Record whether an expected response from a data centre was received.

        Args:
            data_centre: The data centre.
            received: Whether the response was received.
            weight: Number of lost datagrams that a missing one counts as.
        """
        with self._lock:
            if received:
                self._tracker.record_answer(data_centre)
            elif self._tracker.record_miss(data_centre, weight):
                self._check_requested.notify()

    def wait_for_checks(self) -> tuple[str, ...]:
        """Wait until there are data centres to check, and return them."""
        with self._check_requested:
            while not (pending := self._tracker.to_check()):
                self._check_requested.wait()
            return pending

    def record_check(
        self, data_centre: str, *, reached: bool, is_platform_reached: bool
    ) -> None:
        """Record whether test connections to a data centre succeeded."""
        with self._lock:
            self._tracker.record_platform(reached=is_platform_reached)
            known_data_centres = self._data_centres()
            has_changed = self._tracker.record_check(
                data_centre, known_data_centres, reached=reached
            )
            if not self._tracker.is_isolated(known_data_centres):
                self._isolated_since = None
            elif self._isolated_since is None:
                self._isolated_since = self._now()
        if not has_changed:
            return
        details = fields(
            data_centre=data_centre, reached=reached, platform=is_platform_reached
        )
        _log.warning("Reachability changed %s.", details)
        for listener in self._listeners:
            listener()
