"""The platform's answers, good and bad."""

import json
import socket

import pytest
from returns.result import Failure, Success

from mintsaddle.engines.tests.test_calls import engine
from mintsaddle.platform import PlatformValue, _client, watch_value
from mintsaddle.platform._client import MAX_RESPONSE_BYTES


def answer(body: bytes, status: str = "200 OK") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def value(revision: object, text: object = "x") -> bytes:
    return answer(json.dumps({"revision": revision, "value": text}).encode())


class TestWatchValue:
    @pytest.mark.parametrize(
        ("served", "found"),
        [
            (value(8), PlatformValue(8, "x")),
            (value(7), None),
            (value(3), None),
            (answer(b"", "304 Not Modified"), None),
        ],
    )
    def test_only_newer_values_are_given(
        self, served: bytes, found: PlatformValue | None
    ) -> None:
        with engine(served) as address:
            assert watch_value(address, "fleet", 7, 0.0) == Success(found)

    @pytest.mark.parametrize(
        ("served", "problem"),
        [
            (answer(b"garbage"), "unreadable"),
            (answer(b"[1]"), "unreadable"),
            (answer(b'{"value": "x"}'), "unreadable"),
            (value("new"), "unreadable"),
            (answer(b"", "500 Broken"), "status 500"),
            (answer(b" " * (MAX_RESPONSE_BYTES + 1)), "is over"),
            (b"", "can't read"),
            (b"\x00\xff\r\n\r\n", "can't read"),
        ],
    )
    def test_bad_answers_are_named(self, served: bytes, problem: str) -> None:
        with engine(served) as address:
            result = watch_value(address, "fleet", 7, 0.0)
        assert isinstance(result, Failure)
        assert problem in result.failure()

    def test_platform_that_is_slow(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A daemon would wait for a platform that never answers."""
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
