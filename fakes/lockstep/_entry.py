"""An entry of the emulator: callbacks around the product's decisions."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from fakes.lockstep._callers import CallerRequest
from fakes.lockstep._group import EngineRequest, EngineRequestEnd, RankGroup
from fakes.model._world import World
from mintsaddle.decisions.direct import (
    Destination,
    DirectCall,
    GroupAvailability,
    Incarnation,
    RankAssignment,
    Repeat,
    RequestedWaits,
    Route,
    RouteDeadlines,
    advise_retry,
    await_until,
    choose_incarnation,
    choose_urgency,
    hold_until,
    prefer_proven,
)
from mintsaddle.decisions.routing import (
    RoutingState,
    record_finished,
    record_load,
    record_sent,
    record_turned_away,
)
from mintsaddle.values import Load

POLL_SECONDS = 0.05
"""Interval at which a held request checks whether its group is up."""

GROUP = "g"
ROUTE = Route(
    name="draft",
    host="desk",
    prefix="/",
    repeat=Repeat.RESUMABLE,
    is_stream=True,
    timeout=8.0,
    objective=0.4,
    longest_pause=0.12,
    priority=1,
    destinations=(Destination("llm", 1.0),),
    max_attempts=2,
    allows_anonymous=True,
)

ChooseRank: TypeAlias = Callable[
    [RoutingState, Sequence[Incarnation], float, random.Random], Incarnation | None
]
"""Chooses the endpoint of a request among the ranks of a group."""


class Policy(NamedTuple):
    """How an entry chooses ranks and treats requests."""

    choose: ChooseRank
    sets_urgency: bool = True
    """Whether requests carry an urgency; else all have urgency 0."""

    holds_requests: bool = True
    """Whether requests wait while the group is down."""

    keeps_waits: bool = True
    """Whether ranks that asked to wait get nothing."""

    prefers_proven: bool = True
    """Whether last attempts avoid ranks that have just asked to wait."""

    await_until: Callable[[DirectCall, float], float] = await_until
    """Up to which end of all ranks' waits a request waits at the entry."""


def choose_as_product(
    state: RoutingState, ranks: Sequence[Incarnation], now: float, rng: random.Random
) -> Incarnation | None:
    """Choose a rank by the product's own decision."""
    return choose_incarnation(state, ranks, frozenset(), now, rng)


PRODUCT = Policy(choose_as_product)


