"""Questions to the orders of a home."""

from mintsaddle.decisions.orders._state import HomeState, OrdersState
from mintsaddle.fleet import OrderHomes, find_home
from mintsaddle.values import Instant


def home_is_settled(home: HomeState) -> bool:
    """Return whether all homes are known to agree to the text's list."""
    return home.anchored and home.settled == home.wanted


def is_awaited(state: OrdersState) -> bool:
    """Return whether homes still have to hear what this one released.

    A run that left before would leave the keys that have just moved in doubt.
    """
    for home in state.homes.values():
        moving = home.settled is not None and home.settled != home.wanted
        if moving and set(home.wanted.homes) - {state.vm} - home.handed_to:
            return True
    return False


def find_own_floor(home: HomeState) -> Instant:
    """Return the date from which this run's ledger misses no order."""
    return max([home.boot_floor, *(move.floor for move in home.moves)])


def find_floor(state: OrdersState, home: HomeState, key: str) -> Instant:
    """Return the date up to which a key may have run without this run knowing.

    A key that was here under every list since an earlier settling isn't
    barred by the later one: this run's own ledger knows it.
    """
    floors = [home.boot_floor]
    floors += [
        move.floor for move in home.moves if not _was_here(state, move.before, key)
    ]
    return max(floors)


def _was_here(state: OrdersState, lists: tuple[OrderHomes, ...], key: str) -> bool:
    if not lists:
        return False
    return all(find_home(homes.homes, key) == state.vm for homes in lists)
