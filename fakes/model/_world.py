"""Virtual time, processes that crash and freeze, and a network with faults."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

START = 1_800_000_000.0
"""Virtual time at which a simulation begins, as a Unix timestamp."""

LATENCY = 0.001
"""One-way delay of a message between two VMs, in seconds."""


class Execution(NamedTuple):
    """One start of a request at an engine."""

    work_id: str
    """The key of an order, or the caller's request id."""

    endpoint: str
    at: float
    held: int
    """Requests in progress at the engine, including this one."""

    capacity: int
    """Requests that the engine could process at once at that moment."""


class MessageFault(NamedTuple):
    """A fault that applies to the next message of a kind."""

    kind: str
    effect: str
    """``late``, ``doubled``, ``reordered`` or ``lost``."""


class World:
    """A simulation: virtual clock, event queue, network and recorded facts.

    The oracle reads the recorded facts once the simulation is over.
    """

    def __init__(self, seed: int) -> None:
        self.now = START
        self.rng = random.Random(seed)
        self.executions: list[Execution] = []
        self.cut_from_others: set[str] = set()
        self.cut_from_platform: set[str] = set()
        self.message_faults: list[MessageFault] = []
        self.hooks: dict[str, list[Callable[[], None]]] = {}
        self.marks_adopted_at: dict[int, float] = {}
        self.ever_isolated: set[str] = set()
        self.calls_by_key: dict[str, str] = {}
        self.watched_endpoint = ""
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in virtual seconds."""
        entry = (self.now + delay, next(self._sequence), callback)
        heapq.heappush(self._queue, entry)

    def run_until(self, moment: float) -> None:
        """Run all events up to a moment of virtual time."""
        while self._queue and self._queue[0][0] <= moment:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = moment

    def notify_step(self, step: str) -> None:
        """Run the hooks of a step that the watched request reaches, once."""
        for callback in self.hooks.pop(step, ()):
            callback()

    def can_reach(self, first: str, second: str) -> bool:
        """Return whether messages pass between two data centres."""
        return first == second or not {first, second} & self.cut_from_others

    def send(
        self,
        source: "Process",
        target: "Process",
        callback: Callable[[], None],
        kind: str = "control",
        on_refused: Callable[[], None] | None = None,
    ) -> None:
        """Deliver a message to a process.

        A cut link loses the message. A process that isn't running refuses it,
        which the sender learns through ``on_refused``.
        """
        delays = self._delays(kind)
        for delay in delays:
            self.after(
                delay, lambda: self._arrive(source, target, callback, on_refused)
            )

    def _delays(self, kind: str) -> tuple[float, ...]:
        for fault in self.message_faults:
            if fault.kind == kind:
                self.message_faults.remove(fault)
                return _FAULT_DELAYS[fault.effect]
        return (LATENCY,)

    def _arrive(
        self,
        source: "Process",
        target: "Process",
        callback: Callable[[], None],
        on_refused: Callable[[], None] | None,
    ) -> None:
        if not self.can_reach(source.data_centre, target.data_centre):
            return
        if target.alive:
            target.when_awake(callback)
        elif on_refused is not None:
            source.when_awake(on_refused)


_FAULT_DELAYS = {
    "late": (2.0,),
    "doubled": (LATENCY, 0.03, 1.5),
    "reordered": (0.12,),
    "lost": (),
}
"""Delay in seconds of each copy of a message, by the fault's effect."""


class Process:
    """A process that can crash, freeze and restart without its state."""

    def __init__(self, world: World, name: str, data_centre: str) -> None:
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.alive = False
        self.run_number = 0
        self.clock_offset = 0.0
        self._frozen_until = 0.0

    def now(self) -> float:
        """Return the time on this process's own clock."""
        return self.world.now + self.clock_offset

    def start(self) -> None:
        """Start a new run; events of earlier runs are dropped."""
        self.alive = True
        self.run_number += 1
        self._frozen_until = 0.0

    def die(self) -> None:
        """End the run abruptly."""
        self.alive = False

    def freeze(self, seconds: float) -> None:
        """Suspend the process; its events are deferred until it resumes."""
        self._frozen_until = self.world.now + seconds

    @property
    def frozen(self) -> bool:
        """Whether the process is suspended now."""
        return self.world.now < self._frozen_until

    def later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback in this run, deferred while frozen."""
        run = self.run_number
        self.world.after(delay, lambda: self._run_callback(run, callback))

    def when_awake(self, callback: Callable[[], None]) -> None:
        """Run a callback now, or on resuming if the process is frozen."""
        self._run_callback(self.run_number, callback)

    def _run_callback(self, run: int, callback: Callable[[], None]) -> None:
        if not self.alive or run != self.run_number:
            return
        if self.frozen:
            wait = self._frozen_until - self.world.now
            self.world.after(wait, lambda: self._run_callback(run, callback))
            return
        callback()
