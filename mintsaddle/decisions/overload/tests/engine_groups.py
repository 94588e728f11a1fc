"""Engines of rank groups in lockstep, and the state of entries."""

from statistics import mean
from typing import NamedTuple

from mintsaddle.decisions import direct, overload
from mintsaddle.decisions.direct import DirectCall, Incarnation
from mintsaddle.decisions.overload import CallPriority, CallQueue, PriorityLevels
from mintsaddle.values import Instant

SLOTS, STEPS_OF_STREAM = 5, 17
STEPS = direct.StepModel(token_seconds=0.00585, request_seconds=0.00093, tokens=6)
USUAL_SKEW, SHIFTED_SKEW = 1.3, 2.0
LEVELS = PriorityLevels(tuple(CallPriority(w, r) for w in (0, 1) for r in (0, 1)))
LAST = len(LEVELS.priorities) - 1


class Stream:
    """A placed call and its progress."""

    def __init__(
        self, call: DirectCall, entry: "Entry", urgency: int, *, was_probed: bool
    ) -> None:
        self.call, self.entry, self.urgency = call, entry, urgency
        self.was_probed, self.steps, self.on_time = was_probed, 0, True


class Engine:
    """One rank; it reports its requests as of the last step."""

    def __init__(self, group: "Group", rank: int, ranks: int) -> None:
        assignment = direct.RankAssignment(group.name, 1, rank, ranks, is_open=True)
        self.name = name = f"{group.name}-{rank}"
        self.incarnation = Incarnation(
            name, "s", name, "a", SLOTS, False, 0.0, 1, assignment
        )
        self.group = group
        self.queued: list[Stream] = []
        self.running: list[Stream] = []
        self.reported = 0
        self.placed = self.most_placed = 0
        """Probed calls placed here since the report, and the most ever."""


class Group:
    """Ranks that run in lockstep."""

    def __init__(self, name: str, ranks: int) -> None:
        self.name = name
        self.engines = [Engine(self, rank, ranks) for rank in range(ranks)]
        self.is_up, self.epoch, self.step = True, 1, 0
        self.step_ends_at: Instant = 0.0
        self.step_seconds = 0.0

    def begin_step(self, at: Instant, skew: float) -> None:
        """Start queued streams, report the requests and begin a step."""
        for engine in self.engines:
            engine.queued.sort(key=lambda each: (each.urgency, each.call.arrived_at))
            free = SLOTS - len(engine.running)
            engine.running += engine.queued[:free]
            engine.queued = engine.queued[free:]
            engine.reported, engine.placed = len(engine.running + engine.queued), 0
        requests = mean(len(engine.running) for engine in self.engines)
        per_token = STEPS.token_seconds + STEPS.request_seconds * requests
        self.step_seconds = STEPS.tokens * per_token * skew
        self.step += 1
        self.step_ends_at = at + self.step_seconds


class Waiting(NamedTuple):
    """A call that waits at an entry."""

    call: DirectCall
    level: int
    is_protected: bool
    until: Instant

    def order(self, now: Instant) -> tuple[bool, int, Instant]:
        """Return what the design orders the queue by."""
        late = direct.is_late(self.call, now)
        is_first = self.is_protected and not late
        return late, 0 if is_first else self.level, self.call.due_at


class Entry:
    """State of one entry."""

    def __init__(self, queue: CallQueue) -> None:
        self.queue = queue
        self.step_times = direct.GroupStepTimes()
        self.skews = overload.StepSkews()
        self.requests: dict[str, float] = {}
        self.arrived: list[DirectCall] = []
        """Calls that it hasn't looked at, or that wait for a group."""
        self.waiting: dict[str, Waiting] = {}
        self.attempt_at: dict[str, Instant] = {}
        self.is_frozen = self.is_probe_lost = False
