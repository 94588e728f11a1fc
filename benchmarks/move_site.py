"""The site of the data centre move: today's sizes, bursty callers."""

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

CENTRES = ("a", "b", "c")
ENTRIES = ("a1", "a2", "a3", "b1", "b2", "c1", "c2")
ENGINES_EACH = 4
COLD_LIMIT = 2
LIMIT = 32
TARGET = 0.6
LARGE = ("large1", "large2", "large3")
SMALL = tuple(f"small{number}" for number in range(1, 8))
LARGE_SHARE = 0.75
"""Share of all arrivals that the three large workspaces make."""

TOKENS_IN_CHUNK = 10
MEAN_CHUNKS = 6
SETTLED = 4.0
"""Seconds for daemons to start before callers come."""

_BURST_SHAPE = 0.5
_TIMEOUT = 20.0
"""Seconds for which a refused caller comes back."""

_LONGEST = 60.0
"""Seconds given to each call; the longest letter takes half of them."""

_RESTART = 2.0
_ORDERS_RATE = 5.0


class Timing(NamedTuple):
    """When what happens, in seconds after callers begin."""

    out: float
    back: float
    end: float


class Visit(NamedTuple):
    """What became of one caller's request."""

    workspace: str
    came: float
    first: float | None
    """When the first token came; None if it never did."""

    outcome: Outcome | None
    tries: int
    longest_gap: float
    chunks: int
    over: float


class MoveEngine(Engine):
    """An engine whose pace falls with what it holds, and which falls over."""

    falls = 0

    def count_chunks(self, work: str) -> int:
        """Return a length that only depends on the request."""
        rng = random.Random(stable_hash(work.partition("-")[0]))
        return max(1, round(rng.lognormvariate(math.log(MEAN_CHUNKS) - 0.18, 0.6)))

    def head_time(self) -> float:
        """Return the time to the first token."""
        return 0.08 + 0.005 * self.held

    def chunk_time(self) -> float:
        """Return the time of ten tokens."""
        return TOKENS_IN_CHUNK * (0.028 + 0.0003 * self.held)

    def run(
        self,
        run: object,
        on_chunk: Callable[[int], None],
        on_end: Callable[[bool], None],
        order: bool,
    ) -> None:
        """Take a request, or fall over under too many."""
        super().run(run, on_chunk, on_end, order)  # type: ignore[arg-type]
        if self.held > self.capacity:
            self.falls += 1
            self.world.after(0.0, self.die)
            self.world.after(_RESTART, self.start)


