"""Endpoints that have asked this entry to send them nothing for a while.

A refusing endpoint may state for how long it wants no requests from this VM.
It is idle as far as loads show, so it looks better than all that serve, and
its refusals take a few milliseconds: without a wait that nothing else ends,
most requests of the service would go there.

Load pattern: an overloaded endpoint asks all entries at the same moment. If
all returned together, it would be overloaded again, so each entry adds a
random part to its wait. An endpoint that refuses all requests asks again after
each wait. So until it has answered one, it gets only requests that may be sent
elsewhere afterwards.
"""

import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from mintsaddle.decisions.direct._calls import DirectCall
from mintsaddle.decisions.direct._directory import Incarnation
from mintsaddle.decisions.direct._groups import hold_until
from mintsaddle.decisions.direct._urgency import is_late
from mintsaddle.values import Instant

MAX_WAIT_SECONDS = 600.0
"""Longest wait that is kept. An invalid value must not exclude an endpoint
for good."""

JITTER_SHARE = 0.2
"""Largest random part added to a wait, as a share of it."""


class _Wait(NamedTuple):
    until: Instant
    """Until when the endpoint gets nothing."""

    proven_at: Instant
    """When the endpoint counts as any other, even without an answer."""


class RequestedWaits:
    """The waits that endpoints have asked one entry for.

    A wait belongs to the name of a run and doesn't end with its announcement,
    which may be missing for a moment.
    """

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}

    @property
    def is_empty(self) -> bool:
        """Whether all endpoints have answered since they asked to wait."""
        return not self._waits

    def record_refusal(
        self, endpoint: str, seconds: float, now: Instant, rng: random.Random
    ) -> None:
        """Record that an endpoint has asked to wait; the longer wait holds.

        Args:
            endpoint: Name of the endpoint.
            seconds: For how long it wants nothing.
            now: When its answer was received.
            rng: The random number generator for the jitter.
        """
        seconds = min(seconds, MAX_WAIT_SECONDS)
        until = now + seconds * (1.0 + JITTER_SHARE * rng.random())
        known = self._waits.get(endpoint)
        if known is not None:
            until = max(until, known.until)
        self._waits[endpoint] = _Wait(until, proven_at=until + seconds)

    def record_answer(self, endpoint: str, now: Instant) -> None:
        """Record an answer that doesn't ask to wait.

        One that overtakes or follows a refusal doesn't shorten the wait.
        """
        wait = self._waits.get(endpoint)
        if wait is not None and now >= wait.until:
            del self._waits[endpoint]

    def is_waiting(self, endpoint: str, now: Instant) -> bool:
        """Return whether an endpoint wants nothing at present."""
        return now < self.waits_until(endpoint)

    def waits_until(self, endpoint: str) -> Instant:
        """Return until when an endpoint wants nothing; 0 if it never asked."""
        wait = self._waits.get(endpoint)
        return wait.until if wait is not None else 0.0

    def is_proven(self, endpoint: str, now: Instant) -> bool:
        """Return whether an endpoint has answered since it asked to wait."""
        wait = self._waits.get(endpoint)
        return wait is None or now >= wait.proven_at

    def discard_ended(self, known: Collection[str], now: Instant) -> None:
        """Discard ended waits of endpoints that are gone.

        Args:
            known: Names of the endpoints that are announced.
            now: The present instant.
        """
        self._waits = {
            name: wait
            for name, wait in self._waits.items()
            if name in known or now < wait.proven_at
        }


def prefer_proven(
    call: DirectCall,
    candidates: Sequence[Incarnation],
    is_proven: Callable[[str], bool],
) -> list[Incarnation]:
    """Return the endpoints to choose from, proven ones for a last attempt.

    A call on its last attempt would end if an endpoint that has just asked to
    wait refused it as well.

    Args:
        call: The call, including the endpoints that were tried already.
        candidates: Endpoints that accept work.
        is_proven: Returns whether an endpoint has answered since it asked to
            wait.
    """
    if call.sends + 1 < call.route.max_attempts:
        return list(candidates)
    proven = [endpoint for endpoint in candidates if is_proven(endpoint.name)]
    return proven or list(candidates)


def await_until(call: DirectCall, now: Instant) -> Instant:
    """Return up to which end of their waits a call may await endpoints.

    A call that can be on time doesn't wait until it is late: its caller gets a
    Retry-After instead. A late one may wait, since its caller may have come
    back already.

    Args:
        call: The call, while all endpoints of its service have asked to wait.
        now: The present instant.
    """
    return hold_until(call) if is_late(call, now) else call.due_at
