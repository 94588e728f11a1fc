"""Admission of order keys, and the record of how each order ended."""

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
"""Maximum orders in the ledger window; a full ledger refuses new ones."""

_RETRY_DELAY_SECONDS = 0.5
"""Delay before a refused caller may retry."""

_RESTORE_PERIOD_SECONDS = 3.0
"""Time after a start in which the previous run's ledger may be restored."""


class KeyAction(enum.Enum):
    """Action for an arriving order."""

    RUN = "run"
    """Run it: the key is new and is now pending in the ledger."""

    JOIN = "join"
    """Wait for the pending run and return its answer here too."""

    ANSWER = "answer"
    """Answer from the ledger: the outcome is known."""

    REFUSE = "refuse"
    """Refuse it: this home doesn't run it."""


class KeyDecision(NamedTuple):
    """Decision on the key of an arriving order."""

    action: KeyAction
    entry: LedgerEntry | None = None
    refusal: Refusal | None = None


def decide_key(
    state: OrdersState,
    key: OrderKey,
    service: str,
    clock_bound: float,
    window: float,
    now: Instant,
) -> KeyDecision:
    """Decide on an arriving key; a key that may run becomes pending."""
    known = state.ledger.get(key.text)
    if known is not None:
        return _answer_known(known, service, now)
    refusal = _find_refusal(state, key, service, clock_bound, window, now)
    if refusal is None and state.closed:
        refusal = _refuse_closed(key, now)
    if refusal is not None:
        return KeyDecision(KeyAction.REFUSE, refusal=refusal)
    if len(state.ledger) >= LEDGER_LIMIT:
        full = Refusal(Claim.NONE, Reason.FULL, now + _RETRY_DELAY_SECONDS)
        return KeyDecision(KeyAction.REFUSE, refusal=full)
    entry = LedgerEntry(key, service, OrderStatus.PENDING)
    state.put_entry(entry)
    return KeyDecision(KeyAction.RUN, entry=entry)


def close_order(
    state: OrdersState,
    key: OrderKey,
    status: OrderStatus,
    http_status: int = 0,
    content_type: str = "",
    body: bytes = b"",
) -> LedgerEntry:
    """Record how a pending order ended; return its entry.

    A tombstone is written before any caller is told ``not-run``: otherwise a
    copy of the request still in transit could run after that answer.
    """
    service = state.ledger[key.text].service
    entry = LedgerEntry(key, service, status, http_status, content_type, body)
    state.put_entry(entry)
    return entry


def purge_ledger(
    state: OrdersState, clock_bound: float, window: float, now: Instant
) -> None:
    """Delete entries of keys that are too old to be accepted again.

    Keys that old are refused as in doubt, so none runs twice. Entries are
    kept two clock bounds longer: a home to which the keys move may have a
    clock behind this one's and still accept them.
    """
    oldest = now - window - 2 * clock_bound
    old = [
        text
        for text, entry in state.ledger.items()
        if entry.key.date < oldest and entry.status is not OrderStatus.PENDING
    ]
    for text in old:
        state.drop_entry(text)


def _answer_known(known: LedgerEntry, service: str, now: Instant) -> KeyDecision:
    if known.service != service:
        refusal = Refusal(Claim.MAYBE, Reason.WRONG_HOME, now + _RETRY_DELAY_SECONDS)
        return KeyDecision(KeyAction.REFUSE, refusal=refusal)
    if known.status is OrderStatus.PENDING:
        return KeyDecision(KeyAction.JOIN, entry=known)
    return KeyDecision(KeyAction.ANSWER, entry=known)


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
    return _refuse_caller_supplied(state, key, service, clock_bound, now)


def _refuse_closed(key: OrderKey, now: Instant) -> Refusal:
    """Refuse a new key after the ledger was handed over.

    The snapshot lacks even a tombstone of the key, so the refusal makes no
    claim for a caller-supplied key, which the next run may accept. An issued
    key is valid for this run only and never runs.
    """
    issued = key.origin is KeyOrigin.ISSUED
    claim = Claim.NEVER if issued else Claim.NONE
    return Refusal(claim, Reason.LEAVING, now + _RETRY_DELAY_SECONDS)


def _refuse_issued(state: OrdersState, key: OrderKey, now: Instant) -> Refusal | None:
    """Refuse an issued key unless it names this run.

    Otherwise a home that lost its ledger in a restart would run an order of
    its previous run again. The key contains a boot number, and each run has
    its own. A run that ended as planned has stored its complete ledger: a key
    that isn't in it has not run.
    """
    is_here = key.home_tag == home_tag(state.vm)
    if is_here and key.boot == state.boot:
        return None
    floor = state.ended_runs.get(key.boot)
    if is_here and floor is not None and key.date > floor:
        return Refusal(Claim.NEVER, Reason.LEAVING, now)
    if is_here and now < state.boot_at + _RESTORE_PERIOD_SECONDS:
        return Refusal(Claim.NONE, Reason.HOME_UNCONFIRMED, now + _RETRY_DELAY_SECONDS)
    return Refusal(Claim.MAYBE, Reason.WRONG_HOME, now)


def _refuse_caller_supplied(
    state: OrdersState, key: OrderKey, service: str, clock_bound: float, now: Instant
) -> Refusal | None:
    home = state.homes.get(service)
    if home is None or find_home(home.wanted.homes, key.text) != state.vm:
        return Refusal(Claim.NONE, Reason.WRONG_HOME, now + _RETRY_DELAY_SECONDS)
    if not home_is_settled(home):
        return Refusal(Claim.NONE, Reason.HOME_UNCONFIRMED, now + _RETRY_DELAY_SECONDS)
    if key.date > now + clock_bound:
        return Refusal(Claim.NONE, Reason.KEY_IN_FUTURE, key.date)
    if key.date <= find_floor(state, home, key.text):
        return Refusal(Claim.MAYBE, Reason.MEMORY_LOST, now)
    return None
