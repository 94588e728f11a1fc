"""Callers that wait, time out and retry, and the results they get."""

import random
from collections.abc import Callable
from typing import NamedTuple

from fakes.model._world import World

LATE_SCORE = 0.5
"""Score of a complete answer that misses its latency objective."""


class CallerModel(NamedTuple):
    """Load and behaviour of the callers of one route."""

    rate: float = 22.0
    """New requests per second: the load of twelve engines on a calm day."""

    prompt: int = 790
    """Mean prompt length in tokens."""

    events: int = 28
    """Mean number of events in a stream."""

    objective: float = 0.4
    """Seconds within which the first event is on time."""

    longest_pause: float = 0.12
    """Seconds within which each later event is on time."""

    deadline: float = 8.0
    """Mean seconds from a request's arrival to its deadline."""

    deadline_spread: float = 0.15
    """Largest relative deviation of a deadline from the mean."""

    timeout: float = 2.0
    """Seconds without an event after which a caller abandons its attempt."""

    retries: int = 1


class CallerRequest:
    """One caller's request from its first attempt to its end."""

    def __init__(self, world: World, model: CallerModel, rng: random.Random) -> None:
        self.world = world
        self.model = model
        self.arrived_at = world.now
        spread = 1.0 + model.deadline_spread * (2.0 * rng.random() - 1.0)
        self.deadline = self.arrived_at + model.deadline * spread
        self.prompt = max(1, round(model.prompt * rng.gammavariate(1.3, 1.0 / 1.3)))
        self.events = max(1, round(model.events * rng.gammavariate(1.8, 1.0 / 1.8)))
        self.attempts = 0
        self.events_received = 0
        self.last_event: float | None = None
        self.is_on_time = True
        self.is_served = False
        self.is_finished = False
        self.refusals = 0
        self._timer_id = 0

    @property
    def score(self) -> float:
        """Return 1 for an answer on time, less for a late one, else 0."""
        if not self.is_served:
            return 0.0
        return 1.0 if self.is_on_time else LATE_SCORE

    def begin_attempt(self, on_timeout: Callable[[], None]) -> None:
        """Start an attempt; ``on_timeout`` is called if no event arrives."""
        self.attempts += 1
        self._restart_timer(on_timeout)

    def record_event(self, on_timeout: Callable[[], None]) -> None:
        """Record an event of the stream and restart the timer."""
        now = self.world.now
        if self.last_event is None:
            self.is_on_time &= now - self.arrived_at <= self.model.objective
        else:
            self.is_on_time &= now - self.last_event <= self.model.longest_pause
        self.last_event = now
        self.events_received += 1
        self._restart_timer(on_timeout)

    def cancel_timer(self) -> None:
        """Stop waiting for events because the attempt is over."""
        self._timer_id += 1

    def _restart_timer(self, on_timeout: Callable[[], None]) -> None:
        self._timer_id += 1
        timer_id = self._timer_id
        timeout = min(self.model.timeout, self.deadline - self.world.now)

        def check() -> None:
            if timer_id == self._timer_id and not self.is_finished:
                on_timeout()

        self.world.after(max(0.0, timeout), check)
