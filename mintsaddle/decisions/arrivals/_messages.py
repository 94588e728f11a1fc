"""Input and output messages of an endpoint daemon's decisions."""

from typing import NamedTuple, TypeAlias

from mintsaddle.decisions.admission import EngineFeedback
from mintsaddle.decisions.orders import LedgerEntry
from mintsaddle.values import Instant, OrderKey, Refusal


class Arrival(NamedTuple):
    """One attempt of a request as received by an endpoint daemon."""

    request_id: str
    """Identifies the attempt; each attempt has its own ID."""

    service: str
    workspace: str
    priority: int
    deadline: Instant
    key: OrderKey | None
    """The order's key; None for a request that may be repeated."""

    resumes: bool = False
    """Whether the caller already has a part of the response."""


class EngineResult(NamedTuple):
    """How the engine's handling of a request ended."""

    feedback: EngineFeedback
    reached: bool
    """Whether any byte of the request may have reached the engine."""

    http_status: int = 0
    content_type: str = ""
    body: bytes = b""
    """An order's complete response, for the ledger."""


class StartEngine(NamedTuple):
    """Send the request to the engine now."""

    request_id: str


class AcceptArrival(NamedTuple):
    """Tell the entry that the request was admitted, queued or joined."""

    request_id: str


class RefuseArrival(NamedTuple):
    """Tell the entry that the request isn't run here."""

    request_id: str
    refusal: Refusal


class AnswerArrival(NamedTuple):
    """Answer the request from the ledger."""

    request_id: str
    entry: LedgerEntry


ArrivalAction: TypeAlias = StartEngine | AcceptArrival | RefuseArrival | AnswerArrival
