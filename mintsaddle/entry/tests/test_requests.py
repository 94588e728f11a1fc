"""Tests for parsing callers' requests and rejecting invalid ones."""

import json
from typing import Any

import pytest
from returns.result import Failure

from mintsaddle.entry._answers import respond_with_problem
from mintsaddle.entry._requests import Problem, read_request, read_target
from mintsaddle.fleet import read_fleet

FLEET_TEXT = """
[fleet]
name = requests
[data centre a]
region = r
[endpoint one]
data centre = a
address = 10.0.0.1:7
[service letters]
endpoints = one
longest = 30
[service orders]
endpoints = one
repeat = no
[workspace counter]
services = orders letters
[workspace other]
services = orders
"""
FLEET = read_fleet("fleet", FLEET_TEXT).unwrap()
NOW = 1_800_000_000.0
SUPPLIED_KEY = "01938a3c-8000-7000-8000-000000000001"


def environ(**headers: str) -> dict[str, Any]:
    return {"HTTP_WORKSPACE": "counter", **{f"HTTP_{k}": v for k, v in headers.items()}}


class TestTarget:
    @pytest.mark.parametrize(
        ("path", "method", "name", "wants_key"),
        [
            ("/letters/draft", "POST", "letters", False),
            ("/orders/keys", "POST", "orders", True),
            ("/orders/keys", "GET", "orders", False),
            ("/letters/keys", "POST", "letters", False),
        ],
    )
    def test_path_names_the_service(
        self, path: str, method: str, name: str, wants_key: bool
    ) -> None:
        target = read_target({"PATH_INFO": path, "REQUEST_METHOD": method}, FLEET)
        assert target.unwrap() == (FLEET.services[name], wants_key)

    def test_unknown_service_names_the_known(self) -> None:
        result = read_target({"PATH_INFO": "/x"}, FLEET)
        assert isinstance(result, Failure)
        assert "the services are: letters orders" in result.failure().text


class TestRequest:
    @pytest.mark.parametrize(
        ("headers", "deadline"),
        [
            ({}, NOW + 30),
            ({"TIMEOUT": "5"}, NOW + 5),
            ({"DEADLINE": str(NOW + 7)}, NOW + 7),
            ({"TIMEOUT": "500"}, NOW + 30),
        ],
    )
    def test_timeout_becomes_a_deadline(
        self, headers: dict[str, str], deadline: float
    ) -> None:
        service = FLEET.services["letters"]
        request = read_request(environ(**headers), FLEET, service, NOW, b"").unwrap()
        assert request.deadline == deadline

    @pytest.mark.parametrize(
        ("headers", "problem"),
        [
            ({"WORKSPACE": "x"}, "Workspace: 'x' is not in the fleet text"),
            ({"WORKSPACE": "other"}, "may not call 'letters'"),
            ({"TIMEOUT": "soon"}, "Timeout: 'soon' is not a number"),
            ({"DEADLINE": "nan"}, "Deadline: 'nan' is not a number"),
            ({"PRIORITY": "10"}, "Priority: '10' is not a number from 0 to 9"),
            ({"PRIORITY": "9" * 5_000}, "is not a number from 0 to 9"),
        ],
    )
    def test_problem_names_its_header(
        self, headers: dict[str, str], problem: str
    ) -> None:
        service = FLEET.services["letters"]
        result = read_request(environ(**headers), FLEET, service, NOW, b"")
        assert isinstance(result, Failure)
        assert problem in result.failure().text

    def test_all_problems_come_together(self) -> None:
        bad = environ(TIMEOUT="x", PRIORITY="y", IDEMPOTENCY_KEY="z")
        result = read_request(bad, FLEET, FLEET.services["orders"], NOW, b"")
        assert isinstance(result, Failure)
        assert result.failure().text.count(";") == 2 + 1

    def test_key_of_an_order_is_read(self) -> None:
        given = environ(IDEMPOTENCY_KEY=SUPPLIED_KEY)
        request = read_request(given, FLEET, FLEET.services["orders"], NOW, b"")
        key = request.unwrap().key
        assert key is not None
        assert key.text == SUPPLIED_KEY


class TestRespondWithProblem:
    @pytest.mark.parametrize(
        ("has_key", "outcome"), [(False, "not-run"), (True, "ask-again")]
    )
    def test_nothing_is_claimed_of_a_key(self, has_key: bool, outcome: str) -> None:
        """Guards against ``not-run`` for a key whose first attempt may run."""
        seen: list[tuple[str, str]] = []
        problem = Problem("400 Bad Request", "Timeout: 'x' is not a number")
        body = respond_with_problem(
            lambda _, h: seen.extend(h), problem, has_key=has_key
        )
        assert ("Mintsaddle-Outcome", outcome) in seen
        assert json.loads(b"".join(body))["outcome"] == outcome
