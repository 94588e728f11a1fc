"""Endpoints that answer a long upload before they have read it."""

import http.client
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Site
from mintsaddle.platform.tests.test_answers_without_length import Ending, reset

UPLOAD = b"u" * 4_000_000
HALF = b"half an answer\n" * 30
EVENTS = b"id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n"
ANSWER = b"whole answer"
PAUSES = (0.0, 0.02, 0.2)


def close(handler: Any) -> None:
    """Close the connection with the upload unread, which resets it."""
    handler.connection.close()


def finish_writing(handler: Any) -> None:
    """End the answer soundly, and reset the connection afterwards."""
    handler.connection.shutdown(socket.SHUT_WR)
    time.sleep(max(PAUSES))
    reset(handler)


class HastyEndpoint(Endpoint):
    """Answers without reading the request's body."""

    head: tuple[str, ...] = ()
    """Lines of its head."""

    body = HALF
    version = "HTTP/1.1"
    pause = 0.0
    """Seconds between the answer and the end."""

    end: Ending = staticmethod(reset)
    reads_on = False
    """Whether it reads the upload then, and keeps the connection."""

    def handle(self, handler: Any) -> None:
        self.requests.append(dict(handler.headers.items()))
        handler.close_connection = True
        handler.protocol_version = self.version
        standins.begin_head(self, handler)
        for line in self.head:
            name, value = line.split(": ")
            handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.write(self.body)
        time.sleep(self.pause)
        if self.reads_on:
            handler.rfile.read(int(handler.headers["Content-Length"]))
            handler.close_connection = False
        else:
            self.end(handler)


class HastySite(Site):
    """A site with two such endpoints."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.hasty = [HastyEndpoint("e-1"), HastyEndpoint("e-2")]
        self.endpoints = list(self.hasty)

    def answer_with(self, **attributes: object) -> None:
        for endpoint in self.hasty:
            for name, value in attributes.items():
                setattr(endpoint, name, value)

    def upload(self, path: str) -> http.client.HTTPResponse:
        connection = http.client.HTTPConnection(
            f"127.0.0.1:{self.entry.front}", timeout=standins.WAIT_SECONDS
        )
        headers = standins.make_caller_headers("upload")
        connection.request("POST", path, UPLOAD, headers)
        return connection.getresponse()


@pytest.fixture
def site(tmp_path: Path) -> Iterator[HastySite]:
    yield from standins.run(HastySite(tmp_path))


class TestAnswersThatAreReset:
    @pytest.mark.parametrize("end", [reset, close, finish_writing])
    @pytest.mark.parametrize("pause", PAUSES)
    @pytest.mark.parametrize("version", ["HTTP/1.1", "HTTP/1.0"])
    def test_one_without_a_length_is_not_passed_on(
        self, site: HastySite, pause: float, version: str, end: Ending
    ) -> None:
        """Guards against half an answer to an upload that looks whole."""
        site.answer_with(pause=pause, version=version, end=end)
        assert site.upload("/order/1").status == 502

    @pytest.mark.parametrize("pause", PAUSES)
    def test_a_stream_without_a_length_does_not_look_complete(
        self, site: HastySite, pause: float
    ) -> None:
        """Guards against half a stream that looks whole."""
        head = ("Content-Type: text/event-stream",)
        site.answer_with(pause=pause, head=head, body=EVENTS)
        try:
            response = site.upload("/letter/1")
            response.read()
        except (http.client.HTTPException, OSError):
            return
        assert response.status == 502

    @pytest.mark.parametrize(
        "head", ["Content-Length: 9000", "Transfer-Encoding: chunked"]
    )
    def test_one_with_a_marked_end_is_not_passed_on(
        self, site: HastySite, head: str
    ) -> None:
        site.answer_with(head=(head,), body=b"5\r\nhello\r\n")
        assert site.upload("/order/1").status == 502


class TestWholeAnswers:
    @pytest.mark.parametrize("end", [reset, close])
    def test_one_with_a_length_is_passed_on(self, site: HastySite, end: Ending) -> None:
        """Guards against ready answers lost to an upload that ends early."""
        head = (f"Content-Length: {len(ANSWER)}",)
        site.answer_with(head=head, body=ANSWER, pause=max(PAUSES), end=end)
        response = site.upload("/order/1")
        assert (response.status, response.read()) == (200, ANSWER)

    def test_one_before_the_upload_was_read_is_passed_on(self, site: HastySite) -> None:
        head = (f"Content-Length: {len(ANSWER)}",)
        site.answer_with(head=head, body=ANSWER, reads_on=True)
        response = site.upload("/order/1")
        assert (response.status, response.read()) == (200, ANSWER)
