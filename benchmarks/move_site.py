"""Simulated fleet and bursty callers for the data centre move benchmark."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from fakes.model._daemons import Daemon, Platform
from fakes.model._endpoint import EndpointDaemon
from fakes.model._engine import Engine
from fakes.model._entry import EntryCallModel, EntryDaemon
from fakes.model._world import START, World
from mintsaddle.decisions.calls import CallRequest, FinishCall
from mintsaddle.decisions.configuration import is_out
from mintsaddle.values import Outcome, stable_hash

DATA_CENTRES = ("a", "b", "c")
ENTRIES = ("a1", "a2", "a3", "b1", "b2", "c1", "c2")
ENGINES_PER_CENTRE = 4
COLD_LIMIT = 2
LIMIT = 32
TARGET_SECONDS = 0.6
LARGE_WORKSPACES = ("large1", "large2", "large3")
SMALL_WORKSPACES = tuple(f"small{number}" for number in range(1, 8))
LARGE_SHARE = 0.75
"""Share of all arrivals that the three large workspaces make."""

TOKENS_PER_CHUNK = 10
MEAN_CHUNKS = 6
SETTLE_SECONDS = 4.0
"""Seconds for daemons to start before callers arrive."""

_BURST_SHAPE = 0.5
_RETRY_SECONDS = 20.0
"""Seconds after its arrival for which a refused caller retries."""

_CALL_SECONDS = 60.0
"""Deadline of each call in seconds; the longest answer takes half of it."""

_RESTART_SECONDS = 2.0
_ORDERS_RATE = 5.0


class Timing(NamedTuple):
    """Times of the move's events, in seconds after callers begin."""

    leave_at: float
    return_at: float
    end_at: float


class RequestRecord(NamedTuple):
    """Outcome and timings of one caller's request."""

    workspace: str
    arrived_at: float
    first_token_at: float | None
    """None if no token arrived."""

    outcome: Outcome | None
    attempts: int
    longest_gap: float
    chunks: int
    ended_at: float


class MoveEngine(Engine):
    """An engine that slows down as it fills and crashes when overloaded."""

    crashes = 0

    def count_chunks(self, work: str) -> int:
        """Return an answer length that depends only on the request."""
        rng = random.Random(stable_hash(work.partition("-")[0]))
        return max(1, round(rng.lognormvariate(math.log(MEAN_CHUNKS) - 0.18, 0.6)))

    def head_time(self) -> float:
        """Return the time to the first token."""
        return 0.08 + 0.005 * self.held

    def chunk_time(self) -> float:
        """Return the time of ten tokens."""
        return TOKENS_PER_CHUNK * (0.028 + 0.0003 * self.held)

    def run(
        self,
        run: object,
        on_chunk: Callable[[int], None],
        on_end: Callable[[bool], None],
        order: bool,
    ) -> None:
        """Start a request; crash if more are held than the engine can bear."""
        super().run(run, on_chunk, on_end, order)  # type: ignore[arg-type]
        if self.held > self.capacity:
            self.crashes += 1
            self.world.after(0.0, self.die)
            self.world.after(_RESTART_SECONDS, self.start)


