"""What an endpoint daemon knows of its engine and of the work before it."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.values import Boot, Instant


class QueueOrder(enum.Enum):
    """By what the queue is ordered within a priority."""

    FAIR = "fair"
    """Weighted fair share between workspaces (start-time fair queueing)."""

    ARRIVAL = "arrival"
    """First come, first served."""

    SHORTEST = "shortest"
    """Predicted shortest first, after the ELIS paper's ISRTF; predicted by a
    running mean for each workspace and service."""


class AdmissionRules(NamedTuple):
    """What the fleet text says of an endpoint's engine."""

    cold_limit: int
    limit: int
    growth: float
    target: float
    longest_queue: float
    order: QueueOrder = QueueOrder.FAIR


class Candidate(NamedTuple):
    """What admission needs to know of one request."""

    request_id: str
    workspace: str
    share: float
    """The workspace's weight."""

    priority: int
    """Higher goes first."""

    start_by: Instant
    """A request that can't start by then is refused on arrival."""

    service: str = ""


class Waiting(NamedTuple):
    """A request in the queue."""

    candidate: Candidate
    order: tuple[int, float, int]
    """Sorts the queue: falling priority, then tag, then arrival."""


class Running(NamedTuple):
    """A request that the engine holds."""

    candidate: Candidate
    started_at: Instant
    epoch: int
    """Counts the engine's starts; an earlier one's answer is no evidence."""


class Evidence(enum.Enum):
    """What an answer's end tells of the engine."""

    GOOD = "good"
    """Whole, with its first token within target."""

    SLOW = "slow"
    """Whole, but late."""

    OVERLOADED = "overloaded"
    """The engine said that it has too much."""

    FAILED = "failed"
    """The engine broke it off."""

    NONE = "none"
    """Nothing: the caller left, say."""


class AdmissionState:
    """One engine's limit, the requests it holds and the queue before it."""

    def __init__(self) -> None:
        self._engine_boot: Boot | None = None
        self._confirmed_at: Instant = float("-inf")
        self._epoch = 0
        self._reported_limit: int | None = None
        self._gained = 0.0
        self._mean_time = 0.0
        self._virtual_time = 0.0
        self._arrivals = 0
        self._running: dict[str, Running] = {}
        self._waiting: dict[str, Waiting] = {}
        self._tags: dict[str, float] = {}
        self._lengths: dict[tuple[str, str], float] = {}

    @property
    def engine_boot(self) -> Boot | None:
        """The engine's run; None while it is down or unknown."""
        return self._engine_boot

    @property
    def confirmed_at(self) -> Instant:
        """When that run was last seen alive."""
        return self._confirmed_at

    @property
    def epoch(self) -> int:
        """Counts the engine's starts as seen from here."""
        return self._epoch

    @property
    def reported_limit(self) -> int | None:
        """What the engine itself says that it bears, if it does."""
        return self._reported_limit

    @property
    def gained(self) -> float:
        """Places gained by evidence since the engine's start."""
        return self._gained

    @property
    def mean_time(self) -> float:
        """Running mean of a request's time at the engine; 0 at first."""
        return self._mean_time

    @property
    def virtual_time(self) -> float:
        """The fair queue's virtual time."""
        return self._virtual_time

    @property
    def running(self) -> Mapping[str, Running]:
        """Requests that the engine holds, by id."""
        return self._running

    @property
    def waiting(self) -> Mapping[str, Waiting]:
        """Requests in the queue, by id."""
        return self._waiting

    def tag_of(self, workspace: str) -> float:
        """Return the last virtual finish time given to a workspace."""
        return self._tags.get(workspace, 0.0)

    def length_of(self, workspace: str, service: str) -> float:
        """Return the predicted time of a workspace's request at the engine."""
        return self._lengths.get((workspace, service), self._mean_time)

    def replace_engine(
        self, boot: Boot | None, confirmed_at: Instant, reported_limit: int | None
    ) -> None:
        """Set what is known of the engine's run."""
        self._engine_boot = boot
        self._confirmed_at = confirmed_at
        self._reported_limit = reported_limit

    def start_epoch(self) -> None:
        """Begin a new engine start: nothing is known of what it bears."""
        self._epoch += 1
        self._gained = 0.0
        self._reported_limit = None

    def replace_gained(self, gained: float) -> None:
        """Set the places gained by evidence."""
        self._gained = gained

    def record_time(self, candidate: Candidate, seconds: float) -> None:
        """Take a finished request's time into the running means."""
        self._mean_time = _blend(self._mean_time, seconds)
        key = (candidate.workspace, candidate.service)
        self._lengths[key] = _blend(self._lengths.get(key, 0.0), seconds)

    def advance_virtual_time(self, tag: float) -> None:
        """Move virtual time up to a started request's tag."""
        if tag <= self._virtual_time:
            return
        self._virtual_time = tag
        # A tag behind virtual time says nothing any more; dropping it bounds
        # the memory by the workspaces that wait at present.
        if len(self._tags) > 2 * len(self._waiting) + 64:
            self._tags = {name: kept for name, kept in self._tags.items() if kept > tag}

    def put_tag(self, workspace: str, tag: float) -> None:
        """Set the last virtual finish time of a workspace."""
        self._tags[workspace] = tag

    def count_arrival(self) -> int:
        """Return the number of this arrival."""
        self._arrivals += 1
        return self._arrivals

    def put_waiting(self, waiting: Waiting) -> None:
        """Add a request to the queue."""
        self._waiting[waiting.candidate.request_id] = waiting

    def drop_waiting(self, request_id: str) -> Waiting | None:
        """Take a request out of the queue."""
        return self._waiting.pop(request_id, None)

    def put_running(self, running: Running) -> None:
        """Add a request that the engine gets."""
        self._running[running.candidate.request_id] = running

    def drop_running(self, request_id: str) -> Running | None:
        """Take away a request that is over."""
        return self._running.pop(request_id, None)


_BLEND = 0.1


def _blend(mean: float, value: float) -> float:
    """Return a running mean; the first value stands for itself."""
    if mean == 0.0:
        return value
    return mean + _BLEND * (value - mean)
