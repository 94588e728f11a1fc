"""Tests of the accounting of use by workspace, and of fair shares."""

import math
import time

import pytest

from mintsaddle.decisions.overload import (
    MAX_CALL_WORK,
    MAX_REPORTED_USES,
    OVER_SHARE,
    WorkspaceUse,
    call_work,
)
from mintsaddle.decisions.overload._workspace_use import (
    IDLE_SECONDS,
    MAX_NAME_LENGTH,
    OVERLOAD_WINDOW_SECONDS,
    PEER_USE_SECONDS,
    SHARE_UPDATE_SECONDS,
    USE_DECAY_SECONDS,
)
from mintsaddle.decisions.overload.tests.cluster import Cluster, Demand, max_min_share

ALL = 10**6
WARM_UP_SECONDS = PEER_USE_SECONDS
"""Time after which an entry has heard from as many peers as it will know."""


class TestCallWork:
    @pytest.mark.parametrize(
        ("tokens", "work"),
        [
            (None, 1.0),
            ((0.0, 0.0), 1.0),
            ((100.0, 20.0), 300.0),
            ((-100.0, 20.0), 1.0),
            ((100.0, -1.0), 1.0),
            ((math.nan, 20.0), 1.0),
            ((100.0, math.nan), 1.0),
            ((math.inf, 0.0), MAX_CALL_WORK),
            ((0.0, 1e300), MAX_CALL_WORK),
            ((1e308, 1e308), MAX_CALL_WORK),
        ],
    )
    def test_absurd_numbers_are_bounded(
        self, tokens: tuple[float, float] | None, work: float
    ) -> None:
        """Guards against a header that distorts the shares of others."""
        assert call_work(tokens) == work


def make_overloaded(rates: dict[str, float], now: float = 0.0) -> WorkspaceUse:
    """Return uses after calls of which one more wasn't admitted."""
    use = WorkspaceUse()
    for name, rate in rates.items():
        use.record(name, rate * USE_DECAY_SECONDS, now)
    use.record_not_admitted(now)
    return use


def names_over(use: WorkspaceUse, now: float) -> set[str]:
    names = {name for name, _ in use.top(now, ALL)}
    return {name for name in names if use.is_over_share(name, now)}


class TestShares:
    @pytest.mark.parametrize(
        ("rates", "over"),
        [
            ({"a": 90, "b": 10}, {"a"}),
            ({"a": 90, **{f"s{n}": 1 for n in range(10)}}, {"a"}),
            ({"a": 999, "b": 1}, {"a"}),
            ({"a": 100}, set()),
            ({"a": 50, "b": 50}, set()),
            ({"a": 55, "b": 45}, set()),
            # c and d want more, so a and b have to leave it to them.
            ({"a": 60, "b": 60, "c": 5, "d": 5}, {"a", "b"}),
            ({"": 90, "b": 10}, {""}),
            # 30 leave most of an equal share, of which b uses a part.
            ({"a": 50, "b": 10, **{f"s{n}": 1 for n in range(30)}}, {"a"}),
        ],
    )
    def test_a_workspace_above_its_max_min_share_is_over(
        self, rates: dict[str, float], over: set[str]
    ) -> None:
        """Guards against callers that are refused while one gets most."""
        assert names_over(make_overloaded(rates), 0.0) == over

    def test_nobody_is_over_share_without_overload(self) -> None:
        """Guards against changed decisions while capacity is sufficient."""
        use = WorkspaceUse()
        use.record("a", 1000.0, 0.0)
        use.record("b", 1.0, 0.0)
        assert not use.is_overloaded(0.0)
        assert names_over(use, 0.0) == set()
        use.record_not_admitted(0.0)
        assert use.is_over_share("a", 0.0)
        later = OVERLOAD_WINDOW_SECONDS + 0.1
        assert not use.is_overloaded(later)
        assert not use.is_over_share("a", later)

    def test_a_new_overload_starts_without_an_earlier_one(self) -> None:
        """Guards against a workspace that stays over share for hours."""
        use = make_overloaded({"a": 90, "b": 10})
        assert use.is_over_share("a", 0.0)
        later = 3600.0
        assert not use.is_over_share("a", later)
        for name in "ab":
            use.record(name, 10.0, later)
        use.record_not_admitted(later)
        assert names_over(use, later) == set()

    def test_one_active_workspace_is_never_over_share(self) -> None:
        """Guards against a share reserved for callers that have left."""
        use = make_overloaded({"a": 10, "b": 10})
        for now in range(1, 100):
            use.record("a", 10.0, float(now))
            use.record_not_admitted(float(now), "a")
            if now > IDLE_SECONDS + SHARE_UPDATE_SECONDS:
                assert not use.is_over_share("a", float(now))

    def test_an_unknown_workspace_is_not_over_share(self) -> None:
        assert not make_overloaded({"a": 9, "b": 1}).is_over_share("new", 0.0)

    def test_nothing_is_known_at_the_start(self) -> None:
        use = WorkspaceUse()
        use.record_not_admitted(0.0, "a")
        assert not use.is_over_share("a", 0.0)
        assert use.top(0.0, 5) == []

    def test_several_keys_of_a_workspace_count_together(self) -> None:
        """Guards against an advantage of callers with many keys."""
        holders = {f"key-{n}": "many" for n in range(8)}
        holders |= {f"other-{n}": f"one-{n}" for n in range(8)}
        use = WorkspaceUse()
        for holder in holders.values():
            use.record(holder, 10.0, 0.0)
        use.record_not_admitted(0.0)
        assert names_over(use, 0.0) == {"many"}

    def test_equal_work_is_treated_equally(self) -> None:
        """Guards against an advantage of many small or of few large calls."""
        use = WorkspaceUse()
        for _ in range(500):
            use.record("small", 2.0, 0.0)
        for _ in range(2):
            use.record("large", 500.0, 0.0)
        use.record("tiny", 1.0, 0.0)
        use.record_not_admitted(0.0)
        assert use.is_over_share("small", 0.0) == use.is_over_share("large", 0.0)
        assert dict(use.top(0.0, 2)) == {
            "small": pytest.approx(1000 / USE_DECAY_SECONDS),
            "large": pytest.approx(1000 / USE_DECAY_SECONDS),
        }


