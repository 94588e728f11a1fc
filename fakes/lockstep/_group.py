"""A group of model engines: passes, queues, prefill, decoding and stalls."""

import enum
from collections.abc import Callable, Iterable
from typing import NamedTuple

from fakes.model._world import World


class EngineModel(NamedTuple):
    """Published timing and limits of an engine; times are in seconds."""

    ranks: int = 12
    slots: int = 6
    """Requests that run on one engine at most."""

    queue: int = 12
    """Requests that wait at one engine at most."""

    overload_wait: float = 0.0
    """Seconds for which an engine with a full queue asks an entry to wait."""

    step: float = 0.00585
    """Duration of a step without any request."""

    decode_step: float = 0.00085
    """Duration that each decoding request adds to a step.

    The published 0.36 ms times 2.4, since a stream stands for several samples
    of a prompt. Fitted to passes of 52 ms with 45 requests and of 86 ms with
    52 requests and an outdated map.
    """

    steps_per_pass: int = 5
    prefill_rate: float = 61_200.0
    """Prompt tokens processed per second."""

    prefill_chunk: int = 512
    """Prompt tokens processed in a step at most."""

    expert_share: float = 0.85
    """Share of the per-token work that experts do."""

    stall_timeout: float = 1.5
    """Time that work waits for a lost rank before it is interrupted."""

    restore_delay: float = 0.6
    """Time from a rank's return until the group is open."""


class EngineRequestEnd(enum.Enum):
    """How a request ended at an engine."""

    DONE = "done"
    INTERRUPTED = "cut"
    """The request was running when the group lost a rank."""

    REFUSED = "refused"
    """The request never ran: the queue was full or a rank was lost."""


class EngineRequest:
    """One request at an engine."""

    def __init__(
        self,
        prompt: int,
        events: int,
        urgency: int,
        on_event: Callable[[], None],
        on_end: Callable[[EngineRequestEnd], None],
    ) -> None:
        self.prompt_left = prompt
        self.events = events
        self.urgency = urgency
        self.on_event = on_event
        self.on_end = on_end
        self.is_finished = False
        self.requested_wait = 0.0
        """Seconds for which a refusal asks the entry to wait."""


class _Engine:
    def __init__(self) -> None:
        self.running: list[EngineRequest] = []
        self.waiting: list[EngineRequest] = []


class RankGroup:
    """The engines of a group, which run each pass together."""

    def __init__(
        self, world: World, model: EngineModel, skew: Callable[[float], float]
    ) -> None:
        """Create an idle, open group.

        Args:
            world: Virtual time.
            model: The engines' timing.
            skew: Load of the most loaded rank over the mean at an instant.
        """
        self._world = world
        self._model = model
        self._skew = skew
        self._engines = [_Engine() for _ in range(model.ranks)]
        self._is_pass_running = False
        self._refusal_waits: dict[int, float] = {}
        self.is_open = True
        self.epoch = 1
        self.pass_seconds: list[float] = []

    def load(self, rank: int) -> tuple[int, int]:
        """Return the number of running and waiting requests of a rank."""
        engine = self._engines[rank]
        return len(engine.running), len(engine.waiting)

    def submit(self, rank: int, request: EngineRequest) -> None:
        """Queue a request, or refuse it when the rank's queue is full."""
        engine = self._engines[rank]
        if not self.is_open:
            # A request sent while a rank is lost stalls before it is refused.
            self._world.after(
                self._model.stall_timeout,
                lambda: self._end(request, EngineRequestEnd.REFUSED),
            )
            return
        is_full = len(engine.waiting) >= self._model.queue
        if is_full or rank in self._refusal_waits:
            request.requested_wait = self._refusal_waits.get(
                rank, self._model.overload_wait
            )
            self._end(request, EngineRequestEnd.REFUSED)
            return
        engine.waiting.append(request)
        if not self._is_pass_running:
            self._begin_pass()

    def cancel(self, request: EngineRequest) -> None:
        """Remove a request whose caller has left."""
        request.is_finished = True
        for engine in self._engines:
            if request in engine.running:
                engine.running.remove(request)
            if request in engine.waiting:
                engine.waiting.remove(request)

    def begin_refusing(self, ranks: Iterable[int], wait: float) -> None:
        """Let ranks refuse all requests, and ask entries to wait each time."""
        self._refusal_waits = dict.fromkeys(ranks, wait)

    def end_refusing(self) -> None:
        """Let all ranks accept requests again."""
        self._refusal_waits = {}

    def lose_rank(self) -> None:
        """Lose a rank: all requests stall, then are interrupted or refused."""
        self.is_open = False
        running = [r for engine in self._engines for r in engine.running]
        waiting = [r for engine in self._engines for r in engine.waiting]
        for engine in self._engines:
            engine.running, engine.waiting = [], []
        self._world.after(
            self._model.stall_timeout, lambda: self._end_all(running, waiting)
        )

    def restore_rank(self, on_open: Callable[[], None]) -> None:
        """Form the group again, with the lost rank, in a new epoch."""

        def reopen() -> None:
            self.is_open = True
            self.epoch += 1
            on_open()

        self._world.after(self._model.restore_delay, reopen)

    def _begin_pass(self) -> None:
        for engine in self._engines:
            engine.waiting.sort(key=lambda request: request.urgency)
            while engine.waiting and len(engine.running) < self._model.slots:
                engine.running.append(engine.waiting.pop(0))
        self._is_pass_running = any(engine.running for engine in self._engines)
        if not self._is_pass_running:
            return
        decoding = [
            [r for r in engine.running if r.prompt_left <= 0]
            for engine in self._engines
        ]
        seconds = self._pass_seconds()
        self.pass_seconds.append(seconds)
        self._world.after(seconds, lambda: self._end_pass(decoding))

    def _pass_seconds(self) -> float:
        model = self._model
        token_seconds = [self._prefill(engine) for engine in self._engines]
        mean = sum(token_seconds) / len(token_seconds)
        dense = (1.0 - model.expert_share) * max(token_seconds)
        experts = model.expert_share * mean * self._skew(self._world.now)
        return model.steps_per_pass * model.step + dense + experts

    def _prefill(self, engine: _Engine) -> float:
        """Process the prompts of one pass.

        Returns:
            Seconds of per-token work of the engine, decoding included.
        """
        model = self._model
        decoding = sum(request.prompt_left <= 0 for request in engine.running)
        budget = model.prefill_chunk * model.steps_per_pass
        processed = 0
        for request in engine.running:
            tokens = min(max(0, request.prompt_left), budget - processed)
            request.prompt_left -= tokens
            processed += tokens
        return (
            model.steps_per_pass * model.decode_step * decoding
            + processed / model.prefill_rate
        )

    def _end_pass(self, decoding: list[list[EngineRequest]]) -> None:
        if not self.is_open:
            self._is_pass_running = False
            return
        for engine, requests in zip(self._engines, decoding, strict=True):
            for request in requests:
                if request.is_finished or request not in engine.running:
                    continue
                request.events -= 1
                request.on_event()
                if request.events <= 0 and request in engine.running:
                    engine.running.remove(request)
                    self._end(request, EngineRequestEnd.DONE)
        self._begin_pass()

    def _end_all(
        self, running: list[EngineRequest], waiting: list[EngineRequest]
    ) -> None:
        for request in running:
            self._end(request, EngineRequestEnd.INTERRUPTED)
        for request in waiting:
            self._end(request, EngineRequestEnd.REFUSED)

    def _end(self, request: EngineRequest, end: EngineRequestEnd) -> None:
        if not request.is_finished:
            request.is_finished = True
            request.on_end(end)
