"""What an endpoint daemon knows of its engine and of the work before it."""

import enum
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.values import Boot, Instant


class AdmissionRules(NamedTuple):
    """What the fleet text says of an endpoint's engine."""

    cold_limit: int
    limit: int
    growth: float
    target: float
    longest_queue: float


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


class Waiting(NamedTuple):
    """A request in the queue."""

    candidate: Candidate
    number: int
    """Counts arrivals."""


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
        self._arrivals = 0
        self._running: dict[str, Running] = {}
        self._waiting: dict[str, Waiting] = {}
        self._held: Counter[str] = Counter()
        self._shares: dict[str, float] = {}

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
    def running(self) -> Mapping[str, Running]:
        """Requests that the engine holds, by id."""
        return self._running

    @property
    def waiting(self) -> Mapping[str, Waiting]:
        """Requests in the queue, by id."""
        return self._waiting

    def held_by(self, workspace: str) -> int:
        """Return how many of a workspace's requests the engine holds."""
        return self._held[workspace]

    def total_share(self) -> float:
        """Return the summed shares of the workspaces that hold places."""
        return sum(self._shares[workspace] for workspace in self._held)

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

    def record_time(self, seconds: float) -> None:
        """Take a finished request's time into the running mean."""
        blend = _BLEND if self._mean_time else 1.0
        self._mean_time += blend * (seconds - self._mean_time)

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
        self._held[running.candidate.workspace] += 1
        self._shares[running.candidate.workspace] = running.candidate.share

    def drop_running(self, request_id: str) -> Running | None:
        """Take away a request that is over."""
        running = self._running.pop(request_id, None)
        if running is not None:
            workspace = running.candidate.workspace
            self._held[workspace] -= 1
            if not self._held[workspace]:
                # There are thousands; those that hold nothing are dropped.
                del self._held[workspace]
                del self._shares[workspace]
        return running


_BLEND = 0.1
