"""The answers that an entry gives over HTTP besides a service's own."""

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


class FinalWord(NamedTuple):
    """The last event of a stream, or the body of a refusal."""

    outcome: Outcome
    reason: Reason | None
    retry_at: Instant
    delivered: int
    key: OrderKey | None
    fresh: OrderKey | None = None
    """For an order that did not run: the key to come back with."""

    def to_json(self) -> bytes:
        """Return the JSON form; absent parts are left out."""
        parts: dict[str, str | int | float] = {"outcome": self.outcome.value}
        if self.reason is not None:
            parts["reason"] = self.reason.value
        if self.retry_at:
            parts["retry_at"] = round(self.retry_at, 3)
        if self.key is not None:
            parts["key"] = self.key.text
        if self.fresh is not None:
            parts["fresh_key"] = self.fresh.text
        parts["count"] = self.delivered
        return json.dumps(parts).encode()


def word_of(finish: FinishCall) -> FinalWord:
    """Return the final word of a call."""
    return FinalWord(
        finish.outcome,
        finish.reason,
        finish.retry_at,
        finish.delivered,
        finish.key,
        finish.fresh,
    )


def answer_word(start: StartResponse, word: FinalWord, now: Instant) -> Iterable[bytes]:
    """Answer with a final word that is no answer of the service."""
    body = word.to_json()
    headers = [
        ("Content-Type", JSON_TYPE),
        ("Content-Length", str(len(body))),
        ("Mintsaddle-Outcome", word.outcome.value),
        ("Retry-After", str(max(1, math.ceil(word.retry_at - now)))),
    ]
    headers += key_header(word.key)
    if word.fresh is not None:
        headers.append(("Fresh-Key", word.fresh.text))
    start(_STATUSES[word.outcome], headers)
    return [body]


def answer_problem(
    start: StartResponse, problem: Problem, *, has_key: bool
) -> Iterable[bytes]:
    """Answer a bad request.

    With a key nothing is claimed: an earlier attempt under it may have come
    to its home by another entry.
    """
    outcome = Outcome.ASK_AGAIN if has_key else Outcome.NOT_RUN
    parts = {"outcome": outcome.value, "problem": problem.text}
    body = json.dumps(parts).encode()
    headers = [
        ("Content-Type", JSON_TYPE),
        ("Content-Length", str(len(body))),
        ("Mintsaddle-Outcome", outcome.value),
    ]
    start(problem.status, headers)
    return [body]


def key_header(key: OrderKey | None) -> list[tuple[str, str]]:
    """Return the header that tells a caller its key, if there is one."""
    return [("Idempotency-Key", key.text)] if key else []


def status_line(status: int) -> str:
    """Return WSGI's status for a service's status."""
    return f"{status} {'OK' if status == 200 else 'From the service'}"
