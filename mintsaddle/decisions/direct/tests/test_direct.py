"""Decisions of direct delivery, one test class per subject."""

import random

import pytest

from mintsaddle.decisions.direct import (
    ALIVE_SECONDS,
    MAX_GOSSIP_ENTRIES,
    SETTLE_SECONDS,
    CallerLimits,
    ColdStartLimiter,
    DataCentreEvacuated,
    DataCentreReinstated,
    Destination,
    DirectCall,
    Directory,
    DirectService,
    Ending,
    EndpointPublished,
    EndpointRemoved,
    EndpointReplaced,
    GiveUp,
    GroupAvailability,
    Incarnation,
    KnownEntry,
    Membership,
    Position,
    PublishedItem,
    RankAssignment,
    Repeat,
    Replica,
    RoutingTable,
    TablePublished,
    TryAgain,
    advise_retry,
    apply_updates,
    attempt_until,
    choose_incarnation,
    choose_service,
    decide_next,
    drop_expired,
    hold_until,
    place_at,
    record_attempt,
    usable_endpoints,
)
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.decisions.routing import RoutingState, record_failed, record_sent
from mintsaddle.values import Outcome, Reason


def make_call(repeat: Repeat = Repeat.IDEMPOTENT, attempts: int = 2) -> DirectCall:
    route = ROUTE._replace(repeat=repeat, max_attempts=attempts)
    return DirectCall("id", route, "desk", "north", arrived_at=0.0, deadline=8.0)


def make_endpoint(name: str, **other: object) -> Incarnation:
    base = Incarnation(name, "desk", f"{name}:1", "a", 6, False, 0.0, 1)
    return base._replace(**other)  # type: ignore[arg-type]


class TestCalls:
    @pytest.mark.parametrize(
        ("repeat", "ending", "next_step"),
        [
            (Repeat.IDEMPOTENT, Ending.BROKEN, TryAgain()),
            (Repeat.RESUMABLE, Ending.BROKEN, TryAgain()),
            (Repeat.ONCE, Ending.NOT_RUN, TryAgain()),
            (Repeat.ONCE, Ending.NOT_SENT, TryAgain()),
            (Repeat.ONCE, Ending.MISDIRECTED, TryAgain()),
        ],
    )
    def test_what_may_go_to_another_endpoint_does(
        self, repeat: Repeat, ending: Ending, next_step: TryAgain
    ) -> None:
        call = record_attempt(make_call(repeat), "e-1", ending)
        assert decide_next(call, ending, has_budget=True, now=1.0) == next_step

    @pytest.mark.parametrize("ending", [Ending.BROKEN, Ending.SILENT, Ending.FAILED])
    def test_what_may_have_run_once_is_in_doubt(self, ending: Ending) -> None:
        call = record_attempt(make_call(Repeat.ONCE), "e-1", ending)
        decision = decide_next(call, ending, has_budget=True, now=1.0)
        assert isinstance(decision, GiveUp)
        assert decision.outcome is Outcome.IN_DOUBT

    def test_a_stale_connection_counts_as_an_attempt(self) -> None:
        """Guards against repeats beyond the attempts that a route allows."""
        call = record_attempt(make_call(attempts=2), "e-1", Ending.STALE)
        assert call.sends == 1 and call.may_have_run and call.avoids_reuse
        assert call.tried == frozenset()
        again = decide_next(call, Ending.STALE, has_budget=True, now=1.0)
        assert again == TryAgain()
        refused = decide_next(call, Ending.STALE, has_budget=False, now=1.0)
        assert isinstance(refused, GiveUp)
        call = record_attempt(call, "e-1", Ending.BROKEN)
        last = decide_next(call, Ending.BROKEN, has_budget=True, now=1.0)
        assert isinstance(last, GiveUp)

    def test_a_later_refusal_does_not_undo_the_doubt(self) -> None:
        """Guards against reporting "not run" for a call that may have run."""
        call = record_attempt(make_call(), "e-1", Ending.BROKEN)
        call = record_attempt(call, "e-2", Ending.NOT_RUN)
        decision = decide_next(call, Ending.NOT_RUN, has_budget=True, now=1.0)
        assert isinstance(decision, GiveUp)
        assert decision.outcome is Outcome.IN_DOUBT

    def test_what_reached_another_run_is_tried_as_if_for_the_first_time(self) -> None:
        """Guards against refused calls while ended runs are still listed."""
        call = make_call(Repeat.ONCE, attempts=1)
        for name in ("e-1", "e-2", "e-3"):
            call = record_attempt(call, name, Ending.MISDIRECTED)
            decision = decide_next(call, Ending.MISDIRECTED, has_budget=True, now=1.0)
            assert decision == TryAgain()

    def test_without_budget_or_time_nothing_is_repeated(self) -> None:
        call = record_attempt(make_call(), "e-1", Ending.NOT_RUN)
        for has_budget, now in ((False, 1.0), (True, 8.0)):
            decision = decide_next(call, Ending.NOT_RUN, has_budget=has_budget, now=now)
            assert isinstance(decision, GiveUp)
            assert decision.outcome is Outcome.NOT_RUN

    def test_a_group_that_is_down_is_not_reported_as_full(self) -> None:
        """Guards against callers that retry too early on a lost group."""
        call = record_attempt(make_call(), "e-1", Ending.GROUP_DOWN)
        decision = decide_next(call, Ending.GROUP_DOWN, has_budget=False, now=1.0)
        assert decision == GiveUp(Outcome.NOT_RUN, Reason.GROUP_DOWN)


