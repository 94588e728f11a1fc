"""Deciding on an order's key, and writing down how the order ended."""

import enum
from typing import NamedTuple

from mintsaddle.decisions.orders._queries import find_floor, home_is_settled
from mintsaddle.decisions.orders._state import (
    LedgerEntry,
    OrdersState,
    OrderStatus,
)
from mintsaddle.fleet import find_home
from mintsaddle.values import (
    Claim,
    Instant,
    KeyOrigin,
    OrderKey,
    Reason,
    Refusal,
    home_tag,
)

LEDGER_LIMIT = 50_000
"""Orders that a home remembers; with more within the window it refuses."""

_SOON = 0.5
_TAKING_BACK = 3.0
"""Seconds in which a fresh home may still get its last run's ledger back."""


class KeyWord(enum.Enum):
    """What to do with an order that arrived."""

    RUN = "run"
    """It is new here; it stands in the ledger as pending."""

    JOIN = "join"
    """It is under way; its answer serves this arrival too."""

    ANSWER = "answer"
    """Its fate stands in the ledger."""

    REFUSE = "refuse"
    """This home doesn't run it."""


class KeyVerdict(NamedTuple):
    """The decision on an order's key."""

    word: KeyWord
    entry: LedgerEntry | None = None
    refusal: Refusal | None = None


def decide_key(
    state: OrdersState,
    key: OrderKey,
    service: str,
    clock_bound: float,
    window: float,
    now: Instant,
) -> KeyVerdict:
    """Decide on an arriving key; a key that may run becomes pending."""
    known = state.ledger.get(key.text)
    if known is not None:
        return _answer_known(known, service, now)
    refusal = _find_refusal(state, key, service, clock_bound, window, now)
    if refusal is None and state.closed:
        refusal = _refuse_closed(key, now)
    if refusal is not None:
        return KeyVerdict(KeyWord.REFUSE, refusal=refusal)
    if len(state.ledger) >= LEDGER_LIMIT:
        full = Refusal(Claim.NONE, Reason.FULL, now + _SOON)
        return KeyVerdict(KeyWord.REFUSE, refusal=full)
    entry = LedgerEntry(key, service, OrderStatus.PENDING)
    state.put_entry(entry)
    return KeyVerdict(KeyWord.RUN, entry=entry)


def close_order(
    state: OrdersState,
    key: OrderKey,
    status: OrderStatus,
    http_status: int = 0,
    content_type: str = "",
    body: bytes = b"",
) -> LedgerEntry:
    """Write how a pending order ended; return its entry.

    A tombstone is written before anyone is told ``not-run``: an earlier copy
    that is still on its way would otherwise run after that word.
    """
    service = state.ledger[key.text].service
    entry = LedgerEntry(key, service, status, http_status, content_type, body)
    state.put_entry(entry)
    return entry


def purge_ledger(
    state: OrdersState, clock_bound: float, window: float, now: Instant
) -> None:
    """Forget orders that are too old to be accepted again.

    Keys that old are refused as in doubt, so forgetting can't run one twice.
    They are kept two clock bounds longer: a home to which they move may have
    a clock behind this one's, and would still take them.
    """
    oldest = now - window - 2 * clock_bound
    old = [
        text
        for text, entry in state.ledger.items()
        if entry.key.date < oldest and entry.status is not OrderStatus.PENDING
    ]
    for text in old:
        state.drop_entry(text)


def _answer_known(known: LedgerEntry, service: str, now: Instant) -> KeyVerdict:
    if known.service != service:
        refusal = Refusal(Claim.MAYBE, Reason.WRONG_HOME, now + _SOON)
        return KeyVerdict(KeyWord.REFUSE, refusal=refusal)
    if known.status is OrderStatus.PENDING:
        return KeyVerdict(KeyWord.JOIN, entry=known)
    return KeyVerdict(KeyWord.ANSWER, entry=known)


def _find_refusal(
    state: OrdersState,
    key: OrderKey,
    service: str,
    clock_bound: float,
    window: float,
    now: Instant,
) -> Refusal | None:
    if key.date < now - window:
        return Refusal(Claim.MAYBE, Reason.KEY_TOO_OLD, now)
    if key.origin is KeyOrigin.ISSUED:
        return _refuse_issued(state, key, now)
    return _refuse_brought(state, key, service, clock_bound, now)


def _refuse_closed(key: OrderKey, now: Instant) -> Refusal:
    """Refuse a new key after the ledger was given away.

    Even a tombstone would be missing in it, so nothing is claimed of a brought
    key: the next run may take it. An issued one belongs to this run alone.
    """
    issued = key.origin is KeyOrigin.ISSUED
    claim = Claim.NEVER if issued else Claim.NONE
    return Refusal(claim, Reason.LEAVING, now + _SOON)


def _refuse_issued(state: OrdersState, key: OrderKey, now: Instant) -> Refusal | None:
    """Only the very run that an issued key names may execute it.

    Guards against a home that has lost its memory: it would show as an order
    that ran in the run before and runs again. The key names the boot, and a
    later run has another one. A run that ended as planned has left its whole
    ledger, and what isn't in it did not run.
    """
    is_here = key.home_tag == home_tag(state.vm)
    if is_here and key.boot == state.boot:
        return None
    floor = state.ended_runs.get(key.boot)
    if is_here and floor is not None and key.date > floor:
        return Refusal(Claim.NEVER, Reason.LEAVING, now)
    if is_here and now < state.boot_at + _TAKING_BACK:
        return Refusal(Claim.NONE, Reason.HOME_UNCONFIRMED, now + _SOON)
    return Refusal(Claim.MAYBE, Reason.WRONG_HOME, now)


def _refuse_brought(
    state: OrdersState, key: OrderKey, service: str, clock_bound: float, now: Instant
) -> Refusal | None:
    home = state.homes.get(service)
    if home is None or find_home(home.wanted.homes, key.text) != state.vm:
        return Refusal(Claim.NONE, Reason.WRONG_HOME, now + _SOON)
    if not home_is_settled(home):
        return Refusal(Claim.NONE, Reason.HOME_UNCONFIRMED, now + _SOON)
    if key.date > now + clock_bound:
        return Refusal(Claim.NONE, Reason.KEY_IN_FUTURE, key.date)
    if key.date <= find_floor(state, home, key.text):
        return Refusal(Claim.MAYBE, Reason.MEMORY_LOST, now)
    return None
