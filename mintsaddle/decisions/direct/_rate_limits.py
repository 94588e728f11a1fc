"""How the requests that an endpoint in need still takes are shared out.

Load pattern: an endpoint under strain names in its answers how many requests a
second it takes from all entries together. Equal shares would waste most of
that: with hundreds of entries, few of them have a request for this endpoint at
any moment. So one entry, the granter, hands out a permit for each request,
first come, first served; who sends nothing holds nothing.

Nobody is elected. Entries whose views of the others differ for a while ask
different granters, so one that is new to an endpoint grants less until views
have had time to converge: both together stay within what the endpoint takes.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mintsaddle.decisions.direct._membership import ALIVE_SECONDS
from mintsaddle.values import Instant

GRANT_SHARE = 0.8
"""Share of the named rate that is granted; the rest is for requests that take
a while to arrive."""

YOUNG_GRANT_SHARE = 0.5
"""The same by a granter that hasn't granted for long: entries that don't know
it yet may still ask another one."""

YOUNG_SECONDS = ALIVE_SECONDS
"""Seconds for which a granter is new to an endpoint: by then all entries have
noticed who is there and who is gone."""

MOST_SAVED = 2.0
"""Permits that a quiet time saves up; all that is sent at once beyond the
rate."""

LEAST_RATE = 0.25
"""Requests a second that are granted at least. An endpoint tells that its
limit is over in an answer only, so it has to be asked now and then."""


class RateLimit(NamedTuple):
    """What an endpoint was last known to say of its rate."""

    rate: float | None
    """Requests a second from all entries together; None for no limit."""

    observed_at: Instant


class RateLimits:
    """One entry's beliefs of limits, and for which it has no permit now."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._denied_until: dict[str, Instant] = {}

    def limit_of(self, endpoint: str) -> RateLimit | None:
        """Return what is known of an endpoint that has ever named a rate."""
        return self._limits.get(endpoint)

    def is_limited(self, endpoint: str) -> bool:
        """Return whether requests to an endpoint need a permit."""
        limit = self._limits.get(endpoint)
        return limit is not None and limit.rate is not None

    def record(self, endpoint: str, rate: float | None, observed_at: Instant) -> bool:
        """Take over what an endpoint said, if nothing newer is known.

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
        """Note until when there is no permit for an endpoint."""
        self._denied_until[endpoint] = until

    def takes_work(self, endpoint: str, now: Instant) -> bool:
        """Return whether a permit for an endpoint is worth asking for."""
        return now >= self._denied_until.get(endpoint, now)

    def next_permit_at(self, endpoints: Iterable[str], now: Instant) -> Instant | None:
        """Return when the next permit for one of some endpoints is expected.

        Returns:
            None if none of them is denied one at present.
        """
        known = [self._denied_until.get(one, now) for one in endpoints]
        return min((until for until in known if until > now), default=None)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._limits.pop(endpoint, None)
        self._denied_until.pop(endpoint, None)


class Permit(NamedTuple):
    """A granter's answer to one request."""

    is_granted: bool
    next_at: Instant
    """When the next permit is expected, if this one wasn't granted."""


class _Account(NamedTuple):
    saved: float
    """Permits that may be granted at once."""

    counted_at: Instant
    began_at: Instant
    """Since when this entry grants for the endpoint without a long pause."""


class RateGrants:
    """The permits that one entry hands out, by endpoint."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def ask(self, endpoint: str, rate: float, now: Instant) -> Permit:
        """Answer one entry's wish to send a request.

        Args:
            endpoint: The endpoint.
            rate: Requests a second that it takes from all entries.
            now: The present instant.
        """
        known = self._accounts.get(endpoint)
        if known is None or now - known.counted_at > YOUNG_SECONDS:
            known = _Account(0.0, now, now)
        is_young = now - known.began_at < YOUNG_SECONDS
        share = YOUNG_GRANT_SHARE if is_young else GRANT_SHARE
        rate = max(LEAST_RATE, rate * share)
        saved = min(MOST_SAVED, known.saved + (now - known.counted_at) * rate)
        is_granted = saved >= 1.0
        left = saved - is_granted
        self._accounts[endpoint] = _Account(left, now, known.began_at)
        return Permit(is_granted, now + max(0.0, 1.0 - left) / rate)

    def keep_only(self, endpoints: Iterable[str]) -> None:
        """Forget endpoints that are gone."""
        kept = set(endpoints)
        self._accounts = {k: v for k, v in self._accounts.items() if k in kept}
