"""A home's ledger and its standing among the homes of each service."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.fleet import OrderHomes
from mintsaddle.values import Boot, Instant, OrderKey


class OrderStatus(enum.Enum):
    """What a home knows of a key."""

    PENDING = "pending"
    """Given to the engine or waiting for it; the answer isn't known yet."""

    DONE = "done"
    """Ran; the answer is kept."""

    TOMBSTONE = "tombstone"
    """Refused; it didn't run and never will."""

    IN_DOUBT = "in-doubt"
    """The engine broke off; it may have run."""


class LedgerEntry(NamedTuple):
    """What a home remembers of one order."""

    key: OrderKey
    service: str
    status: OrderStatus
    http_status: int = 0
    """Status of the engine's answer when done."""

    content_type: str = ""
    body: bytes = b""


class HomeMove(NamedTuple):
    """One settling: which keys it brought here, and which are barred."""

    before: tuple[OrderHomes, ...]
    """Lists that held until then; empty at the first settling of a run."""

    floor: Instant
    """Keys dated up to it may have run at another home before."""


class Bequest(NamedTuple):
    """What a leaving home gives the others to keep for its next run.

    It is offered to the first run that asks and dropped when another one
    does: what that first run did is not in it.
    """

    vm: str
    boot: Boot
    """The run that left."""

    service: str
    floor: Instant
    """Keys dated after it ran only if the entries say so."""

    entries: tuple[LedgerEntry, ...]
    offered_to: Boot = 0
    """The run that it was offered to; 0 before."""


class HomeState(NamedTuple):
    """A home's standing for the brought keys of one service."""

    wanted: OrderHomes
    """The homes in the text in force."""

    bootstrap: Instant
    """The text's word that homes started before it know nothing."""

    anchored: bool = False
    """Whether the text in force is known to be as new as any agreed one."""

    settled: OrderHomes | None = None
    """The homes to which all homes have agreed, as far as known here."""

    unsettled: tuple[OrderHomes, ...] = ()
    """Lists followed since the settled one, which others may have settled."""

    moves: tuple[HomeMove, ...] = ()
    """Each settling in this run's memory that still bars keys."""

    boot_floor: Instant = 0.0
    """Keys dated up to it may have run before this run's start."""

    ask_at: Instant = 0.0
    """Before it nobody is asked."""

    vouch_at: Instant = 0.0
    """From then on another settled home's word is enough; 0 before asking."""

    round_number: int = 1
    """1 while collecting acknowledgements, 2 while asking a second time."""

    first_boots: Mapping[str, Boot] = {}
    """Runs that acknowledged in the first round."""

    second_boots: Mapping[str, Boot] = {}
    """Runs that acknowledged in the second round."""

    floors: Mapping[str, Instant] = {}
    """From which date each home has handed over all that it knows."""

    offers: Mapping[str, Bequest] = {}
    """What each home keeps of this home's run before."""

    nonces: Mapping[str, int] = {}
    """The open question to each home; an answer to another one is too old."""

    handed_to: frozenset[str] = frozenset()
    """Homes that have asked in their second round since the list changed."""

    kept: Mapping[str, Bequest] = {}
    """What homes that have left gave this one to keep, by their names."""


class OrdersState:
    """The orders of one run of one endpoint daemon."""

    def __init__(self, vm: str, boot: Boot, boot_at: Instant) -> None:
        self._vm = vm
        self._boot = boot
        self._boot_at = boot_at
        self._ledger: dict[str, LedgerEntry] = {}
        self._homes: dict[str, HomeState] = {}
        self._closed = False
        self._ended_runs: dict[Boot, Instant] = {}

    @property
    def vm(self) -> str:
        """Name of the endpoint."""
        return self._vm

    @property
    def boot(self) -> Boot:
        """This run of the daemon."""
        return self._boot

    @property
    def boot_at(self) -> Instant:
        """When this run started, on its own clock."""
        return self._boot_at

    @property
    def ledger(self) -> Mapping[str, LedgerEntry]:
        """What is known of each key, by its text."""
        return self._ledger

    @property
    def homes(self) -> Mapping[str, HomeState]:
        """The standing for each service."""
        return self._homes

    @property
    def closed(self) -> bool:
        """Whether the ledger was given away and takes no new key."""
        return self._closed

    @property
    def ended_runs(self) -> Mapping[Boot, Instant]:
        """Earlier runs whose whole ledger is here, each with its floor."""
        return self._ended_runs

    def put_ended_run(self, boot: Boot, floor: Instant) -> None:
        """Note that an earlier run's ledger was taken back whole."""
        self._ended_runs[boot] = max(floor, self._ended_runs.get(boot, floor))

    def close(self) -> None:
        """Take no new key from now on, not even to bury it."""
        self._closed = True

    def put_entry(self, entry: LedgerEntry) -> None:
        """Write what is known of a key."""
        self._ledger[entry.key.text] = entry

    def drop_entry(self, key: str) -> None:
        """Forget a key that is older than the ledger's window."""
        del self._ledger[key]

    def put_home(self, service: str, home: HomeState) -> None:
        """Set the standing for a service."""
        self._homes[service] = home

    def drop_home(self, service: str) -> None:
        """Forget the standing for a service that the text took out."""
        self._homes.pop(service, None)