class TestOwnUse:
    def test_use_decays(self) -> None:
        use = WorkspaceUse()
        use.record("a", 100.0, 0.0)
        ((_, rate),) = use.top(USE_DECAY_SECONDS, 1)
        assert rate == pytest.approx(100.0 / USE_DECAY_SECONDS / math.e)

    def test_the_largest_uses_are_listed_first(self) -> None:
        use = make_overloaded({f"w{n}": n for n in range(1, 50)})
        top = use.top(0.0, MAX_REPORTED_USES)
        assert [name for name, _ in top] == [f"w{n}" for n in range(49, 33, -1)]

    def test_a_report_is_made_only_under_overload_and_bounded(self) -> None:
        """Guards against larger hellos while capacity is sufficient."""
        use = make_overloaded({f"w{n}": n for n in range(1, 50)})
        assert use.make_report(0.0) == use.top(0.0, MAX_REPORTED_USES)
        assert use.make_report(OVERLOAD_WINDOW_SECONDS + 0.1) == []
        assert WorkspaceUse().make_report(0.0) == []

    def test_idle_workspaces_are_forgotten(self) -> None:
        """Guards against state that grows with all workspaces ever seen."""
        use = WorkspaceUse()
        for number in range(50_000):
            use.record(f"w{number}", 1.0, number / 100)
        active = IDLE_SECONDS * 100
        assert len(use.top(500.0, ALL)) <= 2 * active + 1

    def test_shares_of_4700_workspaces_are_cheap(self) -> None:
        """Guards against more than 1% of a core for the shares."""
        use = make_overloaded({f"w{n}": 1 + n % 7 for n in range(4700)})
        use.set_entry_count(340)
        for peer in range(40):
            names = [(f"w{(peer * 31 + n) % 4700}", 5.0) for n in range(16)]
            use.record_peer(f"e-{peer}", names, 0.0)
        seconds = []
        for update in range(20):
            now = update * SHARE_UPDATE_SECONDS
            use.record_not_admitted(now)
            started_at = time.process_time()
            use.is_over_share("w1", now)
            seconds.append(time.process_time() - started_at)
        assert min(seconds) < 0.01 * SHARE_UPDATE_SECONDS

    def test_shares_are_not_computed_for_each_call(self) -> None:
        use = make_overloaded({"a": 90, "b": 10})
        assert use.is_over_share("a", 0.0)
        use.record("b", 10_000.0, 0.1)
        assert use.is_over_share("a", 0.2)
        assert not use.is_over_share("a", SHARE_UPDATE_SECONDS)


