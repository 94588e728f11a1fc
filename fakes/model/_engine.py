"""A fake engine: it streams chunks, with little capacity after a start."""

from collections.abc import Callable

from fakes.model._world import Execution, Process, World
from mintsaddle.decisions.admission import EngineFeedback
from mintsaddle.decisions.arrivals import EngineResult

CHUNKS = 4
"""Chunks in each streamed answer."""

FIRST_CHUNK_SECONDS = 0.04
CHUNK_SECONDS = 0.05
ORDER_SECONDS = 0.2


class EngineRun:
    """A request in progress at the engine."""

    def __init__(self, work_id: str, first: int, chunks: int) -> None:
        self.work_id = work_id
        self.next_chunk = first
        self.chunks = chunks
        self.cancelled = False


class Engine(Process):
    """An engine that only the endpoint daemon on its VM calls."""

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
        """Start cold, with a new boot number."""
        super().start()
        self.boot = self.world.rng.getrandbits(30)
        self._served = 0
        self._runs = {}

    def die(self) -> None:
        """Crash; every request in progress ends incomplete."""
        super().die()
        runs, self._runs = self._runs, {}
        for on_end in runs.values():
            on_end(False)

    def run(
        self,
        run: EngineRun,
        on_chunk: Callable[[int], None],
        on_end: Callable[[bool], None],
        order: bool,
    ) -> None:
        """Start a request; the caller has checked that the engine is alive."""
        self._runs[run] = on_end
        now = self.world.now
        execution = Execution(run.work_id, self.name, now, self.held, self.capacity)
        self.world.executions.append(execution)
        if order:
            self.later(ORDER_SECONDS, lambda: self._finish(run))
            return
        self.later(self.head_time(), lambda: self._emit_chunk(run, on_chunk))

    def count_chunks(self, work_id: str) -> int:
        """Return the number of chunks in the answer to a request."""
        del work_id
        return CHUNKS

    def head_time(self) -> float:
        """Return the seconds from the start to the first chunk."""
        return FIRST_CHUNK_SECONDS

    def chunk_time(self) -> float:
        """Return the seconds between two chunks."""
        return CHUNK_SECONDS

    @property
    def held(self) -> int:
        """Number of requests in progress."""
        return len(self._runs)

    @property
    def capacity(self) -> int:
        """Number of requests that the engine can process at once now.

        It grows by one with each request served since the start.
        """
        return min(self._limit, self._cold_limit + self._served)

    def cancel(self, run: EngineRun) -> None:
        """Stop a request whose connection was closed."""
        if self._runs.pop(run, None) is not None:
            run.cancelled = True
            self.cancelled.append(run.work_id)

    def _emit_chunk(self, run: EngineRun, on_chunk: Callable[[int], None]) -> None:
        if run not in self._runs:
            return
        if run.next_chunk > run.chunks:
            self._finish(run)
            return
        on_chunk(run.next_chunk)
        run.next_chunk += 1
        self.later(self.chunk_time(), lambda: self._emit_chunk(run, on_chunk))

    def _finish(self, run: EngineRun) -> None:
        on_end = self._runs.pop(run, None)
        if on_end is not None:
            self._served += 1
            on_end(True)


def make_engine_result(complete: bool, body: bytes = b"") -> EngineResult:
    """Return the result that an endpoint daemon derives from an end."""
    feedback = EngineFeedback.GOOD if complete else EngineFeedback.FAILED
    return EngineResult(feedback, True, 200 if complete else 0, "text/plain", body)
