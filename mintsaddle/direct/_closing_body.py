"""A response body that reports when the server closes it."""

from collections.abc import Iterable, Iterator
from typing import Any


class ClosingBody:
    """An answer's body that calls a function when the server closes it."""

    def __init__(self, body: Iterable[bytes], on_close: Any) -> None:
        self._body = body
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the wrapped body; called by the server."""
        try:
            close = getattr(self._body, "close", None)
            if close is not None:
                close()
        finally:
            self._on_close()
