"""Ledger of a home, and its agreement state with the homes of each service."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from mintsaddle.fleet import OrderHomes
from mintsaddle.values import Boot, Instant, OrderKey


class OrderStatus(enum.Enum):
    """Status of a key in the ledger of a home."""

    PENDING = "pending"
    """Queued for the engine or running; the answer isn't known yet."""

    DONE = "done"
    """Ran; the answer is stored."""

    TOMBSTONE = "tombstone"
    """Refused; it hasn't run and never will."""

    IN_DOUBT = "in-doubt"
    """The call to the engine was interrupted; the order may have run."""


class LedgerEntry(NamedTuple):
    """Ledger entry of one order."""

    key: OrderKey
    service: str
    status: OrderStatus
    http_status: int = 0
    """HTTP status of the engine's answer if the order is done."""

    content_type: str = ""
    body: bytes = b""


class HomeMove(NamedTuple):
    """One agreement on a list of homes, and the floor for keys it moved here.

    A floor is a date up to which a key may have run elsewhere, so that a key
    dated at or before it is refused.
    """

    previous_lists: tuple[OrderHomes, ...]
    """Lists in use until then; empty at the first agreement of a run."""

    floor: Instant
    """Keys dated up to it may already have run at another home."""


class LedgerSnapshot(NamedTuple):
    """Ledger that a leaving home stores at the others for its next run.

    It is offered to the first run that asks and dropped when a later run
    asks, since it lacks the orders of that first run.
    """

    vm: str
    boot: Boot
    """The run that wrote it."""

    service: str
    floor: Instant
    """Keys dated after it have run only if they are among the entries."""

    entries: tuple[LedgerEntry, ...]
    offered_to: Boot = 0
    """The run that it was offered to; 0 if none."""


class HomeState(NamedTuple):
    """State of a home for the caller-supplied keys of one service."""

    wanted: OrderHomes
    """The homes in the adopted fleet text."""

    bootstrap: Instant
    """Homes started before it may agree with none anchored; 0 if unset."""

    anchored: bool = False
    """Whether the adopted text is known to be as new as any agreed one."""

    settled: OrderHomes | None = None
    """The newest list known here to be agreed by all homes."""

    unsettled: tuple[OrderHomes, ...] = ()
    """Lists adopted since the settled one; others may have settled them."""

    moves: tuple[HomeMove, ...] = ()
    """Agreements of this run whose floors still apply."""

    boot_floor: Instant = 0.0
    """Keys dated up to it may have run before this run started."""

    next_ask_at: Instant = 0.0
    """No questions are sent before it."""

    single_answer_at: Instant = 0.0
    """Time after which one settled home's answer is enough; 0 until asking."""

    round_number: int = 1
    """1 while collecting acknowledgements, 2 while repeating the questions."""

    first_round_boots: Mapping[str, Boot] = {}
    """Boot number of each home that acknowledged in the first round."""

    second_round_boots: Mapping[str, Boot] = {}
    """Boot number of each home that acknowledged in the second round."""

    floors: Mapping[str, Instant] = {}
    """Date after which each home has handed over all its entries."""

    offers: Mapping[str, LedgerSnapshot] = {}
    """Snapshot of this home's previous run, as offered by each home."""

    nonces: Mapping[str, int] = {}
    """Nonce of the open question to each home; other answers are stale."""

    handed_over_to: frozenset[str] = frozenset()
    """Homes that have asked for the ledger since the list changed."""

    snapshots: Mapping[str, LedgerSnapshot] = {}
    """Snapshots stored here for homes that have left, by VM name."""


class OrdersState:
    """Orders of one run of an endpoint daemon."""

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
        """Ledger entries by the text of their keys."""
        return self._ledger

    @property
    def homes(self) -> Mapping[str, HomeState]:
        """State of the homes of each service."""
        return self._homes

    @property
    def closed(self) -> bool:
        """Whether the ledger was handed over and accepts no new key."""
        return self._closed

    @property
    def ended_runs(self) -> Mapping[Boot, Instant]:
        """Earlier runs whose complete ledger is here, with their floors."""
        return self._ended_runs

    def put_ended_run(self, boot: Boot, floor: Instant) -> None:
        """Record that the complete ledger of an earlier run was restored."""
        self._ended_runs[boot] = max(floor, self._ended_runs.get(boot, floor))

    def close(self) -> None:
        """Accept no new key from now on, not even as a tombstone."""
        self._closed = True

    def put_entry(self, entry: LedgerEntry) -> None:
        """Insert or replace the ledger entry of a key."""
        self._ledger[entry.key.text] = entry

    def drop_entry(self, key: str) -> None:
        """Delete a key that is older than the ledger window."""
        del self._ledger[key]

    def put_home(self, service: str, home: HomeState) -> None:
        """Set the state for a service."""
        self._homes[service] = home

    def drop_home(self, service: str) -> None:
        """Delete the state for a service that is not in the fleet text now."""
        self._homes.pop(service, None)
