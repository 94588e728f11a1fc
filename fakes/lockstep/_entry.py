"""An entry of the emulator: the product's decisions, carried by callbacks."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from fakes.lockstep._callers import Visit
from fakes.lockstep._group import RankGroup, Work, WorkEnd
from fakes.model._world import World
from mintsaddle.decisions.direct import (
    Destination,
    DirectCall,
    GroupAvailability,
    Incarnation,
    RankAssignment,
    Repeat,
    Route,
    RouteDeadlines,
    advise_retry,
    choose_incarnation,
    choose_urgency,
    hold_until,
)
from mintsaddle.decisions.routing import (
    RoutingState,
    record_finished,
    record_load,
    record_sent,
)
from mintsaddle.values import Load

POLL_SECONDS = 0.05
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
"""Chooses among endpoints, as the product or a baseline does."""


class Policy(NamedTuple):
    """What an entry does."""

    choose: ChooseRank
    names_urgency: bool = True
    holds: bool = True
    """Whether requests wait while the group is down."""


def pick_product(
    state: RoutingState, ranks: Sequence[Incarnation], now: float, rng: random.Random
) -> Incarnation | None:
    """Choose as the product does."""
    return choose_incarnation(state, ranks, frozenset(), now, rng)


PRODUCT = Policy(pick_product)


class Entry:
    """One entry before one group."""

    def __init__(
        self, world: World, name: str, group: RankGroup, ranks: int, policy: Policy
    ) -> None:
        self._world = world
        self._group = group
        self._policy = policy
        self._state = RoutingState(name, "a")
        self._beliefs = GroupAvailability()
        self._deadlines = RouteDeadlines()
        self._ranks = [
            Incarnation(f"r{rank}", "llm", "", "a", 6, False, 0.0, 1, place)
            for rank in range(ranks)
            for place in [RankAssignment(GROUP, 1, rank, ranks, True)]
        ]

    def record_open(self) -> None:
        """Learn from a report that the group has formed anew."""
        self._beliefs.record_report(GROUP, self._group.epoch, True, self._world.now)

    def take(self, visit: Visit, on_refusal: Callable[[float], None]) -> None:
        """Serve an attempt of a caller.

        Args:
            visit: The caller's request.
            on_refusal: Told the seconds after which to come back.
        """
        now = self._world.now
        left = min(ROUTE.timeout, visit.ends_at - now)
        self._deadlines.note(ROUTE.name, left)
        is_returning = self._deadlines.is_returning(ROUTE.name, left)
        call = DirectCall(
            "id",
            ROUTE,
            "llm",
            "",
            arrived_at=now,
            deadline=now + left,
            due_at=now if is_returning else now + ROUTE.objective,
            priority=ROUTE.priority,
        )
        serving = _Serving(call, visit, on_refusal)
        visit.begin_attempt(lambda: serving.cancel())
        self._try(serving)

    def _try(self, serving: "_Serving") -> None:
        now = self._world.now
        if serving.is_left:
            return
        if self._beliefs.is_down(GROUP):
            if self._policy.holds and now < hold_until(serving.call):
                self._world.after(POLL_SECONDS, lambda: self._try(serving))
            else:
                self._refuse(serving, 4.0)
            return
        chosen = self._policy.choose(self._state, self._ranks, now, self._world.rng)
        if chosen is None:
            self._refuse(serving, 0.5)
            return
        self._send(serving, chosen)

    def _send(self, serving: "_Serving", chosen: Incarnation) -> None:
        name = chosen.name
        rank = chosen.assignment.rank if chosen.assignment else 0
        record_sent(self._state, name)
        serving.call = serving.call._replace(sends=serving.call.sends + 1)
        visit = serving.visit
        urgency = 0
        if self._policy.names_urgency:
            urgency = choose_urgency(serving.call, self._world.now)

        def on_event() -> None:
            if not serving.call.response_started:
                serving.call = serving.call._replace(response_started=True)
                running, waiting = self._group.load(rank)
                load = Load(running, chosen.slots, waiting, leaving=False)
                record_load(self._state, name, 0, load, self._world.now)
            visit.record_event(leave)

        def on_end(end: WorkEnd) -> None:
            record_finished(self._state, name)
            self._end(serving, end)

        def leave() -> None:
            self._group.cancel(work)
            record_finished(self._state, name)
            serving.leave()

        rest = visit.events - visit.events_seen
        work = Work(visit.prompt, rest, urgency, on_event, on_end)
        serving.cancel = leave
        self._group.submit(rank, work)

    def _end(self, serving: "_Serving", end: WorkEnd) -> None:
        visit = serving.visit
        if end is WorkEnd.DONE:
            visit.stop_watching()
            visit.is_over = visit.is_served = True
            return
        if not self._group.is_open:
            self._beliefs.record_refusal(GROUP, self._group.epoch, self._world.now)
        if serving.call.response_started:
            # The stream breaks off; its caller comes back on its own.
            serving.leave()
        elif serving.call.sends < ROUTE.max_attempts or not self._group.is_open:
            self._try(serving)
        else:
            self._refuse(serving, 0.5)

    def _refuse(self, serving: "_Serving", wished: float) -> None:
        visit = serving.visit
        visit.stop_watching()
        visit.refusals += 1
        left = visit.ends_at - self._world.now
        serving.on_refusal(advise_retry(left, wished, self._world.rng))


class _Serving:
    """One attempt of a caller at an entry."""

    def __init__(
        self, call: DirectCall, visit: Visit, on_refusal: Callable[[float], None]
    ) -> None:
        self.call = call
        self.visit = visit
        self.on_refusal = on_refusal
        self.is_left = False
        self.cancel: Callable[[], None] = self.leave

    def leave(self) -> None:
        """The caller has left this attempt; it comes back if it may."""
        if not self.is_left:
            self.is_left = True
            self.visit.stop_watching()
            self.on_refusal(0.0)
