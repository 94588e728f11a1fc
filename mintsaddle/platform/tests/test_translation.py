"""Translation between the platform's formats and the product's types."""

import http.client
import json
import math
import re
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from returns.result import Failure, Success

import mintsaddle
from mintsaddle.decisions.direct import (
    DataCentreEvacuated,
    DataCentreReinstated,
    EndpointPublished,
    EndpointRemoved,
    PublishedItem,
    RankAssignment,
    Repeat,
)
from mintsaddle.platform import (
    ResponseHead,
    decode_items,
    make_endpoint_headers,
    make_refusal,
    read_request_head,
    read_response_head,
)
from mintsaddle.platform._configuration import decode_table
from mintsaddle.platform._ranks import _decode_report
from mintsaddle.platform._settings import decode_settings
from mintsaddle.platform.tests.standins import make_configuration
from mintsaddle.settings import DEFAULT_REQUEST_LIMITS
from mintsaddle.values import Outcome, Reason

PACKAGE = Path(mintsaddle.__file__).parent
PLATFORM_NAMES = re.compile(
    r"x-mintsaddle-|kv-(key|range|watch)|op/(config|evacuate)|servers/"
    r"|MINTSADDLE_NODE_FILE|weighted_backends|Api-Key|At-Server|Server-Leaving|cold_left_ms",
    re.IGNORECASE,
)


class TestBoundary:
    def test_the_platforms_names_stay_in_its_package(self) -> None:
        outside = [
            str(path)
            for path in PACKAGE.rglob("*.py")
            if PACKAGE / "platform" not in path.parents
            and PLATFORM_NAMES.search(path.read_text())
        ]
        assert outside == []

    def test_the_adapter_is_under_an_eighth_of_the_package(self) -> None:
        def count_lines(folder: Path) -> int:
            return sum(
                len(path.read_text().splitlines())
                for path in folder.rglob("*.py")
                if "tests" not in path.parts and "proto" not in path.parts
            )

        assert count_lines(PACKAGE / "platform") * 8 < count_lines(PACKAGE)


class TestTable:
    def test_a_route_kind_determines_what_may_be_repeated(self) -> None:
        table = decode_table(json.dumps(make_configuration()).encode()).unwrap()
        routes = {route.name: route for route in table.hosts["desk.example"]}
        assert routes["lookup"].repeat is Repeat.IDEMPOTENT
        assert routes["order"].repeat is Repeat.ONCE
        assert routes["letter"].repeat is Repeat.RESUMABLE
        assert routes["letter"].is_stream

    def test_a_kind_that_is_not_known_is_not_repeated(self) -> None:
        values: dict[str, Any] = make_configuration()
        values["routes"][0]["kind"] = "brand-new"
        table = decode_table(json.dumps(values).encode()).unwrap()
        names = {route.name: route for route in table.hosts["desk.example"]}
        assert names["lookup"].repeat is Repeat.ONCE

    @pytest.mark.parametrize("value", [b"", b"[]", b'{"version": 1}', b"\xff"])
    def test_invalid_tables_are_refused(self, value: bytes) -> None:
        assert isinstance(decode_table(value), Failure)


class TestItems:
    def decode(self, key: str, value: object) -> list[object]:
        raw = None if value is None else json.dumps(value).encode()
        return list(decode_items([PublishedItem(key, 1, raw)], now=100.0))

    def announcement(self, **overrides: object) -> dict[str, object]:
        return {
            "service": "llm",
            "address": "10.0.0.1:80",
            "zone": "a",
            "state": "ready",
            "slots": 6,
            **overrides,
        }

    def test_an_announcement_names_an_endpoint_and_its_rank(self) -> None:
        group = {"name": "g", "epoch": 2, "rank": 3, "state": "broken"}
        value = self.announcement(cold_left_ms=500, group=group, size=4)
        (change,) = self.decode("servers/i-1", value)
        assert isinstance(change, EndpointPublished)
        assert change.incarnation.cold_until == 100.5
        assert change.incarnation.assignment == RankAssignment(
            "llm/g", 2, 3, 4, is_open=False
        )

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "dancing"},
            {"service": 7},
            {"address": "10.0.0.1"},
            {"slots": "six"},
            {"zone": None},
        ],
    )
    def test_an_invalid_announcement_removes_the_endpoint(
        self, change: dict[str, object]
    ) -> None:
        changes = self.decode("servers/i-1", self.announcement(**change))
        assert changes == [EndpointRemoved("i-1")]

    def test_data_centres_go_out_and_come_back(self) -> None:
        assert self.decode("op/evacuate/a", {}) == [DataCentreEvacuated("a")]
        assert self.decode("op/evacuate/a", None) == [DataCentreReinstated("a")]


