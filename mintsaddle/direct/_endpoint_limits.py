"""Rate limits of endpoints, shared by the entry's threads."""

import threading
from collections.abc import Callable, Collection, Iterable

from mintsaddle.decisions.direct import RateLimit, RateLimits
from mintsaddle.values import Clock, Instant


class EndpointLimits:
    """Known rate limits, guarded by the entry's lock, and permit requests."""

    def __init__(self, lock: threading.RLock, now: Clock) -> None:
        self._limits = RateLimits()
        self._lock = lock
        self._now = now
        self._request_permit: Callable[[str], bool] = lambda endpoint: True
        self._publish: Callable[[str], None] = lambda endpoint: None

    def set_callbacks(
        self, request_permit: Callable[[str], bool], publish: Callable[[str], None]
    ) -> None:
        """Set the functions that reach other entries.

        Args:
            request_permit: Returns whether a request may be sent to an
                endpoint; blocks.
            publish: Sends an endpoint's limit to other entries.
        """
        self._request_permit = request_permit
        self._publish = publish

    def take_permit(self, endpoint: str) -> bool:
        """Return whether a request may be sent; the lock must not be held.

        Only rate-limited endpoints need a permit.
        """
        with self._lock:
            is_limited = self._limits.is_limited(endpoint)
        return not is_limited or self._request_permit(endpoint)

    def takes_work(self, endpoint: str) -> bool:
        """Return whether a permit may be granted now."""
        with self._lock:
            return self._limits.takes_work(endpoint, self._now())

    def next_permit_at(self, endpoints: Iterable[str]) -> Instant | None:
        """Return when a permit is expected for any of some endpoints.

        Returns:
            None if no permit is denied for any of them at present.
        """
        with self._lock:
            return self._limits.next_permit_at(endpoints, self._now())

    def limit_of(self, endpoint: str) -> RateLimit:
        """Return an endpoint's last known rate limit."""
        with self._lock:
            return self._limits.limit_of(endpoint) or RateLimit(None, self._now())

    def record(self, endpoint: str, rate: float | None, observed_at: Instant) -> None:
        """Record the rate limit that an endpoint reports."""
        with self._lock:
            has_changed = self._limits.record(endpoint, rate, observed_at)
        if has_changed:
            self._publish(endpoint)

    def record_denied(self, endpoint: str, until: Instant) -> None:
        """Record until when no permit is granted for an endpoint."""
        with self._lock:
            self._limits.record_denied(endpoint, until)

    def discard_gone(self, known: Collection[str]) -> None:
        """Discard the limits of endpoints that have been gone for a while."""
        with self._lock:
            self._limits.discard_gone(known, self._now())
