"""HTTP responses that end early without looking complete.

``http.client`` accepts a head or a line of a chunked body that is cut off by
the end of the connection.
"""

import http.client
from typing import Any, BinaryIO


class StrictResponse(http.client.HTTPResponse):
    """A response whose head and chunk sizes have to be complete.

    Set as ``response_class`` of a connection.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._reader = _LineReader(self.fp)
        self.fp: Any = self._reader

    def begin(self) -> None:
        """Read the head.

        Raises:
            OSError: The connection broke.
            http.client.HTTPException: The head is invalid or ended early.
        """
        super().begin()
        self._reader.end_head()


class _LineReader:
    """The file of a response; lines without an end raise an error."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._has_begun = False
        self._is_in_head = True
        self.read = file.read
        self.read1 = file.read1  # type: ignore[attr-defined]
        self.readinto = file.readinto  # type: ignore[attr-defined]
        self.flush = file.flush
        self.close = file.close

    def end_head(self) -> None:
        """Allow the connection to end before a line, as after a last chunk."""
        self._is_in_head = False

    def readline(self, limit: int) -> bytes:
        """Return a line.

        Raises:
            http.client.IncompleteRead: It has no end.
        """
        line = self._file.readline(limit)
        is_cut = bool(line) or (self._is_in_head and self._has_begun)
        if is_cut and not line.endswith(b"\n") and len(line) < limit:
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        return line
