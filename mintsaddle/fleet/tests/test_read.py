"""Tests of parsing, checking, comparing and explaining fleet texts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from mintsaddle.fleet import (
    Fleet,
    Marks,
    explain_service,
    plan_change,
    read_fleet,
    read_marks,
)

GOOD = """\
[fleet]
name = eftersend

[data centre dk1]
region = dk-east

[data centre dk2]
region = dk-east

[entry dk1-entry]
data centre = dk1
address = 10.1.0.1:7000

[endpoint dk1-orders]
data centre = dk1
address = 10.1.0.2:7000

[endpoint dk2-orders]
data centre = dk2
address = 10.2.0.2:7000

[service redirections]
kind = plain
repeat = no
endpoints = dk1-orders dk2-orders
bootstrap = 2026-12-03T08:00:00Z

[workspace odense]
share = 3
services = redirections
"""


def read(text: str) -> Fleet:
    return read_fleet("fleet", text).unwrap()


class TestReadFleet:
    def test_good_text(self) -> None:
        fleet = read(GOOD)
        assert fleet.services["redirections"].endpoints == ("dk1-orders", "dk2-orders")
        assert fleet.data_centre_of("dk2-orders") == "dk2"

    @pytest.mark.parametrize(
        ("old", "new", "line", "problem"),
        [
            ("name = eftersend", "", 1, "is missing"),
            ("region = dk-east", "region = dk-east\nzone = 1", 6, "is unknown"),
            ("10.1.0.1:7000", "localhost:7000", 12, "is not IP:PORT"),
            ("10.1.0.2:7000", "10.1.0.1:7000", 16, "belongs to [entry dk1-entry]"),
            ("data centre = dk2", "data centre = dk9", 19, "add [data centre dk9]"),
            ("repeat = no", "repeat = never", 24, "is not one of: no, yes"),
            (
                "endpoints = dk1-orders dk2-orders",
                "endpoints = dk1-orders dk1-orders",
                25,
                "more than once",
            ),
            ("2026-12-03T08:00:00Z", "2026-12-03", 26, "not a date with a time zone"),
            ("share = 3", "share = nan", 29, "is not within"),
            ("services = redirections", "services = x", 30, "add [service x]"),
            ("[workspace odense]", "[workspace a b]", 28, "a single-word name"),
            ("[workspace odense]", "[tenant odense]", 28, "not a known section"),
            ("kind = plain", "depends on = redirections", 23, "depends on itself"),
            ("kind = plain", "cold limit = 9\nlimit = 4", 23, "not within 1 and 4"),
        ],
    )
    def test_finding_has_its_line(
        self, old: str, new: str, line: int, problem: str
    ) -> None:
        result = read_fleet("fleet", GOOD.replace(old, new, 1))
        assert isinstance(result, Failure), new
        found = [(item.line, item.problem) for item in result.failure()]
        assert any(at == line and problem in text for at, text in found), found

    def test_all_findings_come_together(self) -> None:
        text = GOOD.replace("share = 3", "share = x").replace("dk1\n", "dk7\n", 1)
        result = read_fleet("fleet", text)
        assert isinstance(result, Failure)
        assert [item.line for item in result.failure()] == [11, 29]

    def test_text_over_a_megabyte_is_refused(self) -> None:
        result = read_fleet("fleet", GOOD + "#" * 1_100_000)
        assert isinstance(result, Failure)
        assert "the platform stores no more" in result.failure()[0].problem

    @given(st.text(alphabet="[]=: \nabcfleet;#%\x00é", max_size=60))
    def test_any_text_gives_a_fleet_or_findings(self, text: str) -> None:
        result = read_fleet("fleet", GOOD + text)
        assert isinstance(result, Success) or result.failure()


class TestReadMarks:
    def test_out_data_centre_takes_its_vms(self) -> None:
        marks = read_marks("marks", "[marks]\ndata centre dk1 = out\n").unwrap()
        fleet = read(GOOD)
        assert marks.is_out(fleet, "dk1-orders")
        assert not marks.is_out(fleet, "dk2-orders")

    @pytest.mark.parametrize(
        "text", ["[marks]\ndk1 = out\n", "[marks]\nvm a = gone\n", "[mark]\n"]
    )
    def test_bad_marks_have_findings(self, text: str) -> None:
        result = read_marks("marks", text)
        assert isinstance(result, Failure)
        assert result.failure()[0].line > 0


class TestPlanChange:
    def test_forgotten_home_is_unsafe(self) -> None:
        new = GOOD.replace(
            "endpoints = dk1-orders dk2-orders", "endpoints = dk1-orders"
        )
        changes = plan_change(read(GOOD), read(new))
        assert changes[0].unsafe
        assert "dk2-orders may still run orders" in changes[0].text

    def test_former_home_makes_it_safe(self) -> None:
        new = GOOD.replace(
            "endpoints = dk1-orders dk2-orders",
            "endpoints = dk1-orders\nformer endpoints = dk2-orders",
        )
        changes = plan_change(read(GOOD), read(new))
        assert not any(change.unsafe for change in changes)
        assert any("get another home" in change.text for change in changes)

    def test_same_text_changes_nothing(self) -> None:
        assert plan_change(read(GOOD), read(GOOD)) == ()


class TestExplainService:
    def test_shows_what_is_left(self) -> None:
        fleet = read(GOOD)
        placements = explain_service(fleet, fleet.services["redirections"])
        shown = [(item.situation, item.endpoints) for item in placements]
        assert shown == [
            ("all in", ("dk1-orders", "dk2-orders")),
            ("dk1 out", ("dk2-orders",)),
            ("dk2 out", ("dk1-orders",)),
        ]

    def test_marked_vm_is_left_out(self) -> None:
        marks = Marks(frozenset(), frozenset(["dk1-orders"]))
        assert marks.is_out(read(GOOD), "dk1-orders")
