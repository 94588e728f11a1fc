"""Ends exchanges whose caller has left or whose time is over.

The thread that serves a caller waits in a read of the endpoint's answer and
can't look at the caller meanwhile; one more thread looks for all of them.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

from mintsaddle.direct._exchange import Exchange
from mintsaddle.values import Instant

POLL_SECONDS = 0.1
"""Seconds between two polls: a fifth of the half second within which an
endpoint has to be freed."""


class Watched(NamedTuple):
    """One exchange and when it has to end."""

    exchange: Exchange
    is_gone: Callable[[], bool]
    """Whether the caller has hung up."""

    end_at: Instant


class Watchdog:
    """Looks at all exchanges that are under way."""

    def __init__(self, now: Callable[[], Instant]) -> None:
        self._now = now
        self._watched: set[Watched] = set()
        self._changed = threading.Condition()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    def add(self, watched: Watched) -> None:
        """Look at one more exchange."""
        with self._changed:
            if not self._watched:
                self._changed.notify()
            self._watched.add(watched)

    def remove(self, watched: Watched) -> None:
        """Forget an exchange that is over."""
        with self._changed:
            self._watched.discard(watched)

    def _abort(self, one: Watched) -> None:
        """Break an exchange that is still looked at.

        Guards against breaking the next request on the same connection: what
        was to end here may have ended since, and its connection be in use.
        """
        with self._changed:
            if one in self._watched:
                one.exchange.abort()

    def _run(self) -> None:
        pause = threading.Event()
        while True:
            with self._changed:
                while not self._watched:
                    self._changed.wait()
                watched = tuple(self._watched)
            now = self._now()
            for one in watched:
                if now >= one.end_at or one.is_gone():
                    self._abort(one)
            pause.wait(POLL_SECONDS)
