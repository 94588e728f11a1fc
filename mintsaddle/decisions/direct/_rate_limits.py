"""Sharing of an endpoint's rate limit among all entries.

An overloaded endpoint states in its responses how many requests per second it
accepts from all entries together. Equal shares would waste most of that: with
hundreds of entries, few of them have a request for this endpoint at any
moment. So one entry, the granter, issues a permit for each request, first
come, first served, and entries without requests use no capacity.

There is no leader election. Entries that temporarily disagree about the
membership ask different granters, so an entry that is new as the granter of an
endpoint grants less until the views have converged. Two granters together then
stay within the endpoint's limit.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from mintsaddle.decisions.direct._membership import ALIVE_SECONDS
from mintsaddle.values import Instant

GRANT_SHARE = 0.8
"""Share of the endpoint's rate that is granted. The rest allows for requests
that arrive late."""

NEW_GRANTER_SHARE = 0.5
"""The same for a new granter, since entries that don't know it yet may still
ask another one."""

NEW_GRANTER_SECONDS = ALIVE_SECONDS
"""Seconds for which a granter counts as new for an endpoint. After that all
entries have noticed which members joined or left."""

MAX_BURST_PERMITS = 2.0
"""Permits that accumulate while none are requested; the largest burst beyond
the rate."""

GONE_SECONDS = 60.0
"""Seconds after its last answer for which the limit of an endpoint without an
announcement is kept."""

MIN_GRANT_RATE = 0.25
"""Minimum requests per second that are granted. An endpoint lifts its limit
only in a response, so it has to get a request now and then."""


class RateLimit(NamedTuple):
    """The latest known rate limit of an endpoint."""

    rate: float | None
    """Requests per second from all entries together; None for no limit."""

    observed_at: Instant


class RateLimits:
    """Rate limits known to one entry, and which permits it was denied."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._denied_until: dict[str, Instant] = {}

    def limit_of(self, endpoint: str) -> RateLimit | None:
        """Return the limit of an endpoint; None if it never stated one."""
        return self._limits.get(endpoint)

    def is_limited(self, endpoint: str) -> bool:
        """Return whether requests to an endpoint need a permit."""
        limit = self._limits.get(endpoint)
        return limit is not None and limit.rate is not None

    def record(self, endpoint: str, rate: float | None, observed_at: Instant) -> bool:
        """Record a stated limit, unless a newer one is known.

        Returns:
            Whether the rate has changed.
        """
        known = self._limits.get(endpoint)
        if known is None and rate is None:
            return False
        if known is not None and observed_at < known.observed_at:
            return False
        self._limits[endpoint] = RateLimit(rate, observed_at)
        if rate is None:
            self._denied_until.pop(endpoint, None)
        return known is None or known.rate != rate

    def record_denied(self, endpoint: str, until: Instant) -> None:
        """Record until when no permit for an endpoint is available."""
        self._denied_until[endpoint] = until

    def takes_work(self, endpoint: str, now: Instant) -> bool:
        """Return whether a permit for an endpoint may be available."""
        return now >= self._denied_until.get(endpoint, now)

    def next_permit_at(self, endpoints: Iterable[str], now: Instant) -> Instant | None:
        """Return when the next permit for any of the endpoints is expected.

        Returns:
            None if no permit is denied at present.
        """
        known = [self._denied_until.get(endpoint, now) for endpoint in endpoints]
        return min((until for until in known if until > now), default=None)

    def discard_gone(self, known: Collection[str], now: Instant) -> None:
        """Discard the limits of endpoints that have been gone for a while.

        An announcement may be missing for a moment, while the endpoint runs
        and its limit applies.

        Args:
            known: Names of the endpoints that are announced.
            now: The present instant.
        """
        gone = [
            endpoint
            for endpoint, limit in self._limits.items()
            if endpoint not in known and now - limit.observed_at > GONE_SECONDS
        ]
        for endpoint in gone:
            del self._limits[endpoint]
            self._denied_until.pop(endpoint, None)


class PermitDecision(NamedTuple):
    """A granter's answer to the request for one permit."""

    is_granted: bool
    next_at: Instant
    """When the next permit is expected, if this one wasn't granted."""


class _TokenBucket(NamedTuple):
    tokens: float
    """Permits that may be granted at once."""

    refilled_at: Instant
    granting_since: Instant
    """Since when this entry has granted for the endpoint without a pause of
    ``NEW_GRANTER_SECONDS``."""


class PermitGranter:
    """Issues this entry's permits, with one token bucket per endpoint."""

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}

    def request_permit(
        self, endpoint: str, rate: float, now: Instant
    ) -> PermitDecision:
        """Grant or deny one entry a permit for a request.

        Args:
            endpoint: The endpoint.
            rate: Requests per second that it accepts from all entries.
            now: The present instant.
        """
        known = self._buckets.get(endpoint)
        if known is None or now - known.refilled_at > NEW_GRANTER_SECONDS:
            known = _TokenBucket(0.0, now, now)
        is_new = now - known.granting_since < NEW_GRANTER_SECONDS
        share = NEW_GRANTER_SHARE if is_new else GRANT_SHARE
        rate = max(MIN_GRANT_RATE, rate * share)
        tokens = min(MAX_BURST_PERMITS, known.tokens + (now - known.refilled_at) * rate)
        is_granted = tokens >= 1.0
        left = tokens - is_granted
        self._buckets[endpoint] = _TokenBucket(left, now, known.granting_since)
        return PermitDecision(is_granted, now + max(0.0, 1.0 - left) / rate)

    def keep_only(self, endpoints: Iterable[str]) -> None:
        """Discard the buckets of endpoints that are gone."""
        kept = set(endpoints)
        self._buckets = {k: v for k, v in self._buckets.items() if k in kept}
