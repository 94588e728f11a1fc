"""Waits that endpoints have asked for, shared by the entry's threads."""

import random
import threading
from collections.abc import Collection, Iterable, Sequence

from mintsaddle.decisions.direct import (
    DirectCall,
    Incarnation,
    RequestedWaits,
    prefer_proven,
)
from mintsaddle.values import Clock, Instant


class EndpointWaits:
    """Requested waits, guarded by the entry's lock."""

    def __init__(
        self,
        lock: threading.RLock,
        now: Clock,
        rng: random.Random,
    ) -> None:
        """Start without any wait.

        Args:
            lock: The lock that guards the entry's shared state.
            now: The clock.
            rng: Random number generator, used under the lock.
        """
        self._waits = RequestedWaits()
        self._lock = lock
        self._now = now
        self._rng = rng

    def record_answer(self, endpoint: str, wait_seconds: float) -> None:
        """Record the head of an endpoint's answer.

        Args:
            endpoint: Name of the endpoint.
            wait_seconds: For how long it asks for no requests; 0 if it doesn't
                ask.
        """
        with self._lock:
            now = self._now()
            if wait_seconds > 0:
                self._waits.record_refusal(endpoint, wait_seconds, now, self._rng)
            else:
                self._waits.record_answer(endpoint, now)

    def is_waiting(self, endpoint: str) -> bool:
        """Return whether an endpoint wants nothing at present."""
        # Fast path: this runs for each endpoint and request.
        if self._waits.is_empty:
            return False
        with self._lock:
            return self._waits.is_waiting(endpoint, self._now())

    def first_end(self, endpoints: Iterable[str]) -> Instant | None:
        """Return when the first of some endpoints ends its wait.

        Returns:
            None if there are none, or if one of them isn't waiting.
        """
        with self._lock:
            now = self._now()
            ends = [self._waits.waits_until(endpoint) for endpoint in endpoints]
        first = min(ends, default=0.0)
        return first if first > now else None

    def prefer_proven(
        self, call: DirectCall, candidates: Sequence[Incarnation]
    ) -> list[Incarnation]:
        """Return the endpoints that a call may be sent to."""
        with self._lock:
            now = self._now()
            return prefer_proven(
                call, candidates, lambda name: self._waits.is_proven(name, now)
            )

    def discard_ended(self, known: Collection[str]) -> None:
        """Discard ended waits of endpoints that are gone."""
        with self._lock:
            self._waits.discard_ended(known, self._now())
