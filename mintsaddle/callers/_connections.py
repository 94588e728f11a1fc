"""Connections of callers, as waitress serves them."""

import contextlib
import itertools
import socket
import time
from typing import Any

from mintsaddle.callers._cuts import CloseReason, CutConnection, make_environ_headers
from mintsaddle.callers._receiving import ReceivingChannel
from mintsaddle.callers._tasks import ClosingTask, RefusalTask
from mintsaddle.engines import is_readable, shut_down
from mintsaddle.values import Instant

MIN_UNSENT_SECONDS = 15.0
"""Shortest time without progress after which an answer that its caller doesn't
read is abandoned."""

LINGER_SECONDS = 5.0
"""Time for which the rest of a refused request is read and dropped. A close
with unread bytes would reset the connection."""

_numbers = itertools.count(1)


class CallerChannel(ReceivingChannel):
    """The connection of one caller."""

    task_class = ClosingTask
    error_task_class = RefusalTask
    _requested: CloseReason | None = None
    _close_reason = CloseReason.CALLER
    _last_active_at: Instant = 0.0
    _must_linger = False
    _linger_until: Instant | None = None
    _is_writing = False
    _closes_when_flushed = False

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._number = next(_numbers)
        if len(self._map) >= self.adj.connection_limit:
            # No further one is accepted until some are closed.
            self.server.next_channel_cleanup = 0.0

    @property
    def number(self) -> int:
        """Number of this connection, unique in its process."""
        return self._number

    @property
    def is_lingering(self) -> bool:
        """Whether it has been refused, and what still comes is dropped."""
        return self._linger_until is not None

    @property
    def close_when_flushed(self) -> bool:
        """Whether to close it once its answers are sent; set by any thread.

        While the loop writes, waitress would close it without lingering.
        """
        return self._closes_when_flushed and not self._is_writing

    @close_when_flushed.setter
    def close_when_flushed(self, value: bool) -> None:
        self._closes_when_flushed = value

    @property
    def last_activity(self) -> Instant:
        """When something was last sent or received, or a request ended."""
        return self._last_active_at

    @last_activity.setter
    def last_activity(self, _: float) -> None:
        # waitress sets the wall clock, which may step.
        self._last_active_at = time.monotonic()

    def is_idle(self) -> bool:
        """Return whether nothing is arriving, being answered or being sent."""
        is_arriving = self.request is not None or self.is_lingering
        return not self.has_answer() and not is_arriving

    def has_answer(self) -> bool:
        """Return whether an answer is due or has not been sent completely."""
        return bool(self.requests or self.total_outbufs_len)

    def is_inactive(self, idle_seconds: float) -> bool:
        """Return whether nothing has moved for too long.

        Args:
            idle_seconds: How long a connection without an answer is kept.
        """
        if self.requests:
            return False
        if self._linger_until is not None:
            return time.monotonic() > self._linger_until
        allowed = idle_seconds
        if self.total_outbufs_len:
            allowed = max(idle_seconds, MIN_UNSENT_SECONDS)
        return time.monotonic() - self._last_active_at > allowed

    def request_close(self, reason: CloseReason) -> None:
        """Close the connection if it is idle when the server's loop sees it.

        Only the loop reads requests, so that none arrives between its check
        and the close. Any thread may call this; wake up the loop afterwards.
        """
        self._requested = reason

    def linger(self) -> None:
        """Drop what still comes after the answer, instead of closing at once.

        Any thread may call this before it ends the answer.
        """
        self._must_linger = True

    def readable(self) -> bool:
        """Return whether the loop reads from the connection in this pass."""
        # Asked for each connection in each pass, most of which are idle.
        if self._linger_until is not None:
            return True
        if self.request is not None and not self._may_read_on():
            return False
        return bool(super().readable())

    def handle_read(self) -> None:
        """Read a block of requests, or of what is dropped."""
        if self.is_lingering:
            self._discard()
        elif not self._is_costly() or self.server.turns.take(self._number):
            super().handle_read()

    def writable(self) -> bool:
        """Return whether the loop has something to send or to close."""
        return self._requested is not None or super().writable()

    def handle_write(self) -> None:
        """Send what waits; then close the connection if it was requested."""
        if not self.connected:
            # It was closed when it was read in the same pass.
            return
        self._is_writing = True
        super().handle_write()
        self._is_writing = False
        if self.close_when_flushed and self.connected and not self.total_outbufs_len:
            self._close_answered()
        reason, self._requested = self._requested, None
        if reason is None or not self.connected or not self._may_close(reason):
            return
        # A request that arrived since the loop looked is answered first.
        if not is_readable(self.socket, 0.0):
            self._close_reason = reason
            self.handle_close()

    def handle_close(self) -> None:
        """Close the connection, and record it if an answer is cut."""
        if self.socket is None:
            return
        is_cut = self.connected and self.has_answer()
        cut = self._describe_cut() if is_cut else None
        super().handle_close()
        if self.request is not None:
            self.request.close()
        if cut is not None:
            self.server.record_cut(cut)

    def drop(self, reason: CloseReason) -> None:
        """Close the connection after an exception; raises none itself."""
        self._close_reason = reason
        with contextlib.suppress(Exception):
            self.handle_close()
        # It closes nothing if the cut can't be described.
        with contextlib.suppress(Exception):
            super().handle_close()

    def abandon(self) -> None:
        """Close an inactive connection, even if its caller reads nothing.

        The loop has to see the end: it would wait for room to send otherwise.
        """
        if self.is_lingering:
            self.will_close = True
            return
        if not self.total_outbufs_len:
            self.request_close(CloseReason.IDLE)
            return
        self._close_reason = CloseReason.IDLE
        shut_down(self.socket)

    def _close_answered(self) -> None:
        """Close the connection after its last answer, or begin to linger."""
        self.close_when_flushed = False
        if not self._must_linger:
            self.handle_close()
            return
        request, self.request = self.request, None
        if request is not None:
            # It is what followed the head of the refused one.
            request.close()
        self._linger_until = time.monotonic() + LINGER_SECONDS
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def _discard(self) -> None:
        with contextlib.suppress(OSError):
            # Closes the connection at its end.
            self.recv(self.adj.recv_bytes)

    def _may_close(self, reason: CloseReason) -> bool:
        """Return whether no caller loses an answer by the close.

        A request that has stopped arriving may be dropped.
        """
        if reason is CloseReason.IDLE:
            return not self.has_answer()
        return self.is_idle()

    def _describe_cut(self) -> CutConnection:
        # The caller's thread may end the last request meanwhile.
        requests = list(self.requests)
        headers = requests[0].headers if requests else {}
        environ = make_environ_headers(headers)
        return CutConnection(
            self._close_reason, len(requests), self.total_outbufs_len, environ
        )