class TestAttemptTimeouts:
    def test_an_idempotent_call_leaves_time_for_a_second_attempt(self) -> None:
        call = make_call()
        assert attempt_until(call, 0.0) == 4.0
        again = record_attempt(call, "e-1", Ending.SILENT)
        assert attempt_until(again, 4.0) == 8.0

    def test_what_may_run_once_waits_to_its_end(self) -> None:
        for repeat in (Repeat.ONCE, Repeat.RESUMABLE):
            assert attempt_until(make_call(repeat), 0.0) == 8.0


class TestDirectory:
    def test_a_data_centre_that_is_out_has_no_usable_endpoints(self) -> None:
        published = EndpointPublished(make_endpoint("e-1"))
        directory = apply_updates(Directory(), [published], 0.0, 1.0)
        directory = apply_updates(directory, [DataCentreEvacuated("a")], 0.0, 1.0)
        assert usable_endpoints(directory, "desk") == ()
        directory = apply_updates(directory, [DataCentreReinstated("a")], 0.0, 1.0)
        assert [run.name for run in usable_endpoints(directory, "desk")] == ["e-1"]

    def test_lapsed_endpoints_are_used_for_their_grace_only(self) -> None:
        """Guards against losing endpoints during an outage of the store."""
        published = EndpointPublished(make_endpoint("e-1"))
        known = apply_updates(Directory(), [published], 0.0, 1.0)
        lapsed = apply_updates(known, [EndpointRemoved("e-1")], 3.0, 1.0)
        assert len(usable_endpoints(lapsed, "desk")) == 1
        assert usable_endpoints(drop_expired(lapsed, 3.0), "desk") == ()
        back = apply_updates(lapsed, [published], 3.0, 2.0)
        assert len(usable_endpoints(drop_expired(back, 3.0), "desk")) == 1

    def test_a_leaving_endpoint_gets_no_grace(self) -> None:
        leaving = EndpointPublished(make_endpoint("e-1", leaving=True))
        known = apply_updates(Directory(), [leaving], 0.0, 1.0)
        removed = apply_updates(known, [EndpointRemoved("e-1")], 3.0, 1.0)
        assert dict(removed.endpoints) == {}

    def test_a_crashed_run_is_unused_once_its_successor_is_announced(self) -> None:
        """Guards against requests to the previous run at a reused address."""
        old = make_endpoint("e-1", address="ip:1", started_at_ms=1_000)
        new = make_endpoint("e-2", address="ip:1", started_at_ms=2_000)
        for runs in ([old, new], [new, old]):
            published = [EndpointPublished(run) for run in runs]
            directory = apply_updates(Directory(), published, 0.0, 1.0)
            assert usable_endpoints(directory, "desk") == (new,)

    def test_a_replaced_run_is_unused_until_it_announces_itself(self) -> None:
        published = EndpointPublished(make_endpoint("e-1"))
        known = apply_updates(Directory(), [published], 0.0, 1.0)
        replaced = apply_updates(known, [EndpointReplaced("e-1")], 9.0, 1.0)
        assert usable_endpoints(replaced, "desk") == ()
        back = apply_updates(replaced, [published], 0.0, 2.0)
        assert len(usable_endpoints(back, "desk")) == 1


def at(revision: int, era: int = 0) -> Position:
    return Position(era, revision)


