"""Pool of idle connections, for requests that may be repeated."""

import threading
from collections.abc import Callable, Collection
from typing import NamedTuple

from mintsaddle.decisions.direct import MAX_IDLE_CONNECTIONS, Incarnation
from mintsaddle.direct._exchange import Exchange
from mintsaddle.values import Instant


class _IdleConnection(NamedTuple):
    exchange: Exchange
    until: Instant
    """Until when it may be reused."""


class ConnectionPool:
    """The idle connections of one entry, by incarnation of an endpoint.

    An endpoint may send stray bytes or a late answer, which the next request
    on that connection would receive as its own. So a connection with unread
    data isn't reused, and an answer counts only if it names its request. A
    request that may run only once never gets a reused connection: a reset
    doesn't tell whether the endpoint has run it.
    """

    def __init__(self, now: Callable[[], Instant]) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._idle: dict[str, list[_IdleConnection]] = {}

    def has_idle(self, endpoint: str) -> bool:
        """Return whether an idle connection to an endpoint is pooled."""
        return bool(self._idle.get(endpoint))

    def acquire(self, endpoint: Incarnation) -> Exchange | None:
        """Return the connection used most recently; None if there is none."""
        while True:
            with self._lock:
                connections = self._idle.get(endpoint.name)
                if not connections:
                    return None
                idle = connections.pop()
            if self._now() < idle.until and idle.exchange.is_reusable():
                idle.exchange.mark_reused()
                return idle.exchange
            idle.exchange.close()

    def release(
        self, endpoint: Incarnation, exchange: Exchange, seconds: float
    ) -> None:
        """Pool a connection whose last answer is complete.

        Args:
            endpoint: The endpoint that it is connected to.
            exchange: The connection.
            seconds: For how long it may be reused.
        """
        if seconds <= 0 or not exchange.is_reusable():
            exchange.close()
            return
        with self._lock:
            connections = self._idle.setdefault(endpoint.name, [])
            connections.append(_IdleConnection(exchange, self._now() + seconds))
            surplus = connections[:-MAX_IDLE_CONNECTIONS]
            del connections[:-MAX_IDLE_CONNECTIONS]
        for idle in surplus:
            idle.exchange.close()

    def sweep(self, endpoints: Collection[str]) -> None:
        """Close connections that are too old or lead to removed endpoints.

        Args:
            endpoints: Names of the endpoints that are known.
        """
        now = self._now()
        closing: list[_IdleConnection] = []
        with self._lock:
            for name, connections in list(self._idle.items()):
                is_known = name in endpoints
                remaining = [
                    idle for idle in connections if is_known and now < idle.until
                ]
                closing += [idle for idle in connections if idle not in remaining]
                if remaining:
                    self._idle[name] = remaining
                else:
                    del self._idle[name]
        for idle in closing:
            idle.exchange.close()
