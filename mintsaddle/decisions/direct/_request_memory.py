"""Memory for requests that are arriving, waiting or being served.

Clients may send many large bodies at once, and may stop just before the end.
What all of them hold together is therefore limited, not only each body.

Load pattern: most requests take a few kilobytes and arrive in one piece. A
crowd sends bodies of the largest size faster than they are served, or keeps
them from ending. When memory is short, a request that is still arriving is
refused, the one first that has held most bytes for longest: large bodies that
have stopped lose it, while new and small ones go on. Whole requests stay, as
they have been accepted; while they hold everything, new large ones are
refused. Small requests don't count, so they are always accepted.
"""

from typing import NamedTuple

from mintsaddle.values import Instant

FREE_REQUEST_BYTES = 16_384
"""Bytes of each request that count as memory of its caller."""

MIN_SECONDS = 0.05
"""Time for which a request counts as held at least, so that of those that have
just begun the largest is refused."""


class _Arrival(NamedTuple):
    """A request that is still arriving."""

    begun_at: Instant
    size: int


class RequestMemory:
    """Bytes that each request of one entry holds. Not thread-safe."""

    def __init__(self, limit: int) -> None:
        """Set up the memory.

        Args:
            limit: Bytes for all requests together.
        """
        self._limit = limit
        self._arriving: dict[int, _Arrival] = {}
        self._whole: dict[int, int] = {}
        self._refused: set[int] = set()
        self._used = 0

    @property
    def used(self) -> int:
        """Bytes of all requests that haven't been refused."""
        return self._used

    @property
    def limit(self) -> int:
        """Bytes for all requests together."""
        return self._limit

    def set_limit(self, limit: int) -> None:
        """Set the bytes for all requests together, from the next one on."""
        self._limit = limit

    def hold(self, request: int, size: int, now: Instant) -> tuple[int, ...]:
        """Record the bytes that a request holds while it arrives.

        Args:
            request: Number of the request.
            size: All bytes of it so far.
            now: The present instant.

        Returns:
            The requests to refuse, which may include this one.
        """
        if request in self._refused:
            return (request,)
        begun_at, before = self._arriving.get(request, _Arrival(now, 0))
        self._arriving[request] = _Arrival(begun_at, size)
        self._used += size - before
        refused: list[int] = []
        while self._used > self._limit and self._arriving:
            refused.append(self._refuse(self._find_costliest(now)))
        return tuple(refused)

    def complete(self, request: int) -> bool:
        """Record that a request has arrived.

        Returns:
            False if it was refused before.
        """
        arrival = self._arriving.pop(request, None)
        if arrival is not None:
            self._whole[request] = arrival.size
        return request not in self._refused

    def release(self, request: int) -> None:
        """Forget a request, which holds nothing any longer."""
        arrival = self._arriving.pop(request, None)
        if arrival is not None:
            self._used -= arrival.size
        self._used -= self._whole.pop(request, 0)
        self._refused.discard(request)

    def _find_costliest(self, now: Instant) -> int:
        def cost(request: int) -> tuple[float, int]:
            begun_at, size = self._arriving[request]
            return size * max(MIN_SECONDS, now - begun_at), request

        return max(self._arriving, key=cost)

    def _refuse(self, request: int) -> int:
        self._used -= self._arriving.pop(request).size
        self._refused.add(request)
        return request