class TestReplica:
    def test_older_changes_from_any_source_are_ignored(self) -> None:
        """Guards against an old announcement relayed after its removal."""
        replica = Replica("p/")
        replica.merge([PublishedItem("p/1", 5, b"old")], at(5))
        replica.merge([PublishedItem("p/1", 7, None)], at(7))
        assert replica.merge([PublishedItem("p/1", 5, b"old")], at(6)) == []
        assert replica.position == at(7)

    def test_a_snapshot_removes_keys_that_it_lacks(self) -> None:
        replica = Replica("p/")
        replica.merge(
            [PublishedItem("p/1", 5, b"x"), PublishedItem("p/2", 6, b"y")], at(6)
        )
        changed = replica.replace([PublishedItem("p/2", 6, b"y")], at(9))
        assert changed == [PublishedItem("p/1", 9, None)]

    def test_a_peer_gets_what_it_is_missing_removals_included(self) -> None:
        replica = Replica("p/")
        replica.merge(
            [PublishedItem("p/1", 5, b"x"), PublishedItem("p/2", 6, b"y")], at(6)
        )
        replica.merge([PublishedItem("p/1", 8, None)], at(8))
        assert replica.changes_since(at(6)) == [PublishedItem("p/1", 8, None)]

    def test_a_late_snapshot_does_not_restore_a_removed_key(self) -> None:
        """Guards against a store response that arrives after newer updates."""
        replica = Replica("p/")
        replica.replace([], at(9))
        assert replica.replace([PublishedItem("p/1", 5, b"x")], at(7)) == []

    def test_a_peer_learns_of_removals_that_the_sender_never_saw(self) -> None:
        """Guards against losing removals that the relaying entry never saw."""
        peer, fresh = Replica("p/"), Replica("p/")
        peer.merge([PublishedItem("p/1", 5, b"x")], at(5))
        fresh.replace([PublishedItem("p/2", 6, b"y")], at(9))
        assert fresh.lacks_removals_since(at(5))
        changes = fresh.changes_since(at(5))
        assert PublishedItem("p/1", 9, None) in peer.replace(changes, at(9))
        assert not fresh.lacks_removals_since(at(9))

    def test_a_removal_with_an_old_revision_in_a_snapshot_counts(self) -> None:
        """Guards against keeping a key that was removed a second time."""
        peer = Replica("p/")
        peer.merge([PublishedItem("p/1", 8, b"x")], at(8))
        snapshot = [PublishedItem("p/1", 3, None)]
        assert peer.replace(snapshot, at(9)) == [PublishedItem("p/1", 9, None)]


class TestPlacement:
    def test_the_least_utilised_endpoint_is_chosen(self) -> None:
        state = RoutingState("entry", "a")
        endpoints = [make_endpoint("e-1"), make_endpoint("e-2")]
        record_sent(state, "e-1")
        chosen = choose_incarnation(
            state, endpoints, frozenset(), 0.0, random.Random(1)
        )
        assert chosen is endpoints[1]

    def test_a_failed_endpoint_is_avoided_unless_it_is_the_last(self) -> None:
        state = RoutingState("entry", "a")
        endpoints = [make_endpoint("e-1"), make_endpoint("e-2")]
        record_failed(state, "e-1", 0.0)
        for tried, expected in ((frozenset(), "e-2"), (frozenset({"e-2"}), "e-1")):
            chosen = choose_incarnation(state, endpoints, tried, 0.1, random.Random(1))
            assert chosen is not None
            assert chosen.name == expected

    def test_the_own_data_centre_breaks_ties(self) -> None:
        state = RoutingState("entry", "b")
        endpoints = [make_endpoint("e-1"), make_endpoint("e-2", data_centre="b")]
        for seed in range(5):
            chosen = choose_incarnation(
                state, endpoints, frozenset(), 0.0, random.Random(seed)
            )
            assert chosen is endpoints[1]


