"""Data centres that an entry can't reach."""

from mintsaddle.decisions.direct import PathBeliefs
from mintsaddle.decisions.direct._paths import SUSPECT_MISSES

ALL = ("a", "b", "c")


def miss(paths: PathBeliefs, data_centre: str, times: int = SUSPECT_MISSES) -> None:
    for _ in range(times):
        paths.record_miss(data_centre)


class TestDoubts:
    def test_some_missing_answers_in_a_row_are_checked(self) -> None:
        paths = PathBeliefs("a")
        miss(paths, "b", SUSPECT_MISSES - 1)
        paths.record_answer("b")
        miss(paths, "b", SUSPECT_MISSES - 1)
        assert paths.to_check() == ()
        assert paths.record_miss("b")
        assert paths.to_check() == ("b",)

    def test_nothing_is_cut_before_a_check_confirms_it(self) -> None:
        """Guards against dead agents that are taken for a cut."""
        paths = PathBeliefs("a")
        miss(paths, "b")
        assert not paths.is_cut("b")
        assert not paths.record_check("b", ALL, reached=True)
        assert paths.to_check() == ()

    def test_the_own_data_centre_is_never_in_doubt(self) -> None:
        paths = PathBeliefs("a")
        miss(paths, "a")
        assert paths.to_check() == ()


class TestCuts:
    def test_a_cut_is_checked_until_it_ends(self) -> None:
        paths = PathBeliefs("a")
        miss(paths, "b")
        assert paths.record_check("b", ALL, reached=False)
        assert not paths.record_check("b", ALL, reached=False)
        assert paths.is_cut("b")
        assert not paths.is_cut("c")
        assert paths.record_check("b", ALL, reached=True)
        assert not paths.is_cut("b")

    def test_one_cut_puts_all_paths_in_doubt(self) -> None:
        """Guards against callers of a data centre that is cut off."""
        paths = PathBeliefs("a")
        paths.record_check("b", ALL, reached=False)
        assert set(paths.to_check()) == {"b", "c"}
        paths.record_check("c", ALL, reached=True)
        assert paths.to_check() == ("b",)

    def test_an_answer_ends_a_cut_at_once(self) -> None:
        paths = PathBeliefs("a")
        paths.record_check("b", ALL, reached=False)
        paths.record_answer("b")
        assert not paths.is_cut("b")


class TestIsolation:
    def test_whoever_reaches_no_other_data_centre_is_isolated(self) -> None:
        paths = PathBeliefs("a")
        paths.record_platform(reached=False)
        paths.record_check("b", ALL, reached=False)
        assert not paths.is_isolated(ALL)
        paths.record_check("c", ALL, reached=False)
        assert paths.is_isolated(ALL)

    def test_the_last_data_centre_that_lives_is_not(self) -> None:
        """Guards against sending callers to data centres without power."""
        paths = PathBeliefs("a")
        for name in "bc":
            paths.record_check(name, ALL, reached=False)
        assert not paths.is_isolated(ALL)

    def test_a_single_data_centre_is_not(self) -> None:
        paths = PathBeliefs("a")
        paths.record_platform(reached=False)
        assert not paths.is_isolated(("a",))