class TestPeers:
    def make_use(self) -> WorkspaceUse:
        return make_overloaded({"a": 10, "b": 10})

    def test_uses_of_peers_count(self) -> None:
        use = self.make_use()
        use.record_peer("e-1", [("a", 50.0)], 0.0)
        assert names_over(use, 0.0) == {"a"}

    def test_reports_of_silent_peers_expire(self) -> None:
        """Guards against decisions by what an entry did before it froze."""
        use = self.make_use()
        use.record_peer("e-1", [("a", 50.0)], 0.0)
        now = PEER_USE_SECONDS + 0.1
        for name in "ab":
            use.record(name, 50.0, now)
        use.record_not_admitted(now)
        assert names_over(use, now) == set()

    def test_a_report_that_is_older_than_the_known_one_is_ignored(self) -> None:
        """Guards against a delayed hello that replaces a newer one."""
        use = self.make_use()
        use.record_peer("e-1", [("a", 5.0)], 0.0)
        use.record_peer("e-1", [("a", 500.0)], -1.0)
        assert names_over(use, 0.0) == set()

    def test_a_restarted_peer_reports_anew(self) -> None:
        """Guards against a peer that counts twice."""
        use = self.make_use()
        use.record_peer("e-1", [("a", 500.0)], -1.0)
        use.record_peer("e-1", [("b", 1.0)], 0.0)
        assert names_over(use, 0.0) == set()

    def test_a_peer_that_is_no_longer_overloaded_does_not_count(self) -> None:
        use = self.make_use()
        use.record_peer("e-1", [("a", 500.0)], -1.0)
        use.record_peer("e-1", [], 0.0)
        assert names_over(use, 0.0) == set()

    @pytest.mark.parametrize(
        "invalid",
        [
            ("x", math.nan),
            ("x", -5.0),
            ("x", 0.0),
            ("x" * (MAX_NAME_LENGTH + 1), 500.0),
        ],
    )
    def test_invalid_uses_are_left_out(self, invalid: tuple[str, float]) -> None:
        """Guards against a faulty peer that distorts all shares."""
        use, expected = self.make_use(), self.make_use()
        use.record_peer("e-1", [invalid, ("a", 50.0)], 0.0)
        expected.record_peer("e-1", [("a", 50.0)], 0.0)
        assert names_over(use, 0.0) == names_over(expected, 0.0) == {"a"}
        assert use.share == expected.share

    def test_an_infinite_rate_is_bounded(self) -> None:
        use = self.make_use()
        use.record_peer("e-1", [("x", math.inf)], 0.0)
        assert names_over(use, 0.0) == set()
        assert math.isfinite(use.share)

    def test_a_report_is_bounded(self) -> None:
        """Guards against a peer that reports any number of workspaces."""
        use = self.make_use()
        uses = [(f"x{n}", 10.0) for n in range(MAX_REPORTED_USES)]
        use.record_peer("e-1", [*uses, ("a", 500.0)], 0.0)
        assert not use.is_over_share("a", 0.0)

    def test_a_workspace_of_few_entries_is_compared_with_all(self) -> None:
        """Guards against a small one that looks large among unknown peers."""
        use = make_overloaded({"local": 10, "common": 5})
        use.record_peer("e-1", [("common", 5.0)], 0.0)
        use.set_entry_count(100)
        assert names_over(use, 0.0) == {"common"}


def make_demands(entries: int) -> list[Demand]:
    """Return demands of 7.2 per entry: one greedy, many modest ones."""
    return [
        Demand("greedy", 4.0 * entries),
        *(Demand(f"medium-{n}", 0.4 * entries) for n in range(3)),
        *(Demand(f"small-{n}", 2.0, entries=3) for n in range(entries)),
    ]


CAPACITY_PER_ENTRY = 4.0
SIZES = [34, 340]


def modest_names(demands: list[Demand], capacity: float) -> list[str]:
    """Return the workspaces that ask for less than their share."""
    share = max_min_share(demands, capacity)
    return [demand.name for demand in demands if demand.rate < share]


def served(cluster: Cluster, names: list[str]) -> float:
    """Return the fraction of what workspaces asked for that they got."""
    offered = sum(cluster.offered[name] for name in names)
    return sum(cluster.admitted[name] for name in names) / offered


