"""Idle connections to endpoints, kept for requests that may be repeated."""

import threading
from collections.abc import Callable, Collection
from typing import NamedTuple

from mintsaddle.decisions.direct import MAX_IDLE_CONNECTIONS, Incarnation
from mintsaddle.direct._exchange import Exchange
from mintsaddle.values import Instant


class _Idle(NamedTuple):
    exchange: Exchange
    until: Instant
    """Until when it may be used again."""


class ConnectionPool:
    """The idle connections of one entry, by run of an endpoint.

    Failure: an endpoint sends bytes that belong to no request, or an answer
    that comes late; the next request on that connection would get them. So a
    connection on which anything waits to be read is not used, and an answer
    counts only if it names its request. What may run once never gets a kept
    connection: a reset can't tell whether its endpoint has run it.
    """

    def __init__(self, now: Callable[[], Instant]) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._idle: dict[str, list[_Idle]] = {}

    def has_idle(self, endpoint: str) -> bool:
        """Return whether a connection to an endpoint is kept."""
        return bool(self._idle.get(endpoint))

    def take(self, endpoint: Incarnation) -> Exchange | None:
        """Return a connection to use, the one used last, or None."""
        while True:
            with self._lock:
                kept = self._idle.get(endpoint.name)
                if not kept:
                    return None
                idle = kept.pop()
            if self._now() < idle.until and idle.exchange.is_quiet():
                idle.exchange.mark_kept()
                return idle.exchange
            idle.exchange.close()

    def give(self, endpoint: Incarnation, exchange: Exchange, seconds: float) -> None:
        """Keep a connection whose last answer is complete.

        Args:
            endpoint: The run of the endpoint at its other end.
            exchange: The connection.
            seconds: For how long it may be used again.
        """
        if seconds <= 0 or not exchange.is_quiet():
            exchange.close()
            return
        with self._lock:
            kept = self._idle.setdefault(endpoint.name, [])
            kept.append(_Idle(exchange, self._now() + seconds))
            surplus = kept[:-MAX_IDLE_CONNECTIONS]
            del kept[:-MAX_IDLE_CONNECTIONS]
        for idle in surplus:
            idle.exchange.close()

    def sweep(self, endpoints: Collection[str]) -> None:
        """Close what is too old, and what leads to endpoints that are gone.

        Args:
            endpoints: Names of the endpoints that are known.
        """
        now = self._now()
        closing: list[_Idle] = []
        with self._lock:
            for name, kept in list(self._idle.items()):
                is_known = name in endpoints
                left = [idle for idle in kept if is_known and now < idle.until]
                closing += [idle for idle in kept if idle not in left]
                if left:
                    self._idle[name] = left
                else:
                    del self._idle[name]
        for idle in closing:
            idle.exchange.close()
