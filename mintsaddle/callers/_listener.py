"""The listener for callers."""

import errno
import socket
from collections.abc import Callable
from typing import Any, Final

from waitress.server import TcpWSGIServer

from mintsaddle.callers._connections import CallerChannel

_EXHAUSTED: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class CallerListener(TcpWSGIServer):  # type: ignore[misc]
    """Accepts connections; one that can't be served costs only itself."""

    channel_class = CallerChannel
    record_failure: Callable[[], None] = staticmethod(lambda: None)

    def handle_accept(self) -> None:
        """Accept one connection.

        Raises:
            OSError: No further connection can be accepted for now.
        """
        try:
            accepted = self.accept()
        except OSError as error:
            if error.errno in _EXHAUSTED:
                raise
            # The kernel reports errors of the new connection here.
            return
        if accepted is None:
            return
        connection, address = accepted
        try:
            self._adopt(connection, address)
        except Exception as error:
            if not isinstance(error, OSError):
                self.record_failure()
            self._discard(connection)

    def _adopt(self, connection: socket.socket, address: Any) -> None:
        self.set_socket_options(connection)
        self.channel_class(
            self, connection, self.fix_addr(address), self.adj, map=self._map
        )

    def _discard(self, connection: socket.socket) -> None:
        self._map.pop(connection.fileno(), None)
        self.active_channels.pop(connection.fileno(), None)
        connection.close()
