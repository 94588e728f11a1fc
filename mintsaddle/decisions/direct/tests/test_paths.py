"""Detection of unreachable data centres."""

from mintsaddle.decisions.direct import ReachabilityTracker
from mintsaddle.decisions.direct._paths import SUSPECT_MISSES

DATA_CENTRES = ("a", "b", "c")


def record_misses(
    paths: ReachabilityTracker, data_centre: str, times: int = SUSPECT_MISSES
) -> None:
    for _ in range(times):
        paths.record_miss(data_centre)


class TestSuspectPaths:
    def test_consecutive_missing_answers_are_checked(self) -> None:
        paths = ReachabilityTracker("a")
        record_misses(paths, "b", SUSPECT_MISSES - 1)
        paths.record_answer("b")
        record_misses(paths, "b", SUSPECT_MISSES - 1)
        assert paths.to_check() == ()
        assert paths.record_miss("b")
        assert paths.to_check() == ("b",)

    def test_nothing_is_unreachable_before_a_check_confirms_it(self) -> None:
        """Guards against mistaking crashed agents for a partition."""
        paths = ReachabilityTracker("a")
        record_misses(paths, "b")
        assert not paths.is_unreachable("b")
        assert not paths.record_check("b", DATA_CENTRES, reached=True)
        assert paths.to_check() == ()

    def test_the_own_data_centre_is_never_suspect(self) -> None:
        paths = ReachabilityTracker("a")
        record_misses(paths, "a")
        assert paths.to_check() == ()


class TestUnreachableDataCentres:
    def test_an_unreachable_data_centre_is_checked_until_it_is_reached(self) -> None:
        paths = ReachabilityTracker("a")
        record_misses(paths, "b")
        assert paths.record_check("b", DATA_CENTRES, reached=False)
        assert not paths.record_check("b", DATA_CENTRES, reached=False)
        assert paths.is_unreachable("b")
        assert not paths.is_unreachable("c")
        assert paths.record_check("b", DATA_CENTRES, reached=True)
        assert not paths.is_unreachable("b")

    def test_one_unreachable_data_centre_makes_all_paths_suspect(self) -> None:
        """Guards against not noticing that the own data centre is cut off."""
        paths = ReachabilityTracker("a")
        paths.record_check("b", DATA_CENTRES, reached=False)
        assert set(paths.to_check()) == {"b", "c"}
        paths.record_check("c", DATA_CENTRES, reached=True)
        assert paths.to_check() == ("b",)

    def test_an_answer_makes_a_data_centre_reachable_at_once(self) -> None:
        paths = ReachabilityTracker("a")
        paths.record_check("b", DATA_CENTRES, reached=False)
        paths.record_answer("b")
        assert not paths.is_unreachable("b")


class TestIsolation:
    def test_an_entry_that_reaches_no_other_data_centre_is_isolated(self) -> None:
        paths = ReachabilityTracker("a")
        paths.record_platform(reached=False)
        paths.record_check("b", DATA_CENTRES, reached=False)
        assert not paths.is_isolated(DATA_CENTRES)
        paths.record_check("c", DATA_CENTRES, reached=False)
        assert paths.is_isolated(DATA_CENTRES)

    def test_the_last_data_centre_in_operation_is_not(self) -> None:
        """Guards against redirecting callers to data centres without power."""
        paths = ReachabilityTracker("a")
        for name in "bc":
            paths.record_check(name, DATA_CENTRES, reached=False)
        assert not paths.is_isolated(DATA_CENTRES)

    def test_a_single_data_centre_is_not(self) -> None:
        paths = ReachabilityTracker("a")
        paths.record_platform(reached=False)
        assert not paths.is_isolated(("a",))
