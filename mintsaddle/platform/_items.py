"""Decoding of the store's items into updates of the directory."""

import ipaddress
import re
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
from mintsaddle.values import MILLISECONDS, Instant, load_json

PUBLISHED_PREFIX = ""
"""Prefix of the keys that entries watch. It covers both the operator's items
and the endpoints' announcements, since two watches cost twice the calls."""

_ENDPOINT_PREFIX = "servers/"

_TABLE_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_ENDPOINT_STATES = frozenset({"ready", "draining"})
_SURROGATES = re.compile("[\ud800-\udfff]")
_MAX_NUMBER = 2**53
_MAX_PORT = 65_535
_MAX_PROBLEM_LENGTH = 200
_log = make_logger("platform")


def is_followed_key(key: str) -> bool:
    """Return whether entries act on a key.

    Items of other users of the store would fill the replica and every message
    to peers, and a message can't have a key that can't be encoded.
    """
    if key == _TABLE_KEY:
        return True
    is_known = key.startswith((_EVACUATION_PREFIX, _ENDPOINT_PREFIX))
    return is_known and not _SURROGATES.search(key)


def decode_items(items: Iterable[PublishedItem], now: Instant) -> list[DirectoryUpdate]:
    """Return the updates in changed items; unreadable ones are logged.

    Other writers may omit fields, or write wrong types or invalid JSON. An
    endpoint with such an announcement isn't used.
    """
    updates: list[DirectoryUpdate] = []
    for item in items:
        update: DirectoryUpdate | None
        try:
            update = _decode_item(item, now)
        except Exception as error:
            # Whatever one item raises, all others are applied.
            _log.warning(
                "Item unreadable %s.",
                fields(
                    key=item.key,
                    revision=item.revision,
                    problem=repr(error)[:_MAX_PROBLEM_LENGTH],
                ),
            )
            update = _remove_endpoint(item)
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


def _remove_endpoint(item: PublishedItem) -> EndpointRemoved | None:
    """Return the removal of an item's endpoint; None for other items."""
    if not item.key.startswith(_ENDPOINT_PREFIX):
        return None
    return EndpointRemoved(item.key.removeprefix(_ENDPOINT_PREFIX))


def _decode_endpoint(item: PublishedItem, now: Instant) -> DirectoryUpdate | None:
    if item.value is None:
        return _remove_endpoint(item)
    name = item.key.removeprefix(_ENDPOINT_PREFIX)
    return EndpointPublished(_read_endpoint(name, load_json(item.value), now))


def _read_endpoint(name: str, values: dict[str, Any], now: Instant) -> Incarnation:
    cold_ms = _read_number(values.get("cold_left_ms", 0))
    if values["state"] not in _ENDPOINT_STATES:
        raise ValueError("state is of no known form")
    return Incarnation(
        name=name,
        service=_read_text(values["service"]),
        address=_read_address(values["address"]),
        data_centre=_read_text(values["zone"]),
        slots=max(1, int(_read_number(values["slots"]))),
        leaving=values["state"] == "draining",
        cold_until=now + cold_ms / MILLISECONDS if cold_ms > 0 else 0.0,
        started_at_ms=int(_read_number(values.get("born", 0))),
        assignment=_read_assignment(values),
    )


def _read_assignment(values: dict[str, Any]) -> RankAssignment | None:
    group = values.get("group")
    if not isinstance(group, dict):
        return None
    return RankAssignment(
        group=f"{values['service']}/{_read_text(group['name'])}",
        epoch=int(_read_number(group["epoch"])),
        rank=int(_read_number(group["rank"])),
        size=int(_read_number(values["size"])),
        is_open=group["state"] == "open",
    )


def _read_text(value: Any) -> str:
    """Return a text that isn't empty.

    Raises:
        ValueError: It is no such text, or can't be encoded for peers.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"no text: {value!r}")
    value.encode()
    return value


def _read_number(value: Any) -> float:
    """Return a number that a double represents exactly.

    Raises:
        ValueError: It is no such number.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not abs(value) <= _MAX_NUMBER:
        raise ValueError(f"no number: {value!r}")
    return float(value)


def _read_address(value: Any) -> str:
    """Return an address of the form ``IP:PORT``.

    Raises:
        ValueError: It is of another form.
    """
    host, _, port = _read_text(value).rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isascii() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"no port: {port!r}")
    return str(value)
