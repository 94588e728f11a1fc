"""Queries on the orders of a home."""

from mintsaddle.decisions.orders._state import HomeState, OrdersState
from mintsaddle.fleet import OrderHomes, find_home
from mintsaddle.values import Instant


def home_is_settled(home: HomeState) -> bool:
    """Return whether all homes are known to agree to the adopted list."""
    return home.anchored and home.settled == home.wanted


def has_pending_transfers(state: OrdersState) -> bool:
    """Return whether other homes still have to fetch entries of moved keys.

    A run that ends earlier leaves those keys in doubt.
    """
    for home in state.homes.values():
        moving = home.settled is not None and home.settled != home.wanted
        if moving and set(home.wanted.homes) - {state.vm} - home.handed_over_to:
            return True
    return False


def find_own_floor(home: HomeState) -> Instant:
    """Return the date after which this run's ledger is complete."""
    return max([home.boot_floor, *(move.floor for move in home.moves)])


def find_floor(state: OrdersState, home: HomeState, key: str) -> Instant:
    """Return the date up to which a key may have run without being recorded.

    A move doesn't raise the floor of a key that this home owned under every
    previous list of the move: the key is recorded in its own ledger.
    """
    floors = [home.boot_floor]
    floors += [
        move.floor
        for move in home.moves
        if not _was_home(state, move.previous_lists, key)
    ]
    return max(floors)


def _was_home(state: OrdersState, lists: tuple[OrderHomes, ...], key: str) -> bool:
    if not lists:
        return False
    return all(find_home(homes.homes, key) == state.vm for homes in lists)
