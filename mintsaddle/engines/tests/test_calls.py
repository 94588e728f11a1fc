"""Calls to an engine, against a small server that misbehaves as told."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from mintsaddle.engines import EngineCall, EngineEnd, EngineHead, EngineRequest

REQUEST = EngineRequest("POST", "/draft", {}, b"{}", 5.0)
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Boot: 7\r\n"
STREAM += b"Connection: close\r\n\r\n"


@contextmanager
def engine(answer: bytes, *, stays: bool = False) -> Iterator[str]:
    """Serve one connection with a fixed answer."""
    listener = socket.create_server(("127.0.0.1", 0))
    over = threading.Event()

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            _read_request(connection)
            connection.sendall(answer)
            if stays:
                over.wait(5.0)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        over.set()
        thread.join()
        listener.close()


def _read_request(connection: socket.socket) -> None:
    """Read all of a request.

    A close with unread bytes is a reset, which is told from a clean end.
    """
    data = connection.recv(65_536)
    end = b"{}" if data.startswith(b"POST") else b"\r\n\r\n"
    more = data
    while more and not data.endswith(end):
        more = connection.recv(65_536)
        data += more


def run(address: str) -> tuple[EngineEnd, list[EngineHead], list[bytes]]:
    heads: list[EngineHead] = []
    chunks: list[bytes] = []
    end = EngineCall(address, REQUEST).run(heads.append, chunks.append)
    return end, heads, chunks


class TestEngineCall:
    @pytest.mark.parametrize(
        ("body", "chunks", "whole"),
        [
            (b"data: a\n\ndata: b\n\nevent: end\ndata: {}\n\n", 2, True),
            (b"data: a\n\ndata: [DONE]\n\n", 1, True),
            (b"data: a\n\ndata: b\n\n", 2, False),
            (b"data: a\n\ndata: b", 1, False),
            (b"", 0, False),
        ],
    )
    def test_stream_is_whole_only_with_its_end(
        self, body: bytes, chunks: int, whole: bool
    ) -> None:
        with engine(STREAM + body) as address:
            end, heads, got = run(address)
        assert (end, len(got)) == (EngineEnd(True, whole, chunks), chunks)
        assert [head.boot for head in heads] == [7]

    @pytest.mark.parametrize(
        ("answer", "whole"),
        [
            (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", False),
            (b"rubbish\r\n\r\n", False),
            (b"", False),
        ],
    )
    def test_body_is_whole_only_with_its_length(
        self, answer: bytes, whole: bool
    ) -> None:
        with engine(answer) as address:
            end, _, _ = run(address)
        assert (end.reached, end.whole) == (True, whole)

    def test_refused_connection_reached_nothing(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        end, _, _ = run(address)
        assert end == EngineEnd(reached=False, whole=False, chunks=0)

    def test_cancel_ends_a_silent_stream(self) -> None:
        """An engine would go on for a caller who left, and its daemon wait."""
        with engine(STREAM + b"data: a\n\n", stays=True) as address:
            call = EngineCall(address, REQUEST)
            end = call.run(lambda head: None, lambda chunk: call.cancel())
        assert end == EngineEnd(reached=True, whole=False, chunks=1)

    def test_cancelled_before_the_first_byte_reached_nothing(self) -> None:
        with engine(b"") as address:
            call = EngineCall(address, REQUEST)
            call.cancel()
            end = call.run(lambda head: None, lambda chunk: None)
        assert not end.reached
