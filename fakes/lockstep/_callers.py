"""Callers that wait, leave and come back, and what they got."""

import random
from collections.abc import Callable
from typing import NamedTuple

from fakes.model._world import World

LATE_WORTH = 0.5


class CallerModel(NamedTuple):
    """What callers of one route bring and how they behave."""

    rate: float = 22.0
    """New requests in a second; twelve engines of a calm day get as many."""

    prompt: int = 790
    events: int = 28
    objective: float = 0.4
    longest_pause: float = 0.12
    deadline: float = 8.0
    deadline_spread: float = 0.15
    timeout: float = 2.0
    """Seconds without an event after which a caller leaves its attempt."""

    retries: int = 1


class Visit:
    """One caller's request from its first attempt to its end."""

    def __init__(self, world: World, model: CallerModel, rng: random.Random) -> None:
        self.world = world
        self.model = model
        self.came = world.now
        spread = 1.0 + model.deadline_spread * (2.0 * rng.random() - 1.0)
        self.ends_at = self.came + model.deadline * spread
        self.prompt = max(1, round(model.prompt * rng.gammavariate(1.3, 1.0 / 1.3)))
        self.events = max(1, round(model.events * rng.gammavariate(1.8, 1.0 / 1.8)))
        self.attempts = 0
        self.events_seen = 0
        self.last_event: float | None = None
        self.is_on_time = True
        self.is_served = False
        self.is_over = False
        self.refusals = 0
        self._watch = 0

    @property
    def worth(self) -> float:
        """Return 1 for an answer on time, less for a late one, else 0."""
        if not self.is_served:
            return 0.0
        return 1.0 if self.is_on_time else LATE_WORTH

    def begin_attempt(self, leave: Callable[[], None]) -> None:
        """Note a new attempt; ``leave`` is called when timeout ends."""
        self.attempts += 1
        self._await_event(leave)

    def record_event(self, leave: Callable[[], None]) -> None:
        """Note an event of the stream."""
        now = self.world.now
        if self.last_event is None:
            self.is_on_time &= now - self.came <= self.model.objective
        else:
            self.is_on_time &= now - self.last_event <= self.model.longest_pause
        self.last_event = now
        self.events_seen += 1
        self._await_event(leave)

    def stop_watching(self) -> None:
        """Note that the attempt is over: nobody waits for an event."""
        self._watch += 1

    def _await_event(self, leave: Callable[[], None]) -> None:
        self._watch += 1
        number = self._watch
        timeout = min(self.model.timeout, self.ends_at - self.world.now)

        def check() -> None:
            if number == self._watch and not self.is_over:
                leave()

        self.world.after(max(0.0, timeout), check)
