"""Tests which ranks are polled, and what partial polls tell of a group."""

from collections import Counter

import pytest

from mintsaddle.decisions.expert_maps import (
    MIN_LOCAL_RANKS,
    REMOTE_POLL_SECONDS,
    LastReports,
    MapWatch,
    RankReport,
    choose_counted_ranks,
    choose_polled_ranks,
    have_even_load,
)

POLL_SECONDS = 0.1
LOCAL, REMOTE = range(22), range(22, 32)
RANKS = range(32)


def make_report(rank: int, step: int, running: int, epoch: int = 3) -> RankReport:
    return RankReport(rank, epoch, True, False, step, running, 1, None, None, None)


class Poller:
    """Polls a simulated group; each rank runs the given number of requests."""

    def __init__(self, local: range = LOCAL) -> None:
        self.local = local
        self.last = LastReports()
        self.watch = MapWatch(3, 1, 2, 0.12)
        self.running = dict.fromkeys(RANKS, 0)
        self.silent: set[int] = set()
        self.epoch = 3
        self.polled: frozenset[int] = frozenset()
        self.known_running = 0

    def poll(self, step: int, now: float) -> None:
        self.polled = self.last.choose_ranks(RANKS, self.local, RANKS, now)
        reports = {
            rank: make_report(rank, step, self.running[rank], self.epoch)
            for rank in self.polled - self.silent
        }
        earlier = self.last.record(RANKS, self.local, self.polled, reports, now)
        known = {**earlier, **reports}
        self.known_running = sum(report.running for report in known.values())
        self.watch.record_step(step, self.known_running, now)


class TestChooseCountedRanks:
    @pytest.mark.parametrize(
        ("serving", "local", "count", "expected"),
        [
            # All serving ranks are counted if the count allows it.
            (range(12), range(4), 12, list(range(12))),
            (range(12), range(4), 55, list(range(12))),
            # Local ranks go first, evenly spread.
            (range(32), range(22), 10, [0, 2, 4, 6, 8, 11, 13, 15, 17, 19]),
            (range(8), range(4, 8), 2, [4, 6]),
            # Remote ranks fill up.
            (range(12), range(4), 10, [0, 1, 2, 3, 4, 5, 6, 8, 9, 10]),
            (range(8), (6,), 1, [6]),
            # Local ranks that receive no work don't count.
            (range(4, 12), range(4), 2, [4, 8]),
            ((), range(4), 2, []),
        ],
    )
    def test_local_ranks_go_first(
        self, serving: range, local: range, count: int, expected: list[int]
    ) -> None:
        assert choose_counted_ranks(serving, local, count) == expected

    @pytest.mark.parametrize("count", range(1, 34))
    def test_as_many_are_counted_as_there_are(self, count: int) -> None:
        """Guards against a popularity that follows from fewer ranks."""
        chosen = choose_counted_ranks(RANKS, LOCAL, count)
        assert len(set(chosen)) == min(count, len(RANKS))


class TestChoosePolledRanks:
    @pytest.mark.parametrize(
        ("answering", "due_at", "expected"),
        [
            ({0, 1, 2}, {3: 9.0, 4: 10.0, 5: 10.1}, {0, 1, 2, 3, 4}),
            ({0, 1, 2}, {3: 10.1, 4: 10.1}, {0, 1, 2, 5}),
            # Too few local ranks answer.
            ({0, 1, 3, 4, 5}, dict.fromkeys((3, 4, 5), 11.0), set(range(6))),
            (set(), {}, set(range(6))),
        ],
    )
    def test_remote_ranks_are_polled_when_due(
        self, answering: set[int], due_at: dict[int, float], expected: set[int]
    ) -> None:
        polled = choose_polled_ranks(range(6), {0, 1, 2}, answering, due_at, 10.0)
        assert polled == expected


