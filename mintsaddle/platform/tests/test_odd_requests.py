"""Heads of requests that no sound caller sends."""

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Site

LEAVING_CALLERS = 12
SOUND_CALLS = 24
MANY_DIGITS = "9" * 5_000


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from standins.run_site(tmp_path)


def send_and_leave(port: int, number: int, last_id: str) -> None:
    """Send a request that resumes a stream; close before its answer."""
    headers = {
        **standins.make_caller_headers(f"leaving-{number}"),
        "Last-Event-Id": last_id,
        "Content-Length": "0",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as caller:
        caller.sendall(f"POST /letter/1 HTTP/1.1\r\n{lines}\r\n".encode())


class TestEventIds:
    @pytest.mark.parametrize("digits", [19, 5_000, 15_000])
    def test_one_of_many_digits_is_passed_on(self, site: Site, digits: int) -> None:
        """Guards against a 500 for a resumed stream."""
        site.script(standins.stream_events(1, 3))
        last_id = "9" * digits
        status, _, body = site.entry.call("POST", "/letter/1", Last_Event_Id=last_id)
        assert (status, body.count(b"data: piece")) == (200, 3)
        (request,) = site.requests()
        assert request["Last-Event-Id"] == last_id

    def test_a_caller_that_leaves_with_one_costs_no_other(self, site: Site) -> None:
        """Guards against an entry that answers nobody and says it is ready."""
        for number in range(LEAVING_CALLERS):
            send_and_leave(site.entry.front, number, MANY_DIGITS)
        answers = [site.entry.call("GET", f"/lookup/{n}") for n in range(SOUND_CALLS)]
        assert [status for status, _, _ in answers] == [200] * SOUND_CALLS
        assert site.entry.is_ready()
        assert "Traceback" not in site.entry.log()
