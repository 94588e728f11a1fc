"""Endpoints that limit what they get from all entries together."""

import itertools
from typing import ClassVar

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.direct import RateGrants, RateLimits
from mintsaddle.decisions.direct._rate_limits import (
    GRANT_SHARE,
    LEAST_RATE,
    MOST_SAVED,
    YOUNG_SECONDS,
)

DESK = "desk-1"


def grant_for(
    grants: RateGrants, rate: float, begin: float, end: float, gap: float = 0.01
) -> int:
    """Ask all the time and return how many requests were granted."""
    count = round((end - begin) / gap)
    times = [begin + number * gap for number in range(count)]
    return sum(grants.ask(DESK, rate, at).is_granted for at in times)


class TestBeliefs:
    def test_the_newest_answer_counts_whoever_brings_it(self) -> None:
        limits = RateLimits()
        assert limits.record(DESK, 5.0, 10.0)
        assert not limits.record(DESK, 9.0, 9.0)
        assert not limits.record(DESK, 5.0, 11.0)
        assert limits.record(DESK, None, 12.0)
        assert not limits.record(DESK, 5.0, 11.5)
        assert not limits.is_limited(DESK)

    def test_a_limit_that_ends_needs_no_permit(self) -> None:
        limits = RateLimits()
        limits.record(DESK, 5.0, 10.0)
        limits.record_denied(DESK, 20.0)
        assert not limits.takes_work(DESK, 10.1)
        assert limits.next_permit_at([DESK, "desk-2"], 10.1) == 20.0
        limits.record(DESK, None, 11.0)
        assert limits.takes_work(DESK, 11.0)
        assert limits.next_permit_at([DESK], 11.0) is None

    def test_an_endpoint_that_never_named_a_rate_costs_nothing(self) -> None:
        limits = RateLimits()
        assert not limits.record(DESK, None, 1.0)
        assert limits.limit_of(DESK) is None


class TestGrants:
    def test_whoever_asks_may_use_the_whole_rate(self) -> None:
        """Guards against shares of entries that have no request."""
        grants = RateGrants()
        grant_for(grants, 10.0, 0.0, YOUNG_SECONDS)
        granted = grant_for(grants, 10.0, YOUNG_SECONDS, YOUNG_SECONDS + 10.0)
        assert granted == pytest.approx(100 * GRANT_SHARE, abs=2)

    def test_nothing_is_sent_at_once_when_a_limit_is_first_named(self) -> None:
        assert grant_for(RateGrants(), 4.0, 0.0, 0.4) == 0

    def test_a_rate_that_falls_leaves_no_saved_burst(self) -> None:
        grants = RateGrants()
        grant_for(grants, 200.0, 0.0, 1.0)
        assert grant_for(grants, 0.5, 5.0, 6.0) <= MOST_SAVED

    def test_an_endpoint_that_takes_nothing_is_still_asked(self) -> None:
        """Guards against a limit that ends unnoticed."""
        granted = grant_for(RateGrants(), 0.0, 0.0, 20.0)
        assert granted == pytest.approx(20 * LEAST_RATE, abs=1)

    def test_the_next_permit_comes_when_it_was_said(self) -> None:
        grants = RateGrants()
        permit = grants.ask(DESK, 2.0, 100.0)
        assert not permit.is_granted
        assert not grants.ask(DESK, 2.0, permit.next_at - 0.1).is_granted
        assert grants.ask(DESK, 2.0, permit.next_at + 0.01).is_granted


