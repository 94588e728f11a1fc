"""Files from which ``http.client`` reads a response."""

import enum
import http.client
import io
import socket
import time
from collections.abc import Callable
from typing import Any, BinaryIO

from mintsaddle.engines._grammar import (
    GrammarError,
    check_chunk_end,
    check_field,
    read_chunk_size,
    read_status,
)
from mintsaddle.values import Instant

MAX_HEAD_BYTES = 65_536
"""Largest head, with all interim responses before it. Trailers and the lines
between two parts of a chunked body are limited alike."""

_INTERIM_LINE = b"HTTP/1.1 100 Continue\r\n"
_BLANK_LINES = (b"\r\n", b"\n")


class OversizedHeadError(http.client.HTTPException):
    """A head, or the trailers of a body, are too large."""


class TimedFile(io.RawIOBase):
    """Reads a socket until an instant."""

    def __init__(self, sock: socket.socket, raw: Any, ends_at: Instant) -> None:
        self._socket = sock
        self._raw = raw
        self._ends_at = ends_at
        self._read_timeout = sock.gettimeout() or 0.0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        left = self._ends_at - time.monotonic()
        if left <= 0:
            raise TimeoutError("response took too long")
        if left < self._read_timeout:
            self._socket.settimeout(left)
        count: int = self._raw.readinto(buffer)
        return count

    def close(self) -> None:
        self._raw.close()
        super().close()


class _Part(enum.Enum):
    """The part of a response to which the next line belongs."""

    STATUS = enum.auto()
    FIELDS = enum.auto()
    BODY = enum.auto()
    TRAILERS = enum.auto()


_HEAD = (_Part.STATUS, _Part.FIELDS)


class BoundedReader:
    """The file of a response; its lines have an end and are limited."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._line_bytes = 0
        self._part = _Part.STATUS
        self._is_interim = False
        self._chunk_left: int | None = None
        """Bytes of data that the current chunk has left."""

        self.before_line: Callable[[], None] = lambda: None
        self.before_end: Callable[[], None] = lambda: None
        self.flush = file.flush
        self.close = file.close

    def end_head(self) -> None:
        """Allow the connection to end before a line, as after a last chunk."""
        self._part = _Part.BODY
        self._line_bytes = 0

    def readline(self, limit: int) -> bytes:
        """Return a line.

        Raises:
            OversizedHeadError: There are too many bytes of lines in a row.
            GrammarError: It is invalid.
            http.client.IncompleteRead: It has no end.
        """
        self.before_line()
        line = self._file.readline(limit)
        has_begun = self._line_bytes > 0
        self._line_bytes += len(line)
        if self._line_bytes > MAX_HEAD_BYTES:
            raise OversizedHeadError
        is_cut = bool(line) or (self._part in _HEAD and has_begun)
        if is_cut and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return self._check_line(line) if line else line

    def _check_line(self, line: bytes) -> bytes:
        """Return a line as ``http.client`` has to read it."""
        match self._part:
            case _Part.STATUS:
                status = read_status(line)
                if status == http.client.SWITCHING_PROTOCOLS:
                    raise GrammarError(f"status {status} to no request for it")
                self._is_interim = status < http.client.OK
                self._part = _Part.FIELDS
                # http.client takes all interim responses but this for final.
                return _INTERIM_LINE if self._is_interim else line
            case _Part.FIELDS:
                if line not in _BLANK_LINES:
                    check_field(line)
                elif self._is_interim:
                    self._part = _Part.STATUS
            case _Part.BODY:
                self._chunk_left = read_chunk_size(line)
                if not self._chunk_left:
                    self._part = _Part.TRAILERS
            case _Part.TRAILERS:
                if line not in _BLANK_LINES:
                    check_field(line)
        return line

    def _record_data(self, data: bytes | memoryview) -> None:
        """Count data of a chunk, or check the end of a chunk without any."""
        if self._chunk_left == 0:
            check_chunk_end(bytes(data))
        elif self._chunk_left is not None:
            self._chunk_left -= len(data)

    def read(self, size: int = -1) -> bytes:
        """Return bytes of the body."""
        self._line_bytes = 0
        data = self._file.read(size)
        if size < 0 or len(data) < size:
            self.before_end()
        self._record_data(data)
        return data

    def read1(self, size: int = -1) -> bytes:
        """Return bytes of the body that have arrived."""
        self._line_bytes = 0
        data: bytes = self._file.read1(size)  # type: ignore[attr-defined]
        if size and not data:
            self.before_end()
        self._record_data(data)
        return data

    def readinto(self, buffer: memoryview) -> int:
        """Fill a buffer with bytes of the body."""
        self._line_bytes = 0
        count: int = self._file.readinto(buffer)  # type: ignore[attr-defined]
        if count < len(buffer):
            self.before_end()
        self._record_data(buffer[:count])
        return count
