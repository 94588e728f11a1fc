"""Choice of upstreams, and the longest delay of a published change."""

from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from mintsaddle.decisions.direct import KnownEntry, UpstreamSelector, must_poll
from mintsaddle.decisions.direct._upstream import FAN_OUT, REJECT_SECONDS
from mintsaddle.values import Instant

BOUND_SECONDS = 2.0
STEP_SECONDS = 0.05
RECOVERY_SECONDS = 3.0


def make_entries(count: int, data_centre: str = "a") -> list[KnownEntry]:
    return [
        KnownEntry(f"{data_centre}-{number}", f"{number}", 0.0, data_centre)
        for number in range(count)
    ]


def choose(entries: list[KnownEntry], vm: str) -> KnownEntry | None:
    others = [entry for entry in entries if entry.vm != vm]
    return UpstreamSelector(vm, "a").choose(others, 0.0)


class TestChoice:
    def test_one_entry_per_data_centre_reads(self) -> None:
        entries = make_entries(68) + make_entries(68, "b")
        upstreams = [choose(entries, f"a-{number}") for number in range(68)]
        assert upstreams.count(None) == 1
        assert {upstream.data_centre for upstream in upstreams if upstream} == {"a"}

    def test_no_entry_is_followed_by_more_than_the_fan_out(self) -> None:
        entries = make_entries(68)
        upstreams = [choose(entries, entry.vm) for entry in entries]
        followed = [upstream.vm for upstream in upstreams if upstream]
        assert max(followed.count(vm) for vm in followed) == FAN_OUT

    def test_a_rejected_upstream_is_avoided_for_a_while(self) -> None:
        entries = make_entries(2)
        (follower,) = [entry for entry in entries if choose(entries, entry.vm)]
        (reader,) = [entry for entry in entries if entry.vm != follower.vm]
        upstreams = UpstreamSelector(follower.vm, "a")
        upstreams.reject(reader.vm, 10.0)
        assert upstreams.choose([reader], 10.1) is None
        assert upstreams.choose([reader], 10.0 + REJECT_SECONDS) == reader


class ReplicaState(NamedTuple):
    """State of one simulated entry's replica."""

    position: int = 0
    confirmed_at: Instant = 0.0


class Fleet(RuleBasedStateMachine):
    """Entries of one data centre, a store, and faults of both.

    Time advances in steps. A frozen entry does nothing; a cut one reaches its
    peers, but not the store.
    """

    polls_when_stale = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.revision = 1
        self.published_at = {1: 0.0}
        self.vms = [f"a-{number}" for number in range(4)]
        self.upstreams = {vm: UpstreamSelector(vm, "a") for vm in self.vms}
        self.states = {vm: ReplicaState(1, 100.0) for vm in self.vms}
        self.frozen: set[str] = set()
        self.cut: set[str] = set()
        self.healthy_since = dict.fromkeys(self.vms, 0.0)

    vm_numbers = st.integers(0, 3)

    @rule()
    def publish(self) -> None:
        self.revision += 1
        self.published_at[self.revision] = self.now

    @rule(number=vm_numbers)
    def freeze(self, number: int) -> None:
        self.frozen.add(self.vms[number])

    @rule(number=vm_numbers)
    def cut_from_store(self, number: int) -> None:
        self.cut.add(self.vms[number])

    @rule(number=vm_numbers)
    def heal(self, number: int) -> None:
        vm = self.vms[number]
        if vm in self.frozen | self.cut:
            self.frozen.discard(vm)
            self.cut.discard(vm)
            self.healthy_since[vm] = self.now

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.5, 6.0]))
    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            for vm in self.vms:
                if vm not in self.frozen:
                    self._run(vm)
            self._check()

    def _run(self, vm: str) -> None:
        others = [
            KnownEntry(other, other, self.now, "a")
            for other in self.vms
            if other not in {vm, *self.frozen}
        ]
        upstream = self.upstreams[vm].choose(others, self.now)
        state = self.states[vm]
        if upstream is not None:
            state = self._follow(vm, upstream.vm)
        is_due = must_poll(
            is_reader=upstream is None,
            confirmed_at=state.confirmed_at,
            bound=BOUND_SECONDS,
            now=self.now,
        )
        may_poll = upstream is None or self.polls_when_stale
        if is_due and may_poll and vm not in self.cut:
            state = ReplicaState(self.revision, self.now)
            if upstream is not None:
                self.upstreams[vm].reject(upstream.vm, self.now)
        self.states[vm] = state

    def _follow(self, vm: str, upstream: str) -> ReplicaState:
        own, received = self.states[vm], self.states[upstream]
        return ReplicaState(
            max(own.position, received.position),
            max(own.confirmed_at, received.confirmed_at),
        )

    def _check(self) -> None:
        for vm in self.vms:
            if vm in self.frozen | self.cut:
                continue
            if self.now - self.healthy_since[vm] < RECOVERY_SECONDS:
                continue
            missed = self.states[vm].position + 1
            if missed <= self.revision:
                assert self.now - self.published_at[missed] <= BOUND_SECONDS, vm


class NeverPollingFleet(Fleet):
    """Followers that never poll the store themselves."""

    polls_when_stale = False


def run_fleet(machine: type[Fleet]) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
        ),
    )


class TestBound:
    def test_every_healthy_entry_learns_each_change_in_time(self) -> None:
        """Guards against followers of a reader that can't reach the store."""
        run_fleet(Fleet)

    def test_followers_that_never_poll_exceed_the_bound(self) -> None:
        with pytest.raises(AssertionError):
            run_fleet(NeverPollingFleet)
