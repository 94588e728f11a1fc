"""Handing ledgers over: to a new home, or to a leaving one's next run."""

from collections.abc import Iterable

from mintsaddle.decisions.orders._homes_messages import HomeQuestion
from mintsaddle.decisions.orders._queries import find_own_floor
from mintsaddle.decisions.orders._state import (
    Bequest,
    HomeState,
    LedgerEntry,
    OrdersState,
    OrderStatus,
)
from mintsaddle.fleet import find_home
from mintsaddle.values import Instant

_MOST_HANDED = 1000


def bequeath(state: OrdersState) -> tuple[Bequest, ...]:
    """Return what this run leaves to the other homes, one for each service.

    Afterwards it takes no new key: what it did then would be missing.
    """
    state.close()
    bequests = []
    for service, home in state.homes.items():
        entries = (e for e in state.ledger.values() if e.service == service)
        floor, newest = _newest(find_own_floor(home), entries)
        bequests.append(Bequest(state.vm, state.boot, service, floor, newest))
    return tuple(bequests)


def keep_bequest(state: OrdersState, bequest: Bequest) -> None:
    """Keep what a leaving home knows until its next run asks."""
    home = state.homes.get(bequest.service)
    if home is not None:
        kept = {**home.kept, bequest.vm: bequest}
        state.put_home(bequest.service, home._replace(kept=kept))


def offer_bequest(
    home: HomeState, question: HomeQuestion
) -> tuple[HomeState, Bequest | None]:
    """Return the bequest for the asking run, if it is the first one to ask."""
    kept = home.kept.get(question.asker)
    if kept is None or kept.boot == question.boot:
        return home, None
    if kept.offered_to in (0, question.boot):
        kept = kept._replace(offered_to=question.boot)
        return home._replace(kept={**home.kept, question.asker: kept}), kept
    others = {vm: item for vm, item in home.kept.items() if vm != question.asker}
    return home._replace(kept=others), None


def take_back(state: OrdersState, home: HomeState, others: frozenset[str]) -> HomeState:
    """Take back what the run before left, if every other home offers it."""
    offers = list(home.offers.values())
    if not offers or set(home.offers) != others:
        return home
    if len({offer.boot for offer in offers}) > 1:
        return home
    take_over(state, offers[0].entries)
    state.put_ended_run(offers[0].boot, offers[0].floor)
    return home._replace(boot_floor=offers[0].floor)


def hand_over(
    state: OrdersState, home: HomeState, question: HomeQuestion
) -> tuple[Instant, tuple[LedgerEntry, ...]]:
    """Return the orders whose keys belong to the asker, and a floor."""
    if question.asker not in home.wanted.homes:
        return find_own_floor(home), ()
    entries = (
        entry
        for entry in state.ledger.values()
        if entry.service == question.service
        and find_home(home.wanted.homes, entry.key.text) == question.asker
    )
    return _newest(find_own_floor(home), entries)


def _newest(
    floor: Instant, entries: Iterable[LedgerEntry]
) -> tuple[Instant, tuple[LedgerEntry, ...]]:
    """Return the newest entries, and the date after which none is missing."""
    ordered = sorted(entries, key=lambda entry: entry.key.date, reverse=True)
    if len(ordered) > _MOST_HANDED:
        floor = max(floor, ordered[_MOST_HANDED].key.date)
    newest = ordered[:_MOST_HANDED]
    return floor, tuple(_without_pending(entry) for entry in newest)


def _without_pending(entry: LedgerEntry) -> LedgerEntry:
    """A pending order ends where it began; elsewhere its end isn't known."""
    if entry.status is OrderStatus.PENDING:
        return entry._replace(status=OrderStatus.IN_DOUBT)
    return entry


def take_over(state: OrdersState, entries: Iterable[LedgerEntry]) -> None:
    for entry in entries:
        known = state.ledger.get(entry.key.text)
        if known is None or known.status is OrderStatus.IN_DOUBT:
            state.put_entry(entry)
