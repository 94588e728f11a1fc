"""Answers that break the grammar of HTTP, wherever answers are read."""

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeAlias

import pytest
from returns.result import Failure

from mintsaddle.engines import (
    EngineCall,
    EngineRequest,
    probe_engine,
    send_group_order,
)
from mintsaddle.engines.tests.test_calls import engine
from mintsaddle.platform import StoreClient, call_rank, report_call, watch_value
from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Endpoint, Responder, Site
from mintsaddle.rank_agent import NO_RESPONSE
from mintsaddle.rank_agent._engine import EngineConnection

BODY = json.dumps(
    {"items": [], "at": 1, "events": [], "revision": 9, "value": "x", "boot": 1}
).encode()
SOUND_STATUS = b"200 OK"
ODD_STATUSES = [b"000 Odd", b"099 Odd", b"1000 Odd", b"600 Odd", b"2_00 Odd"]

ODD_LINES = {
    "blank in name": b"X Note: a",
    "blank after name": b"Content-Length : 5",
    "control byte in name": b"X\x01Note: a",
    "separator in name": b"X/Note: a",
    "no name": b": a",
    "no colon": b"X-Note",
    "folded": b"X-Note: a\r\n b",
    "control byte in value": b"X-Note: a\x00b",
    "carriage return in value": b"X-Note: a\rContent-Length: 1",
}

Call: TypeAlias = Callable[[str], object]


def run_call(address: str) -> object:
    """Return the body of a daemon's call to its engine; None if it failed."""
    chunks: list[bytes] = []
    request = EngineRequest("POST", "/draft", {}, b"{}", 5.0)
    result = EngineCall(address, request).run(lambda head: None, chunks.append)
    return b"".join(chunks) if result.is_complete else None


CALLS: dict[str, Call] = {
    "rank": lambda address: call_rank(address, report_call()),
    "agent": lambda address: EngineConnection(address, 1.0).call(report_call()),
    "store": lambda address: StoreClient(address).read_all(""),
    "watch": lambda address: StoreClient(address).watch("", 1, 0.0),
    "value": lambda address: watch_value(address, "fleet", 1, 0.0),
    "probe": probe_engine,
    "group-order": lambda address: send_group_order(address, "hold", {}),
    "engine-call": run_call,
}


def make_answer(status: bytes, *lines: bytes) -> bytes:
    """Return an answer with a sound body."""
    head = [b"HTTP/1.1 " + status, *lines, b"Content-Length: %d" % len(BODY)]
    return b"\r\n".join(head) + b"\r\n\r\n" + BODY


def has_failed(result: object) -> bool:
    return result in (None, NO_RESPONSE) or isinstance(result, Failure)


class TestCalls:
    @pytest.mark.parametrize("name", CALLS)
    def test_a_sound_answer_is_read(self, name: str) -> None:
        with engine(make_answer(SOUND_STATUS, b"X-Note: a")) as address:
            assert not has_failed(CALLS[name](address))

    @pytest.mark.parametrize("status", ODD_STATUSES)
    @pytest.mark.parametrize("name", CALLS)
    def test_an_odd_status_is_a_failure(self, name: str, status: bytes) -> None:
        """Guards against a state or an order taken from an odd answer."""
        with engine(make_answer(status)) as address:
            assert has_failed(CALLS[name](address))

    @pytest.mark.parametrize("line", ODD_LINES.values(), ids=ODD_LINES)
    @pytest.mark.parametrize("name", CALLS)
    def test_an_odd_field_is_a_failure(self, name: str, line: bytes) -> None:
        """Guards against a head of which http.client skips some lines."""
        with engine(make_answer(SOUND_STATUS, line)) as address:
            assert has_failed(CALLS[name](address))

    @pytest.mark.parametrize("era", [b"9" * 5_000, b"-1", b"\xb2"])
    def test_an_odd_era_is_none(self, era: bytes) -> None:
        """Guards against a store that no entry can read any more."""
        answer = make_answer(SOUND_STATUS, b"Store-Era: " + era)
        with engine(answer) as address:
            result = StoreClient(address).read_all("")
        assert result.unwrap().era is None


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from standins.run_site(tmp_path)


def send_odd(status: bytes = SOUND_STATUS, line: bytes = b"X-Note: a") -> Responder:
    """Return a responder that sends a whole answer with an odd head."""

    def responder(endpoint: Endpoint, handler: Any) -> None:
        attempt = handler.headers["X-Mintsaddle-Attempt-Id"].encode()
        head = [
            b"HTTP/1.1 " + status,
            b"X-Mintsaddle-Attempt-Id: " + attempt,
            b"X-Mintsaddle-Response-Stamp: odd",
            line,
            b"Content-Length: 5",
        ]
        handler.wfile.write(b"\r\n".join(head) + b"\r\n\r\nwhole")

    return responder


class TestEntries:
    @pytest.mark.parametrize("status", ODD_STATUSES)
    def test_an_odd_status_is_not_passed_on(self, site: Site, status: bytes) -> None:
        """Guards against a status that isn't one passed on as an answer."""
        site.script(send_odd(status))
        assert site.entry.call("POST", "/order/1")[0] == 502
        site.script(send_odd(status))
        assert site.entry.call("GET", "/lookup/1")[0] == 200

    @pytest.mark.parametrize("line", ODD_LINES.values(), ids=ODD_LINES)
    def test_an_odd_field_is_not_passed_on(self, site: Site, line: bytes) -> None:
        """Guards against an answer with odd lines, or without some of them."""
        site.script(send_odd(line=line))
        assert site.entry.call("POST", "/order/1")[0] == 502
        site.script(send_odd(line=line))
        assert site.entry.call("GET", "/lookup/1")[0] == 200
