"""Messages between homes."""

from typing import NamedTuple

from mintsaddle.decisions.orders._state import LedgerEntry, LedgerSnapshot
from mintsaddle.fleet import OrderHomes
from mintsaddle.values import Boot, Instant


class HomeQuestion(NamedTuple):
    """Question of one home to another."""

    asker: str
    boot: Boot
    """The run of the asker."""

    service: str
    nonce: int
    wants_ledger: bool
    """Whether the answer should include ledger entries of the asker's keys."""


class HomeAnswer(NamedTuple):
    """State of a home, and the entries that it hands over."""

    vm: str
    boot: Boot
    service: str
    nonce: int
    """Nonce of the answered question."""

    homes: OrderHomes | None
    """The adopted list; None if the adopted text lacks the service."""

    text_revision: int
    anchored: bool
    settled: bool
    floor: Instant = 0.0
    """Keys of the asker dated after it have run here only if handed over."""

    handed: tuple[LedgerEntry, ...] = ()
    """Entries whose keys are now assigned to the asker."""

    offer: LedgerSnapshot | None = None
    """Snapshot that the asker's previous run stored at this home."""
