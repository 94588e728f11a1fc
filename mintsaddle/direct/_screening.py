"""Refusals of requests by what their heads say."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from mintsaddle.callers import STATUS_LINES, HttpRefusal, RequestFault
from mintsaddle.decisions.direct import KeyHolder, Route, match_route
from mintsaddle.direct._calls import find_key_holder
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._retry_advice import recommend_wait
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import (
    RequestHead,
    make_fault_headers,
    make_refusal,
    read_request_head,
)
from mintsaddle.values import Outcome, Reason

TABLE_TRUST_SECONDS = 4.0
"""Maximum age in seconds of a table by which a key or route is denied; a
healthy watch confirms the table every 2.5 s."""

_DEFAULT_WAIT_SECONDS = 3.0
"""Seconds that a caller is assumed to wait if it sends no deadline."""

_RETRIED_FAULTS = frozenset({RequestFault.CROWDED, RequestFault.MEMORY})
"""Faults of which the request isn't the cause."""

_log = make_logger("calls")


class Admitted(NamedTuple):
    """A request that its head gives no reason to refuse."""

    head: RequestHead
    target: str
    """Raw path and query string."""

    route: Route
    holder: KeyHolder


class Screening:
    """Checks the heads of requests, and renders refusals."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def check(
        self, environ: Mapping[str, Any], *, is_full: bool = False
    ) -> Admitted | HttpRefusal:
        """Return a request as admitted, or its refusal.

        Args:
            environ: Its WSGI environment.
            is_full: Whether there is no place for it.
        """
        head = read_request_head(environ)
        table = self._gateway.directory.table
        if table is None:
            return self._refuse(head, Reason.BEHIND)
        if is_full:
            return self._refuse(head, Reason.FULL)
        target = str(environ.get("REQUEST_URI") or environ["PATH_INFO"])
        host = str(environ.get("HTTP_HOST", ""))
        route = match_route(table, host, target.partition("?")[0])
        if route is None:
            return self._deny(head, "404 Not Found", "no-route")
        holder = find_key_holder(table, route, head)
        if holder is None:
            return self._deny(head, "401 Unauthorized", "no-key")
        if not head.request_id:
            return HttpRefusal("400 Bad Request", [])
        return Admitted(head, target, route, holder)

    def screen(self, environ: Mapping[str, Any]) -> HttpRefusal | None:
        """Return the refusal of a request whose body is still arriving."""
        checked = self.check(environ)
        return None if isinstance(checked, Admitted) else checked

    def refuse_fault(
        self, fault: RequestFault, headers: Mapping[str, str]
    ) -> HttpRefusal:
        """Refuse a request that has not arrived completely.

        Args:
            fault: Why it is refused.
            headers: Its headers in their WSGI form, as far as they are known.
        """
        head = read_request_head(headers)
        self._record(head, fault.value)
        seconds = None
        if fault in _RETRIED_FAULTS:
            seconds = recommend_wait(self._gateway, _seconds_left(head), Reason.FULL)
        sent = make_fault_headers(head.request_id, seconds)
        return HttpRefusal(STATUS_LINES[fault], sent)

    def _refuse(self, head: RequestHead, reason: Reason) -> HttpRefusal:
        """Refuse a request that was sent to no endpoint."""
        self._record(head, reason.value)
        seconds = recommend_wait(self._gateway, _seconds_left(head), reason)
        status, headers = make_refusal(
            Outcome.NOT_RUN, reason, head.request_id, seconds
        )
        return HttpRefusal(status, headers)

    def _deny(self, head: RequestHead, status: str, reason: str) -> HttpRefusal:
        """Deny what the table doesn't allow, if the table is recent.

        An entry that is cut off must not deny: a key or route may have been
        added since, and callers don't retry after 401 or 404.
        """
        if not self._gateway.is_fresh(TABLE_TRUST_SECONDS):
            return self._refuse(head, Reason.BEHIND)
        table = self._gateway.directory.table
        version = table.version if table else 0
        self._gateway.metrics.count(f"denied_{reason}")
        _log.info(
            "Denied %s.",
            fields(request=head.request_id or "-", why=reason, version=version),
        )
        return HttpRefusal(status, [])

    def _record(self, head: RequestHead, reason: str) -> None:
        self._gateway.metrics.count(f"refused_{reason}")
        _log.info("Refused %s.", fields(request=head.request_id or "-", reason=reason))


def _seconds_left(head: RequestHead) -> float:
    return head.seconds_left or _DEFAULT_WAIT_SECONDS
