"""Which connections are closed while the server runs."""

from collections.abc import Iterable
from typing import Any

from mintsaddle.callers._connections import CallerChannel
from mintsaddle.callers._cuts import CloseReason

KEPT_CONNECTIONS_SHARE = 0.5
"""Share of the connections above which answers tell callers to close theirs.
Idle ones would use up the limit if most callers came to this entry."""

MAX_CONNECTIONS_SHARE = 0.8
"""Share of the connections above which idle ones are closed."""


class ConnectionUpkeep:
    """Closes connections that are late, idle or too many.

    Its methods are called in the server's loop, if not stated otherwise.
    """

    def __init__(self, server: Any, max_connections: int) -> None:
        """Set up the upkeep.

        Args:
            server: The server, as waitress runs it.
            max_connections: How many connections are open at the same time.
        """
        self._server = server
        self._max_connections = max_connections

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
        """Close connections that have been inactive for too long."""
        idle_seconds = self._server.adj.channel_timeout
        for channel in self.channels():
            if channel.is_inactive(idle_seconds):
                channel.abandon()

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

    def is_crowded(self) -> bool:
        """Return whether callers should close their connections."""
        kept = self._max_connections * KEPT_CONNECTIONS_SHARE
        return len(self._server.active_channels) > kept
