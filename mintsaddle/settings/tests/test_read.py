"""Tests of the settings of a daemon."""

import pytest
from returns.result import Failure

from mintsaddle.settings import DEFAULT_REQUEST_LIMITS, Role, read_settings

GOOD = """\
[daemon]
role = entry
vm = dk1-entry
data centre = dk1
address = 10.0.0.1:7000
platform = 10.0.0.9:80
http = 10.0.0.1:8080
"""


class TestReadSettings:
    def test_good_settings(self) -> None:
        settings = read_settings("file", GOOD).unwrap()
        assert (settings.role, settings.vm) == (Role.ENTRY, "dk1-entry")

    def test_limits_have_defaults(self) -> None:
        settings = read_settings("file", GOOD).unwrap()
        assert settings.requests == DEFAULT_REQUEST_LIMITS
        changed = read_settings("file", f"{GOOD}body seconds = 5\n").unwrap()
        assert changed.requests.body_seconds == 5.0

    @pytest.mark.parametrize(
        ("old", "new", "line", "problem"),
        [
            ("role = entry", "role = exit", 2, "not one of: endpoint, entry"),
            ("vm = dk1-entry", "", 1, "is missing"),
            ("10.0.0.1:7000", "10.0.0.1", 5, "is not IP:PORT"),
            (
                "http = 10.0.0.1:8080",
                "engine = 10.0.0.1:1",
                7,
                "applies only to an endpoint",
            ),
            ("http =", "threads = 0\nhttp =", 7, "not within 1"),
            ("http =", "memory = 1\nhttp =", 7, "not within 64"),
            ("http =", "request memory share = 0\nhttp =", 7, "not within 0.01"),
            ("http =", "body seconds = never\nhttp =", 7, "is not a number"),
            ("http =", "unfinished share = 2\nhttp =", 7, "not within 0.05"),
            ("http =", "framing factor = nan\nhttp =", 7, "not within 1.0"),
            ("[daemon]", "[demon]", 1, "the only one is [daemon]"),
        ],
    )
    def test_finding_has_its_line(
        self, old: str, new: str, line: int, problem: str
    ) -> None:
        result = read_settings("file", GOOD.replace(old, new, 1))
        assert isinstance(result, Failure)
        found = [(item.line, item.problem) for item in result.failure()]
        assert any(at == line and problem in text for at, text in found), found
