"""Aborts exchanges whose caller has disconnected or whose time has expired.

The thread that serves a caller blocks while it reads the endpoint's answer and
can't check the caller's connection, so one more thread checks all of them.
"""

import threading
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, NoReturn

from mintsaddle.direct._exchange import Exchange
from mintsaddle.process import FailureLog, Supervisor
from mintsaddle.values import Instant

POLL_SECONDS = 0.1
"""Seconds between two checks: a fifth of the half second within which an
endpoint has to be freed."""


_THREAD = "watchdog"


class WatchedExchange(NamedTuple):
    """An exchange and the conditions under which it is aborted."""

    exchange: Exchange
    is_disconnected: Callable[[], bool]
    """Returns whether the caller has disconnected."""

    expires_at: Instant


class Watchdog:
    """Monitors all exchanges in progress."""

    def __init__(self, now: Callable[[], Instant]) -> None:
        self._now = now
        self._watched: set[WatchedExchange] = set()
        self._changed = threading.Condition()

    def start(self, supervisor: Supervisor) -> None:
        """Start the thread."""
        supervisor.start(_THREAD, partial(self._run, supervisor.failures))

    def add(self, watched: WatchedExchange) -> None:
        """Start to monitor an exchange."""
        with self._changed:
            if not self._watched:
                self._changed.notify()
            self._watched.add(watched)

    def remove(self, watched: WatchedExchange) -> None:
        """Stop monitoring an exchange."""
        with self._changed:
            self._watched.discard(watched)

    def _check(self, watched_exchange: WatchedExchange, now: Instant) -> None:
        is_expired = now >= watched_exchange.expires_at
        if is_expired or watched_exchange.is_disconnected():
            self._abort(watched_exchange)

    def _abort(self, watched_exchange: WatchedExchange) -> None:
        """Abort an exchange that is still monitored.

        An exchange that ended in the meantime must not be aborted: its
        connection may already serve another request.
        """
        with self._changed:
            if watched_exchange in self._watched:
                watched_exchange.exchange.abort()

    def _run(self, failures: FailureLog) -> NoReturn:
        pause = threading.Event()
        while True:
            with self._changed:
                while not self._watched:
                    self._changed.wait()
                watched = tuple(self._watched)
            now = self._now()
            for watched_exchange in watched:
                try:
                    self._check(watched_exchange, now)
                except Exception:
                    failures.record(_THREAD)
                    # Its timeouts still end it; it would fail again each time.
                    self.remove(watched_exchange)
            pause.wait(POLL_SECONDS)
