"""One request to one endpoint, over a fresh connection or a kept one.

A request that runs once gets a fresh connection: on a kept one a reset may
come from the endpoint's end of an idle connection or from one that runs the
request, which would leave it in doubt.
"""

import http.client
import select
import socket
from collections.abc import Iterable, Iterator

from mintsaddle.engines import shut_down
from mintsaddle.values import MILLISECONDS

CONNECT_SECONDS = 0.4
"""Seconds for a connection: round trips take 2 ms within a region, and a
dropped opening packet is sent again only after a second, when another
endpoint would have answered."""

KEPT_SILENT_SECONDS = 0.5
"""Seconds for an endpoint's host to acknowledge what is sent on a kept
connection, which may have gone silent while it was idle."""

_BLOCK = 65_536
_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class StreamCutError(ConnectionError):
    """An event stream ended before its end.

    A connection error, so that the server closes the caller's connection
    quietly and without the last chunk: a cut stream never looks complete.
    """


class Event:
    """One whole event of a stream, as its bytes."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    @property
    def data(self) -> bytes:
        """The event with the blank line that ends it."""
        return self._data

    def read_id(self) -> int | None:
        """Return the event's id, if it has a numeric one."""
        for line in self._data.split(b"\n"):
            if line.startswith(_ID_FIELD):
                text = line[len(_ID_FIELD) :].strip()
                return int(text) if text.isdigit() else None
        return None


class Exchange:
    """One connection to an endpoint; may be aborted from another thread."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=CONNECT_SECONDS)
        self._socket: socket.socket | None = None
        self._response: http.client.HTTPResponse | None = None
        self._aborted = False
        self._is_kept = False

    @property
    def aborted(self) -> bool:
        """Whether another thread has ended it."""
        return self._aborted

    @property
    def is_kept(self) -> bool:
        """Whether another request used the connection before."""
        return self._is_kept

    def is_quiet(self) -> bool:
        """Return whether the connection stands and nothing waits to be read.

        An endpoint that has closed it shows as something to read.
        """
        response = self._response
        if self._aborted or self._socket is None or self._connection.sock is None:
            return False
        if response is not None and not response.isclosed():
            return False
        return not select.select([self._socket], [], [], 0)[0]

    def mark_kept(self) -> None:
        """Note that the connection is used for one more request."""
        self._is_kept = True

    def connect(self) -> bool:
        """Open the connection unless it is kept; return whether it stands."""
        if self._is_kept:
            return not self._aborted
        try:
            self._connection.timeout = CONNECT_SECONDS
            self._connection.connect()
        except OSError:
            return False
        # http.client forgets the socket once an answer without a length has
        # begun; without it a stream couldn't be aborted.
        self._socket = self._connection.sock
        return not self._aborted

    def send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        seconds: float,
    ) -> http.client.HTTPResponse:
        """Send the request and return the answer, its head read.

        Once more on a fresh connection if a kept one broke before an answer:
        its endpoint has mostly closed it, and is none the worse for that.

        Args:
            method: The caller's method.
            target: The caller's raw target.
            headers: All headers but the length.
            body: The whole body.
            seconds: How long the connection may stay silent.

        Raises:
            OSError: The connection broke or stayed silent.
            http.client.HTTPException: What came is no answer.
        """
        try:
            self._response = self._send(method, target, headers, body, seconds)
        except (OSError, http.client.HTTPException):
            if not self._is_kept or self._aborted:
                raise
            self._connection.close()
            self._is_kept = False
            if not self.connect():
                raise
            self._response = self._send(method, target, headers, body, seconds)
        return self._response

    def _send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        seconds: float,
    ) -> http.client.HTTPResponse:
        connection = self._connection
        assert self._socket is not None
        self._socket.settimeout(seconds)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Guards against a peer that is cut off: without it, unacknowledged
        # bytes would keep the connection alive for minutes.
        silent_seconds = min(seconds, KEPT_SILENT_SECONDS) if self._is_kept else seconds
        timeout = int(silent_seconds * MILLISECONDS)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max(1, timeout)
        )
        connection.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            connection.putheader(name, value)
        if body or method not in ("GET", "HEAD"):
            connection.putheader("Content-Length", str(len(body)))
        try:
            connection.endheaders(body or None)
        except (BrokenPipeError, ConnectionResetError):
            # An endpoint may refuse a long body before it has read all of it;
            # its answer may stand in the buffer already.
            return connection.getresponse()
        return connection.getresponse()

    def abort(self) -> None:
        """Break the connection, which tells the endpoint to stop."""
        self._aborted = True
        shut_down(self._socket)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
        if self._socket is not None:
            self._socket.close()


def read_body(response: http.client.HTTPResponse) -> bytes:
    """Return a whole body.

    Raises:
        OSError: The connection broke.
        http.client.HTTPException: The body is shorter than it should be.
    """
    body = response.read()
    if response.length:
        raise http.client.IncompleteRead(body, response.length)
    return body


def read_events(response: http.client.HTTPResponse) -> Iterator[Event]:
    """Give each whole event as it arrives.

    Raises:
        OSError: The connection broke.
        http.client.HTTPException: The body ended early.
        StreamCutError: The body ended in the middle of an event.
    """
    rest = b""
    while True:
        block = response.read1(_BLOCK)
        if not block:
            break
        *whole, rest = (rest + block).split(_EVENT_END)
        for data in whole:
            yield Event(data + _EVENT_END)
    if response.length:
        raise http.client.IncompleteRead(rest, response.length)
    if rest.strip():
        raise StreamCutError
