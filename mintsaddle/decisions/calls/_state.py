"""State of a call at an entry."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.decisions.calls._messages import CallRequest
from mintsaddle.decisions.routing import RoutingState
from mintsaddle.fleet import Fleet, Marks
from mintsaddle.values import Instant, OrderKey


class RoutingContext(NamedTuple):
    """The fleet, marks and routing state that a call's decisions use."""

    fleet: Fleet
    marks: Marks
    routing: RoutingState
    rng: random.Random


class Attempt(NamedTuple):
    """An attempt in progress."""

    number: int
    endpoint: str
    key: OrderKey | None
    timeout_at: Instant
    """When the attempt times out if nothing arrives before."""

    accepted: bool = False


class CallState:
    """A call: its current attempt, endpoints tried and chunks delivered."""

    def __init__(self, request: CallRequest) -> None:
        self._request = request
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._tried: frozenset[str] = frozenset()
        self._reached = False
        self._head_delivered = False
        self._delivered = 0
        self._buffered_chunks: dict[int, bytes] = {}
        self._end_count: int | None = None
        self._last_key: OrderKey | None = None
        self._retry_at: Instant = 0.0
        self._over = False

    @property
    def request(self) -> CallRequest:
        """The caller's request."""
        return self._request

    @property
    def attempt(self) -> Attempt | None:
        """The current attempt, if any."""
        return self._attempt

    @property
    def attempts(self) -> int:
        """Number of attempts made."""
        return self._attempts

    @property
    def tried(self) -> frozenset[str]:
        """Endpoints to which an attempt was sent."""
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
        """Number of chunks delivered to the caller."""
        return self._delivered

    @property
    def buffered_chunks(self) -> Mapping[int, bytes]:
        """Chunks that arrived out of order, by sequence number."""
        return self._buffered_chunks

    @property
    def end_count(self) -> int | None:
        """Number of chunks of the response, once its end has arrived."""
        return self._end_count

    @property
    def last_key(self) -> OrderKey | None:
        """The key of the last attempt, sent by the caller or drawn here."""
        return self._last_key

    @property
    def retry_at(self) -> Instant:
        """When to retry, according to the last endpoint that refused."""
        return self._retry_at

    @property
    def over(self) -> bool:
        """Whether the call has ended."""
        return self._over

    def begin_attempt(self, attempt: Attempt) -> None:
        """Make an attempt the current one and discard buffered chunks."""
        self._attempt = attempt
        self._attempts = attempt.number
        self._tried = self._tried | {attempt.endpoint}
        self._last_key = attempt.key
        self._buffered_chunks = {}
        self._end_count = None

    def replace_attempt(self, attempt: Attempt | None) -> None:
        """Set or clear the current attempt."""
        self._attempt = attempt

    def mark_reached(self) -> None:
        """Record that an attempt may have reached an engine."""
        self._reached = True

    def mark_head_delivered(self) -> None:
        """Record that the caller has the status."""
        self._head_delivered = True

    def count_delivered(self) -> int:
        """Count a delivered chunk; return its sequence number."""
        self._delivered += 1
        return self._delivered

    def buffer_chunk(self, sequence: int, data: bytes) -> None:
        """Keep a chunk until those before it are delivered."""
        self._buffered_chunks[sequence] = data

    def pop_buffered_chunk(self, sequence: int) -> bytes | None:
        """Remove and return a buffered chunk, if it has arrived."""
        return self._buffered_chunks.pop(sequence, None)

    def set_end_count(self, count: int) -> None:
        """Record how many chunks the response has."""
        self._end_count = count

    def set_retry_at(self, retry_at: Instant) -> None:
        """Set the retry time that an endpoint gave."""
        self._retry_at = retry_at

    def close(self) -> None:
        """Record that the call has ended."""
        self._attempt = None
        self._over = True
