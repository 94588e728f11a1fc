"""Homes of orders: the one endpoint that may run a caller-supplied key."""

from typing import NamedTuple

from mintsaddle.fleet._model import Service
from mintsaddle.values import rank_by_score


class OrderHomes(NamedTuple):
    """Homes that a fleet text assigns to one service."""

    homes: tuple[str, ...]
    """Endpoints over which keys are distributed, sorted."""

    to_ask: frozenset[str]
    """Present and former homes that must agree before a key moves."""

    some_gone: bool = False
    """Whether a former home is gone and can't be asked."""


def list_homes(service: Service) -> OrderHomes:
    """Return the homes of a service and the endpoints that must agree."""
    present = frozenset(service.endpoints)
    former = frozenset(service.former) - frozenset(service.gone)
    homes = tuple(sorted(present))
    return OrderHomes(homes, present | former, bool(service.gone))


def find_home(homes: tuple[str, ...], key: str) -> str:
    """Return the home of a caller-supplied key.

    The choice depends on the list in the fleet text only, never on which homes
    are alive, so that stale or partitioned entries don't choose another one.
    """
    return rank_by_score(key, homes)[0]