class TestHeads:
    def test_only_headers_for_the_endpoint_are_passed_on(self) -> None:
        environ = {
            "HTTP_HOST": "desk.example",
            "HTTP_API_KEY": "secret",
            "HTTP_X_MINTSADDLE_TENANT": "forged",
            "HTTP_CONNECTION": "keep-alive, X-Hop",
            "HTTP_X_HOP": "1",
            "HTTP_X_OTHER": "2",
            "HTTP_X_MINTSADDLE_DEADLINE_MS": "9000",
            "HTTP_X_MINTSADDLE_REQUEST_URGENCY": "0",
        }
        sent = dict(make_endpoint_headers(environ, "i-1", "north", 1.5, 12, 6))
        assert sent == {
            "Host": "desk.example",
            "X-Other": "2",
            "X-Mintsaddle-Deadline-Ms": "1500",
            "X-Mintsaddle-Expect-Instance": "i-1",
            "X-Mintsaddle-Tenant": "north",
            "X-Mintsaddle-Request-Urgency": "6",
            "Last-Event-Id": "12",
        }

    def test_an_empty_head_is_read(self) -> None:
        head = read_request_head({})
        assert (head.request_id, head.key) == ("", "")
        assert (head.seconds_left, head.last_event) == (None, None)
        assert head.tokens is None

    @pytest.mark.parametrize(
        "text", ["9" * 19, "9" * 5_000, "9" * 15_000, "\u0661", "\xb2", "7a", "-1"]
    )
    def test_an_event_id_that_is_no_number_goes_to_the_endpoint(
        self, text: str
    ) -> None:
        """Guards against an exception for each request with such an id."""
        environ = {"HTTP_LAST_EVENT_ID": text}
        head = read_request_head(environ)
        assert head.last_event is None
        sent = make_endpoint_headers(environ, "i-1", "", 1.0, head.last_event)
        assert dict(sent)["Last-Event-Id"] == text

    def test_an_event_that_was_relayed_replaces_the_callers_id(self) -> None:
        """Guards against events that come twice after a cut."""
        environ = {"HTTP_LAST_EVENT_ID": "9" * 5_000}
        sent = make_endpoint_headers(environ, "i-1", "", 1.0, last_event=4)
        assert [value for name, value in sent if name == "Last-Event-Id"] == ["4"]

    @pytest.mark.parametrize(
        ("text", "tokens"),
        [
            ("120,40", (120.0, 40.0)),
            (" 120 , 40 ", (120.0, 40.0)),
            ("0,0", (0.0, 0.0)),
            ("9" * 5000 + ",1", (math.inf, 1.0)),
            ("120", None),
            ("120,", None),
            ("1,2,3", None),
            ("-1,40", None),
            ("nan,inf", None),
            ("1e3,1.5", None),
            ("many,few", None),
        ],
    )
    def test_token_usage_is_optional(
        self, text: str, tokens: tuple[float, float] | None
    ) -> None:
        """Guards against a request that fails by an invalid usage header."""
        head = read_request_head({"HTTP_X_MINTSADDLE_TOKEN_USAGE": text})
        assert head.tokens == tokens

    @pytest.mark.parametrize(
        ("outcome", "reason", "status"),
        [
            (Outcome.NOT_RUN, Reason.FULL, "503"),
            (Outcome.IN_DOUBT, Reason.TOO_LATE, "504"),
            (Outcome.IN_DOUBT, Reason.CUT_OFF, "502"),
        ],
    )
    def test_only_requests_that_did_not_run_get_retry_after(
        self, outcome: Outcome, reason: Reason, status: str
    ) -> None:
        line, headers = make_refusal(outcome, reason, "r", 0.5)
        assert line.startswith(status)
        assert ("Retry-After" in dict(headers)) == (status == "503")


def read_answer(status: int, **headers: str) -> ResponseHead:
    """Return the decoded head of an endpoint's response to request r."""
    message = http.client.HTTPMessage()
    for name, value in headers.items():
        message[name.replace("_", "-")] = value
    response = SimpleNamespace(status=status, headers=message, will_close=False)
    return read_response_head(cast(http.client.HTTPResponse, response), "r", 6)


