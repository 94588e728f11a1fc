"""Which connections are closed while the server runs."""

import time
from collections.abc import Callable, Iterable
from typing import Any

from mintsaddle.callers._connections import CallerChannel
from mintsaddle.callers._cuts import CloseReason
from mintsaddle.callers._refusals import RequestFault
from mintsaddle.decisions.direct import Unfinished, find_excess
from mintsaddle.values import Instant

KEPT_CONNECTIONS_SHARE = 0.5
"""Share of the connections above which answers tell callers to close theirs.
Idle ones would use up the limit if most callers came to this entry."""

MAX_CONNECTIONS_SHARE = 0.8
"""Share of the connections above which idle ones are closed."""

MAX_LOOK_SECONDS = 3.0
"""Seconds between two looks for late requests above which the process was
stopped; a look is due each second."""


class ConnectionUpkeep:
    """Closes connections that are late, idle or too many.

    Its methods are called in the server's loop, if not stated otherwise.
    """

    def __init__(
        self, server: Any, max_connections: int, record_failure: Callable[[], None]
    ) -> None:
        """Set up the upkeep.

        Args:
            server: The server, as waitress runs it.
            max_connections: How many connections are open at the same time.
            record_failure: Records the exception that is being handled.
        """
        self._server = server
        self._record_failure = record_failure
        self._max_connections = max_connections
        self._max_unfinished = max_connections
        self._looked_at: Instant = time.monotonic()

    @property
    def max_unfinished(self) -> int:
        """How many connections requests may hold that haven't arrived."""
        return self._max_unfinished

    def set_unfinished_share(self, share: float) -> None:
        """Set the share of connections for requests that haven't arrived."""
        self._max_unfinished = max(1, int(self._max_connections * share))

    def channels(self) -> tuple[CallerChannel, ...]:
        """Return all connections; any thread may call this."""
        # The loop changes the original meanwhile.
        return tuple(self._server.active_channels.copy().values())

    def close_all(self, channels: Iterable[CallerChannel], reason: CloseReason) -> None:
        """Close connections that are idle; any thread may call this."""
        for channel in channels:
            channel.request_close(reason)
        self._server.pull_trigger()

    def close_expired(self) -> None:
        """Close connections that have been inactive for too long.

        A request that is late is refused, whether or not some of it arrives.
        """
        idle_seconds = self._server.adj.channel_timeout
        has_read = self._has_read()
        for channel in self.channels():
            try:
                _end_if_expired(channel, idle_seconds, has_read=has_read)
            except Exception:
                self._record_failure()
                channel.drop(CloseReason.FAILURE)

    def refuse_excess(self) -> None:
        """Refuse the requests that arrive for longest if many do."""
        by_number = {channel.number: channel for channel in self.channels()}
        unfinished = [
            Unfinished(channel.request.begun_at, number)
            for number, channel in by_number.items()
            if channel.request is not None
        ]
        for number in find_excess(unfinished, self._max_unfinished):
            by_number[number].refuse_arriving(RequestFault.CROWDED)

    def close_excess(self) -> None:
        """Close the connections that were idle for longest if many are open.

        Otherwise no further one would be accepted until some of them have
        reached the idle limit, and callers wait unread.
        """
        allowed = int(self._max_connections * MAX_CONNECTIONS_SHARE)
        excess = len(self._server.active_channels) - allowed
        if excess > 0:
            lingering = [one for one in self.channels() if one.is_lingering]
            lingering.sort(key=lambda one: one.number)
            for channel in lingering[:excess]:
                channel.abandon()
            excess -= len(lingering)
        if excess > 0:
            idle = [channel for channel in self.channels() if channel.is_idle()]
            idle.sort(key=lambda one: one.last_activity)
            self.close_all(idle[:excess], CloseReason.CROWDED)

    def _has_read(self) -> bool:
        """Return whether the loop has run, and read what has arrived.

        A process that was stopped finds its requests late, and their bytes
        unread.
        """
        now = time.monotonic()
        stopped_seconds = now - self._looked_at
        self._looked_at = now
        return stopped_seconds < MAX_LOOK_SECONDS

    def is_crowded(self) -> bool:
        """Return whether callers should close their connections."""
        kept = self._max_connections * KEPT_CONNECTIONS_SHARE
        return len(self._server.active_channels) > kept


def _end_if_expired(
    channel: CallerChannel, idle_seconds: float, *, has_read: bool
) -> None:
    request = channel.request
    if request is not None and request.is_late and has_read:
        has_head = request.headers_finished
        fault = RequestFault.SLOW_BODY if has_head else RequestFault.SLOW_HEAD
        channel.refuse_arriving(fault)
    elif channel.is_inactive(idle_seconds):
        channel.abandon()
