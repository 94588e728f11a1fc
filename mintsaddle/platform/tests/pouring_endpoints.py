"""Endpoints that send bytes without end, as a process of their own.

Usage: python -m mintsaddle.platform.tests.pouring_endpoints NAME

NAME is a kind of answer. Prints the addresses of two endpoints and serves
until its standard input is closed.
"""

import sys
import time
from functools import partial
from typing import Any, NamedTuple

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Responder

BLOCK = b"x" * 65_536


class Pour(NamedTuple):
    """An answer that never ends."""

    head: bytes
    """Follows the headers that name the request."""

    repeated: bytes

    @property
    def ends_head(self) -> bool:
        """Whether its head is complete."""
        return self.head.endswith(b"\r\n\r\n")


EVENTS = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
POURS = {
    "header": Pour(b"X-Long: ", BLOCK),
    "headers": Pour(b"", b"X-More: y\r\n" * 4_000),
    "body": Pour(b"\r\n", BLOCK),
    "chunks": Pour(CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "small-chunks": Pour(CHUNKED, b"1\r\nx\r\n" * 8_000),
    "chunk-size": Pour(CHUNKED, b"0" * 65_536),
    "trailers": Pour(CHUNKED + b"0\r\n", b"X-More: y\r\n" * 4_000),
    "huge-length": Pour(b"Content-Length: %d\r\n\r\n" % 10**15, BLOCK),
    "huge-chunk": Pour(CHUNKED + b"ffffffffffff\r\n", BLOCK),
    "event": Pour(EVENTS + b"\r\n", BLOCK),
    "event-in-chunks": Pour(EVENTS + CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "events": Pour(EVENTS + b"\r\n", b"data: piece\n\n" * 4_000),
}


def pour(endpoint: Endpoint, handler: Any, *, answer: Pour) -> None:
    """Send an answer until the caller closes the connection."""
    standins.begin_head(endpoint, handler)
    handler.flush_headers()
    handler.wfile.write(answer.head)
    handler.close_connection = True
    until = time.monotonic() + standins.WAIT_SECONDS
    while time.monotonic() < until:
        handler.wfile.write(answer.repeated)


def pour_interim(endpoint: Endpoint, handler: Any) -> None:
    """Send interim responses until the caller closes the connection."""
    handler.close_connection = True
    until = time.monotonic() + standins.WAIT_SECONDS
    while time.monotonic() < until:
        handler.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000)


RESPONDERS: dict[str, Responder] = {
    "interim": pour_interim,
    **{name: partial(pour, answer=answer) for name, answer in POURS.items()},
}


def main(name: str) -> None:
    """Serve until the standard input is closed."""
    endpoints = [Endpoint("e-1"), Endpoint("e-2")]
    for endpoint in endpoints:
        endpoint.responders = [RESPONDERS[name]] * 100_000
    print(*(endpoint.address for endpoint in endpoints), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main(sys.argv[1])
