"""Rate limits of endpoints that hold for all entries together."""

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

from mintsaddle.decisions.direct import PermitGranter, RateLimits
from mintsaddle.decisions.direct._rate_limits import (
    GONE_SECONDS,
    GRANT_SHARE,
    MAX_BURST_PERMITS,
    MIN_GRANT_RATE,
    NEW_GRANTER_SECONDS,
)

DESK = "desk-1"


def grant_for(
    granter: PermitGranter, rate: float, begin: float, end: float, gap: float = 0.01
) -> int:
    """Request permits at each gap and return how many were granted."""
    count = round((end - begin) / gap)
    times = [begin + number * gap for number in range(count)]
    return sum(granter.request_permit(DESK, rate, at).is_granted for at in times)


class TestRateLimits:
    def test_the_newest_response_counts_whichever_entry_reports_it(self) -> None:
        limits = RateLimits()
        assert limits.record(DESK, 5.0, 10.0)
        assert not limits.record(DESK, 9.0, 9.0)
        assert not limits.record(DESK, 5.0, 11.0)
        assert limits.record(DESK, None, 12.0)
        assert not limits.record(DESK, 5.0, 11.5)
        assert not limits.is_limited(DESK)

    def test_a_limit_that_is_lifted_needs_no_permit(self) -> None:
        limits = RateLimits()
        limits.record(DESK, 5.0, 10.0)
        limits.record_denied(DESK, 20.0)
        assert not limits.takes_work(DESK, 10.1)
        assert limits.next_permit_at([DESK, "desk-2"], 10.1) == 20.0
        limits.record(DESK, None, 11.0)
        assert limits.takes_work(DESK, 11.0)
        assert limits.next_permit_at([DESK], 11.0) is None

    def test_limits_of_endpoints_that_are_gone_are_forgotten(self) -> None:
        """Guards against memory that grows with each endpoint."""
        limits = RateLimits()
        limits.record(DESK, 5.0, 10.0)
        limits.discard_gone((), 10.0 + GONE_SECONDS)
        assert limits.is_limited(DESK)
        limits.discard_gone((DESK,), 11.0 + GONE_SECONDS)
        assert limits.is_limited(DESK)
        limits.discard_gone((), 11.0 + GONE_SECONDS)
        assert not limits.is_limited(DESK)

    def test_an_endpoint_that_never_stated_a_rate_is_not_recorded(self) -> None:
        limits = RateLimits()
        assert not limits.record(DESK, None, 1.0)
        assert limits.limit_of(DESK) is None


class TestPermitGranter:
    def test_a_single_requester_may_use_the_whole_rate(self) -> None:
        """Guards against capacity reserved for entries without requests."""
        granter = PermitGranter()
        grant_for(granter, 10.0, 0.0, NEW_GRANTER_SECONDS)
        granted = grant_for(
            granter, 10.0, NEW_GRANTER_SECONDS, NEW_GRANTER_SECONDS + 10.0
        )
        assert granted == pytest.approx(100 * GRANT_SHARE, abs=2)

    def test_nothing_is_granted_at_once_when_a_limit_is_first_stated(self) -> None:
        assert grant_for(PermitGranter(), 4.0, 0.0, 0.4) == 0

    def test_a_rate_that_falls_leaves_no_saved_burst(self) -> None:
        granter = PermitGranter()
        grant_for(granter, 200.0, 0.0, 1.0)
        assert grant_for(granter, 0.5, 5.0, 6.0) <= MAX_BURST_PERMITS

    def test_an_endpoint_with_a_zero_rate_is_still_tried(self) -> None:
        """Guards against a lifted limit that no entry notices."""
        granted = grant_for(PermitGranter(), 0.0, 0.0, 20.0)
        assert granted == pytest.approx(20 * MIN_GRANT_RATE, abs=1)

    def test_the_next_permit_is_granted_when_announced(self) -> None:
        granter = PermitGranter()
        permit = granter.request_permit(DESK, 2.0, 100.0)
        assert not permit.is_granted
        assert not granter.request_permit(DESK, 2.0, permit.next_at - 0.1).is_granted
        assert granter.request_permit(DESK, 2.0, permit.next_at + 0.01).is_granted