class TestRemoteReplies:
    @pytest.mark.parametrize("poll_seconds", [0.1001, 0.105, 0.12])
    def test_remote_replies_fall_to_a_fifth_and_are_spread(
        self, poll_seconds: float
    ) -> None:
        """Guards against polls that load the links between data centres."""
        poller = Poller()
        poller.poll(0, 0.0)
        assert poller.polled == set(RANKS)
        replies = []
        for number in range(1, 601):
            poller.poll(number, number * poll_seconds)
            assert set(LOCAL) <= poller.polled
            replies.append(len(poller.polled.intersection(REMOTE)))
        steady = replies[5:]
        assert sum(steady) * 5 <= len(steady) * len(REMOTE)
        assert set(steady) == {2}

    def test_no_report_grows_old(self) -> None:
        """Guards against a slow or lost remote rank that isn't noticed."""
        poller = Poller()
        read_at = dict.fromkeys(RANKS, 0.0)
        for number in range(600):
            now = number * 0.105 + (0.3 if number > 300 else 0.0)
            poller.poll(number, now)
            read_at.update(dict.fromkeys(poller.polled, now))
            oldest = now - min(read_at.values())
            assert oldest <= REMOTE_POLL_SECONDS + 0.105

    def test_replies_are_spread_again_after_a_pause(self) -> None:
        """Guards against bursts of replies after each switch of a map."""
        poller = Poller()
        bursts: Counter[bool] = Counter()
        for number in range(100):
            poller.poll(number, number * 0.105 + 2.0 * (number > 50))
            bursts[len(poller.polled.intersection(REMOTE)) > 2] += 1
        assert bursts[True] == 2

    def test_with_few_local_ranks_all_are_polled(self) -> None:
        """Guards against decisions that follow from two ranks."""
        poller = Poller(range(MIN_LOCAL_RANKS - 1))
        for number in range(5):
            poller.poll(number, number * POLL_SECONDS)
            assert poller.polled == set(RANKS)

    def test_all_are_polled_while_local_ranks_do_not_answer(self) -> None:
        """Guards against a group that is unobserved with its data centre."""
        poller = Poller()
        poller.poll(0, 0.0)
        poller.silent = set(LOCAL)
        poller.poll(1, 0.1)
        poller.poll(2, 0.2)
        assert poller.polled == set(RANKS)

    def test_a_silent_remote_rank_is_polled_again_at_once(self) -> None:
        """Guards against a cut data centre that is noticed late."""
        poller = Poller()
        poller.poll(0, 0.0)
        poller.silent = {25}
        missed = 0
        for number in range(1, 8):
            poller.poll(number, number * 0.105)
            missed += 25 in poller.polled
        assert missed >= 2

    def test_in_a_new_epoch_all_are_polled(self) -> None:
        """Guards against speeds of a former epoch in a new map's plan."""
        poller = Poller()
        poller.poll(0, 0.0)
        poller.epoch = 4
        poller.poll(1, 0.1)
        polled = poller.polled
        poller.poll(2, 0.2)
        assert polled | poller.polled == set(RANKS)


class TestPartialPolls:
    def test_a_group_busy_only_at_remote_ranks_is_busy(self) -> None:
        """Guards against a busy group that counts as idle between polls."""
        poller = Poller()
        poller.running[25] = 2
        for number in range(30):
            poller.poll(number, number * POLL_SECONDS)
            assert poller.known_running == 2
        assert poller.watch.is_busy

    @pytest.mark.parametrize("busy_rank", [3, 25])
    def test_a_stall_is_detected_as_before(self, busy_rank: int) -> None:
        """Guards against a held group that seems to have no work."""
        poller = Poller()
        poller.running[busy_rank] = 1
        for number in range(10):
            poller.poll(number, number * POLL_SECONDS)
        stalled_at = []
        for number in range(10, 20):
            poller.poll(9, number * POLL_SECONDS)
            if poller.watch.is_stalled(number * POLL_SECONDS):
                stalled_at.append(number)
        assert stalled_at[0] == 16

    def test_work_that_has_ended_is_forgotten(self) -> None:
        """Guards against an idle group that stays busy by an old report."""
        poller = Poller()
        poller.running[25] = 2
        for number in range(10):
            poller.poll(number, number * POLL_SECONDS)
        poller.running[25] = 0
        for number in range(10, 17):
            poller.poll(number, number * POLL_SECONDS)
        assert poller.known_running == 0

    @pytest.mark.parametrize("change", ["silent", "epoch"])
    def test_reports_of_lost_ranks_are_dropped(self, change: str) -> None:
        """Guards against work of a lost rank or of a former epoch."""
        poller = Poller()
        poller.running[25] = 2
        poller.poll(0, 0.0)
        if change == "silent":
            poller.silent = {25}
        else:
            poller.epoch, poller.running[25] = 4, 0
        for number in range(1, 7):
            poller.poll(number, number * 0.105)
        assert poller.known_running == 0


class TestEvenLoad:
    @pytest.mark.parametrize(
        ("running", "expected"),
        [
            ({0: 3, 1: 3, 2: 3, 3: 3}, True),
            ({0: 1, 1: 1, 2: 3, 3: 3}, True),
            ({0: 0, 1: 0, 2: 3, 3: 3}, False),
            ({}, True),
        ],
    )
    def test_idle_local_ranks_show_no_popularity(
        self, running: dict[int, int], *, expected: bool
    ) -> None:
        """Guards against maps never planned because local ranks idle."""
        assert have_even_load([0, 1, 2, 3], {0, 1}, running) is expected
