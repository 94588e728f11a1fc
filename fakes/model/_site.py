"""The model's site: three data centres, two entries, six endpoints."""

from fakes.model._callers import Caller, Kind
from fakes.model._daemons import Platform
from fakes.model._endpoint import EndpointDaemon
from fakes.model._engine import Engine
from fakes.model._entry import EntryDaemon
from fakes.model._world import START, World

COLD_LIMIT = 2
LIMIT = 6
CLOCK_BOUND = 0.2
CENTRES = ("a", "b", "c")
TEXT_REVISION = 7
WATCHED_AT = START + 4.0
END = START + 24.0

_ENTRIES = ("a-entry", "b-entry")
_LETTERS = ("a-letters", "b-letters", "c-letters")
_ORDERS = ("a-orders", "b-orders", "c-orders")
_STEADY = 20
_STEADY_GAP = 0.45
_BURST = 12
_BURST_AT = WATCHED_AT + 0.9
"""Just after a restarted engine is back: a cold one must not get it all."""


def make_text(orders: str, former: str = "") -> str:
    """Return a fleet text with some homes for orders."""
    parts = [f"[fleet]\nname = model\nclock bound = {CLOCK_BOUND}\n"]
    parts += [f"[data centre {name}]\nregion = r\n" for name in CENTRES]
    vms = [("entry", name) for name in _ENTRIES]
    vms += [("endpoint", name) for name in (*_LETTERS, *_ORDERS)]
    for number, (role, name) in enumerate(vms, start=1):
        parts.append(
            f"[{role} {name}]\ndata centre = {name[0]}\naddress = 10.0.0.{number}:7\n"
        )
    bootstrap = "2027-01-15T08:00:02Z"
    parts.append(
        f"[service letters]\nendpoints = {' '.join(_LETTERS)}\nresume = yes\n"
        f"cold limit = {COLD_LIMIT}\nlimit = {LIMIT}\ntarget = 0.3\n"
        f"[service redirections]\nkind = plain\nrepeat = no\n"
        f"endpoints = {orders}\nformer endpoints = {former}\n"
        f"cold limit = {COLD_LIMIT}\nlimit = {LIMIT}\nbootstrap = {bootstrap}\n"
    )
    for number in range(3):
        parts.append(f"[workspace w{number}]\nservices = letters redirections\n")
    return "\n".join(parts)


TEXT = make_text("a-orders b-orders")
MOVED_TEXT = make_text("b-orders c-orders", former="a-orders")


class Site:
    """All processes and callers of one world."""

    def __init__(self, kind: Kind, seed: int, skewed: bool = False) -> None:
        self.world = World(seed)
        self.platform = Platform(self.world)
        self.engines: dict[str, Engine] = {}
        self.endpoints: dict[str, EndpointDaemon] = {}
        self.entries: dict[str, EntryDaemon] = {}
        self._add_endpoints()
        for name in _ENTRIES:
            self.entries[name] = EntryDaemon(self.world, name, name[0], self.platform)
        self.daemons = {**self.endpoints, **self.entries}
        for daemon in self.daemons.values():
            daemon.peers = {n: d for n, d in self.daemons.items() if d is not daemon}
        if skewed:
            self._skew_clocks()
        entries = list(self.entries.values())
        self.watched = Caller(
            self.world, "watched", kind, entries, END - 6.0, watched=True
        )
        self.callers = [self.watched, *self._make_background(entries)]
        self.centres_out: set[str] = set()
        self.planned_moments: dict[str, list[tuple[str, float]]] = {}

    def start(self) -> None:
        """Start everything and schedule the callers."""
        self.platform.start()
        for engine in self.engines.values():
            engine.start()
        for daemon in self.daemons.values():
            daemon.start()
        self.platform.publish_text(TEXT_REVISION, TEXT)
        wait = WATCHED_AT - self.world.now
        self.world.after(wait, self.watched.start)
        for number, caller in enumerate(self.callers[1 : 1 + _STEADY]):
            self.world.after(wait - 1.5 + number * _STEADY_GAP, caller.start)
        for caller in self.callers[1 + _STEADY :]:
            self.world.after(_BURST_AT - self.world.now, caller.start)

    def run(self) -> None:
        """Let the world come to its end."""
        self.world.run_until(END)

    def record_plan(self, what: str, subject: str) -> None:
        """Remember a planned act for the oracle."""
        moments = self.planned_moments.setdefault(what, [])
        moments.append((subject, self.world.now))

    def _add_endpoints(self) -> None:
        for name in (*_LETTERS, *_ORDERS):
            centre = name[0]
            engine = Engine(self.world, name, centre, COLD_LIMIT, LIMIT)
            self.engines[name] = engine
            self.endpoints[name] = EndpointDaemon(
                self.world, name, centre, self.platform, engine
            )

    def _skew_clocks(self) -> None:
        """Set clocks apart by the whole bound, in turns."""
        for number, daemon in enumerate(self.daemons.values()):
            half = CLOCK_BOUND / 2
            daemon.clock_offset = half if number % 2 else -half

    def _make_background(self, entries: list[EntryDaemon]) -> list[Caller]:
        kinds = (Kind.STREAM, Kind.STREAM, Kind.DRAWN, Kind.STREAM, Kind.BROUGHT)
        callers = []
        for number in range(_STEADY + _BURST):
            order = entries if number % 2 else entries[::-1]
            kind = kinds[number % len(kinds)] if number < _STEADY else Kind.STREAM
            name = f"background{number}"
            callers.append(Caller(self.world, name, kind, order, END - 6.0))
        return callers
