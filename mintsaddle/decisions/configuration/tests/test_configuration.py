"""Tests for adoption, relay sources and readiness of configurations."""

import pytest

from mintsaddle.decisions.configuration import (
    FAN_OUT,
    READERS_PER_DATA_CENTRE,
    Adoption,
    ConfigurationState,
    ReadinessGate,
    SourceKind,
    adopt_marks,
    adopt_text,
    choose_sources,
    is_open,
    must_wait_for_text,
)
from mintsaddle.fleet import Fleet, read_fleet
from mintsaddle.values import Stamp

GOOD = "[fleet]\nname = c\n"
BAD = "[fleet]\n"
NOW = 100.0


def make_fleet(centres: int, each: int) -> Fleet:
    parts = [GOOD]
    for centre in range(centres):
        parts.append(f"[data centre dc{centre}]\nregion = r\n")
        for number in range(each):
            address = f"10.{centre}.{number // 250}.{number % 250}:7"
            parts.append(
                f"[entry dc{centre}-{number}]\ndata centre = dc{centre}\n"
                f"address = {address}\n"
            )
    return read_fleet("fleet", "".join(parts)).unwrap()


class TestAdoptText:
    @pytest.mark.parametrize(
        ("offers", "adoptions", "revision"),
        [
            ([(7, GOOD), (8, GOOD)], "ADOPTED ADOPTED", 8),
            ([(8, GOOD), (7, GOOD)], "ADOPTED NOT_NEWER", 8),
            ([(7, GOOD), (8, BAD), (8, BAD)], "ADOPTED REFUSED REFUSED", 7),
            ([(8, BAD), (9, GOOD)], "REFUSED ADOPTED", 9),
            ([(7, GOOD), (9, "\x00garbage")], "ADOPTED REFUSED", 7),
            ([(7, GOOD), (9, "#" * 1_100_000)], "ADOPTED REFUSED", 7),
        ],
    )
    def test_only_newer_and_good(
        self, offers: list[tuple[int, str]], adoptions: str, revision: int
    ) -> None:
        state = ConfigurationState()
        found = [adopt_text(state, number, text) for number, text in offers]
        assert found == [Adoption[name] for name in adoptions.split()]
        assert state.text_revision == revision

    def test_bad_marks_leave_the_old(self) -> None:
        state = ConfigurationState()
        adopt_marks(state, 1, "[marks]\nvm a = out\n")
        assert adopt_marks(state, 2, "[marks]\nvm a = maybe\n") is Adoption.REFUSED
        assert state.marks.vms == {"a"}

    def test_refused_revision_is_not_waited_for(self) -> None:
        state = ConfigurationState()
        adopt_text(state, 8, BAD)
        assert not must_wait_for_text(state, Stamp("a", 1, 8, 0))
        assert must_wait_for_text(state, Stamp("a", 1, 9, 0))


class TestSources:
    def test_readers_do_not_grow_with_the_fleet(self) -> None:
        for each in (20, 200):
            fleet = make_fleet(2, each)
            firsts = [
                choose_sources(fleet, vm, vm.partition("-")[0])[0]
                for vm in fleet.vm_names()
            ]
            readers = [item for item in firsts if item.kind is SourceKind.PLATFORM]
            assert len(readers) == 2 * READERS_PER_DATA_CENTRE, each
            followed = [item.vm for item in firsts if item.vm]
            most = max(followed.count(vm) for vm in set(followed))
            assert most <= FAN_OUT, each

    def test_platform_is_read_when_relays_are_unresponsive(self) -> None:
        fleet = make_fleet(1, 20)
        vms = fleet.vm_names()
        follower = next(vm for vm in vms if choose_sources(fleet, vm, "dc0")[0].vm)
        sources = choose_sources(fleet, follower, "dc0", vms)
        assert [item.kind for item in sources] == [SourceKind.PLATFORM]


class TestReadinessGate:
    @pytest.mark.parametrize(
        ("gate", "has_text", "opens"),
        [
            (ReadinessGate(frozenset("ab"), give_up_at=NOW + 1), True, False),
            (
                ReadinessGate(
                    frozenset("ab"), platform_answered=True, give_up_at=NOW + 1
                ),
                True,
                False,
            ),
            (
                ReadinessGate(
                    frozenset("ab"), frozenset("a"), frozenset("b"), give_up_at=NOW + 1
                ),
                True,
                True,
            ),
            (
                ReadinessGate(frozenset("ab"), platform_answered=True, give_up_at=NOW),
                True,
                True,
            ),
            (ReadinessGate(frozenset("ab"), give_up_at=NOW), True, False),
            (ReadinessGate(frozenset(), platform_answered=True), False, False),
        ],
    )
    def test_opens_only_once_sources_have_answered(
        self, gate: ReadinessGate, has_text: bool, opens: bool
    ) -> None:
        state = ConfigurationState()
        if has_text:
            adopt_text(state, 7, GOOD)
        assert is_open(gate, state, NOW) is opens
