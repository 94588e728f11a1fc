"""What a replay of entries and rank groups is made of."""

from typing import Final, NamedTuple

from mintsaddle.decisions.quarantine import (
    CrashLedger,
    Feature,
    RequestFeatures,
    TrialLeases,
    digest_engine,
)

FIRST_PART: Final = Feature(1)
CRASHING_PART: Final = Feature(2)

CONTACT_SECONDS = 3.0
"""Seconds after a disruption during which nothing is expected of an entry."""

HOLD_SECONDS = 1.75
"""Seconds for which a request waits at an entry."""

STALL_SECONDS = 1.5
RETURN_SECONDS = 4.0
"""Seconds until a group with a lost rank opens again."""

STREAM_SECONDS = 2.0
EVENT_SECONDS = 0.1
"""Seconds from the beginning of a stream to its first event."""

POLL_SECONDS = 0.2
GOSSIP_SECONDS = 1.0
SESSIONS = 400


class Scenario(NamedTuple):
    """What happens in a replay."""

    entries: int
    groups: int
    ranks: int
    sound_per_second: float
    crashing_per_second: float
    seconds: float = 30.0
    crash_at: tuple[float, ...] = ()
    """When engines end for a reason of their own, any number at a time."""

    cut_entries: int = 0
    """Entries that reach no other one from 5 to 15 s."""

    frozen_entries: int = 0
    """Entries that do nothing from 5 to 12 s."""

    restarts_at: float | None = None
    """When half of the entries start again and know nothing."""


class Request(NamedTuple):
    """One request of a caller."""

    number: int
    features: RequestFeatures
    is_crashing: bool
    arrived_at: float


class Entry:
    """One entry: its ledger, its leases and what it can reach."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ledger = CrashLedger()
        self.leases = TrialLeases()
        self.trials: dict[int, set[Feature]] = {}
        """Trials that its requests hold, by the number of the request."""

        self.silent_until = 0.0
        """Until when it is frozen or cut off from the others."""

        self.frozen_until = 0.0
        self.in_touch_from = 0.0


class Running:
    """A request at an engine."""

    def __init__(self, entry: Entry, request: Request, rank: int) -> None:
        self.entry = entry
        self.request = request
        self.rank = rank
        self.begun_at: float | None = None


class Group:
    """A rank group: it is down while one of its ranks is."""

    def __init__(self, name: str, ranks: int) -> None:
        self.ranks = ranks
        self.opens_at = 0.0
        self.running: list[Running] = []
        self.runs = [0] * ranks
        """How often each rank has started again."""

        self._name = name

    def engine(self, rank: int) -> int:
        """Return the digest of the name of a rank's present run."""
        return digest_engine(f"{self._name}-{rank}-{self.runs[rank]}")