class MoveSite:
    """Three data centres, 7 entries, 12 letters engines, 3 orders engines."""

    def __init__(self, load: float, timing: Timing, seed: int) -> None:
        self.world = World(seed)
        self.timing = timing
        self.arrival_rate = load * capacity()
        self.platform = Platform(self.world)
        self.records: list[RequestRecord] = []
        self.retry_times: list[float] = []
        self.limit_samples: list[tuple[float, str, int, int]] = []
        self.engines: dict[str, MoveEngine] = {}
        self.endpoints: dict[str, EndpointDaemon] = {}
        for centre in DATA_CENTRES:
            for number in range(1, ENGINES_PER_CENTRE + 1):
                self._add_endpoint(f"{centre}-letters{number}", centre)
            self._add_endpoint(f"{centre}-orders", centre)
        self.entries = {
            name: EntryDaemon(self.world, name, name[0], self.platform)
            for name in ENTRIES
        }
        daemons: dict[str, Daemon] = {**self.endpoints, **self.entries}
        for daemon in daemons.values():
            daemon.peers = {n: d for n, d in daemons.items() if d is not daemon}
        self._daemons = daemons
        self._rng = random.Random(seed)
        self._count = 0

    def run(self) -> None:
        """Run the move on virtual time until the last call has ended."""
        self.platform.start()
        for engine in self.engines.values():
            engine.start()
        for daemon in self._daemons.values():
            daemon.start()
        self.platform.publish_text(1, self._make_fleet_text())
        self._warm_up()
        begin = START + SETTLE_SECONDS
        self._schedule_callers(begin)
        timing = self.timing
        self.world.after(
            SETTLE_SECONDS + timing.leave_at, lambda: self._publish_mark("out")
        )
        self.world.after(SETTLE_SECONDS + timing.return_at - 5.0, self._restart_engines)
        self.world.after(
            SETTLE_SECONDS + timing.return_at, lambda: self._publish_mark("in")
        )
        self.world.after(SETTLE_SECONDS, self._sample_limits)
        self.world.run_until(begin + timing.end_at + _RETRY_SECONDS + _CALL_SECONDS)

    def _add_endpoint(self, name: str, centre: str) -> None:
        engine = MoveEngine(self.world, name, centre, COLD_LIMIT, LIMIT)
        self.engines[name] = engine
        self.endpoints[name] = EndpointDaemon(
            self.world, name, centre, self.platform, engine
        )

    def _warm_up(self) -> None:
        """Start with warm engines, so that only the move is measured."""
        for name, engine in self.engines.items():
            engine._served = LIMIT
            self.world.after(1.0, self._raise_limit(name))

    def _raise_limit(self, name: str) -> Callable[[], None]:
        return lambda: self.endpoints[name].state.admission.replace_extra_limit(
            float(LIMIT)
        )

    def _make_fleet_text(self) -> str:
        parts = ["[fleet]\nname = move\nclock bound = 0.05\n"]
        parts += [f"[data centre {name}]\nregion = r\n" for name in DATA_CENTRES]
        vms = [("entry", name, name[0]) for name in ENTRIES]
        vms += [("endpoint", n, e.data_centre) for n, e in self.endpoints.items()]
        for number, (role, name, centre) in enumerate(vms, start=1):
            address = f"10.0.0.{number}:7"
            place = f"data centre = {centre}\naddress = {address}\n"
            parts.append(f"[{role} {name}]\n{place}")
        letters = " ".join(name for name in self.endpoints if "letters" in name)
        orders = " ".join(name for name in self.endpoints if "orders" in name)
        limits = (
            f"cold limit = {COLD_LIMIT}\nlimit = {LIMIT}\ntarget = {TARGET_SECONDS}\n"
        )
        parts.append(
            f"[service letters]\nendpoints = {letters}\nresume = yes\n{limits}"
        )
        parts.append(
            f"[service orders]\nrepeat = no\nkind = plain\n"
            f"endpoints = {orders}\n{limits}"
        )
        for name in (*LARGE_WORKSPACES, *SMALL_WORKSPACES):
            parts.append(f"[workspace {name}]\nservices = letters orders\n")
        return "\n".join(parts)

    def _publish_mark(self, state: str) -> None:
        revision = self.platform.newest_marks + 1
        text = f"[marks]\ndata centre c = {state}\n"
        self.platform.publish_marks(revision, text)

    def _restart_engines(self) -> None:
        """Restart the engines of data centre c so that they return cold."""
        for engine in self.engines.values():
            if engine.data_centre == "c":
                self._restart_when_idle(engine)

    def _restart_when_idle(self, engine: MoveEngine) -> None:
        if engine.held:
            self.world.after(0.1, lambda: self._restart_when_idle(engine))
            return
        engine.die()
        self.world.after(1.0, engine.start)

    def _sample_limits(self) -> None:
        self.world.after(0.1, self._sample_limits)
        now = self.world.now - START - SETTLE_SECONDS
        for name, engine in self.engines.items():
            self.limit_samples.append((now, name, engine.held, engine.capacity))

    def _schedule_callers(self, begin: float) -> None:
        for workspace in (*LARGE_WORKSPACES, *SMALL_WORKSPACES):
            large = workspace in LARGE_WORKSPACES
            count = len(LARGE_WORKSPACES) if large else len(SMALL_WORKSPACES)
            share = LARGE_SHARE if large else 1.0 - LARGE_SHARE
            self._schedule(
                workspace, "letters", begin, self.arrival_rate * share / count
            )
        self._schedule(SMALL_WORKSPACES[0], "orders", begin, _ORDERS_RATE)

    def _schedule(
        self, workspace: str, service: str, begin: float, rate: float
    ) -> None:
        """Schedule bursty arrivals: gamma gaps with a shape below 1."""
        scale = 1.0 / (rate * _BURST_SHAPE)
        at = begin
        while True:
            at += self._rng.gammavariate(_BURST_SHAPE, scale)
            if at > begin + self.timing.end_at:
                return
            self._count += 1
            name = f"{workspace}.{service}.{self._count}"
            caller = MoveCaller(self, name, workspace, service, at)
            self.world.after(at - self.world.now, caller.call)

    def pick_entry(self, rng: random.Random) -> EntryDaemon:
        """Return a random healthy entry, as an external load balancer does."""
        healthy = [
            entry
            for entry in self.entries.values()
            if entry.is_serving() and not is_out(entry.configuration, entry.name)
        ]
        return rng.choice(healthy)


