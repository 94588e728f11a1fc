"""HTTP responses that end early or never end.

``http.client`` accepts a head or a line of a chunked body that is cut off by
the end of the connection, any number of interim responses and of trailers, and
takes a length that it can't read for none.
"""

import functools
import http.client
import io
import socket
import time
from collections.abc import Callable
from typing import Any, BinaryIO

from mintsaddle.engines._response_files import BoundedReader, TimedFile
from mintsaddle.engines._sockets import check_sound_end
from mintsaddle.values import Instant, read_digits

TIMEOUTS_PER_RESPONSE = 4
"""A slow link delivers a large response in several parts."""

_CHUNKED = "chunked"


class FramingError(http.client.HTTPException):
    """A head doesn't determine where the body ends."""


class StrictResponse(http.client.HTTPResponse):
    """A response with a bounded and complete head, and a body with one end.

    Set as ``response_class`` of a connection.
    """

    def __init__(
        self, sock: socket.socket, *, ends_at: Instant | None = None, **kwargs: Any
    ) -> None:
        """Set up the response.

        Args:
            sock: The connection's socket.
            ends_at: When reading fails, by the monotonic clock; None if only
                the socket's timeout holds, for each read.
            kwargs: As for the base class.
        """
        super().__init__(sock, **kwargs)
        file: BinaryIO = self.fp
        if ends_at is not None:
            file.close()
            raw = sock.makefile("rb", buffering=0)
            file = io.BufferedReader(TimedFile(sock, raw, ends_at))
        self._reader = BoundedReader(file)
        self._check_end = functools.partial(check_sound_end, sock)
        self.fp: Any = self._reader

    @property
    def has_marked_end(self) -> bool:
        """Whether the end of the body doesn't depend on the connection."""
        return self.chunked or self.length is not None

    def on_chunk(self, callback: Callable[[], None]) -> None:
        """Call a function before each line between parts of the body."""
        self._reader.before_line = callback

    def begin(self) -> None:
        """Read the head.

        Raises:
            OSError: The connection broke.
            http.client.HTTPException: The head is invalid, too large or ended
                early.
        """
        super().begin()
        self._reader.end_head()
        values = self.headers.get_all("Content-Length", ())
        lengths = {value.strip() for value in values}
        codings = self.headers.get_all("Transfer-Encoding", ())
        if any(coding.strip().lower() != _CHUNKED for coding in codings):
            raise FramingError(f"transfer coding {codings!r}")
        # http.client takes a length that it can't read for none.
        is_length = all(read_digits(text) is not None for text in lengths)
        if len(lengths) > 1 or len(codings) > 1 or not is_length:
            raise FramingError(f"length {sorted(lengths)!r:.99}")
        if not self.has_marked_end:
            self._reader.before_end = self._check_end


class BoundedConnection(http.client.HTTPConnection):
    """A connection whose timeout also bounds the time of a whole response.

    A server that sends a byte now and then never reaches the timeout of a
    single read.
    """

    def __init__(self, address: str, timeout: float) -> None:
        """Set up the connection.

        Args:
            address: IP and port.
            timeout: Seconds for each read; a whole response has
                ``TIMEOUTS_PER_RESPONSE`` times as long.
        """
        super().__init__(address, timeout=timeout)
        self.response_class = self._make_response  # type: ignore[assignment]

    def _make_response(self, sock: socket.socket, **kwargs: Any) -> StrictResponse:
        seconds = sock.gettimeout() or 0.0
        ends_at = time.monotonic() + seconds * TIMEOUTS_PER_RESPONSE
        return StrictResponse(sock, ends_at=ends_at, **kwargs)
