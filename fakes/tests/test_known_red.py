"""Tests of the list of known failures and of the hooks that apply it."""

from pathlib import Path

import pytest

from fakes.known_red import FILE_NAME, read_known_red

pytest_plugins = ["pytester"]

LISTED = """\
# Tests that fail for a fault that is still open.
test_a.py::test_listed
    command: scripts/test test_a.py
    issue: 1
"""


class TestReading:
    def test_only_ids_of_tests_are_read(self, tmp_path: Path) -> None:
        (tmp_path / FILE_NAME).write_text(LISTED)
        assert read_known_red(tmp_path) == ["test_a.py::test_listed"]

    def test_a_checkout_without_a_list_has_no_known_failures(
        self, tmp_path: Path
    ) -> None:
        assert read_known_red(tmp_path) == []


class TestRuns:
    @pytest.fixture
    def checkout(self, pytester: pytest.Pytester) -> pytest.Pytester:
        hooks = Path(__file__).parents[2] / "conftest.py"
        pytester.makeconftest(hooks.read_text())
        pytester.makefile(".txt", **{FILE_NAME.removesuffix(".txt"): LISTED})
        return pytester

    @pytest.mark.parametrize(
        ("body", "outcome"),
        [("assert False", {"xfailed": 1}), ("assert True", {"failed": 1})],
        ids=["still fails", "passes"],
    )
    def test_a_listed_test_has_to_fail(
        self, checkout: pytest.Pytester, body: str, outcome: dict[str, int]
    ) -> None:
        checkout.makepyfile(test_a=f"def test_listed() -> None:\n    {body}\n")
        result = checkout.runpytest("-p", "no:xdist")
        result.assert_outcomes(**outcome)
        result.stdout.fnmatch_lines(["KNOWN-RED test_a.py::test_listed"])

    def test_a_test_that_is_not_listed_may_not_fail(
        self, checkout: pytest.Pytester
    ) -> None:
        checkout.makepyfile(test_a="def test_other() -> None:\n    assert False\n")
        checkout.runpytest("-p", "no:xdist").assert_outcomes(failed=1)
