"""Virtual time, processes that die and freeze, and a network with faults."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

START = 1_800_000_000.0
"""The virtual instant at which a world begins."""

LATENCY = 0.001
"""Seconds that a message takes between two VMs."""


class Execution(NamedTuple):
    """One start of one request at an engine."""

    work: str
    """The order's key, or the caller's request id."""

    endpoint: str
    at: float
    held: int
    """Requests that the engine then held, this one included."""

    bears: int
    """Requests that it could then bear."""


class MessageFault(NamedTuple):
    """What happens to the next message of a kind."""

    kind: str
    what: str
    """``late``, ``doubled``, ``reordered`` or ``lost``."""


class World:
    """The clock, the event queue and what the oracle needs to know."""

    def __init__(self, seed: int) -> None:
        self.now = START
        self.rng = random.Random(seed)
        self.executions: list[Execution] = []
        self.cut_from_others: set[str] = set()
        self.cut_from_platform: set[str] = set()
        self.message_faults: list[MessageFault] = []
        self.hooks: dict[str, list[Callable[[], None]]] = {}
        self.marks_known: dict[int, float] = {}
        self.ever_cut: set[str] = set()
        self.owners: dict[str, str] = {}
        self.watched_endpoint = ""
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay: float, act: Callable[[], None]) -> None:
        """Do something later."""
        entry = (self.now + delay, next(self._numbers), act)
        heapq.heappush(self._queue, entry)

    def run_until(self, moment: float) -> None:
        """Let virtual time pass."""
        while self._queue and self._queue[0][0] <= moment:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = moment

    def reach(self, step: str) -> None:
        """Tell that the watched request has reached a step; once each."""
        for act in self.hooks.pop(step, ()):
            act()

    def is_linked(self, one: str, other: str) -> bool:
        """Return whether two data centres reach each other."""
        return one == other or not {one, other} & self.cut_from_others

    def send(
        self,
        source: "Process",
        target: "Process",
        act: Callable[[], None],
        kind: str = "control",
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Carry a message; a dead process refuses it, a cut link loses it."""
        delays = self._delays(kind)
        for delay in delays:
            self.after(delay, lambda: self._arrive(source, target, act, refused))

    def _delays(self, kind: str) -> tuple[float, ...]:
        for fault in self.message_faults:
            if fault.kind == kind:
                self.message_faults.remove(fault)
                return _FAULT_DELAYS[fault.what]
        return (LATENCY,)

    def _arrive(
        self,
        source: "Process",
        target: "Process",
        act: Callable[[], None],
        refused: Callable[[], None] | None,
    ) -> None:
        if not self.is_linked(source.data_centre, target.data_centre):
            return
        if target.alive:
            target.when_awake(act)
        elif refused is not None:
            source.when_awake(refused)


_FAULT_DELAYS = {
    "late": (2.0,),
    "doubled": (LATENCY, 0.03, 1.5),
    "reordered": (0.12,),
    "lost": (),
}


class Process:
    """Something that runs, dies, freezes and starts again with no memory."""

    def __init__(self, world: World, name: str, data_centre: str) -> None:
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.alive = False
        self.run_number = 0
        self.clock_offset = 0.0
        self._frozen_until = 0.0

    def now(self) -> float:
        """Return the instant on this process's own clock."""
        return self.world.now + self.clock_offset

    def start(self) -> None:
        """Start a new run."""
        self.alive = True
        self.run_number += 1
        self._frozen_until = 0.0

    def die(self) -> None:
        """End the run."""
        self.alive = False

    def freeze(self, seconds: float) -> None:
        """Stop doing anything; what comes meanwhile is done on waking."""
        self._frozen_until = self.world.now + seconds

    @property
    def frozen(self) -> bool:
        """Whether the process is frozen at present."""
        return self.world.now < self._frozen_until

    def later(self, delay: float, act: Callable[[], None]) -> None:
        """Do something later in this run, or on waking."""
        run = self.run_number
        self.world.after(delay, lambda: self._do(run, act))

    def when_awake(self, act: Callable[[], None]) -> None:
        """Do something now in this run, or on waking."""
        self._do(self.run_number, act)

    def _do(self, run: int, act: Callable[[], None]) -> None:
        if not self.alive or run != self.run_number:
            return
        if self.frozen:
            wait = self._frozen_until - self.world.now
            self.world.after(wait, lambda: self._do(run, act))
            return
        act()