class TestAnswers:
    @pytest.mark.parametrize(
        ("status", "text", "seconds"),
        [
            (503, "3", 3.0),
            (503, " 0.25 ", 0.25),
            (503, "-3", 0.0),
            (503, "nan", 0.0),
            (503, "1e999", 0.0),
            (503, "soon", 0.0),
            (503, "", 0.0),
            (503, "Thu, 01 Jan 2026 00:00:05 GMT", 4.0),
            (503, "Thu, 99 Jan 2026 00:00:05 GMT", 0.0),
            (200, "3", 0.0),
            (504, "3", 0.0),
        ],
    )
    def test_a_refusal_may_ask_to_wait(
        self, status: int, text: str, seconds: float
    ) -> None:
        date = "Thu, 01 Jan 2026 00:00:01 GMT"
        head = read_answer(status, Retry_After=text, Date=date)
        assert head.retry_after == seconds

    def test_a_date_without_the_endpoints_clock_asks_for_nothing(self) -> None:
        head = read_answer(503, Retry_After="Thu, 01 Jan 2026 00:00:05 GMT")
        assert head.retry_after == 0.0

    @pytest.mark.parametrize(
        ("headers", "is_leaving"),
        [
            ({"Server_Leaving": "1"}, True),
            ({"X_Mintsaddle_Server_Leaving": "1"}, True),
            ({"Server_Leaving": "0"}, False),
            ({"Server_Leaving": "soon"}, False),
            ({}, False),
        ],
    )
    def test_an_endpoint_may_say_that_it_leaves(
        self, headers: dict[str, str], is_leaving: bool
    ) -> None:
        assert read_answer(200, **headers).is_leaving is is_leaving


SETTINGS = {
    "node_name": "n",
    "zone": "a",
    "ip": "10.0.0.1",
    "listen": {"front": "f", "ready_addr": "r", "control": "c"},
    "platform": {"address": "p"},
    "limits": {"memory_mb": 200, "max_fds": 4100},
    "bounds": {
        "grace_s": 8,
        "config_apply_ms": 2000,
        "drain_ms": 2000,
        "evacuate_ms": 5000,
        "retry_budget_ratio": 0.2,
        "retry_slack": 90,
        "budget_window_s": 10,
        "cold_overshoot": 1.5,
        "cold_slack": 5,
        "stall_ms": 1500,
    },
}


class TestSettings:
    def test_all_findings_are_reported_together(self) -> None:
        result = decode_settings("file", {"bounds": {"grace_s": "long"}})
        assert isinstance(result, Failure)
        keys = {finding.key for finding in result.failure()}
        assert {"node_name", "zone", "listen", "platform", "grace_s"} <= keys

    def test_fields_that_are_not_known_are_ignored(self) -> None:
        values = {
            **SETTINGS,
            "brand_new": 1,
        }
        assert isinstance(decode_settings("file", values), Success)

    def test_limits_on_requests_have_defaults(self) -> None:
        settings = decode_settings("file", SETTINGS).unwrap()
        assert settings.requests == DEFAULT_REQUEST_LIMITS
        changed = {**SETTINGS, "requests": {"body_timeout_ms": 1500}}
        limits = decode_settings("file", changed).unwrap().requests
        assert limits == DEFAULT_REQUEST_LIMITS._replace(body_seconds=1.5)

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("memory_share", 0),
            ("memory_share", 0.6),
            ("body_timeout_ms", "long"),
            ("body_timeout_ms", True),
            ("unfinished_share", 1.1),
            ("framing_factor", float("nan")),
        ],
    )
    def test_limits_out_of_range_are_findings(self, key: str, value: object) -> None:
        """Guards against a limit that no request is within."""
        result = decode_settings("file", {**SETTINGS, "requests": {key: value}})
        assert isinstance(result, Failure)
        assert [finding.key for finding in result.failure()] == [key]


class TestReports:
    def test_a_slow_engine_is_known_by_its_report(self) -> None:
        """Guards against a slow engine that delays its group's streams."""
        values = {
            "group": {"name": "g", "epoch": 2, "rank": 3, "state": "open"},
            "step": 7,
            "num_running": 5,
            "pace": 1.6,
            "map": 4,
        }
        report = _decode_report(json.dumps(values), 3).unwrap()
        assert (report.slowness, report.running) == (1.6, 5)
