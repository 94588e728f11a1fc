"""State of admission control: the engine, its requests and the queue."""

import enum
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.values import Boot, Instant


class AdmissionRules(NamedTuple):
    """Limits for an endpoint's engine, taken from the fleet text."""

    cold_limit: int
    limit: int
    growth: float
    target: float
    longest_queue: float


class Candidate(NamedTuple):
    """The properties of a request that admission depends on."""

    request_id: str
    workspace: str
    share: float
    """The workspace's weight in fair queueing."""

    priority: int
    """Requests of higher priority start first."""

    start_by: Instant
    """Latest start; a request predicted to miss it is refused on arrival."""


class QueuedRequest(NamedTuple):
    """A request in the queue."""

    candidate: Candidate
    number: int
    """Sequence number of the arrival; breaks ties in the queue."""


class RunningRequest(NamedTuple):
    """A request that the engine holds."""

    candidate: Candidate
    started_at: Instant
    epoch: int
    """Engine epoch at the start; feedback from an earlier epoch is ignored."""


class EngineFeedback(enum.Enum):
    """What the end of a response says about the engine's load."""

    GOOD = "good"
    """Complete, with the first token within the target latency."""

    SLOW = "slow"
    """Complete, but the first token was late."""

    OVERLOADED = "overloaded"
    """The engine reported that it is overloaded."""

    FAILED = "failed"
    """The engine aborted the response."""

    NONE = "none"
    """No information, for example because the caller disconnected."""


class AdmissionState:
    """An engine's limit, its running requests and the queue in front of it."""

    def __init__(self) -> None:
        self._engine_boot: Boot | None = None
        self._confirmed_at: Instant = float("-inf")
        self._epoch = 0
        self._reported_limit: int | None = None
        self._extra_limit = 0.0
        self._mean_service_time = 0.0
        self._arrivals = 0
        self._running: dict[str, RunningRequest] = {}
        self._waiting: dict[str, QueuedRequest] = {}
        self._held: Counter[str] = Counter()
        self._shares: dict[str, float] = {}

    @property
    def engine_boot(self) -> Boot | None:
        """Identifies the engine's run; None while it is down or unknown."""
        return self._engine_boot

    @property
    def confirmed_at(self) -> Instant:
        """When the engine's run was last confirmed."""
        return self._confirmed_at

    @property
    def epoch(self) -> int:
        """Number of engine restarts and failures seen by this daemon."""
        return self._epoch

    @property
    def reported_limit(self) -> int | None:
        """The concurrency limit that the engine itself reports, if any."""
        return self._reported_limit

    @property
    def extra_limit(self) -> float:
        """Concurrency above the cold limit, earned since the engine start."""
        return self._extra_limit

    @property
    def mean_service_time(self) -> float:
        """Moving average of the seconds a request runs; 0 before the first."""
        return self._mean_service_time

    @property
    def running(self) -> Mapping[str, RunningRequest]:
        """Requests that the engine holds, by request ID."""
        return self._running

    @property
    def waiting(self) -> Mapping[str, QueuedRequest]:
        """Requests in the queue, by request ID."""
        return self._waiting

    def held_by(self, workspace: str) -> int:
        """Return how many of a workspace's requests the engine holds."""
        return self._held[workspace]

    def total_share(self) -> float:
        """Return the sum of the shares of workspaces with running requests."""
        return sum(self._shares[workspace] for workspace in self._held)

    def replace_engine(
        self, boot: Boot | None, confirmed_at: Instant, reported_limit: int | None
    ) -> None:
        """Set the engine's run, its confirmation time and reported limit."""
        self._engine_boot = boot
        self._confirmed_at = confirmed_at
        self._reported_limit = reported_limit

    def start_epoch(self) -> None:
        """Begin a new engine epoch and discard what was learned before it."""
        self._epoch += 1
        self._extra_limit = 0.0
        self._reported_limit = None

    def replace_extra_limit(self, extra_limit: float) -> None:
        """Set the concurrency above the cold limit."""
        self._extra_limit = extra_limit

    def record_service_time(self, seconds: float) -> None:
        """Add a finished request's run time to the moving average."""
        smoothing = _SMOOTHING if self._mean_service_time else 1.0
        self._mean_service_time += smoothing * (seconds - self._mean_service_time)

    def count_arrival(self) -> int:
        """Count an arrival; return its sequence number."""
        self._arrivals += 1
        return self._arrivals

    def put_waiting(self, waiting: QueuedRequest) -> None:
        """Add a request to the queue."""
        self._waiting[waiting.candidate.request_id] = waiting

    def drop_waiting(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request from the queue, if it is there."""
        return self._waiting.pop(request_id, None)

    def put_running(self, running: RunningRequest) -> None:
        """Add a request to those that the engine holds."""
        self._running[running.candidate.request_id] = running
        self._held[running.candidate.workspace] += 1
        self._shares[running.candidate.workspace] = running.candidate.share

    def drop_running(self, request_id: str) -> RunningRequest | None:
        """Remove and return a request from those that the engine holds."""
        running = self._running.pop(request_id, None)
        if running is not None:
            workspace = running.candidate.workspace
            self._held[workspace] -= 1
            if not self._held[workspace]:
                # Keep no entries for idle workspaces; there are thousands.
                del self._held[workspace]
                del self._shares[workspace]
        return running


_SMOOTHING = 0.1
"""Weight of the newest sample in the moving average."""
