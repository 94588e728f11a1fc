"""Where one call stands."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.decisions.calls._messages import CallRequest
from mintsaddle.decisions.routing import RoutingState
from mintsaddle.fleet import Fleet, Marks
from mintsaddle.values import Instant, OrderKey


class RouteFacts(NamedTuple):
    """What an entry knows when a call decides."""

    fleet: Fleet
    marks: Marks
    routing: RoutingState
    rng: random.Random


class Attempt(NamedTuple):
    """The attempt that is under way."""

    number: int
    endpoint: str
    key: OrderKey | None
    silent_at: Instant
    """When it counts as silent if nothing is heard before."""

    accepted: bool = False


class CallState:
    """One call: its present attempt, what was tried, what was delivered."""

    def __init__(self, request: CallRequest) -> None:
        self._request = request
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._tried: frozenset[str] = frozenset()
        self._reached = False
        self._head_delivered = False
        self._delivered = 0
        self._early: dict[int, bytes] = {}
        self._end_count: int | None = None
        self._drawn: OrderKey | None = None
        self._retry_at: Instant = 0.0
        self._over = False

    @property
    def request(self) -> CallRequest:
        """The caller's request."""
        return self._request

    @property
    def attempt(self) -> Attempt | None:
        """The attempt under way, if any."""
        return self._attempt

    @property
    def attempts(self) -> int:
        """Attempts made."""
        return self._attempts

    @property
    def tried(self) -> frozenset[str]:
        """Endpoints that were tried."""
        return self._tried

    @property
    def reached(self) -> bool:
        """Whether any attempt may have reached an engine."""
        return self._reached

    @property
    def head_delivered(self) -> bool:
        """Whether the caller has the status."""
        return self._head_delivered

    @property
    def delivered(self) -> int:
        """Chunks that the caller has."""
        return self._delivered

    @property
    def early(self) -> Mapping[int, bytes]:
        """Chunks that came before their turn, by sequence."""
        return self._early

    @property
    def end_count(self) -> int | None:
        """Chunks of the whole answer, once its end has come."""
        return self._end_count

    @property
    def drawn(self) -> OrderKey | None:
        """The last key drawn here for the caller."""
        return self._drawn

    @property
    def retry_at(self) -> Instant:
        """The latest word of an endpoint on when to come back."""
        return self._retry_at

    @property
    def over(self) -> bool:
        """Whether the final word was given."""
        return self._over

    def begin_attempt(self, attempt: Attempt) -> None:
        """Make an attempt the present one."""
        self._attempt = attempt
        self._attempts = attempt.number
        self._tried = self._tried | {attempt.endpoint}
        self._drawn = attempt.key
        self._early = {}
        self._end_count = None

    def replace_attempt(self, attempt: Attempt | None) -> None:
        """Set the present attempt."""
        self._attempt = attempt

    def mark_reached(self) -> None:
        """Note that an attempt may have reached an engine."""
        self._reached = True

    def mark_head(self) -> None:
        """Note that the caller has the status."""
        self._head_delivered = True

    def count_delivered(self) -> int:
        """Count one more delivered chunk; return its sequence."""
        self._delivered += 1
        return self._delivered

    def put_early(self, sequence: int, data: bytes) -> None:
        """Keep a chunk until its turn."""
        self._early[sequence] = data

    def take_early(self, sequence: int) -> bytes | None:
        """Take out the chunk whose turn it is, if it is here."""
        return self._early.pop(sequence, None)

    def put_end(self, count: int) -> None:
        """Note how many chunks the answer has."""
        self._end_count = count

    def put_retry_at(self, retry_at: Instant) -> None:
        """Note an endpoint's word on when to come back."""
        self._retry_at = retry_at

    def close(self) -> None:
        """Note that the final word was given."""
        self._attempt = None
        self._over = True
