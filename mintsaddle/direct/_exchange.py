"""One request to one endpoint, over a new or a reused connection.

A request that may run only once needs a new connection. A reset on a reused
one is ambiguous: the endpoint may have closed it as idle, or may have begun to
run the request.
"""

import contextlib
import http.client
import socket
from collections.abc import Iterable, Sequence

from mintsaddle.engines import StrictResponse, is_readable, shut_down
from mintsaddle.values import MILLISECONDS

CONNECT_TIMEOUT_SECONDS = 0.4
"""Timeout in seconds for opening a connection. Round trips within a region
take 2 ms. A lost SYN is sent again only after 1 s, by when another endpoint
would have answered."""

REUSED_ACK_TIMEOUT_SECONDS = 0.5
"""Seconds within which an endpoint's host has to acknowledge data on a reused
connection, whose peer may have become unreachable while it was idle."""

RECEIVE_BUFFER_BYTES = 262_144
"""Bytes of an answer that may arrive before they are read."""


class Exchange:
    """One connection to an endpoint; may be aborted from another thread."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(
            address, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self._connection.response_class = StrictResponse
        self._socket: socket.socket | None = None
        self._response: StrictResponse | None = None
        self._aborted = False
        self._is_reused = False

    @property
    def aborted(self) -> bool:
        """Whether another thread has aborted it."""
        return self._aborted

    @property
    def is_reused(self) -> bool:
        """Whether the connection has served an earlier request."""
        return self._is_reused

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread data.

        A connection that the endpoint has closed counts as readable.
        """
        response = self._response
        if self._aborted or self._socket is None or self._connection.sock is None:
            return False
        if response is not None and not response.isclosed():
            return False
        return not is_readable(self._socket, 0.0)

    def mark_reused(self) -> None:
        """Mark the connection as used for a further request."""
        self._is_reused = True

    def connect(self) -> bool:
        """Connect unless it is reused; return whether it is open."""
        if self._is_reused:
            return not self._aborted
        try:
            self._connection.timeout = CONNECT_TIMEOUT_SECONDS
            self._connection.connect()
        except OSError:
            return False
        # http.client drops its socket once an answer without a length has
        # begun, but aborting a stream needs it.
        self._socket = self._connection.sock
        # Bytes that have arrived and aren't read take memory, too.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        return not self._aborted

    def send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: Sequence[bytes | bytearray | memoryview],
        seconds: float,
    ) -> StrictResponse:
        """Send the request and return the answer, whose head has been read.

        Args:
            method: The caller's method.
            target: The caller's raw target.
            headers: All headers except Content-Length.
            body: The complete body, in parts.
            seconds: Timeout for reads and for unacknowledged data.

        Raises:
            OSError: The connection broke or timed out.
            http.client.HTTPException: The answer is invalid.
        """
        connection = self._connection
        assert self._socket is not None
        self._socket.settimeout(seconds)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Without a timeout for unacknowledged data, the connection to a peer
        # that is cut off would stay open for minutes.
        ack_seconds = (
            min(seconds, REUSED_ACK_TIMEOUT_SECONDS) if self._is_reused else seconds
        )
        timeout = int(ack_seconds * MILLISECONDS)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, timeout)
        )
        connection.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            connection.putheader(name, value)
        if body or method not in ("GET", "HEAD"):
            connection.putheader("Content-Length", str(sum(map(len, body))))
        is_cut = False
        try:
            connection.endheaders(body or None)
        except (BrokenPipeError, ConnectionResetError):
            # An endpoint may refuse a long body before it has read all of it;
            # its answer may be in the receive buffer already.
            is_cut = True
        response = connection.getresponse()
        assert isinstance(response, StrictResponse)
        if is_cut and not response.has_marked_end:
            # The error has been reported, so the connection seems to end well.
            raise ConnectionResetError
        self._response = response
        return response

    def abort(self) -> None:
        """Shut the connection down, which tells the endpoint to stop."""
        self._aborted = True
        shut_down(self._socket)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
        if self._socket is not None:
            self._socket.close()
