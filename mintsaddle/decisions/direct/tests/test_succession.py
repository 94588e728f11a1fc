"""Tests the order in which entries take up duties of a data centre."""

import random

import pytest

from mintsaddle.decisions.direct import (
    Directory,
    Incarnation,
    KnownEntry,
    Membership,
    RankAssignment,
    preferred_data_centres,
    rank_successors,
)
from mintsaddle.values import rank_by_score

DUTY = "maps g"
ENTRIES = {f"e-{number}": "abbbbbcccc"[number] for number in range(10)}


def make_members(entries: dict[str, str], now: float) -> dict[str, Membership]:
    members = {
        vm: Membership(vm, f"{vm}:1", [], data_centre=name)
        for vm, name in entries.items()
    }
    for member in members.values():
        for vm, name in entries.items():
            member.record_entry(KnownEntry(vm, f"{vm}:1", now, name))
    return members


def make_directory(data_centres: str, evacuated: str = "") -> Directory:
    endpoints = {}
    for rank, name in enumerate(data_centres):
        assignment = RankAssignment("g", 3, rank, len(data_centres), True)
        endpoints[f"r-{rank}"] = Incarnation(
            f"r-{rank}", "llm", "10.0.0.1:80", name, 6, False, 0.0, 1, assignment
        )
    return Directory(endpoints=endpoints, evacuated=frozenset(evacuated))


class TestPreferredDataCentres:
    @pytest.mark.parametrize(
        ("data_centres", "evacuated", "expected"),
        [
            ("aabbb", "", "b"),
            ("bbaac", "", ""),
            ("bbbaac", "", ""),
            ("bbbbaac", "", "b"),
            ("aabbb", "b", "a"),
            ("aabbb", "ab", ""),
        ],
    )
    def test_the_majority_of_serving_ranks_decides(
        self, data_centres: str, evacuated: str, expected: str
    ) -> None:
        directory = make_directory(data_centres, evacuated)
        assert preferred_data_centres(directory) == {"g": expected}

    def test_the_order_of_announcements_is_irrelevant(self) -> None:
        """Guards against two entries that prefer different data centres."""
        directory = make_directory("ccaabb")
        names = list(directory.endpoints)
        random.Random(1).shuffle(names)
        shuffled = {name: directory.endpoints[name] for name in names}
        other = directory._replace(endpoints=shuffled)
        assert preferred_data_centres(directory) == preferred_data_centres(other)

    def test_endpoints_without_a_group_have_no_duty(self) -> None:
        directory = make_directory("a")
        single = directory.endpoints["r-0"]._replace(assignment=None)
        assert preferred_data_centres(Directory(endpoints={"r-0": single})) == {}


class TestRankSuccessors:
    @pytest.mark.parametrize("number", range(20))
    def test_a_data_centre_goes_first_and_has_one_successor_elsewhere(
        self, number: int
    ) -> None:
        """Guards against a cut that takes the holder and both watchdogs."""
        duty = f"maps {number}"
        ranked = rank_by_score(duty, ENTRIES)
        order = rank_successors(duty, "b", ENTRIES)
        near = [vm for vm in ranked if ENTRIES[vm] == "b"]
        far = [vm for vm in ranked if ENTRIES[vm] != "b"]
        assert order == [*near[:2], far[0], *near[2:], *far[1:]]

    @pytest.mark.parametrize("preferred", ["", "z"])
    def test_without_entries_there_the_order_is_unchanged(self, preferred: str) -> None:
        ranked = list(rank_by_score(DUTY, ENTRIES))
        assert rank_successors(DUTY, preferred, ENTRIES) == ranked

    def test_one_entry_is_followed_by_the_others(self) -> None:
        order = rank_successors(DUTY, "a", ENTRIES)
        ranked = [vm for vm in rank_by_score(DUTY, ENTRIES) if vm != "e-0"]
        assert order == ["e-0", *ranked]


class TestPreferredHolder:
    @pytest.mark.parametrize("preferred", ["", "a", "b", "c", "z"])
    def test_entries_with_the_same_view_agree(self, preferred: str) -> None:
        """Guards against two coordinators of one group."""
        members = make_members(ENTRIES, 1.0)
        indices = {
            vm: member.succession_index(DUTY, 1.0, preferred)
            for vm, member in members.items()
        }
        assert sorted(i for i in indices.values() if i is not None) == list(range(10))
        (holder,) = [vm for vm in members if indices[vm] == 0]
        assert members[holder].is_holder(DUTY, 1.0, preferred)
        if preferred in ENTRIES.values():
            assert ENTRIES[holder] == preferred

    def test_a_lost_data_centre_is_succeeded_by_the_others(self) -> None:
        """Guards against a duty that stays with a lost data centre."""
        members = make_members(ENTRIES, 1.0)
        left = {vm: name for vm, name in ENTRIES.items() if name != "b"}
        for vm in left:
            for other, name in left.items():
                members[vm].record_entry(KnownEntry(other, f"{other}:1", 4.0, name))
        holders = [vm for vm in left if members[vm].is_holder(DUTY, 4.0, "b")]
        assert holders == [rank_by_score(DUTY, left)[0]]

    def test_a_duty_returns_with_the_data_centre(self) -> None:
        """Guards against polls from afar that go on after a recovery."""
        members = make_members(ENTRIES, 4.0)
        holders = [vm for vm in ENTRIES if members[vm].is_holder(DUTY, 4.0, "b")]
        assert [ENTRIES[vm] for vm in holders] == ["b"]

    def test_the_first_successors_watch_the_holder(self) -> None:
        """Guards against a dead holder that nobody polls."""
        members = make_members(ENTRIES, 1.0)
        order = rank_successors(DUTY, "b", ENTRIES)
        watchers = {
            vm: member.holders_to_watch({DUTY: "b"}, 1.0)
            for vm, member in members.items()
        }
        expected = {vm: [f"{order[0]}:1"] for vm in order[1:4]}
        assert {vm: held for vm, held in watchers.items() if held} == expected
        assert {ENTRIES[vm] for vm in expected} > {"b"}