class Fleet(RuleBasedStateMachine):
    """Entries that send to one endpoint with a changing rate limit.

    Each entry has its own view of who the granter is; views differ until
    gossip has converged. Messages between entries may be lost. The bound
    counts only requests of entries that have received a response with a limit.
    """

    asks_for_permits: ClassVar[bool] = True
    ENTRIES: ClassVar[int] = 6
    STEP_SECONDS: ClassVar[float] = 0.25
    NOTICE_SECONDS: ClassVar[float] = 0.5
    CONTACT_SECONDS: ClassVar[float] = 4.0

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.rate: float | None = None
        self.first_stated_at: float | None = None
        self.rates: list[tuple[float, float]] = []
        self.limits = [RateLimits() for _ in range(self.ENTRIES)]
        self.granters = [PermitGranter() for _ in range(self.ENTRIES)]
        self.granter = 0
        self.views = [0] * self.ENTRIES
        self.views_since = 0.0
        self.limited_since = [float("inf")] * self.ENTRIES
        self.arrivals: list[float] = []

    @rule(rate=st.sampled_from([0.0, 0.4, 3.0, 12.0, 40.0]))
    def state_rate(self, rate: float) -> None:
        self.rate = rate
        self.first_stated_at = self.first_stated_at or self.now
        self.rates.append((self.now, rate))

    @rule()
    def lift_limit(self) -> None:
        self.rate = None
        self.first_stated_at = None
        self.rates.clear()
        self.arrivals.clear()
        self.limited_since = [float("inf")] * self.ENTRIES

    @rule(granter=st.integers(0, 5), seeing=st.sets(st.integers(0, 5)))
    def change_granter(self, granter: int, seeing: set[int]) -> None:
        """Let an entry join, crash or be cut off; some notice at once."""
        if self.now - self.views_since < NEW_GRANTER_SECONDS:
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
        """Send requests in each step; a flag marks a lost message."""
        for _ in range(steps):
            self.now += self.STEP_SECONDS
            if self.now - self.views_since >= NEW_GRANTER_SECONDS - 1.0:
                self.views = [self.granter] * self.ENTRIES
            for number, (entry, is_lost) in enumerate(requests):
                at = self.now + number * self.STEP_SECONDS / 100
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
                permit = self.granters[granter].request_permit(DESK, held.rate, at)
                if not permit.is_granted:
                    limits.record_denied(DESK, permit.next_at)
                    return
        if at >= self.limited_since[entry] + self.NOTICE_SECONDS:
            self.arrivals.append(at)
        limits.record(DESK, self.rate, at)
        if self.rate is not None:
            self.limited_since[entry] = min(self.limited_since[entry], at)

    @invariant()
    def stays_within_bound(self) -> None:
        if self.first_stated_at is None:
            return
        begin = self.first_stated_at + self.CONTACT_SECONDS
        counted = [at for at in self.arrivals if at >= begin]
        for first in counted:
            within = [at for at in counted if first <= at < first + 4.0]
            assert len(within) <= 1.5 * self._allowed(first, first + 4.0) + 5

    def _allowed(self, begin: float, end: float) -> float:
        """Return how many requests the highest rate of a window allows.

        An entry learns of a lower rate only from its next response.
        """
        times = [*(at for at, _ in self.rates), float("inf")]
        spans = zip(self.rates, itertools.islice(times, 1, None), strict=False)
        # A rate counts as long as some entry may not know the next one.
        in_force = [
            rate
            for (at, rate), until in spans
            if at < end and until + 8 * self.STEP_SECONDS > begin
        ]
        return 4.0 * max(in_force, default=0.0)


class UnlimitedFleet(Fleet):
    asks_for_permits = False


class TestBound:
    def test_no_endpoint_gets_more_than_its_limit(self) -> None:
        run_state_machine_as_test(Fleet, settings=settings(max_examples=150))

    def test_entries_without_permits_exceed_it(self) -> None:
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                UnlimitedFleet, settings=settings(max_examples=300, print_blob=False)
            )
