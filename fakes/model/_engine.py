"""A fake engine: it streams chunks, bears little when cold, and falls over."""

from collections.abc import Callable

from fakes.model._world import Execution, Process, World
from mintsaddle.decisions.admission import EngineFeedback
from mintsaddle.decisions.arrivals import EngineResult

CHUNKS = 4
"""Chunks of each streamed answer."""

HEAD_TIME = 0.04
CHUNK_TIME = 0.05
ORDER_TIME = 0.2


class EngineRun:
    """One request at the engine."""

    def __init__(self, work: str, first: int, chunks: int) -> None:
        self.work = work
        self.next = first
        self.chunks = chunks
        self.over = False


class Engine(Process):
    """One engine, reached by the endpoint daemon on its VM only."""

    def __init__(
        self, world: World, name: str, data_centre: str, cold_limit: int, limit: int
    ) -> None:
        super().__init__(world, name, data_centre)
        self.boot = 0
        self.cancelled: list[str] = []
        self._cold_limit = cold_limit
        self._limit = limit
        self._served = 0
        self._runs: dict[EngineRun, Callable[[bool], None]] = {}

    def start(self) -> None:
        """Start cold."""
        super().start()
        self.boot = self.world.rng.getrandbits(30)
        self._served = 0
        self._runs = {}

    def die(self) -> None:
        """Break everything off."""
        super().die()
        runs, self._runs = self._runs, {}
        for end in runs.values():
            end(False)

    def run(
        self,
        run: EngineRun,
        on_chunk: Callable[[int], None],
        on_end: Callable[[bool], None],
        order: bool,
    ) -> None:
        """Take a request; the caller has checked that the engine lives."""
        self._runs[run] = on_end
        now = self.world.now
        execution = Execution(run.work, self.name, now, self.held, self.bears)
        self.world.executions.append(execution)
        if order:
            self.later(ORDER_TIME, lambda: self._end(run))
            return
        self.later(self.head_time(), lambda: self._step(run, on_chunk))

    def chunks_of(self, work: str) -> int:
        """Return how many chunks the answer to a request has."""
        del work
        return CHUNKS

    def head_time(self) -> float:
        """Return the seconds until the first chunk."""
        return HEAD_TIME

    def chunk_time(self) -> float:
        """Return the seconds between two chunks."""
        return CHUNK_TIME

    @property
    def held(self) -> int:
        """Requests at the engine."""
        return len(self._runs)

    @property
    def bears(self) -> int:
        """Requests that the engine can bear now."""
        return min(self._limit, self._cold_limit + self._served)

    def cancel(self, run: EngineRun) -> None:
        """Stop a request whose connection was broken."""
        if self._runs.pop(run, None) is not None:
            run.over = True
            self.cancelled.append(run.work)

    def _step(self, run: EngineRun, on_chunk: Callable[[int], None]) -> None:
        if run not in self._runs:
            return
        if run.next > run.chunks:
            self._end(run)
            return
        on_chunk(run.next)
        run.next += 1
        self.later(self.chunk_time(), lambda: self._step(run, on_chunk))

    def _end(self, run: EngineRun) -> None:
        end = self._runs.pop(run, None)
        if end is not None:
            self._served += 1
            end(True)


def make_result(whole: bool, body: bytes = b"") -> EngineResult:
    """Return what an endpoint daemon makes of an end."""
    evidence = EngineFeedback.GOOD if whole else EngineFeedback.FAILED
    return EngineResult(evidence, True, 200 if whole else 0, "text/plain", body)
