"""Numbers in texts of other programs that no sound program writes."""

import json
import math
from collections.abc import Iterable, Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintsaddle.decisions.direct import EndpointPublished, PublishedItem, TablePublished
from mintsaddle.engines._probe import _parse_status
from mintsaddle.platform import (
    decode_expert_counts,
    decode_items,
    decode_rank_experts,
    decode_rank_report,
    make_endpoint_headers,
    read_request_head,
)
from mintsaddle.platform._client import _decode_value
from mintsaddle.platform._store import _decode_items
from mintsaddle.platform.tests.standins import make_configuration
from mintsaddle.rank_agent import RankResponse

NUMBERS = (
    "NaN",
    "Infinity",
    "-Infinity",
    "1e999",
    "-1e999",
    "1e308",
    "-1",
    "0",
    "0.5",
    "9" * 400,
    "9" * 5_000,
    "-" + "9" * 5_000,
    '"' + "9" * 5_000 + '"',
    '"\\u00b2"',
    '"nan"',
    "true",
    "null",
    "[]",
    "{}",
)
"""Texts in the place of a JSON number."""

MARK = "@odd@"
ENGINE = {
    "step_ms": 20,
    "per_seq_ms": 1,
    "context_per_k": 1,
    "stride": 1,
    "sets": 2,
    "experts": 8,
    "places": 4,
    "spare": 1,
    "expert_mb": 10,
    "link_mbps": 1000,
    "usual": {"prompt": 100, "answer": 50},
}
CONFIGURATION = make_configuration(
    services=[
        {
            "name": "desk",
            "health_path": "/health",
            "max_connections": 9,
            "cold_per_s": 2,
            "cold_start_s": 3.5,
            "engine": ENGINE,
        }
    ]
)
ANNOUNCEMENT = {
    "service": "desk",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 5,
    "sequence": 1,
    "born": 1_700_000_000_000,
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
    "size": 4,
}
REPORT = {
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
    "step": 9,
    "num_running": 4,
    "map": 2,
    "pace": 1.5,
    "queue_depth": 3,
    "prepared": 4,
    "armed": {"version": 4, "step": 7},
    "held": 5,
}


def vary(document: Any) -> Iterator[Any]:
    """Yield copies of a document, each with another number marked."""
    if isinstance(document, dict):
        for key, value in document.items():
            yield from ({**document, key: varied} for varied in vary(value))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            for varied in vary(value):
                yield [*document[:index], varied, *document[index + 1 :]]
    elif isinstance(document, int | float) and not isinstance(document, bool):
        yield MARK


def texts(document: Any) -> list[bytes]:
    """Return the document with each odd number in each of its places."""
    return [
        json.dumps(varied).replace(f'"{MARK}"', number).encode()
        for varied in vary(document)
        for number in NUMBERS
    ]


def all_numbers(value: Any) -> Iterator[float]:
    """Yield all numbers in a value of tuples, lists and dictionaries."""
    if isinstance(value, float | int):
        yield value
    elif isinstance(value, dict):
        for one in value.values():
            yield from all_numbers(one)
    elif isinstance(value, Iterable) and not isinstance(value, str | bytes):
        for one in value:
            yield from all_numbers(one)


def check_finite(value: Any, text: bytes) -> None:
    floats = [one for one in all_numbers(value) if isinstance(one, float)]
    odd = [number for number in floats if not math.isfinite(number)]
    assert odd == [], text[:2_000]


class TestOddNumbers:
    def test_a_configuration_with_one_is_refused_or_usable(self) -> None:
        """Guards against a timeout that is no number in force everywhere."""
        for text in texts(CONFIGURATION):
            for update in decode_items([PublishedItem("op/config", 5, text)], 100.0):
                assert isinstance(update, TablePublished)
                check_finite(update, text)

    def test_an_announcement_with_one_removes_its_endpoint_or_is_usable(self) -> None:
        for text in texts(ANNOUNCEMENT):
            (update,) = decode_items([PublishedItem("servers/i-1", 5, text)], 100.0)
            if isinstance(update, EndpointPublished):
                check_finite(update, text)

    def test_a_report_with_one_is_refused_or_usable(self) -> None:
        """Guards against a group whose map a rank keeps from being planned."""
        for text in texts(REPORT):
            report = decode_rank_report(RankResponse(200, text.decode()), 0)
            check_finite(report.value_or(()), text)

    def test_counts_and_experts_with_one_are_refused_or_usable(self) -> None:
        for text in texts({"counts": [[5, 7], [1, 2]]}):
            response = RankResponse(200, text.decode())
            check_finite(decode_expert_counts(response, 2, 2).value_or(()), text)
        for text in texts({"map": {"experts": [[0, 1], [1, 0]]}}):
            response = RankResponse(200, text.decode())
            check_finite(decode_rank_experts(response).value_or(()), text)

    def test_values_and_items_of_the_store_with_one_are_refused_or_usable(self) -> None:
        for text in texts({"revision": 5, "value": "text"}):
            check_finite(_decode_value("fleet", text, 0).value_or(()), text)
        for number in NUMBERS:
            try:
                values = json.loads(f'[{{"key":"a","revision":{number}}}]')
            except ValueError:
                continue
            check_finite(_decode_items(values), number.encode())

    def test_a_probe_with_one_leaves_the_engine_up(self) -> None:
        for text in texts({"boot": 5, "limit": 3}):
            check_finite(_parse_status(text), text)


class TestRequestHeads:
    @pytest.mark.parametrize(
        "name",
        [
            "HTTP_LAST_EVENT_ID",
            "HTTP_X_MINTSADDLE_DEADLINE_MS",
            "HTTP_X_MINTSADDLE_TOKEN_USAGE",
            "HTTP_X_MINTSADDLE_PROMPT_PREFIX",
            "HTTP_X_MINTSADDLE_ATTEMPT_ID",
            "HTTP_API_KEY",
        ],
    )
    @given(
        text=st.one_of(
            st.sampled_from([number.strip('"') for number in NUMBERS]),
            st.text(st.characters(max_codepoint=255), max_size=40),
            st.from_regex(r"[-+0-9eE.,:_ a-f]{0,30}", fullmatch=True),
        )
    )
    def test_any_text_is_read(self, name: str, text: str) -> None:
        """Guards against a request that raises an exception by its head."""
        environ = {name: text}
        head = read_request_head(environ)
        make_endpoint_headers(environ, "i-1", "north", 1.0, head.last_event)
        if head.seconds_left is not None:
            assert not math.isnan(head.seconds_left)
