"""Endpoints that limit their requests, shared by the entry's threads."""

import threading
from collections.abc import Callable, Iterable

from mintsaddle.decisions.direct import RateLimit, RateLimits
from mintsaddle.values import Clock, Instant


class EndpointLimits:
    """Beliefs of limits under the entry's lock, and how permits are taken."""

    def __init__(self, lock: threading.RLock, now: Clock) -> None:
        self._limits = RateLimits()
        self._lock = lock
        self._now = now
        self._take: Callable[[str], bool] = lambda endpoint: True
        self._tell_of: Callable[[str], None] = lambda endpoint: None

    def use(self, take: Callable[[str], bool], tell_of: Callable[[str], None]) -> None:
        """Set how permits are taken, and how others hear of a limit.

        Args:
            take: Returns whether a request may be sent to an endpoint; waits.
            tell_of: Tells other entries what is known of an endpoint's limit.
        """
        self._take = take
        self._tell_of = tell_of

    def take_permit(self, endpoint: str) -> bool:
        """Return whether a request may be sent; call it without the lock.

        Only endpoints that limit their requests need a permit.
        """
        with self._lock:
            is_limited = self._limits.is_limited(endpoint)
        return not is_limited or self._take(endpoint)

    def takes_work(self, endpoint: str) -> bool:
        """Return whether a permit is worth asking for."""
        with self._lock:
            return self._limits.takes_work(endpoint, self._now())

    def next_permit_at(self, endpoints: Iterable[str]) -> Instant | None:
        """Return when a permit for one of some endpoints is expected.

        Returns:
            None if none of them is denied one at present.
        """
        with self._lock:
            return self._limits.next_permit_at(endpoints, self._now())

    def limit_of(self, endpoint: str) -> RateLimit:
        """Return what an endpoint was last known to say."""
        with self._lock:
            return self._limits.limit_of(endpoint) or RateLimit(None, self._now())

    def record(self, endpoint: str, rate: float | None, observed_at: Instant) -> None:
        """Take over what an endpoint says of the requests that it takes."""
        with self._lock:
            has_changed = self._limits.record(endpoint, rate, observed_at)
        if has_changed:
            self._tell_of(endpoint)

    def record_denied(self, endpoint: str, until: Instant) -> None:
        """Note that there is no permit for an endpoint for a while."""
        with self._lock:
            self._limits.record_denied(endpoint, until)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        with self._lock:
            self._limits.forget(endpoint)