class MoveSite:
    """Three data centres, 7 entries, 12 letter engines, 3 order engines."""

    def __init__(self, load: float, timing: Timing, seed: int) -> None:
        self.world = World(seed)
        self.timing = timing
        self.rate = load * capacity()
        self.platform = Platform(self.world)
        self.visits: list[Visit] = []
        self.returns: list[float] = []
        self.limits: list[tuple[float, str, int, int]] = []
        self.engines: dict[str, MoveEngine] = {}
        self.endpoints: dict[str, EndpointDaemon] = {}
        for centre in CENTRES:
            for number in range(1, ENGINES_EACH + 1):
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
        """Run the whole move."""
        self.platform.start()
        for engine in self.engines.values():
            engine.start()
        for daemon in self._daemons.values():
            daemon.start()
        self.platform.publish_text(1, self._text())
        self._warm_up()
        begin = START + SETTLED
        self._schedule_callers(begin)
        timing = self.timing
        self.world.after(SETTLED + timing.out, lambda: self._mark("out"))
        self.world.after(SETTLED + timing.back - 5.0, self._restart_engines)
        self.world.after(SETTLED + timing.back, lambda: self._mark("in"))
        self.world.after(SETTLED, self._watch_limits)
        self.world.run_until(begin + timing.end + _TIMEOUT + _LONGEST)

    def _add_endpoint(self, name: str, centre: str) -> None:
        engine = MoveEngine(self.world, name, centre, COLD_LIMIT, LIMIT)
        self.engines[name] = engine
        self.endpoints[name] = EndpointDaemon(
            self.world, name, centre, self.platform, engine
        )

    def _warm_up(self) -> None:
        """Begin with warm engines: the move is what is measured."""
        for name, engine in self.engines.items():
            engine._served = LIMIT
            self.world.after(1.0, self._make_warm(name))

    def _make_warm(self, name: str) -> Callable[[], None]:
        return lambda: self.endpoints[name].state.admission.replace_extra_limit(
            float(LIMIT)
        )

    def _text(self) -> str:
        parts = ["[fleet]\nname = move\nclock bound = 0.05\n"]
        parts += [f"[data centre {name}]\nregion = r\n" for name in CENTRES]
        vms = [("entry", name, name[0]) for name in ENTRIES]
        vms += [("endpoint", n, e.data_centre) for n, e in self.endpoints.items()]
        for number, (role, name, centre) in enumerate(vms, start=1):
            address = f"10.0.0.{number}:7"
            place = f"data centre = {centre}\naddress = {address}\n"
            parts.append(f"[{role} {name}]\n{place}")
        letters = " ".join(name for name in self.endpoints if "letters" in name)
        orders = " ".join(name for name in self.endpoints if "orders" in name)
        limits = f"cold limit = {COLD_LIMIT}\nlimit = {LIMIT}\ntarget = {TARGET}\n"
        parts.append(
            f"[service letters]\nendpoints = {letters}\nresume = yes\n{limits}"
        )
        parts.append(
            f"[service orders]\nrepeat = no\nkind = plain\n"
            f"endpoints = {orders}\n{limits}"
        )
        for name in (*LARGE, *SMALL):
            parts.append(f"[workspace {name}]\nservices = letters orders\n")
        return "\n".join(parts)

    def _mark(self, state: str) -> None:
        revision = self.platform.newest_marks + 1
        text = f"[marks]\ndata centre c = {state}\n"
        self.platform.publish_marks(revision, text)

    def _restart_engines(self) -> None:
        """The data centre comes back with cold engines."""
        for engine in self.engines.values():
            if engine.data_centre == "c":
                self._restart_when_idle(engine)

    def _restart_when_idle(self, engine: MoveEngine) -> None:
        if engine.held:
            self.world.after(0.1, lambda: self._restart_when_idle(engine))
            return
        engine.die()
        self.world.after(1.0, engine.start)

    def _watch_limits(self) -> None:
        self.world.after(0.1, self._watch_limits)
        now = self.world.now - START - SETTLED
        for name, engine in self.engines.items():
            self.limits.append((now, name, engine.held, engine.capacity))

    def _schedule_callers(self, begin: float) -> None:
        for workspace in (*LARGE, *SMALL):
            large = workspace in LARGE
            count = len(LARGE) if large else len(SMALL)
            share = LARGE_SHARE if large else 1.0 - LARGE_SHARE
            self._schedule(workspace, "letters", begin, self.rate * share / count)
        self._schedule(SMALL[0], "orders", begin, _ORDERS_RATE)

    def _schedule(
        self, workspace: str, service: str, begin: float, rate: float
    ) -> None:
        """Schedule bursty arrivals: gamma gaps with a shape under 1."""
        scale = 1.0 / (rate * _BURST_SHAPE)
        at = begin
        while True:
            at += self._rng.gammavariate(_BURST_SHAPE, scale)
            if at > begin + self.timing.end:
                return
            self._count += 1
            name = f"{workspace}.{service}.{self._count}"
            caller = MoveCaller(self, name, workspace, service, at)
            self.world.after(at - self.world.now, caller.call)

    def pick_entry(self, rng: random.Random) -> EntryDaemon:
        """Return an entry that passes its health check, as a balancer does."""
        healthy = [
            entry
            for entry in self.entries.values()
            if entry.is_serving() and not is_out(entry.configuration, entry.name)
        ]
        return rng.choice(healthy)


class MoveCaller:
    """One caller with one request; it comes back when told to."""

    def __init__(
        self, site: MoveSite, name: str, workspace: str, service: str, came: float
    ) -> None:
        self._site = site
        self._name = name
        self._workspace = workspace
        self._service = service
        self._came = came
        self._tries = 0
        self._call: EntryCallModel | None = None

    def call(self) -> None:
        """Make a call."""
        site = self._site
        world = site.world
        entry = site.pick_entry(world.rng)
        fleet = entry.configuration.fleet
        assert fleet is not None
        call_id = f"{self._name}-{self._tries}"
        if self._tries:
            site.returns.append(world.now - START - SETTLED)
        self._tries += 1
        request = CallRequest(
            call_id,
            fleet.services[self._service],
            self._workspace,
            0,
            world.now + _LONGEST,
        )
        self._call = EntryCallModel(entry, request, call_id, False, self._hear)
        self._call.start()

    def _hear(self, finish: FinishCall | None, chunks: list[bytes]) -> None:
        world = self._site.world
        back = finish.retry_at if finish else 0.0
        refused = finish is not None and finish.outcome is Outcome.NOT_RUN
        if refused and back < self._came + _TIMEOUT:
            world.after(max(0.0, back - world.now), self.call)
            return
        call = self._call
        assert call is not None
        begin = START + SETTLED
        self._site.visits.append(
            Visit(
                self._workspace if self._service == "letters" else "orders",
                self._came - begin,
                None if call.first_chunk_at is None else call.first_chunk_at - begin,
                finish.outcome if finish else None,
                self._tries,
                call.longest_gap,
                len(chunks),
                world.now - begin,
            )
        )


def capacity() -> float:
    """Return the requests a second that all letter engines bear."""
    held = LIMIT
    chunk = TOKENS_IN_CHUNK * (0.028 + 0.0003 * held)
    seconds = 0.08 + 0.005 * held + MEAN_CHUNKS * chunk
    return len(CENTRES) * ENGINES_EACH * LIMIT / seconds
