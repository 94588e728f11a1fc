"""Tests of the polls of groups in several data centres."""

from collections.abc import Iterable

import pytest

from mintsaddle.decisions.direct import ExpertLayout, Incarnation
from mintsaddle.decisions.expert_maps import RankReport
from mintsaddle.direct._group_polls import GroupPoller
from mintsaddle.direct._rank_calls import GroupPoll, RankCalls
from mintsaddle.direct._rank_groups import RankGroup
from mintsaddle.direct.tests.clocks import Clock
from mintsaddle.platform.tests.test_taking_items import SETTINGS

LAYOUT = ExpertLayout(
    layers=24, experts=64, max_experts=7, max_new_experts=2, load_seconds=0.1
)


class FakeCalls(RankCalls):
    """Answers polls from memory and records them."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(SETTINGS, clock, lambda name: None)
        self.unreachable: frozenset[int] = frozenset()
        self.polls: list[tuple[frozenset[int], frozenset[int]]] = []
        self.running: dict[int, int] = {}
        self.ahead: frozenset[int] = frozenset()

    def reachable_ranks(self, group: RankGroup) -> frozenset[int]:
        return frozenset(range(len(group.ranks))) - self.unreachable

    def poll(
        self, group: RankGroup, ranks: Iterable[int], counted_ranks: Iterable[int] = ()
    ) -> GroupPoll:
        polled = frozenset(ranks)
        self.polls.append((polled, frozenset(counted_ranks)))
        reports = {
            rank: RankReport(
                rank,
                3,
                True,
                False,
                len(self.polls) + (rank in self.ahead),
                self.running.get(rank, 0),
                1,
                None,
                None,
                None,
            )
            for rank in polled
        }
        return GroupPoll(reports, {})


def make_group(*data_centres: str, evacuated: str = "") -> RankGroup:
    ranks = tuple(
        Incarnation(f"r-{rank}", "llm", f"10.0.0.{rank}:80", name, 6, False, 0.0, 1)
        for rank, name in enumerate(data_centres)
    )
    serving = tuple(r for r, name in enumerate(data_centres) if name != evacuated)
    return RankGroup("g", "llm", ranks, LAYOUT, serving)


@pytest.fixture
def calls(clock: Clock) -> FakeCalls:
    return FakeCalls(clock)


@pytest.fixture
def poller(calls: FakeCalls, clock: Clock) -> GroupPoller:
    return GroupPoller(calls, "b", clock)


class TestPoll:
    def test_remote_ranks_are_called_at_most_a_fifth_as_often(
        self, calls: FakeCalls, poller: GroupPoller, clock: Clock
    ) -> None:
        """Guards against counts or reports that load links as before."""
        group = make_group(*"a" * 10, *"b" * 22)
        for _ in range(506):
            poller.poll(group)
            clock.now += 0.105
        steady = calls.polls[6:]
        called = [
            len([r for r in polled | counted if r < 10]) for polled, counted in steady
        ]
        assert sum(called) * 5 <= len(steady) * 10
        assert all(len(counted) == 10 for _, counted in steady)

    def test_counts_of_three_small_data_centres_are_read_in_each_poll(
        self, calls: FakeCalls, poller: GroupPoller, clock: Clock
    ) -> None:
        """Guards against a popularity that is late for most of the ranks."""
        layout = LAYOUT._replace(layers=10)
        group = make_group(*"aaaabbbbcccc")._replace(layout=layout)
        for _ in range(10):
            poller.poll(group)
            clock.now += 0.105
        assert all(counted == frozenset(range(12)) for _, counted in calls.polls)
        assert all(len(polled) <= 6 for polled, _ in calls.polls[1:])

    def test_a_group_busy_only_at_a_remote_rank_has_work(
        self, calls: FakeCalls, poller: GroupPoller, clock: Clock
    ) -> None:
        """Guards against a busy group that counts as idle between polls."""
        group = make_group(*"a" * 10, *"b" * 22)
        calls.running[4] = 2
        for _ in range(20):
            assert poller.poll(group).running == 2
            clock.now += 0.105

    @pytest.mark.parametrize("unreachable", [0, 20])
    def test_steps_are_read_from_the_same_rank_in_each_poll(
        self, calls: FakeCalls, poller: GroupPoller, clock: Clock, unreachable: int
    ) -> None:
        """Guards against step times of two ranks that are a step apart."""
        group = make_group(*"a" * 10, *"b" * 22)
        calls.ahead = frozenset(set(range(32)) - {10})
        calls.unreachable = frozenset(range(unreachable))
        for number in range(1, 20):
            report = poller.progress_report(group, poller.poll(group))
            assert report is not None
            assert (report.rank, report.step) == (10, number)
            clock.now += 0.105

    def test_all_reports_are_read_again_by_a_new_coordinator(
        self, calls: FakeCalls, poller: GroupPoller
    ) -> None:
        """Guards against reports from before the duty was held elsewhere."""
        group = make_group(*"aaaabbbb")
        poller.poll(group)
        poller.forget(group)
        poller.poll(group)
        assert [polled for polled, _ in calls.polls] == [frozenset(range(8))] * 2

    def test_over_the_network_few_ranks_are_polled(
        self, calls: FakeCalls, poller: GroupPoller
    ) -> None:
        calls.unreachable = frozenset(range(7))
        group = make_group(*"aaaabbbbcccc")
        assert not poller.is_reachable(group)
        poller.poll(group)
        assert calls.polls == [(frozenset({0, 3, 4, 5, 6}), frozenset({0, 6}))]


class TestPollSample:
    @pytest.mark.parametrize(
        ("data_centres", "evacuated", "unreachable", "expected"),
        [
            # One remote rank too: all requests may be there.
            ("aaaabbbb", "", (), {0, 4, 5, 6}),
            ("aaaaaabb", "", (), {0, 2, 4}),
            ("aaaabbbb", "", (4, 5), {0, 2, 6}),
            # Ranks that get no requests seem idle.
            ("aaaabbbb", "b", (), {0, 1, 2}),
        ],
    )
    def test_local_ranks_are_preferred(
        self,
        calls: FakeCalls,
        poller: GroupPoller,
        data_centres: str,
        evacuated: str,
        unreachable: tuple[int, ...],
        expected: set[int],
    ) -> None:
        calls.unreachable = frozenset(unreachable)
        poller.poll_sample(make_group(*data_centres, evacuated=evacuated))
        assert calls.polls == [(frozenset(expected), frozenset())]
