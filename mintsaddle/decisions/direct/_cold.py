"""How much a cold endpoint gets, without entries telling each other.

Load pattern: endpoints come back together after a data centre was out, empty
and slow, and every entry finds them the least loaded. A cold endpoint bears a
few requests a second and crashes well above that; the bound is over all
entries, so each one keeps to its share of it.
"""

from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._table import DirectService
from mintsaddle.values import Instant

_WINDOW = 1.0
"""Seconds in which the platform counts what a cold endpoint gets."""

_SAFETY = 0.8
"""Share of the bound that is used: requests sent in one second may arrive in
another one."""


class ColdGate:
    """What one entry has sent to cold endpoints lately."""

    def __init__(self, factor: float, slack: float) -> None:
        self._factor = factor
        self._slack = slack
        self._sent: dict[str, list[Instant]] = {}

    def allows(
        self, endpoint: Incarnation, service: DirectService, entries: int, now: Instant
    ) -> bool:
        """Return whether an endpoint may get one more request now.

        Args:
            endpoint: The endpoint.
            service: What the table says of its service.
            entries: Entries that may send to it.
            now: The present instant.
        """
        if service.cold_rate <= 0 or now >= endpoint.cold_until:
            return True
        bound = service.cold_rate * self._factor + self._slack
        share = bound * _SAFETY / max(1, entries)
        # A share of less than one request a second is one in a longer window.
        window = max(_WINDOW, _WINDOW / share)
        recent = [at for at in self._sent.get(endpoint.name, ()) if now - at < window]
        self._sent[endpoint.name] = recent
        return len(recent) < max(1, int(share))

    def record_sent(self, endpoint: Incarnation, now: Instant) -> None:
        """Count a request that is sent."""
        if now < endpoint.cold_until:
            self._sent.setdefault(endpoint.name, []).append(now)
        else:
            self._sent.pop(endpoint.name, None)
