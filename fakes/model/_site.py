"""The site under test: three data centres, two entries, six endpoints."""

from fakes.model._callers import Caller, RequestKind
from fakes.model._daemons import Platform
from fakes.model._endpoint import EndpointDaemon
from fakes.model._engine import Engine
from fakes.model._entry import EntryDaemon
from fakes.model._world import START, World

COLD_LIMIT = 2
LIMIT = 6
CLOCK_BOUND_SECONDS = 0.2
CENTRES = ("a", "b", "c")
TEXT_REVISION = 7
WATCHED_AT = START + 4.0
END = START + 24.0

_ENTRIES = ("a-entry", "b-entry")
_LETTERS = ("a-letters", "b-letters", "c-letters")
_ORDERS = ("a-orders", "b-orders", "c-orders")
_STEADY_CALLERS = 20
_STEADY_INTERVAL = 0.45
_BURST_CALLERS = 12
_BURST_AT = WATCHED_AT + 0.9
"""Just after a restarted engine is up: the cold engine must not get the
whole burst."""


def make_fleet_text(orders: str, former: str = "") -> str:
    """Return a fleet text whose orders have the given homes."""
    parts = [f"[fleet]\nname = model\nclock bound = {CLOCK_BOUND_SECONDS}\n"]
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


FLEET_TEXT = make_fleet_text("a-orders b-orders")
MOVED_TEXT = make_fleet_text("b-orders c-orders", former="a-orders")


class Site:
    """All processes and callers of one simulation."""

    def __init__(self, kind: RequestKind, seed: int, skewed: bool = False) -> None:
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
        self.centres_marked_out: set[str] = set()
        self.planned_acts: dict[str, list[tuple[str, float]]] = {}

    def start(self) -> None:
        """Start all processes, publish the text and schedule the callers."""
        self.platform.start()
        for engine in self.engines.values():
            engine.start()
        for daemon in self.daemons.values():
            daemon.start()
        self.platform.publish_text(TEXT_REVISION, FLEET_TEXT)
        wait = WATCHED_AT - self.world.now
        self.world.after(wait, self.watched.start)
        for number, caller in enumerate(self.callers[1 : 1 + _STEADY_CALLERS]):
            self.world.after(wait - 1.5 + number * _STEADY_INTERVAL, caller.start)
        for caller in self.callers[1 + _STEADY_CALLERS :]:
            self.world.after(_BURST_AT - self.world.now, caller.start)

    def run(self) -> None:
        """Run the simulation to its end."""
        self.world.run_until(END)

    def record_planned_act(self, act: str, subject: str) -> None:
        """Record an operator's planned act and its time for the oracle."""
        moments = self.planned_acts.setdefault(act, [])
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
        """Offset clocks by turns, so that they differ by the whole bound."""
        for number, daemon in enumerate(self.daemons.values()):
            half = CLOCK_BOUND_SECONDS / 2
            daemon.clock_offset = half if number % 2 else -half

    def _make_background(self, entries: list[EntryDaemon]) -> list[Caller]:
        kinds = (
            RequestKind.STREAM,
            RequestKind.STREAM,
            RequestKind.DRAWN,
            RequestKind.STREAM,
            RequestKind.SUPPLIED,
        )
        callers = []
        for number in range(_STEADY_CALLERS + _BURST_CALLERS):
            entry_order = entries if number % 2 else entries[::-1]
            kind = (
                kinds[number % len(kinds)]
                if number < _STEADY_CALLERS
                else RequestKind.STREAM
            )
            name = f"background{number}"
            callers.append(Caller(self.world, name, kind, entry_order, END - 6.0))
        return callers
