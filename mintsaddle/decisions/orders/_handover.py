"""Transfer of ledgers: to a new home, or to the next run of a leaving one."""

from collections.abc import Iterable

from mintsaddle.decisions.orders._homes_messages import HomeQuestion
from mintsaddle.decisions.orders._queries import find_own_floor
from mintsaddle.decisions.orders._state import (
    HomeState,
    LedgerEntry,
    LedgerSnapshot,
    OrdersState,
    OrderStatus,
)
from mintsaddle.fleet import find_home
from mintsaddle.values import Instant

_MAX_HANDED_ENTRIES = 1000


def close_ledger(state: OrdersState) -> tuple[LedgerSnapshot, ...]:
    """Accept no new key; return a ledger snapshot for each service.

    A key accepted afterwards would be missing in the snapshots.
    """
    state.close()
    snapshots = []
    for service, home in state.homes.items():
        entries = (e for e in state.ledger.values() if e.service == service)
        floor, newest = _take_newest(find_own_floor(home), entries)
        snapshots.append(LedgerSnapshot(state.vm, state.boot, service, floor, newest))
    return tuple(snapshots)


def store_snapshot(state: OrdersState, snapshot: LedgerSnapshot) -> None:
    """Store the snapshot of a leaving home until its next run asks."""
    home = state.homes.get(snapshot.service)
    if home is not None:
        snapshots = {**home.snapshots, snapshot.vm: snapshot}
        state.put_home(snapshot.service, home._replace(snapshots=snapshots))


def offer_snapshot(
    home: HomeState, question: HomeQuestion
) -> tuple[HomeState, LedgerSnapshot | None]:
    """Return the snapshot for the asking run if it is the first to ask."""
    stored = home.snapshots.get(question.asker)
    if stored is None or stored.boot == question.boot:
        return home, None
    if stored.offered_to in (0, question.boot):
        stored = stored._replace(offered_to=question.boot)
        return home._replace(
            snapshots={**home.snapshots, question.asker: stored}
        ), stored
    others = {vm: item for vm, item in home.snapshots.items() if vm != question.asker}
    return home._replace(snapshots=others), None


def restore_ledger(
    state: OrdersState, home: HomeState, others: frozenset[str]
) -> HomeState:
    """Restore the previous run's ledger if every other home offers it."""
    offers = list(home.offers.values())
    if not offers or set(home.offers) != others:
        return home
    if len({offer.boot for offer in offers}) > 1:
        return home
    merge_entries(state, offers[0].entries)
    state.put_ended_run(offers[0].boot, offers[0].floor)
    return home._replace(boot_floor=offers[0].floor)


def export_entries(
    state: OrdersState, home: HomeState, question: HomeQuestion
) -> tuple[Instant, tuple[LedgerEntry, ...]]:
    """Return a floor and the entries whose keys are assigned to the asker."""
    if question.asker not in home.wanted.homes:
        return find_own_floor(home), ()
    entries = (
        entry
        for entry in state.ledger.values()
        if entry.service == question.service
        and find_home(home.wanted.homes, entry.key.text) == question.asker
    )
    return _take_newest(find_own_floor(home), entries)


def _take_newest(
    floor: Instant, entries: Iterable[LedgerEntry]
) -> tuple[Instant, tuple[LedgerEntry, ...]]:
    """Return the date after which none is missing, and the newest entries."""
    ordered = sorted(entries, key=lambda entry: entry.key.date, reverse=True)
    if len(ordered) > _MAX_HANDED_ENTRIES:
        floor = max(floor, ordered[_MAX_HANDED_ENTRIES].key.date)
    newest = ordered[:_MAX_HANDED_ENTRIES]
    return floor, tuple(_mark_in_doubt(entry) for entry in newest)


def _mark_in_doubt(entry: LedgerEntry) -> LedgerEntry:
    """Mark a pending order as in doubt: only this home learns its outcome."""
    if entry.status is OrderStatus.PENDING:
        return entry._replace(status=OrderStatus.IN_DOUBT)
    return entry


def merge_entries(state: OrdersState, entries: Iterable[LedgerEntry]) -> None:
    """Add another ledger's entries; replace known ones only if in doubt."""
    for entry in entries:
        known = state.ledger.get(entry.key.text)
        if known is None or known.status is OrderStatus.IN_DOUBT:
            state.put_entry(entry)
