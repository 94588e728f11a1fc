"""Client that reads and watches key prefixes in the platform's store."""

import base64
import enum
import http.client
import itertools
import time
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from mintsaddle.decisions.direct import PublishedItem, StoreResponse
from mintsaddle.engines import BoundedConnection
from mintsaddle.values import DECODING_ERRORS, MILLISECONDS, load_json, read_digits

READ_TIMEOUT_SECONDS = 1.0
"""Timeout for one response: 250 times the usual 4 ms, so that a slow store has
time to respond and an unresponsive connection costs only one second."""

_MAX_RESPONSE_BYTES = 4 * 1_048_576
_ERA_HEADERS = ("Store-Era", "X-Mintsaddle-Store-Era")
"""Header with the number of times that the store was restored from a backup;
its name without and with the prefix that the other headers have."""

_MAX_PAGES = 200
"""Most pages of one full read; 100,000 items at 500 items per page."""


class StoreProblem(enum.Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    CUT = "cut"
    """An open connection broke before an answer was due."""

    REFUSED = "refused"
    UNREADABLE = "unreadable"
    HISTORY_GONE = "history-gone"


class _Page(NamedTuple):
    """One response of the store."""

    items: tuple[PublishedItem, ...]
    store_revision: int
    """The store's revision when the page was read."""

    era: int | None
    has_more: bool


class StoreClient:
    """Client of the store with a persistent connection; not thread-safe."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: http.client.HTTPConnection | None = None

    def read_all(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[StoreResponse, StoreProblem]:
        """Return all items under a prefix.

        The pages aren't read in one snapshot, so the result has the lowest
        revision of any page; a watch repeats the changes after it. Pages from
        before and after a restore of the store can't be combined, and have to
        be read again.

        Args:
            prefix: Prefix of the keys to read.
            allow_stale: Whether the response may be seconds old, which costs
                the store a tenth of the load.
        """
        pages: list[_Page] = []
        while len(pages) < _MAX_PAGES:
            match self._request_page(prefix, pages, allow_stale=allow_stale):
                case Failure(problem):
                    return Failure(problem)
                case Success(page):
                    pages.append(page)
                    if not page.has_more or not page.items:
                        return _merge_pages(pages, allow_stale=allow_stale)
        return Failure(StoreProblem.UNREADABLE)

    def _request_page(
        self, prefix: str, pages: list[_Page], *, allow_stale: bool
    ) -> Result[_Page, StoreProblem]:
        query = {"prefix": prefix}
        if allow_stale:
            query["stale_ok"] = "1"
        if pages:
            query["after"] = pages[-1].items[-1].key
        return self._get("kv-range", query, 0.0, "items")

    def watch(
        self, prefix: str, revision: int, wait: float
    ) -> Result[StoreResponse, StoreProblem]:
        """Wait for changes after a revision.

        Args:
            prefix: Prefix of the keys to watch.
            revision: The last known revision.
            wait: Seconds for which the store may delay its response.
        """
        query = {
            "prefix": prefix,
            "after": str(revision),
            "wait_ms": str(int(wait * MILLISECONDS)),
        }
        decoded = self._get("kv-watch", query, wait, "events")
        return decoded.map(
            lambda page: StoreResponse(
                page.items, max(revision, page.store_revision), page.era
            )
        )

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _get(
        self,
        operation: str,
        query: Mapping[str, str],
        wait: float,
        items_key: str,
    ) -> Result[_Page, StoreProblem]:
        timeout_seconds = wait + READ_TIMEOUT_SECONDS
        answer_due_at = time.monotonic() + wait
        connection = self._connection
        if connection is None:
            connection = BoundedConnection(self._address, timeout=timeout_seconds)
            self._connection = connection
        is_reused = connection.sock is not None
        try:
            if not is_reused:
                connection.timeout = READ_TIMEOUT_SECONDS
                connection.connect()
        except OSError:
            self.close()
            return Failure(StoreProblem.UNREACHABLE)
        try:
            connection.sock.settimeout(timeout_seconds)
            connection.request("GET", f"/mintsaddle/{operation}?{urlencode(query)}")
            response = connection.getresponse()
            body = response.read(_MAX_RESPONSE_BYTES)
        except (OSError, http.client.HTTPException) as error:
            # After a failed call, the connection can't be used any longer.
            self.close()
            is_early = time.monotonic() < answer_due_at if wait else is_reused
            is_cut = is_early and isinstance(error, ConnectionError)
            return Failure(StoreProblem.CUT if is_cut else StoreProblem.UNREACHABLE)
        era = _decode_era(response)
        decoded = self._decode_body(response, body)
        return decoded.bind(lambda values: _decode_page(values, items_key, era))

    def _decode_body(
        self, response: http.client.HTTPResponse, body: bytes
    ) -> Result[dict[str, Any], StoreProblem]:
        if response.status == http.client.GONE:
            return Failure(StoreProblem.HISTORY_GONE)
        if response.status != http.client.OK:
            self.close()
            return Failure(StoreProblem.REFUSED)
        try:
            decoded = load_json(body)
        except DECODING_ERRORS:
            decoded = None
        if not isinstance(decoded, dict):
            self.close()
            return Failure(StoreProblem.UNREADABLE)
        return Success(decoded)


def _decode_page(
    values: Mapping[str, Any], items_key: str, era: int | None
) -> Result[_Page, StoreProblem]:
    """Return the page in a response, whose items are under a given key."""
    items, store_revision = _decode_items(values.get(items_key)), values.get("at")
    if items is None or not isinstance(store_revision, int):
        return Failure(StoreProblem.UNREADABLE)
    return Success(_Page(items, store_revision, era, bool(values.get("has_more"))))


def _merge_pages(
    pages: list[_Page], *, allow_stale: bool
) -> Result[StoreResponse, StoreProblem]:
    items = tuple(item for page in pages for item in page.items)
    revision = min(page.store_revision for page in pages)
    era = pages[0].era
    if allow_stale:
        # A stale page may state a newer revision than its items have.
        newest = max((item.revision for item in items), default=1)
        return Success(StoreResponse(items, min(revision, newest), era))
    is_restored = any(
        later.era != era or later.store_revision < earlier.store_revision
        for earlier, later in itertools.pairwise(pages)
    )
    if is_restored:
        return Failure(StoreProblem.HISTORY_GONE)
    return Success(StoreResponse(items, revision, era))


def _decode_era(response: http.client.HTTPResponse) -> int | None:
    """Return the era in the response headers; None if absent or invalid."""
    candidates = (response.getheader(name) for name in _ERA_HEADERS)
    text = next((value for value in candidates if value is not None), "")
    return read_digits(text)


def _decode_items(values: Any) -> tuple[PublishedItem, ...] | None:
    """Return the items of a response; None if it has no valid list."""
    if not isinstance(values, list):
        return None
    try:
        return tuple(_decode_item(value) for value in values)
    except DECODING_ERRORS:
        return None


def _decode_item(value: Mapping[str, Any]) -> PublishedItem:
    key, revision = str(value["key"]), int(value["revision"])
    if value.get("tombstoned"):
        return PublishedItem(key, revision, None)
    return PublishedItem(key, revision, base64.b64decode(value["value"]))
