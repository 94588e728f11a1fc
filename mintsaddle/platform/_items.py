"""Decoding of the store's items into updates of the directory."""

import json
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Success

from mintsaddle.decisions.direct import (
    DataCentreEvacuated,
    DataCentreReinstated,
    DirectoryUpdate,
    EndpointPublished,
    EndpointRemoved,
    Incarnation,
    PublishedItem,
    RankAssignment,
    TablePublished,
)
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform._configuration import decode_table
from mintsaddle.values import MILLISECONDS, Instant

PUBLISHED_PREFIX = ""
"""Prefix of the keys that entries watch. It covers both the operator's items
and the endpoints' announcements, since two watches cost twice the calls."""

_ENDPOINT_PREFIX = "servers/"

_TABLE_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_ENDPOINT_STATES = frozenset({"ready", "draining"})
_log = make_logger("platform")


def is_followed_key(key: str) -> bool:
    """Return whether entries act on a key.

    Items of other users of the store would fill the replica and every message
    to peers.
    """
    return key == _TABLE_KEY or key.startswith((_EVACUATION_PREFIX, _ENDPOINT_PREFIX))


def decode_items(items: Iterable[PublishedItem], now: Instant) -> list[DirectoryUpdate]:
    """Return the updates in changed items; unreadable ones are logged."""
    updates: list[DirectoryUpdate] = []
    for item in items:
        update = _decode_item(item, now)
        if update is not None:
            updates.append(update)
    return updates


def _decode_item(item: PublishedItem, now: Instant) -> DirectoryUpdate | None:
    if item.key == _TABLE_KEY:
        return _decode_table_item(item)
    if item.key.startswith(_EVACUATION_PREFIX):
        name = item.key.removeprefix(_EVACUATION_PREFIX)
        return (
            DataCentreReinstated(name)
            if item.value is None
            else DataCentreEvacuated(name)
        )
    if item.key.startswith(_ENDPOINT_PREFIX):
        return _decode_endpoint(item, now)
    return None


def _decode_table_item(item: PublishedItem) -> DirectoryUpdate | None:
    if item.value is None:
        _log.warning("Table removed %s.", fields(revision=item.revision))
        return None
    match decode_table(item.value):
        case Success(table):
            return TablePublished(table)
        case Failure(problem):
            _log.warning(
                "Table refused %s.", fields(revision=item.revision, problem=problem)
            )
    return None


def _decode_endpoint(item: PublishedItem, now: Instant) -> DirectoryUpdate:
    """Return the announcement, or a removal if it is invalid.

    Other writers may omit fields, or write wrong types or invalid JSON. An
    endpoint with such an announcement isn't used.
    """
    name = item.key.removeprefix(_ENDPOINT_PREFIX)
    if item.value is None:
        return EndpointRemoved(name)
    try:
        return EndpointPublished(_read_endpoint(name, json.loads(item.value), now))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        _log.warning(
            "Endpoint unreadable %s.",
            fields(endpoint=name, revision=item.revision, problem=repr(error)),
        )
        return EndpointRemoved(name)


def _read_endpoint(name: str, values: dict[str, Any], now: Instant) -> Incarnation:
    service, address, zone = values["service"], values["address"], values["zone"]
    state, slots = values["state"], values["slots"]
    cold_ms, born = values.get("cold_left_ms", 0), values.get("born", 0)
    are_texts_valid = all(isinstance(text, str) and text for text in (service, zone))
    if not are_texts_valid or state not in _ENDPOINT_STATES:
        raise ValueError("service, zone or state is of no known form")
    numbers = (slots, cold_ms, born)
    if not all(
        isinstance(number, int | float) and not isinstance(number, bool)
        for number in numbers
    ):
        raise ValueError("slots, cold_left_ms or born is no number")
    host, _, port = str(address).rpartition(":")
    if not host or not 0 < int(port) < 65_536:
        raise ValueError("address is no IP:PORT")
    return Incarnation(
        name=name,
        service=service,
        address=address,
        data_centre=zone,
        slots=max(1, int(slots)),
        leaving=state == "draining",
        cold_until=now + cold_ms / MILLISECONDS if cold_ms > 0 else 0.0,
        started_at_ms=int(born),
        assignment=_read_assignment(values),
    )


def _read_assignment(values: dict[str, Any]) -> RankAssignment | None:
    group = values.get("group")
    if not isinstance(group, dict):
        return None
    return RankAssignment(
        group=f"{values['service']}/{group['name']}",
        epoch=int(group["epoch"]),
        rank=int(group["rank"]),
        size=int(values["size"]),
        is_open=group["state"] == "open",
    )
