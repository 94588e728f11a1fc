"""The one client of the platform's store: reading and watching by prefix."""

import base64
import enum
import http.client
import itertools
import json
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from mintsaddle.decisions.direct import PublishedItem, StoreResponse
from mintsaddle.values import MILLISECONDS

READ_SECONDS = 1.0
"""Seconds for one answer: 250 times the store's usual 4 ms, so that a slow
store is waited for and a silent connection costs one second only."""

_LARGEST_ANSWER = 4 * 1_048_576
_ERA_HEADERS = ("Store-Era", "X-Mintsaddle-Store-Era")
"""Header that counts how often the store came back from an older copy; its
name with and without the prefix that other headers have."""

_MOST_PAGES = 200
"""Pages of one reading; 100,000 items at the store's 500 a page."""


class StoreProblem(enum.Enum):
    """Why the store gave nothing."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNREADABLE = "unreadable"
    HISTORY_GONE = "history-gone"


class _Page(NamedTuple):
    """One answer of the store."""

    items: tuple[PublishedItem, ...]
    at: int
    """The store's revision as it was read."""

    era: int | None
    has_more: bool


class StoreClient:
    """A kept connection to the store, for one thread."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: http.client.HTTPConnection | None = None

    def read_all(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[StoreResponse, StoreProblem]:
        """Return all items under a prefix.

        Pages are no snapshot, so the lowest revision of any page counts: what
        changed after it comes again by the watch. Pages before and after the
        store was restored don't belong together, and have to be read again.

        Args:
            prefix: Keys that begin so are read.
            allow_stale: Whether an answer that is seconds old will do; it
                costs the store a tenth.
        """
        pages: list[_Page] = []
        while len(pages) < _MOST_PAGES:
            match self._ask_page(prefix, pages, allow_stale=allow_stale):
                case Failure(problem):
                    return Failure(problem)
                case Success(page):
                    pages.append(page)
                    if not page.has_more or not page.items:
                        return _join_pages(pages, allow_stale=allow_stale)
        return Failure(StoreProblem.UNREADABLE)

    def _ask_page(
        self, prefix: str, pages: list[_Page], *, allow_stale: bool
    ) -> Result[_Page, StoreProblem]:
        query = {"prefix": prefix}
        if allow_stale:
            query["stale_ok"] = "1"
        if pages:
            query["after"] = pages[-1].items[-1].key
        return self._get("kv-range", query, READ_SECONDS, "items")

    def watch(
        self, prefix: str, position: int, wait: float
    ) -> Result[StoreResponse, StoreProblem]:
        """Wait for changes after a revision.

        Args:
            prefix: Keys that begin so are watched.
            position: The last revision that is known.
            wait: Seconds that the store may hold the call.
        """
        query = {
            "prefix": prefix,
            "after": str(position),
            "wait_ms": str(int(wait * MILLISECONDS)),
        }
        answer = self._get("kv-watch", query, wait + READ_SECONDS, "events")
        return answer.map(
            lambda page: StoreResponse(page.items, max(position, page.at), page.era)
        )

    def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _get(
        self, call: str, query: Mapping[str, str], seconds: float, listing: str
    ) -> Result[_Page, StoreProblem]:
        connection = self._connection
        if connection is None:
            connection = http.client.HTTPConnection(self._address, timeout=seconds)
            self._connection = connection
        try:
            if connection.sock is None:
                connection.timeout = READ_SECONDS
                connection.connect()
            connection.sock.settimeout(seconds)
            connection.request("GET", f"/mintsaddle/{call}?{urlencode(query)}")
            response = connection.getresponse()
            body = response.read(_LARGEST_ANSWER)
        except (OSError, http.client.HTTPException):
            # A connection on which an answer was lost gives nothing any more.
            self.close()
            return Failure(StoreProblem.UNREACHABLE)
        era = _read_era(response)
        answer = self._read_answer(response, body)
        return answer.bind(lambda values: _read_page(values, listing, era))

    def _read_answer(
        self, response: http.client.HTTPResponse, body: bytes
    ) -> Result[dict[str, Any], StoreProblem]:
        if response.status == http.client.GONE:
            return Failure(StoreProblem.HISTORY_GONE)
        if response.status != http.client.OK:
            self.close()
            return Failure(StoreProblem.REFUSED)
        try:
            answer = json.loads(body)
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            self.close()
            return Failure(StoreProblem.UNREADABLE)
        return Success(answer)


def _read_page(
    values: Mapping[str, Any], listing: str, era: int | None
) -> Result[_Page, StoreProblem]:
    """Return an answer's items, which are listed under a name of the call."""
    items, at = _read_items(values.get(listing)), values.get("at")
    if items is None or not isinstance(at, int):
        return Failure(StoreProblem.UNREADABLE)
    return Success(_Page(items, at, era, bool(values.get("has_more"))))


def _join_pages(
    pages: list[_Page], *, allow_stale: bool
) -> Result[StoreResponse, StoreProblem]:
    items = tuple(item for page in pages for item in page.items)
    position = min(page.at for page in pages)
    era = pages[0].era
    if allow_stale:
        # The revision that an old page names may be newer than its items.
        newest = max((item.revision for item in items), default=1)
        return Success(StoreResponse(items, min(position, newest), era))
    is_restored = any(
        later.era != era or later.at < earlier.at
        for earlier, later in itertools.pairwise(pages)
    )
    if is_restored:
        return Failure(StoreProblem.HISTORY_GONE)
    return Success(StoreResponse(items, position, era))


def _read_era(response: http.client.HTTPResponse) -> int | None:
    """Return the era that an answer names; None for none or a bad one."""
    found = (response.getheader(name) for name in _ERA_HEADERS)
    text = next((value for value in found if value is not None), "")
    return int(text) if text.isascii() and text.isdigit() else None


def _read_items(values: Any) -> tuple[PublishedItem, ...] | None:
    """Return the items of an answer; None when it isn't a list of items."""
    if not isinstance(values, list):
        return None
    try:
        return tuple(_read_item(value) for value in values)
    except (ValueError, TypeError, KeyError):
        return None


def _read_item(value: Mapping[str, Any]) -> PublishedItem:
    key, revision = str(value["key"]), int(value["revision"])
    if value.get("tombstoned"):
        return PublishedItem(key, revision, None)
    return PublishedItem(key, revision, base64.b64decode(value["value"]))
