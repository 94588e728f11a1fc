"""Heads of answers that no sound endpoint sends."""

from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Responder, Site, wait_for

DIGITS = "9" * 400
MANY_DIGITS = "9" * 5_000


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from standins.run_site(tmp_path)


def respond_with(endpoint: Endpoint, handler: Any, *, line: bytes) -> None:
    """Send a whole answer with one more line in its head."""
    standins.begin_head(endpoint, handler)
    handler.flush_headers()
    handler.wfile.write(line + b"\r\nContent-Length: 5\r\n\r\nwhole")


def line(text: str) -> Responder:
    return partial(respond_with, line=text.encode("latin-1"))


ODD_LINES = {
    "folded": "X-Note: one\r\n two",
    "folded-twice": "X-Note: one\r\n\ttwo\r\n  three",
    "control-character": "X-Note: a\x0bb",
    "load": f"X-Mintsaddle-Server-Load: {DIGITS},{DIGITS},{DIGITS}",
    "load-of-many-digits": f"X-Mintsaddle-Server-Load: {MANY_DIGITS},0,6",
    "load-without-slots": "X-Mintsaddle-Server-Load: 1,1,0",
    "load-of-odd-digits": "X-Mintsaddle-Server-Load: \xb2,0,6",
    "limit": f"X-Mintsaddle-Server-Limit: {DIGITS}",
    "limit-of-many-digits": f"X-Mintsaddle-Server-Limit: {MANY_DIGITS}",
    "keep-alive": f"Keep-Alive: timeout={DIGITS}",
    "keep-alive-of-many-digits": f"Keep-Alive: timeout={MANY_DIGITS}",
    "no-name": ": nothing",
    "no-colon": "nothing",
}


class TestSoundHeads:
    @pytest.mark.parametrize("text", ["Content-Length: 5 ", "content-length:\t5"])
    def test_a_length_may_have_space_around_it(self, site: Site, text: str) -> None:
        """Guards against sound answers refused for how a length is written."""
        site.script(line(text))
        assert site.entry.call("POST", "/order/1")[::2] == (200, b"whole")

    @pytest.mark.parametrize("kind", ["multipart/mixed; boundary=b", "message/rfc822"])
    def test_any_type_of_body_is_passed_on(self, site: Site, kind: str) -> None:
        site.script(line(f"Content-Type: {kind}"))
        status, headers, body = site.entry.call("POST", "/order/1")
        assert (status, headers["Content-Type"], body) == (200, kind, b"whole")


class TestOddHeads:
    @pytest.mark.parametrize("text", ODD_LINES.values(), ids=ODD_LINES)
    def test_one_costs_at_most_its_own_request(self, site: Site, text: str) -> None:
        """Guards against an entry that one answer's head takes places of."""
        site.script(line(text), line(text))
        status, _, body = site.entry.call("GET", "/lookup/1")
        assert (status, body) == (200, b"whole") or status == 502
        for number in range(4):
            answer = site.entry.call("GET", f"/lookup/{number}")
            assert answer[0] == 200
        assert site.entry.call("POST", "/order/1")[0] == 200
        wait_for(
            lambda: "mintsaddle_open_calls 0" in site.entry.fetch_metrics(),
            "free places",
        )
        assert "Traceback" not in site.entry.log()