class TestColdEndpoints:
    SERVICE = DirectService("desk", "/health", 100, 26.0, True, cold_seconds=3.0)

    def test_all_entries_together_keep_to_the_cold_limit(self) -> None:
        """Guards against entries that each use the whole limit."""
        endpoint = make_endpoint("e-1", cold_until=10.0)
        limiters = [ColdStartLimiter(1.5, 5.0) for _ in range(7)]
        sent = 0
        for limiter in limiters:
            for _ in range(50):
                if limiter.allows(endpoint, self.SERVICE, len(limiters), 0.5):
                    limiter.record_sent(endpoint, 0.5)
                    sent += 1
        assert 7 <= sent <= 26 * 1.5 + 5

    def test_a_share_below_one_per_second_allows_one_in_a_longer_window(self) -> None:
        endpoint = make_endpoint("e-1", cold_until=100.0)
        service = self.SERVICE._replace(cold_rate=1.0)
        limiter = ColdStartLimiter(1.0, 1.0)
        sent = 0
        for tick in range(1000):
            now = tick * 0.02
            if limiter.allows(endpoint, service, 16, now):
                limiter.record_sent(endpoint, now)
                sent += 1
        assert sent == 2

    def test_a_warm_endpoint_is_not_limited(self) -> None:
        limiter = ColdStartLimiter(1.5, 5.0)
        endpoint = make_endpoint("e-1", cold_until=10.0)
        for _ in range(100):
            limiter.record_sent(endpoint, 9.9)
        assert not limiter.allows(endpoint, self.SERVICE, 1, 9.9)
        assert limiter.allows(endpoint, self.SERVICE, 1, 10.0)

    def test_a_data_centre_that_is_back_counts_as_cold(self) -> None:
        table = RoutingTable(
            1, {}, {"desk": self.SERVICE}, CallerLimits(1, 1, 1.0, 1.0), None
        )
        known = apply_updates(Directory(), [TablePublished(table)], 0.0, 1.0)
        published = EndpointPublished(make_endpoint("e-1"))
        known = apply_updates(known, [published], 0.0, 1.0)
        back = apply_updates(known, [DataCentreReinstated("a")], 0.0, 20.0)
        assert back.endpoints["e-1"].cold_until == 23.0


class TestServices:
    def test_weights_share_the_requests(self) -> None:
        route = ROUTE._replace(
            destinations=(Destination("a", 90.0), Destination("b", 10.0))
        )
        chosen = [choose_service(route, str(number)) for number in range(2000)]
        assert 130 < chosen.count("b") < 280
        assert choose_service(route, "7") == choose_service(route, "7")


class TestGroups:
    def test_one_refusal_counts_for_all_ranks(self) -> None:
        """Guards against trying each rank of a group that is down."""
        availability = GroupAvailability()
        assignment = RankAssignment("llm/g", 1, 0, 12, is_open=True)
        other = make_endpoint("e-2", assignment=assignment._replace(rank=1))
        availability.record_refusal("llm/g", 1, 10.0)
        assert not availability.takes_work(other)
        availability.record_report("llm/g", 1, True, 10.1)
        assert not availability.takes_work(other)
        availability.record_report("llm/g", 2, True, 10.2)
        assert availability.takes_work(other)

    def test_a_false_alarm_ends_in_the_same_epoch(self) -> None:
        availability = GroupAvailability()
        availability.record_refusal("llm/g", 1, 10.0)
        availability.record_report("llm/g", 1, True, 10.6)
        assert not availability.is_down("llm/g")

    def test_a_stalled_group_is_back_with_its_next_step_only(self) -> None:
        """Guards against calls to a stalled group that reports itself open."""
        availability = GroupAvailability()
        availability.record_stall("g", 1, 7, 10.0)
        availability.record_report("g", 1, True, 11.0)
        availability.record_report("g", 1, True, 11.0, step=7)
        assert availability.is_down("g")
        availability.record_report("g", 1, True, 11.1, step=8)
        assert not availability.is_down("g")
        availability.record_stall("g", 1, 9, 12.0)
        availability.record_report("g", 2, True, 14.0, step=9)
        assert not availability.is_down("g")

    def test_no_request_is_held_longer_than_callers_wait(self) -> None:
        assert hold_until(make_call()) == pytest.approx(1.75)
        late = make_call()._replace(arrived_at=0.0, deadline=1.0)
        assert hold_until(late) == pytest.approx(0.75)

    def test_only_late_streams_are_spread_after_a_recovery(self) -> None:
        """Guards against a burst of requests that all see idle engines."""
        rng = random.Random(3)
        order = make_call(Repeat.ONCE)
        stream = order._replace(route=order.route._replace(is_stream=True))
        fresh = stream._replace(due_at=5.0)
        assert {place_at(call, 1.0, rng) for call in (order, fresh)} == {1.0}
        times = [place_at(stream, 1.0, rng) for _ in range(100)]
        assert 1.0 <= min(times) < 1.05
        assert 1.35 < max(times) <= 1.4
        assert place_at(stream, 8.0, rng) == 8.0

    def test_refused_callers_come_back_spread_out_and_in_time(self) -> None:
        rng = random.Random(1)
        times = [advise_retry(6.0, 4.0, rng) for _ in range(100)]
        assert max(times) <= 2.0
        assert max(times) - min(times) > 0.3

    def test_callers_do_not_return_before_there_is_capacity(self) -> None:
        """Guards against a Retry-After that ends too early."""
        rng = random.Random(1)
        times = [advise_retry(9.0, 2.0, rng, is_minimum=True) for _ in range(50)]
        assert min(times) >= 2.0
        assert max(times) - min(times) > 0.3
        assert advise_retry(3.0, 2.0, rng, is_minimum=True) <= 1.0


