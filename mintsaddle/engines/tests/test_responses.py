"""Responses that are read strictly, whoever sends them."""

import http.client
import socket
import threading

import pytest

from mintsaddle.engines import StrictResponse

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
WHOLE = b"Content-Length: 5\r\n\r\nwhole"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS_END = b"0\r\n\r\n"
ODD_STATUSES = (
    *("000", "099", "20", "1000", "-200", "+200", "0200", "2_00", "2", "600", "999"),
    *("\xb2\xb2\xb2", "200.0", "0x1"),
)
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


class TestStatusLines:
    @pytest.mark.parametrize(
        ("line", "status"),
        [
            (b"HTTP/1.1 200 OK", 200),
            (b"HTTP/1.1 200 ", 200),
            (b"HTTP/1.1 200", 200),
            (b"HTTP/1.0 404 Not\tFound", 404),
            (b"HTTP/1.1 599 \xe9tat", 599),
        ],
    )
    def test_a_sound_one_is_read(self, line: bytes, status: int) -> None:
        response, body = read(line + b"\r\n" + WHOLE)
        assert (response.status, body) == (status, b"whole")

    @pytest.mark.parametrize("status", ODD_STATUSES)
    def test_a_status_has_three_digits_and_a_class(self, status: str) -> None:
        """Guards against an answer of an engine in trouble passed on."""
        line = f"HTTP/1.1 {status} OK\r\n".encode("latin-1")
        with pytest.raises(http.client.HTTPException):
            read(line + WHOLE)

    @pytest.mark.parametrize(
        "line",
        [
            b"HTTP/1.1\t200 OK",
            b"HTTP/1.1  200 OK",
            b" HTTP/1.1 200 OK",
            b"HTTP/1.1 200\tOK",
            b"HTTP/1.1 200 O\x00K",
            b"HTTP/1.1 200 O\rK",
            b"HTTP/1. 200 OK",
            b"HTTP/2.0 200 OK",
            b"ICY 200 OK",
            b"",
        ],
    )
    def test_an_odd_one_is_refused(self, line: bytes) -> None:
        with pytest.raises(http.client.HTTPException):
            read(line + b"\r\n" + WHOLE)

    @pytest.mark.parametrize("status", [b"100 Continue", b"102 Processing", b"103 -"])
    def test_an_interim_response_is_not_the_answer(self, status: bytes) -> None:
        """Guards against a head without a body passed on as the answer."""
        interim = b"HTTP/1.1 " + status + b"\r\nLink: </a>\r\n\r\n"
        response, body = read(interim + interim + STATUS_LINE + WHOLE)
        assert (response.status, body) == (200, b"whole")

    def test_a_protocol_that_nobody_asked_for_is_refused(self) -> None:
        with pytest.raises(http.client.HTTPException):
            read(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + STATUS_LINE + WHOLE)


class TestFields:
    @pytest.mark.parametrize(
        "line", [b"X-Note:", b"X-Note: \t a ", b"!#$%&'*+-.^_`|~1a: b", b"X: \xe9\xff"]
    )
    def test_a_sound_one_is_read(self, line: bytes) -> None:
        _, body = read(STATUS_LINE + line + b"\r\n" + WHOLE)
        assert body == b"whole"

    @pytest.mark.parametrize(
        "line",
        [
            *(
                b"X%cNote: a" % byte
                for byte in b' \t\x00\x01\x0b\x1f\x7f\x80(),/;<=>?@[]{}"\\'
            ),
            b"X-Note : a",
            b" X-Note: a",
            b": a",
            b"X-Note",
            b"X-Note: a\r\n b",
            b"Content-Length : 3",
        ],
    )
    def test_an_odd_name_is_refused(self, line: bytes) -> None:
        """Guards against a head of which a line is passed on or lost."""
        with pytest.raises(http.client.HTTPException):
            read(STATUS_LINE + line + b"\r\n" + WHOLE)

    @pytest.mark.parametrize("byte", b"\x00\x01\x08\x0b\x0c\r\x1c\x1f\x7f")
    def test_a_control_byte_in_a_value_is_refused(self, byte: int) -> None:
        with pytest.raises(http.client.HTTPException):
            read(STATUS_LINE + b"X-Note: a%cb\r\n" % byte + WHOLE)


class TestChunks:
    @pytest.mark.parametrize("size", [b"5", b"0005", b"5;a=b", b"5 ; a"])
    def test_a_sound_one_is_read(self, size: bytes) -> None:
        _, body = read(CHUNKED + size + b"\r\nwhole\r\n" + CHUNKS_END)
        assert body == b"whole"

    @pytest.mark.parametrize(
        "size",
        [
            b"+5",
            b"-5",
            b"0x5",
            b"0_5",
            b" 5",
            b"5,",
            b"",
            b"5;\x00",
            b"5\r;a",
            b"0" * 99,
        ],
    )
    def test_an_odd_size_is_refused(self, size: bytes) -> None:
        """Guards against a body whose parts are found by guessing."""
        with pytest.raises(http.client.HTTPException):
            read(CHUNKED + size + b"\r\nwhole\r\n" + CHUNKS_END)

    @pytest.mark.parametrize("end", [b"..", b"\n\n", b"\r."])
    def test_one_that_is_longer_than_its_size_is_refused(self, end: bytes) -> None:
        """Guards against bytes of a body that are dropped."""
        with pytest.raises(http.client.HTTPException):
            read(CHUNKED + b"5\r\nwhole" + end + CHUNKS_END)

    def test_trailers_are_read_up_to_their_end(self) -> None:
        _, body = read(CHUNKED + b"5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n")
        assert body == b"whole"
