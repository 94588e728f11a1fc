"""Tests of the INI parser and its line numbers."""

import pytest

from mintsaddle.ini import read_document


class TestReadDocument:
    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("key = 1\n", (1, "before the first")),
            ("[a]\nx = 1\n[a]\ny = 2\n", (3, "already at line 1")),
            ("[a]\nx = 1\ny = 1\nX = 2\n", (4, "already at line 2")),
            ("[a]\nrubbish\n", (2, "neither")),
        ],
    )
    def test_finding_names_the_line(self, text: str, expected: tuple[int, str]) -> None:
        findings = read_document("text", text).findings
        assert [finding.line for finding in findings] == [expected[0]]
        assert expected[1] in findings[0].problem

    def test_lines_of_sections_and_keys(self) -> None:
        section = read_document("text", "# note\n\n[a]\nx = 1\n  2\n\ny: 3\n").sections[
            0
        ]
        assert (section.line, section.lines["x"], section.lines["y"]) == (3, 4, 7)