class Entry:
    """One entry that forwards requests to one group."""

    def __init__(
        self, world: World, name: str, group: RankGroup, ranks: int, policy: Policy
    ) -> None:
        self._world = world
        self._group = group
        self._policy = policy
        self._state = RoutingState(name, "a")
        self._availability = GroupAvailability()
        self._deadlines = RouteDeadlines()
        self._waits = RequestedWaits()
        self._ranks = [
            Incarnation(f"r{rank}", "llm", "", "a", 6, False, 0.0, 1, assignment)
            for rank in range(ranks)
            for assignment in [RankAssignment(GROUP, 1, rank, ranks, True)]
        ]

    def record_open(self) -> None:
        """Record a report that the group is open in its current epoch."""
        self._availability.record_report(
            GROUP, self._group.epoch, True, self._world.now
        )

    def serve(
        self, request: CallerRequest, schedule_retry: Callable[[float], None]
    ) -> None:
        """Serve one attempt of a caller.

        Args:
            request: The caller's request.
            schedule_retry: Called with the seconds after which to retry, when
                the attempt is refused or abandoned.
        """
        now = self._world.now
        seconds_left = min(ROUTE.timeout, request.deadline - now)
        self._deadlines.note(ROUTE.name, seconds_left)
        is_returning = self._deadlines.is_returning(ROUTE.name, seconds_left)
        call = DirectCall(
            "id",
            ROUTE,
            "llm",
            "",
            arrived_at=now,
            deadline=now + seconds_left,
            due_at=now if is_returning else now + ROUTE.objective,
            priority=ROUTE.priority,
        )
        attempt = _Attempt(call, request, schedule_retry)
        request.begin_attempt(lambda: attempt.cancel())
        self._dispatch(attempt)

    def _dispatch(self, attempt: "_Attempt") -> None:
        now = self._world.now
        if attempt.is_abandoned:
            return
        if self._availability.is_down(GROUP):
            if self._policy.holds_requests and now < hold_until(attempt.call):
                self._world.after(POLL_SECONDS, lambda: self._dispatch(attempt))
            else:
                self._refuse(attempt, 4.0)
            return
        open_ranks = [r for r in self._ranks if self._takes_work(r.name)]
        if not open_ranks:
            self._await_wait_end(attempt)
            return
        untried = [r for r in open_ranks if r.name not in attempt.call.tried]
        if self._policy.prefers_proven:
            untried = prefer_proven(
                attempt.call, untried, lambda name: self._waits.is_proven(name, now)
            )
        chosen = None
        if untried:
            chosen = self._policy.choose(self._state, untried, now, self._world.rng)
        if chosen is None:
            self._refuse(attempt, 0.5)
            return
        self._send(attempt, chosen)

    def _takes_work(self, rank: str) -> bool:
        return not (
            self._policy.keeps_waits and self._waits.is_waiting(rank, self._world.now)
        )

    def _await_wait_end(self, attempt: "_Attempt") -> None:
        """Hold a request while all ranks have asked to wait, or refuse it."""
        now, call = self._world.now, attempt.call
        end = min(self._waits.waits_until(rank.name) for rank in self._ranks)
        latest = self._policy.await_until(call, now)
        if end <= latest:
            self._world.after(POLL_SECONDS, lambda: self._dispatch(attempt))
        else:
            self._refuse(attempt, max(0.5, end - now), is_minimum=True)

    def _send(self, attempt: "_Attempt", chosen: Incarnation) -> None:
        name = chosen.name
        rank = chosen.assignment.rank if chosen.assignment else 0
        record_sent(self._state, name)
        attempt.call = attempt.call._replace(sends=attempt.call.sends + 1)
        request = attempt.request
        urgency = 0
        if self._policy.sets_urgency:
            urgency = choose_urgency(attempt.call, self._world.now)

        def on_event() -> None:
            if not attempt.call.response_started:
                attempt.call = attempt.call._replace(response_started=True)
                self._waits.record_answer(name, self._world.now)
                running, waiting = self._group.load(rank)
                load = Load(running, chosen.slots, waiting, leaving=False)
                record_load(self._state, name, 0, load, self._world.now)
            request.record_event(abandon)

        def on_end(end: EngineRequestEnd) -> None:
            record_finished(self._state, name)
            if end is EngineRequestEnd.REFUSED and self._group.is_open:
                self._record_refusal(attempt, chosen, engine_request)
            self._end(attempt, end)

        def abandon() -> None:
            self._group.cancel(engine_request)
            record_finished(self._state, name)
            attempt.abandon()

        events_left = request.events - request.events_received
        engine_request = EngineRequest(
            request.prompt, events_left, urgency, on_event, on_end
        )
        attempt.cancel = abandon
        self._group.submit(rank, engine_request)

    def _record_refusal(
        self, attempt: "_Attempt", chosen: Incarnation, request: EngineRequest
    ) -> None:
        """Record a rank's refusal, whose answer carries its load."""
        now, rank = self._world.now, chosen.assignment
        running, waiting = self._group.load(rank.rank if rank else 0)
        load = Load(running, chosen.slots, waiting, leaving=False)
        record_load(self._state, chosen.name, 0, load, now, is_refusal=True)
        record_turned_away(self._state, chosen.name, now)
        if request.requested_wait > 0:
            self._waits.record_refusal(
                chosen.name, request.requested_wait, now, self._world.rng
            )
        tried = attempt.call.tried | {chosen.name}
        attempt.call = attempt.call._replace(tried=tried)

    def _end(self, attempt: "_Attempt", end: EngineRequestEnd) -> None:
        request = attempt.request
        if end is EngineRequestEnd.DONE:
            request.cancel_timer()
            request.is_finished = request.is_served = True
            return
        if not self._group.is_open:
            self._availability.record_refusal(GROUP, self._group.epoch, self._world.now)
        if attempt.call.response_started:
            # The stream is interrupted; its caller retries by itself.
            attempt.abandon()
        elif attempt.call.sends < ROUTE.max_attempts or not self._group.is_open:
            self._dispatch(attempt)
        else:
            self._refuse(attempt, 0.5)

    def _refuse(
        self,
        attempt: "_Attempt",
        suggested_delay: float,
        *,
        is_minimum: bool = False,
    ) -> None:
        request = attempt.request
        request.cancel_timer()
        request.refusals += 1
        seconds_left = request.deadline - self._world.now
        attempt.schedule_retry(
            advise_retry(
                seconds_left,
                suggested_delay,
                self._world.rng,
                is_minimum=is_minimum,
            )
        )


class _Attempt:
    """One attempt of a caller at an entry."""

    def __init__(
        self,
        call: DirectCall,
        request: CallerRequest,
        schedule_retry: Callable[[float], None],
    ) -> None:
        self.call = call
        self.request = request
        self.schedule_retry = schedule_retry
        self.is_abandoned = False
        self.cancel: Callable[[], None] = self.abandon

    def abandon(self) -> None:
        """Give up this attempt and let the caller retry at once."""
        if not self.is_abandoned:
            self.is_abandoned = True
            self.request.cancel_timer()
            self.schedule_retry(0.0)