class TestManyEntries:
    @pytest.mark.parametrize(
        ("entries", "is_permissive"), [(34, False), (340, False), (34, True)]
    )
    def test_workspaces_get_their_shares(
        self, entries: int, is_permissive: bool
    ) -> None:
        """Guards against a greedy workspace that displaces all others.

        Without shares, the same calls have to fail the bounds.
        """
        demands, capacity = make_demands(entries), CAPACITY_PER_ENTRY * entries
        modest = modest_names(demands, capacity)
        assert len(modest) == len(demands) - 1
        cluster = Cluster(
            entries,
            capacity,
            demands,
            silent=range(entries // 10),
            is_permissive=is_permissive,
        )
        cluster.run(WARM_UP_SECONDS)
        cluster.start_count()
        cluster.run(5.0)
        # The tolerance of shares is the one that the shares themselves have.
        share = max_min_share(demands, capacity) * 5.0
        is_greedy_bounded = cluster.admitted["greedy"] <= OVER_SHARE * share
        are_others_served = served(cluster, modest) >= 1 / OVER_SHARE
        assert is_greedy_bounded is not is_permissive
        assert are_others_served is not is_permissive

    @pytest.mark.parametrize("entries", SIZES)
    def test_only_the_greedy_is_over_share(self, entries: int) -> None:
        """Guards against wrong shares at entries that each know a part.

        A tenth of the entries is silent, one freezes, and an old report of
        another arrives late. The entries don't act on the shares, so that the
        use stays as it is without them.
        """
        demands, capacity = make_demands(entries), CAPACITY_PER_ENTRY * entries
        modest = modest_names(demands, capacity)
        cluster = Cluster(
            entries, capacity, demands, silent=range(entries // 10), is_permissive=True
        )
        cluster.run(WARM_UP_SECONDS)
        cluster.freeze(entries - 1)
        for use in cluster.uses:
            use.record_peer("e-20", [("small-2", 1e6)], cluster.now - 30.0)
        for _ in range(4):
            cluster.run(1.0)
            over = [name for name in modest if cluster.entries_over_share(name)]
            assert over == []
            assert cluster.entries_over_share("greedy") > 0.5

    @pytest.mark.parametrize("entries", SIZES)
    def test_without_overload_nobody_is_over_share(self, entries: int) -> None:
        demands = make_demands(entries)
        cluster = Cluster(entries, 2 * sum(d.rate for d in demands), demands)
        for _ in range(5):
            cluster.run(1.0)
            assert not any(cluster.entries_over_share(d.name) for d in demands)
        assert served(cluster, [d.name for d in demands]) == 1.0

    def test_immediate_retries_give_no_advantage(self) -> None:
        """Guards against a workspace that retries each refused call."""
        demands = [
            Demand("retrying", 60.0, retries=True),
            *(Demand(f"patient-{n}", 60.0) for n in range(3)),
        ]
        cluster = Cluster(10, 120.0, demands)
        cluster.run(WARM_UP_SECONDS)
        cluster.start_count()
        cluster.run(30.0)
        share = max_min_share(demands, 120.0) * 30.0
        assert cluster.admitted["retrying"] <= OVER_SHARE * share
        for demand in demands[1:]:
            assert cluster.admitted[demand.name] >= share / OVER_SHARE

    def test_many_small_calls_and_few_large_ones_get_the_same(self) -> None:
        """Guards against an advantage by the size of calls."""
        demands = [Demand("small", 200.0, 1.0), Demand("large", 4.0, 50.0)]
        cluster = Cluster(10, 200.0, demands)
        cluster.run(WARM_UP_SECONDS)
        cluster.start_count()
        cluster.run(60.0)
        share = max_min_share(demands, 200.0) * 60.0
        for demand in demands:
            got = cluster.admitted[demand.name]
            assert share / OVER_SHARE <= got <= OVER_SHARE * share

    def test_two_greedy_workspaces_get_the_same(self) -> None:
        """Guards against a share by how much a workspace asks for."""
        demands = [
            Demand("greedy", 400.0),
            Demand("half-greedy", 200.0),
            *(Demand(f"small-{n}", 4.0) for n in range(5)),
        ]
        cluster = Cluster(10, 120.0, demands)
        cluster.run(WARM_UP_SECONDS)
        cluster.start_count()
        cluster.run(30.0)
        share = max_min_share(demands, 120.0) * 30.0
        for name in ("greedy", "half-greedy"):
            got = cluster.admitted[name]
            assert share / OVER_SHARE <= got <= OVER_SHARE * share
        small = [demand.name for demand in demands[2:]]
        assert served(cluster, small) >= 1 / OVER_SHARE
