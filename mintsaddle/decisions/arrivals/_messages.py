"""Arrivals at an endpoint daemon, and what it does with them."""

from typing import NamedTuple, TypeAlias

from mintsaddle.decisions.admission import Evidence
from mintsaddle.decisions.orders import LedgerEntry
from mintsaddle.values import Instant, OrderKey, Refusal


class Arrival(NamedTuple):
    """One attempt of one request, as it reached an endpoint daemon."""

    request_id: str
    """Names this attempt; each attempt has its own."""

    service: str
    workspace: str
    priority: int
    deadline: Instant
    key: OrderKey | None
    """The order's key; None for a call that may repeat."""

    resumes: bool = False
    """Whether the caller has a part of the answer already."""


class EngineResult(NamedTuple):
    """How the engine's handling of a request ended."""

    evidence: Evidence
    reached: bool
    """Whether any byte of the request may have reached the engine."""

    http_status: int = 0
    content_type: str = ""
    body: bytes = b""
    """An order's whole answer, for the ledger."""


class StartEngine(NamedTuple):
    """Give the request to the engine now."""

    request_id: str


class AcceptArrival(NamedTuple):
    """Tell the entry that the request was admitted, queued or joined."""

    request_id: str


class RefuseArrival(NamedTuple):
    """Tell the entry that the request isn't run here."""

    request_id: str
    refusal: Refusal


class AnswerArrival(NamedTuple):
    """Answer from the ledger."""

    request_id: str
    entry: LedgerEntry


ArrivalAction: TypeAlias = StartEngine | AcceptArrival | RefuseArrival | AnswerArrival
