"""The loop that reads and writes all connections of a server.

It does what the loop of waitress does, which ends with an exception of one
connection, or closes the listener or the wake-up pipe after one of theirs.
"""

import select
import time
from collections.abc import MutableMapping
from typing import Any

from mintsaddle.callers._connections import CallerChannel
from mintsaddle.callers._cuts import CloseReason
from mintsaddle.process import FailureLog
from mintsaddle.values import MILLISECONDS, Instant

MAX_WAIT_SECONDS = 1.0
"""Longest wait of a pass in which nothing happens."""

PAUSE_SECONDS = 0.1
"""Pause after a failure of the listener or the wake-up pipe, which would fail
again at once if its cause remains. Callers wait a second to be accepted."""

_READ = select.POLLIN | select.POLLPRI
_CLOSED = select.POLLHUP | select.POLLERR | select.POLLNVAL


class ServingLoop:
    """Serves the connections in a map that waitress keeps, pass by pass."""

    def __init__(
        self, dispatchers: MutableMapping[int, Any], failures: FailureLog, name: str
    ) -> None:
        """Set up the loop.

        Args:
            dispatchers: Listener, wake-up pipe and connections by descriptor.
            failures: Records what they raise.
            name: Name of the loop in that record.
        """
        self._dispatchers = dispatchers
        self._failures = failures
        self._name = name
        self._paused: dict[int, Instant] = {}
        """Until when the listener or the wake-up pipe is left alone."""

        self._passed_at: Instant = float("-inf")
        self._sound_at: Instant = float("-inf")

    @property
    def passed_at(self) -> Instant:
        """When the last pass ended, on the monotonic clock."""
        return self._passed_at

    @property
    def sound_at(self) -> Instant:
        """When a pass last ended with new connections being accepted."""
        return self._sound_at

    def run_pass(self) -> None:
        """Wait for events and handle them.

        An exception costs the connection that it comes from, and no other.
        """
        now = time.monotonic()
        self._paused = {fd: end for fd, end in self._paused.items() if end > now}
        poll = select.poll()
        for descriptor, dispatcher in list(self._dispatchers.items()):
            if descriptor in self._paused:
                continue
            try:
                events = _interest(dispatcher)
                if events:
                    poll.register(descriptor, events)
            except Exception as error:
                self._handle_failure(descriptor, dispatcher, error)
        wait = MAX_WAIT_SECONDS
        if self._paused:
            wait = min(wait, max(0.0, min(self._paused.values()) - now))
        for descriptor, events in poll.poll(wait * MILLISECONDS):
            dispatcher = self._dispatchers.get(descriptor)
            if dispatcher is None:
                continue
            try:
                _handle_events(dispatcher, events)
            except Exception as error:
                self._handle_failure(descriptor, dispatcher, error)
        self._passed_at = time.monotonic()
        if not self._paused:
            self._sound_at = self._passed_at

    def _handle_failure(
        self, descriptor: int, dispatcher: Any, error: Exception
    ) -> None:
        has_left = isinstance(error, ConnectionError)
        if not has_left:
            self._failures.record(self._name)
        if isinstance(dispatcher, CallerChannel):
            dispatcher.drop(CloseReason.CALLER if has_left else CloseReason.FAILURE)
            if self._dispatchers.get(descriptor) is dispatcher:
                del self._dispatchers[descriptor]
        else:
            self._paused[descriptor] = time.monotonic() + PAUSE_SECONDS


def _interest(dispatcher: Any) -> int:
    events = 0
    if dispatcher.readable():
        events |= _READ
    if dispatcher.writable() and not dispatcher.accepting:
        events |= select.POLLOUT
    return events


def _handle_events(dispatcher: Any, events: int) -> None:
    if events & select.POLLIN:
        dispatcher.handle_read_event()
    if events & select.POLLOUT:
        dispatcher.handle_write_event()
    if events & select.POLLPRI:
        dispatcher.handle_expt_event()
    if events & _CLOSED:
        if not isinstance(dispatcher, CallerChannel):
            raise OSError("the listener or the wake-up pipe is closed")
        dispatcher.handle_close()
