"""What homes ask each other."""

from typing import NamedTuple

from mintsaddle.decisions.orders._state import Bequest, LedgerEntry
from mintsaddle.fleet import OrderHomes
from mintsaddle.values import Boot, Instant


class HomeQuestion(NamedTuple):
    """A home's question to another one."""

    asker: str
    boot: Boot
    """The asking run."""

    service: str
    nonce: int
    wants_ledger: bool
    """Whether the answer should hand over what it knows."""


class HomeAnswer(NamedTuple):
    """A home's word on where it stands."""

    vm: str
    boot: Boot
    service: str
    nonce: int
    """The nonce of the question that it answers."""

    homes: OrderHomes | None
    """The list that it follows; None if its text doesn't know the service."""

    text_revision: int
    anchored: bool
    settled: bool
    floor: Instant = 0.0
    """Keys of the asker dated after it ran here only if handed over."""

    handed: tuple[LedgerEntry, ...] = ()
    """Orders whose keys now belong to the asker."""

    offer: Bequest | None = None
    """What the asker's run before gave this home to keep."""
