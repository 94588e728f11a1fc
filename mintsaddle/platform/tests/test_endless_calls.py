"""Servers that hold a call of an entry by bytes without end."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import TypeAlias

import pytest
from returns.result import Failure

from mintsaddle.engines import probe_engine
from mintsaddle.platform import StoreClient, call_rank, report_call
from mintsaddle.rank_agent import NO_RESPONSE
from mintsaddle.rank_agent._engine import EngineConnection

Call: TypeAlias = Callable[[str], object]

LIMIT_SECONDS = 8.0
"""Longest time of a call here: four times the longest timeout, and time for a
busy machine."""


def call_store(address: str) -> object:
    return StoreClient(address).read_all("")


CALLS: dict[str, Call] = {
    "rank": lambda address: call_rank(address, report_call()),
    "agent": lambda address: EngineConnection(address).call(report_call()),
    "watch": lambda address: StoreClient(address).watch("", 1, 0.0),
    "store": call_store,
    "probe": probe_engine,
}

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
POURS = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100, 0.0),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n" * 100, 0.0),
    "head-byte-by-byte": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"y", 0.1),
    "body-byte-by-byte": (HEAD, b"y", 0.1),
}


@contextmanager
def serve(first: bytes, repeated: bytes, pause: float) -> Iterator[str]:
    """Serve connections with bytes that end only when the caller closes."""
    listener = socket.create_server(("127.0.0.1", 0))
    stopped = threading.Event()

    def send(connection: socket.socket) -> None:
        with connection, suppress(OSError):
            connection.recv(65_536)
            connection.sendall(first)
            while not stopped.is_set():
                connection.sendall(repeated)
                time.sleep(pause)

    def accept() -> None:
        with suppress(OSError):
            while not stopped.is_set():
                connection, _ = listener.accept()
                threading.Thread(target=send, args=[connection], daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        stopped.set()
        listener.close()


class TestEndlessCalls:
    @pytest.mark.parametrize("pour", POURS)
    @pytest.mark.parametrize("name", CALLS)
    def test_one_ends(self, name: str, pour: str) -> None:
        """Guards against a thread that one server holds for good."""
        results: list[object] = []
        with serve(*POURS[pour]) as address:
            call = CALLS[name]
            thread = threading.Thread(
                target=lambda: results.append(call(address)), daemon=True
            )
            thread.start()
            thread.join(LIMIT_SECONDS)
        assert results
        assert results[0] == NO_RESPONSE or isinstance(results[0], Failure)