class TestMembership:
    def test_unresponsive_entries_expire_and_seeds_are_contacted_again(self) -> None:
        members = Membership("e-1", "a:1", ["a:1", "a:2"])
        members.record_entry(KnownEntry("e-2", "a:2", 10.0))
        rng = random.Random(1)
        assert members.choose_peers(11.0, rng, is_searching=False) == ("a:2",)
        later = 10.0 + ALIVE_SECONDS + 1.0
        assert members.alive(later) == ()
        assert members.choose_peers(later, rng, is_searching=False) == ("a:2",)

    def test_a_message_stays_small_and_limits_stay_shared(self) -> None:
        """Guards against limits divided by the entries of one message only."""
        members = Membership("e-0", "a:0", [])
        for number in range(1, 340):
            last_seen_at = 10.0 + number / 10
            members.record_entry(KnownEntry(f"e-{number}", f"a:{number}", last_seen_at))
        assert len(members.most_recent_entries(44.0)) == MAX_GOSSIP_ENTRIES
        assert len(members.alive(44.0)) < 60
        assert members.count(44.0) == 340

    def test_a_recently_started_entry_takes_no_duty(self) -> None:
        """Guards against two entries that start and take up the same duty."""
        member = Membership("e-1", "a:1", ["a:2"], started_at=100.0)
        assert not member.is_holder("maps g", 100.0 + SETTLE_SECONDS / 2)
        assert member.is_holder("maps g", 100.0 + SETTLE_SECONDS)

    def test_a_duty_passes_on_when_its_holder_is_unresponsive(self) -> None:
        """Guards against a group whose duty holder has lost power."""
        names = ["e-1", "e-2", "e-3"]
        members = {name: Membership(name, name, []) for name in names}
        for member in members.values():
            for name in names:
                member.record_entry(KnownEntry(name, name, 1.0))
        (holder,) = [n for n in names if members[n].is_holder("maps g", 1.0)]
        others = [members[name] for name in names if name != holder]
        rng = random.Random(1)
        for member in others:
            chosen = member.choose_peers(1.0, rng, {"maps g": ""}, is_searching=False)
            assert holder in chosen
            member.record_timeout(holder)
        assert [member.is_holder("maps g", 1.5) for member in others].count(True) == 1

    def test_a_leaving_entry_is_not_brought_back_by_gossip(self) -> None:
        """Guards against duties that stay with an entry that has left."""
        member = Membership("e-1", "a:1", [])
        gossip = KnownEntry("e-2", "a:2", 9.9)
        member.record_entry(gossip)
        member.remove("e-2", 10.0)
        member.record_entry(gossip._replace(last_seen_at=10.01))
        assert member.alive(10.1) == ()
        restarted = gossip._replace(last_seen_at=10.5)
        member.record_entry(restarted)
        assert member.alive(10.6) == (restarted,)

    def test_successors_know_their_index(self) -> None:
        names = ["e-1", "e-2", "e-3"]
        indices = []
        for name in names:
            member = Membership(name, name, [])
            for other in names:
                member.record_entry(KnownEntry(other, other, 1.0))
            indices.append(member.succession_index("maps g", 1.0))
        assert sorted(index for index in indices if index is not None) == [0, 1, 2]

    def test_entries_that_know_each_other_agree_on_one_holder(self) -> None:
        names = ["e-1", "e-2", "e-3"]
        chosen = []
        for name in names:
            members = Membership(name, name, [])
            for other in names:
                members.record_entry(KnownEntry(other, other, 1.0))
            chosen.append(members.is_holder("maps g", 1.0))
        assert chosen.count(True) == 1
