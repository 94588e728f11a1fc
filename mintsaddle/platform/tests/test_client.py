"""Valid and invalid responses of the platform."""

import json
import socket

import pytest
from returns.result import Failure, Success

from mintsaddle.engines.tests.test_calls import engine
from mintsaddle.platform import PlatformValue, _client, watch_value
from mintsaddle.platform._client import MAX_RESPONSE_BYTES


def make_response(body: bytes, status: str = "200 OK") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def make_value_response(revision: object, text: object = "x") -> bytes:
    return make_response(json.dumps({"revision": revision, "value": text}).encode())


class TestWatchValue:
    @pytest.mark.parametrize(
        ("response", "expected"),
        [
            (make_value_response(8), PlatformValue(8, "x")),
            (make_value_response(7), None),
            (make_value_response(3), None),
            (make_response(b"", "304 Not Modified"), None),
        ],
    )
    def test_only_newer_values_are_returned(
        self, response: bytes, expected: PlatformValue | None
    ) -> None:
        with engine(response) as address:
            assert watch_value(address, "fleet", 7, 0.0) == Success(expected)

    @pytest.mark.parametrize(
        ("response", "message"),
        [
            (make_response(b"garbage"), "unreadable"),
            (make_response(b"[1]"), "unreadable"),
            (make_response(b'{"value": "x"}'), "unreadable"),
            (make_value_response("new"), "unreadable"),
            (make_response(b"", "500 Broken"), "status 500"),
            (make_response(b" " * (MAX_RESPONSE_BYTES + 1)), "is over"),
            (b"", "can't read"),
            (b"\x00\xff\r\n\r\n", "can't read"),
        ],
    )
    def test_invalid_responses_are_reported(
        self, response: bytes, message: str
    ) -> None:
        with engine(response) as address:
            result = watch_value(address, "fleet", 7, 0.0)
        assert isinstance(result, Failure)
        assert message in result.failure()

    def test_platform_that_is_slow(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a daemon that waits forever for a response."""
        monkeypatch.setattr(_client, "_TIMEOUT_SLACK_SECONDS", 0.2)
        with engine(b"", keeps_open=True) as address:
            result = watch_value(address, "fleet", 0, 0.0)
        assert isinstance(result, Failure)
        assert "TimeoutError" in result.failure()

    def test_platform_that_is_down(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        result = watch_value(address, "fleet", 0, 0.0)
        assert isinstance(result, Failure)
