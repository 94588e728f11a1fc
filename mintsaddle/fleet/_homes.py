"""Homes of orders: which endpoint alone may run a brought key."""

from typing import NamedTuple

from mintsaddle.fleet._model import Service
from mintsaddle.values import rank_by_score


class OrderHomes(NamedTuple):
    """The list of homes that a fleet text gives to one service."""

    homes: tuple[str, ...]
    """Endpoints over which keys are spread, sorted."""

    to_ask: frozenset[str]
    """Present and former homes that must agree before a key may move."""

    some_gone: bool = False
    """Whether a former home is gone and can tell nothing."""


def list_homes(service: Service) -> OrderHomes:
    """Return the homes of a service and those who must agree to them."""
    present = frozenset(service.endpoints)
    former = frozenset(service.former) - frozenset(service.gone)
    homes = tuple(sorted(present))
    return OrderHomes(homes, present | former, bool(service.gone))


def find_home(homes: tuple[str, ...], key: str) -> str:
    """Return the one home of a brought key.

    Over the homes as the text lists them, never over who is alive: each entry,
    however stale or cut off, names the same home or none.
    """
    return rank_by_score(key, homes)[0]
