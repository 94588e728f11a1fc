"""Tests of the settings of a daemon."""

import pytest
from returns.result import Failure

from mintsaddle.settings import Role, read_settings

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
