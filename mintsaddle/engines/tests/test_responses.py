"""Responses that are read strictly, whoever sends them."""

import http.client
import socket
import threading

import pytest

from mintsaddle.engines import StrictResponse

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
MANY_DIGITS = b"0" * 5_000 + b"8"


def read(data: bytes) -> tuple[StrictResponse, bytes]:
    """Return the response in these bytes and its body.

    The connection ends after them.
    """
    ours, theirs = socket.socketpair()

    def send() -> None:
        with theirs:
            theirs.sendall(data)

    sender = threading.Thread(target=send)
    sender.start()
    try:
        with ours:
            response = StrictResponse(ours, method="GET")
            response.begin()
            return response, response.read()
    finally:
        sender.join()


class TestLengths:
    @pytest.mark.parametrize("text", [b"4", b" 4\t", b"0004"])
    def test_a_sound_one_ends_the_body(self, text: bytes) -> None:
        _, body = read(STATUS_LINE + b"Content-Length:" + text + b"\r\n\r\nbody..")
        assert body == b"body"

    @pytest.mark.parametrize(
        "text", [MANY_DIGITS, b"+4", b"-4", b"4_0", b"\xb2", b"0x4", b"4 4", b""]
    )
    def test_an_odd_one_is_not_taken_for_none(self, text: bytes) -> None:
        """Guards against half an answer that looks whole."""
        with pytest.raises(http.client.HTTPException):
            read(STATUS_LINE + b"Content-Length: " + text + b"\r\n\r\nhalf")