class MoveCaller:
    """A caller with one request, which it retries at the time it is given."""

    def __init__(
        self, site: MoveSite, name: str, workspace: str, service: str, arrived_at: float
    ) -> None:
        self._site = site
        self._name = name
        self._workspace = workspace
        self._service = service
        self._arrived_at = arrived_at
        self._attempts = 0
        self._call: EntryCallModel | None = None

    def call(self) -> None:
        """Send the request to a healthy entry."""
        site = self._site
        world = site.world
        entry = site.pick_entry(world.rng)
        fleet = entry.configuration.fleet
        assert fleet is not None
        call_id = f"{self._name}-{self._attempts}"
        if self._attempts:
            site.retry_times.append(world.now - START - SETTLE_SECONDS)
        self._attempts += 1
        request = CallRequest(
            call_id,
            fleet.services[self._service],
            self._workspace,
            0,
            world.now + _CALL_SECONDS,
        )
        self._call = EntryCallModel(entry, request, call_id, False, self._on_finish)
        self._call.start()

    def _on_finish(self, finish: FinishCall | None, chunks: list[bytes]) -> None:
        world = self._site.world
        retry_at = finish.retry_at if finish else 0.0
        refused = finish is not None and finish.outcome is Outcome.NOT_RUN
        if refused and retry_at < self._arrived_at + _RETRY_SECONDS:
            world.after(max(0.0, retry_at - world.now), self.call)
            return
        call = self._call
        assert call is not None
        begin = START + SETTLE_SECONDS
        self._site.records.append(
            RequestRecord(
                self._workspace if self._service == "letters" else "orders",
                self._arrived_at - begin,
                None if call.first_chunk_at is None else call.first_chunk_at - begin,
                finish.outcome if finish else None,
                self._attempts,
                call.longest_gap,
                len(chunks),
                world.now - begin,
            )
        )


def capacity() -> float:
    """Return the requests a second that all letters engines can serve."""
    held = LIMIT
    chunk = TOKENS_PER_CHUNK * (0.028 + 0.0003 * held)
    seconds = 0.08 + 0.005 * held + MEAN_CHUNKS * chunk
    return len(DATA_CENTRES) * ENGINES_PER_CENTRE * LIMIT / seconds
