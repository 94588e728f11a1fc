"""Rate limit for cold endpoints, without coordination between entries.

Load pattern: the endpoints of a data centre return to service together, idle
and slow, and every entry considers them the least loaded. A cold endpoint can
handle a few requests per second and crashes well above that rate. The limit
applies to all entries together, so each one keeps to its share.
"""

from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._table import DirectService
from mintsaddle.values import Instant

_WINDOW_SECONDS = 1.0
"""Window in which the platform counts requests to a cold endpoint."""

_SAFETY_FRACTION = 0.8
"""Fraction of the limit that is used, because requests sent in one second may
arrive in another one."""


class ColdStartLimiter:
    """Limits the rate at which one entry sends to cold endpoints."""

    def __init__(self, factor: float, slack: float) -> None:
        self._factor = factor
        self._slack = slack
        self._sent: dict[str, list[Instant]] = {}

    def replace_limits(self, factor: float, slack: float) -> None:
        """Apply limits from changed settings to what was sent already."""
        self._factor = factor
        self._slack = slack

    def allows(
        self, endpoint: Incarnation, service: DirectService, entries: int, now: Instant
    ) -> bool:
        """Return whether an endpoint may get one more request now.

        Args:
            endpoint: The endpoint.
            service: The endpoint's service.
            entries: Number of entries that may send to it.
            now: The current time.
        """
        if service.cold_rate <= 0 or now >= endpoint.cold_until:
            return True
        limit = service.cold_rate * self._factor + self._slack
        share = limit * _SAFETY_FRACTION / max(1, entries)
        # A share below one request per window allows one per longer window.
        window = max(_WINDOW_SECONDS, _WINDOW_SECONDS / share)
        recent = [at for at in self._sent.get(endpoint.name, ()) if now - at < window]
        self._sent[endpoint.name] = recent
        return len(recent) < max(1, int(share))

    def record_sent(self, endpoint: Incarnation, now: Instant) -> None:
        """Count a sent request."""
        if now < endpoint.cold_until:
            self._sent.setdefault(endpoint.name, []).append(now)
        else:
            self._sent.pop(endpoint.name, None)
