"""HTTP responses of the entry itself, as opposed to those of a service."""

import json
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypeAlias

from mintsaddle.decisions.calls import FinishCall
from mintsaddle.entry._requests import Problem
from mintsaddle.values import Instant, OrderKey, Outcome, Reason

JSON_TYPE = "application/json"

StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], object]
"""WSGI's ``start_response``."""

_STATUSES = {
    Outcome.NOT_RUN: "503 Service Unavailable",
    Outcome.ASK_AGAIN: "503 Service Unavailable",
    Outcome.IN_DOUBT: "504 Gateway Timeout",
}


class FinalResult(NamedTuple):
    """How a call ended: a stream's last event or an error response's body."""

    outcome: Outcome
    reason: Reason | None
    retry_at: Instant
    delivered: int
    key: OrderKey | None
    fresh_key: OrderKey | None = None
    """New key to retry with, for an order that did not run."""

    def to_json(self) -> bytes:
        """Return the JSON form without unset fields."""
        parts: dict[str, str | int | float] = {"outcome": self.outcome.value}
        if self.reason is not None:
            parts["reason"] = self.reason.value
        if self.retry_at:
            parts["retry_at"] = round(self.retry_at, 3)
        if self.key is not None:
            parts["key"] = self.key.text
        if self.fresh_key is not None:
            parts["fresh_key"] = self.fresh_key.text
        parts["count"] = self.delivered
        return json.dumps(parts).encode()


def make_final_result(finish: FinishCall) -> FinalResult:
    """Return the final result of a finished call."""
    return FinalResult(
        finish.outcome,
        finish.reason,
        finish.retry_at,
        finish.delivered,
        finish.key,
        finish.fresh_key,
    )


def respond_with_result(
    start_response: StartResponse, result: FinalResult, now: Instant
) -> Iterable[bytes]:
    """Respond with a result in place of the service's response."""
    body = result.to_json()
    headers = [
        ("Content-Type", JSON_TYPE),
        ("Content-Length", str(len(body))),
        ("Mintsaddle-Outcome", result.outcome.value),
        ("Retry-After", str(max(1, math.ceil(result.retry_at - now)))),
    ]
    headers += key_headers(result.key)
    if result.fresh_key is not None:
        headers.append(("Fresh-Key", result.fresh_key.text))
    start_response(_STATUSES[result.outcome], headers)
    return [body]


def respond_with_problem(
    start_response: StartResponse, problem: Problem, *, has_key: bool
) -> Iterable[bytes]:
    """Reject an invalid request.

    A request with a key isn't reported as not run: an earlier attempt with the
    same key may have reached its home through another entry.
    """
    outcome = Outcome.ASK_AGAIN if has_key else Outcome.NOT_RUN
    parts = {"outcome": outcome.value, "problem": problem.text}
    body = json.dumps(parts).encode()
    headers = [
        ("Content-Type", JSON_TYPE),
        ("Content-Length", str(len(body))),
        ("Mintsaddle-Outcome", outcome.value),
    ]
    start_response(problem.status, headers)
    return [body]


def key_headers(key: OrderKey | None) -> list[tuple[str, str]]:
    """Return the ``Idempotency-Key`` header, or none without a key."""
    return [("Idempotency-Key", key.text)] if key else []


def status_line(status: int) -> str:
    """Return the WSGI status line for a service's status code."""
    return f"{status} {'OK' if status == 200 else 'From the service'}"
