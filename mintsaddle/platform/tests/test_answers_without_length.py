"""Answers that have neither a length nor chunks and end with a connection."""

import http.client
import socket
import struct
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Responder, Site

PIECES = [b"id: %d\ndata: piece\n\n" % number for number in range(1, 6)]
Ending = Callable[[Any], None]


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from standins.run_site(tmp_path)


def close(handler: Any) -> None:
    """End the connection as an engine does after a complete answer."""
    handler.close_connection = True


def reset(handler: Any) -> None:
    """Reset the connection as the VM of an engine that crashed does."""
    linger = struct.pack("ii", 1, 0)
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    handler.connection.close()
    handler.close_connection = True


def fall_silent(handler: Any) -> None:
    """Leave the connection open until the caller closes it."""
    handler.connection.settimeout(standins.WAIT_SECONDS)
    handler.connection.recv(1)
    handler.close_connection = True


def send_part_of_head(endpoint: Endpoint, handler: Any, *, end: Ending) -> None:
    """Send a head that lacks the line with the length, and its end."""
    standins.begin_head(endpoint, handler)
    handler.flush_headers()
    handler.wfile.flush()
    end(handler)


def part_of_head(end: Ending) -> Responder:
    return partial(send_part_of_head, end=end)


def respond(
    endpoint: Endpoint, handler: Any, *, body: bytes, kind: str, end: Ending
) -> None:
    standins.begin_head(endpoint, handler)
    handler.send_header("Content-Type", kind)
    handler.end_headers()
    handler.wfile.write(body)
    handler.wfile.flush()
    end(handler)


def stream(body: bytes, end: Ending = close) -> Responder:
    return partial(respond, body=body, kind="text/event-stream", end=end)


def text(body: bytes, end: Ending = close) -> Responder:
    return partial(respond, body=body, kind="text/plain", end=end)


class TestStreams:
    def test_one_that_ends_after_an_event_is_complete(self, site: Site) -> None:
        site.script(stream(b"".join(PIECES)))
        status, _, body = site.entry.call("POST", "/letter/1")
        assert (status, body) == (200, b"".join(PIECES))
        assert len(site.requests()) == 1

    @pytest.mark.parametrize(
        ("sent", "end"),
        [
            (b"".join(PIECES[:2]) + b"id: 3\nda", close),
            (b"".join(PIECES[:2]) + b"id: 3\ndata: piece\n", close),
            (b"".join(PIECES[:2]), reset),
            (b"", close),
        ],
        ids=["inside-event", "before-blank-line", "reset", "without-event"],
    )
    def test_one_that_was_broken_off_is_resumed(
        self, site: Site, sent: bytes, end: Ending
    ) -> None:
        """Guards against the stream of an engine that ended seen as whole."""
        received = PIECES[2:] if sent else PIECES
        site.script(stream(sent, end), stream(b"".join(received)))
        status, _, body = site.entry.call("POST", "/letter/1")
        assert (status, body) == (200, b"".join(PIECES))
        assert len(site.requests()) == 2

    def test_one_that_cannot_be_resumed_does_not_look_complete(
        self, site: Site
    ) -> None:
        site.script(stream(b"", close), standins.refuse)
        connection = site.entry.open("POST", "/letter/1")
        with pytest.raises((http.client.HTTPException, OSError)):
            connection.getresponse().read()

    def test_one_that_the_entry_aborts_between_events_does_not_look_complete(
        self, site: Site
    ) -> None:
        """Guards against a part of a stream that is passed on as whole."""
        site.script(stream(b"".join(PIECES[:2]), fall_silent))
        deadline = {"X_Mintsaddle_Deadline_Ms": "500"}
        connection = site.entry.open("POST", "/letter/1", **deadline)
        with pytest.raises((http.client.HTTPException, OSError)):
            connection.getresponse().read()


class TestBodies:
    def test_one_that_ends_with_its_connection_is_complete(self, site: Site) -> None:
        site.script(text(b"a whole answer"))
        assert site.entry.call("POST", "/order/1")[::2] == (200, b"a whole answer")

    def test_one_that_is_reset_is_not_passed_on(self, site: Site) -> None:
        """Guards against half an answer that looks whole."""
        site.script(text(b"half an answer" * 10_000, reset))
        assert site.entry.call("POST", "/order/1")[0] == 502

    def test_its_connection_is_not_used_again(self, site: Site) -> None:
        site.script(text(b"whole"), text(b"whole"), text(b"whole"))
        for _ in range(3):
            assert site.entry.call("GET", "/lookup/1")[::2] == (200, b"whole")
        ports = [request["port"] for request in site.requests()]
        assert len(set(ports)) == 3

    def test_one_that_the_entry_aborts_is_not_passed_on(self, site: Site) -> None:
        """Guards against half an answer passed on as whole at a timeout."""
        site.script(text(b"half an answer", fall_silent))
        deadline = {"X_Mintsaddle_Deadline_Ms": "500"}
        status, _, body = site.entry.call("POST", "/order/1", **deadline)
        assert (status, body) == (504, b"")
        assert len(site.requests()) == 1

    def test_one_that_the_entry_aborts_is_requested_from_another_endpoint(
        self, site: Site
    ) -> None:
        """Guards against half an answer that takes the place of a retry."""
        site.script(text(b"half an answer", fall_silent), text(b"whole"))
        deadline = {"X_Mintsaddle_Deadline_Ms": "1500"}
        status, _, body = site.entry.call("GET", "/lookup/1", **deadline)
        assert (status, body) == (200, b"whole")


def respond_cut(endpoint: Endpoint, handler: Any, *, length: str) -> None:
    """Announce a body of 800 bytes by this length, and send half of it."""
    standins.begin_head(endpoint, handler)
    handler.send_header("Content-Length", length)
    handler.end_headers()
    handler.wfile.write(b"y" * 400)
    handler.close_connection = True


class TestLengths:
    @pytest.mark.parametrize("length", ["0" * 5_000 + "800", "800"])
    def test_a_body_that_is_shorter_is_not_passed_on(
        self, site: Site, length: str
    ) -> None:
        """Guards against half an answer whose length can't be read."""
        site.script(partial(respond_cut, length=length))
        assert site.entry.call("POST", "/order/1")[0] == 502


class TestHeads:
    @pytest.mark.parametrize("end", [close, fall_silent])
    def test_one_that_was_broken_off_is_not_passed_on(
        self, site: Site, end: Ending
    ) -> None:
        """Guards against a cut head seen as a whole answer without a body."""
        site.script(part_of_head(end))
        deadline = {"X_Mintsaddle_Deadline_Ms": "500"}
        assert site.entry.call("POST", "/order/1", **deadline)[0] in (502, 504)