class Fleet(RuleBasedStateMachine):
    """Entries before one endpoint whose limit comes, falls, rises and ends.

    Each entry has a view of who grants; views differ for as long as gossip
    takes. A message between entries may be lost. The bound counts what those
    entries send that have passed on an answer with a limit.
    """

    asks_for_permits: ClassVar[bool] = True
    ENTRIES: ClassVar[int] = 6
    STEP: ClassVar[float] = 0.25
    NOTICE: ClassVar[float] = 0.5
    CONTACT: ClassVar[float] = 4.0

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.rate: float | None = None
        self.first_named_at: float | None = None
        self.rates: list[tuple[float, float]] = []
        self.limits = [RateLimits() for _ in range(self.ENTRIES)]
        self.grants = [RateGrants() for _ in range(self.ENTRIES)]
        self.granter = 0
        self.views = [0] * self.ENTRIES
        self.views_since = 0.0
        self.bound_since = [float("inf")] * self.ENTRIES
        self.arrivals: list[float] = []

    @rule(rate=st.sampled_from([0.0, 0.4, 3.0, 12.0, 40.0]))
    def name_rate(self, rate: float) -> None:
        self.rate = rate
        self.first_named_at = self.first_named_at or self.now
        self.rates.append((self.now, rate))

    @rule()
    def end_limit(self) -> None:
        self.rate = None
        self.first_named_at = None
        self.rates.clear()
        self.arrivals.clear()
        self.bound_since = [float("inf")] * self.ENTRIES

    @rule(granter=st.integers(0, 5), seeing=st.sets(st.integers(0, 5)))
    def change_granter(self, granter: int, seeing: set[int]) -> None:
        """An entry joins, dies or is cut off; some entries notice at once."""
        if self.now - self.views_since < YOUNG_SECONDS:
            return
        self.views_since = self.now
        self.granter = granter
        for entry in seeing:
            self.views[entry] = granter

    @rule(
        requests=st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=60),
        steps=st.integers(1, 8),
    )
    def pass_time(self, requests: list[tuple[int, bool]], steps: int) -> None:
        """Have some requests in each step; a flag says a message is lost."""
        for _ in range(steps):
            self.now += self.STEP
            if self.now - self.views_since >= YOUNG_SECONDS - 1.0:
                self.views = [self.granter] * self.ENTRIES
            for number, (entry, is_lost) in enumerate(requests):
                at = self.now + number * self.STEP / 100
                self._send(entry, at, is_lost=is_lost)

    def _send(self, entry: int, at: float, *, is_lost: bool) -> None:
        limits, granter = self.limits[entry], self.views[entry]
        known = limits.limit_of(DESK)
        if self.asks_for_permits and known is not None and known.rate is not None:
            if is_lost or not limits.takes_work(DESK, at):
                return
            self.limits[granter].record(DESK, *known)
            held = self.limits[granter].limit_of(DESK)
            assert held is not None
            if held.rate is not None:
                permit = self.grants[granter].ask(DESK, held.rate, at)
                if not permit.is_granted:
                    limits.record_denied(DESK, permit.next_at)
                    return
        if at >= self.bound_since[entry] + self.NOTICE:
            self.arrivals.append(at)
        limits.record(DESK, self.rate, at)
        if self.rate is not None:
            self.bound_since[entry] = min(self.bound_since[entry], at)

    @invariant()
    def keeps_the_bound(self) -> None:
        if self.first_named_at is None:
            return
        begin = self.first_named_at + self.CONTACT
        counted = [at for at in self.arrivals if at >= begin]
        for first in counted:
            within = [at for at in counted if first <= at < first + 4.0]
            assert len(within) <= 1.5 * self._allowed(first, first + 4.0) + 5

    def _allowed(self, begin: float, end: float) -> float:
        """Return what the highest rates of a window allow.

        An entry hears of a lower rate with its next answer only.
        """
        times = [*(at for at, _ in self.rates), float("inf")]
        spans = zip(self.rates, itertools.islice(times, 1, None), strict=False)
        # A rate counts for as long as entries may not have heard of the next.
        in_force = [
            rate
            for (at, rate), until in spans
            if at < end and until + 8 * self.STEP > begin
        ]
        return 4.0 * max(in_force, default=0.0)


class GreedyFleet(Fleet):
    asks_for_permits = False


class TestBound:
    def test_no_endpoint_gets_more_than_it_takes(self) -> None:
        run_state_machine_as_test(Fleet, settings=settings(max_examples=150))

    def test_entries_that_ask_nobody_break_it(self) -> None:
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                GreedyFleet, settings=settings(max_examples=300, print_blob=False)
            )
