"""Calls to a fake engine that can truncate or withhold its response."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import pytest

from mintsaddle.engines import EngineCall, EngineCallResult, EngineHead, EngineRequest
from mintsaddle.engines._calls import MAX_BODY_BYTES, MAX_EVENT_BYTES

REQUEST = EngineRequest("POST", "/draft", {}, b"{}", 5.0)
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Boot: 7\r\n"
STREAM += b"Connection: close\r\n\r\n"


@contextmanager
def engine(response: bytes, *, keeps_open: bool = False) -> Iterator[str]:
    """Serve one connection with a fixed response.

    Args:
        response: The raw bytes of the response.
        keeps_open: Whether to keep the connection open afterwards.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    closing = threading.Event()

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            _read_request(connection)
            with suppress(OSError):
                connection.sendall(response)
            if keeps_open:
                closing.wait(5.0)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        closing.set()
        thread.join()
        listener.close()


def _read_request(connection: socket.socket) -> None:
    """Read a complete request.

    Closing a socket with unread bytes sends a reset, which the client doesn't
    treat as a clean end.
    """
    data = connection.recv(65_536)
    end = b"{}" if data.startswith(b"POST") else b"\r\n\r\n"
    more = data
    while more and not data.endswith(end):
        more = connection.recv(65_536)
        data += more


def run(address: str) -> tuple[EngineCallResult, list[EngineHead], list[bytes]]:
    heads: list[EngineHead] = []
    chunks: list[bytes] = []
    result = EngineCall(address, REQUEST).run(heads.append, chunks.append)
    return result, heads, chunks


class TestEngineCall:
    @pytest.mark.parametrize(
        ("body", "chunks", "is_complete"),
        [
            (b"data: a\n\ndata: b\n\nevent: end\ndata: {}\n\n", 2, True),
            (b"data: a\n\ndata: [DONE]\n\n", 1, True),
            (b"data: a\n\ndata: b\n\n", 2, False),
            (b"data: a\n\ndata: b", 1, False),
            (b"", 0, False),
        ],
    )
    def test_stream_is_complete_only_with_its_end_event(
        self, body: bytes, chunks: int, is_complete: bool
    ) -> None:
        with engine(STREAM + body) as address:
            result, heads, got = run(address)
        assert (result, len(got)) == (
            EngineCallResult(True, is_complete, chunks),
            chunks,
        )
        assert [head.boot for head in heads] == [7]

    @pytest.mark.parametrize(
        ("response", "is_complete"),
        [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", False),
            (b"rubbish\r\n\r\n", False),
            (b"", False),
        ],
    )
    def test_body_is_complete_only_at_its_full_length(
        self, response: bytes, is_complete: bool
    ) -> None:
        with engine(response) as address:
            result, _, _ = run(address)
        assert (result.reached, result.is_complete) == (True, is_complete)

    @pytest.mark.parametrize("boot", [b"9" * 5_000, b"\xb2", b"-1", b""])
    def test_an_odd_boot_is_none(self, boot: bytes) -> None:
        """Guards against a call that ends with an exception."""
        head = b"HTTP/1.1 200 OK\r\nEngine-Boot: " + boot + b"\r\n"
        with engine(head + b"Content-Length: 3\r\n\r\nabc") as address:
            result, heads, _ = run(address)
        assert result.is_complete
        assert [one.boot for one in heads] == [None]

    def test_refused_connection_reached_nothing(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        result, _, _ = run(address)
        assert result == EngineCallResult(
            reached=False, is_complete=False, chunk_count=0
        )

    def test_cancel_ends_an_idle_stream(self) -> None:
        """Guards against work that goes on after its caller disconnected.

        The daemon's thread would also wait for the engine.
        """
        with engine(STREAM + b"data: a\n\n", keeps_open=True) as address:
            call = EngineCall(address, REQUEST)
            result = call.run(lambda head: None, lambda chunk: call.cancel())
        assert result == EngineCallResult(
            reached=True, is_complete=False, chunk_count=1
        )

    def test_cancel_does_not_complete_a_body_without_a_length(self) -> None:
        """Guards against a part of an answer recorded as whole."""
        response = b"HTTP/1.1 200 OK\r\n\r\n" + b"part" * 32_768
        with engine(response, keeps_open=True) as address:
            call = EngineCall(address, REQUEST)
            result = call.run(lambda head: None, lambda chunk: call.cancel())
        assert result.chunk_count > 0
        assert not result.is_complete

    @pytest.mark.parametrize(
        "response",
        [
            b"HTTP/1.1 200 OK\r\nEngine-Boot: 7\r\n",
            b"HTTP/1.1 200 OK\r\nEngine-Boot: 7",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0",
        ],
        ids=["before-blank-line", "in-header", "in-chunk-size"],
    )
    def test_line_that_was_cut_is_no_complete_response(self, response: bytes) -> None:
        """Guards against a cut head or chunk size seen as a whole answer."""
        with engine(response) as address:
            result, _, _ = run(address)
        assert (result.reached, result.is_complete) == (True, False)

    @pytest.mark.parametrize(
        "response",
        [
            b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_BODY_BYTES + 1),
            b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 70_000 + b"\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n" + b"X-More: y\r\n" * 200 + b"\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" * 4_000,
            STREAM + b"x" * (MAX_EVENT_BYTES + 65_537) + b"\n\nevent: end\n\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5, 3\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nabc",
        ],
        ids=[
            "body",
            "header",
            "headers",
            "interim",
            "event",
            "two-lengths-in-one",
            "two-lengths",
            "negative-length",
            "other-coding",
            "negative-chunk",
        ],
    )
    def test_response_without_a_certain_end_is_not_complete(
        self, response: bytes
    ) -> None:
        """Guards against memory, and parts seen as whole, of odd answers."""
        with engine(response) as address:
            result, _, chunks = run(address)
        assert (result.reached, result.is_complete) == (True, False)
        assert sum(map(len, chunks)) <= MAX_BODY_BYTES

    def test_cancelled_before_the_first_byte_reached_nothing(self) -> None:
        with engine(b"") as address:
            call = EngineCall(address, REQUEST)
            call.cancel()
            result = call.run(lambda head: None, lambda chunk: None)
        assert not result.reached
