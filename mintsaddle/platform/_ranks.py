"""A rank's engine: its reports, counts and orders, in the product's types."""

import http.client
import json
from typing import Any

from returns.result import Failure, Result, Success

from mintsaddle.decisions.expert_maps import (
    MapOrder,
    OrderAct,
    OrderOutcome,
    RankReport,
)
from mintsaddle.rank_agent import NO_RESPONSE, RankCall, RankResponse

CALL_SECONDS = 0.4
"""Seconds for an engine's answer, which needs no place there: a round trip
takes 2 ms and a step up to 0.15 s."""

ORDER_SECONDS = 0.12
"""Seconds for the answer to an order: a group may be waiting for it. Answers
come within 5 ms mostly and 45 ms at most; one that comes later counts as lost,
and the order is sent again, which changes nothing."""

_REPORT_PATH = "/mintsaddle/report"
_COUNTS_PATH = "/mintsaddle/picked"
_ORDER_PATH = "/mintsaddle/order"
_LARGEST_ANSWER = 1_048_576
_ACTS = {
    OrderAct.PREPARE: "prepare",
    OrderAct.HOLD: "hold",
    OrderAct.ARM: "arm",
    OrderAct.DISARM: "disarm",
    # The platform's word for letting a held step begin.
    OrderAct.RELEASE: "go",
}
_VERDICTS = {200: OrderOutcome.DONE, 202: OrderOutcome.BEGUN, 409: OrderOutcome.REFUSED}


def report_call() -> RankCall:
    """Return the call that asks a rank's engine what it says of itself."""
    return RankCall("GET", _REPORT_PATH)


def decode_rank_report(answer: RankResponse, rank: int) -> Result[RankReport, str]:
    """Return what a rank's engine says of itself.

    Args:
        answer: The answer to a ``report_call``.
        rank: The rank that was meant.
    """
    return _check_status(answer).bind(lambda body: _decode_report(body, rank))


def counts_call() -> RankCall:
    """Return the call that asks how often experts were chosen."""
    return RankCall("GET", _COUNTS_PATH)


def decode_expert_counts(
    answer: RankResponse, layers: int, experts: int
) -> Result[tuple[tuple[int, ...], ...], str]:
    """Return how often a rank's requests chose each expert since its start."""
    decoded = _check_status(answer)
    return decoded.bind(lambda body: _decode_counts(body, layers, experts))


def experts_call() -> RankCall:
    """Return the call that asks which experts a rank holds."""
    return RankCall("GET", f"{_COUNTS_PATH}?lists=1")


def decode_rank_experts(
    answer: RankResponse,
) -> Result[tuple[tuple[int, ...], ...], str]:
    """Return the experts that a rank holds by the map in use, by layer."""
    return _check_status(answer).bind(_decode_experts)


def order_call(order: MapOrder) -> RankCall:
    """Return the call that gives a rank's engine an order."""
    body = json.dumps(_encode_order(order), separators=(",", ":"))
    return RankCall("POST", _ORDER_PATH, body)


def decode_verdict(answer: RankResponse) -> OrderOutcome:
    """Return how a rank's engine answered an order."""
    if answer.status == NO_RESPONSE.status:
        return OrderOutcome.UNKNOWN
    # 421 and 503 come from an engine that has nothing of ours.
    return _VERDICTS.get(answer.status, OrderOutcome.REFUSED)


def call_rank(address: str, call: RankCall) -> RankResponse:
    """Make a call to a rank's engine from afar, on a connection of its own."""
    seconds = ORDER_SECONDS if call.body else CALL_SECONDS
    connection = http.client.HTTPConnection(address, timeout=seconds)
    headers = {"Content-Type": "application/json"} if call.body else {}
    try:
        body = call.body.encode() or None
        connection.request(call.method, call.path, body, headers)
        response = connection.getresponse()
        text = response.read(_LARGEST_ANSWER).decode(errors="replace")
    except (OSError, http.client.HTTPException):
        # Whoever asked logs what is missing and asks again.
        return NO_RESPONSE
    finally:
        connection.close()
    return RankResponse(response.status, text)


def _encode_order(order: MapOrder) -> dict[str, Any]:
    values: dict[str, Any] = {"op": _ACTS[order.act], "epoch": order.epoch}
    if order.act in (OrderAct.PREPARE, OrderAct.ARM, OrderAct.DISARM):
        values["version"] = order.version
    if order.act in (OrderAct.HOLD, OrderAct.ARM, OrderAct.RELEASE):
        values["step"] = order.step
    if order.act is OrderAct.PREPARE:
        values["map"] = order.layers
    return values


def _check_status(answer: RankResponse) -> Result[str, str]:
    if answer.status == NO_RESPONSE.status:
        return Failure("no answer")
    if answer.status != http.client.OK:
        return Failure(f"status {answer.status}")
    return Success(answer.body)


def _decode_report(body: str, rank: int) -> Result[RankReport, str]:
    try:
        values = json.loads(body)
        group = values["group"]
        armed = values.get("armed")
        # Either the version alone or a table that also names the step.
        if isinstance(armed, dict):
            armed = armed.get("version")
        return Success(
            RankReport(
                rank=rank,
                epoch=int(group["epoch"]),
                is_open=group["state"] == "open",
                is_busy=bool(values.get("busy")),
                step=int(values["step"]),
                running=int(values.get("num_running") or 0),
                version=int(values.get("map") or 0),
                prepared=_optional(values.get("prepared")),
                armed=_optional(armed),
                held=_optional(values.get("held")),
                # The platform's pace grows as the engine gets slower.
                slowness=float(values.get("pace") or 1.0),
                queued=int(values.get("queue_depth") or 0),
            )
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Failure(repr(error))


def _decode_experts(body: str) -> Result[tuple[tuple[int, ...], ...], str]:
    try:
        # The platform's set is our layer.
        experts = json.loads(body)["map"]["experts"]
        return Success(tuple(tuple(map(int, layer)) for layer in experts))
    except (ValueError, TypeError, KeyError) as error:
        return Failure(repr(error))


def _decode_counts(
    body: str, layers: int, experts: int
) -> Result[tuple[tuple[int, ...], ...], str]:
    try:
        counts = json.loads(body)["counts"]
        if counts and isinstance(counts[0], int):
            counts = [
                counts[layer * experts : (layer + 1) * experts]
                for layer in range(layers)
            ]
        decoded = tuple(tuple(map(int, layer)) for layer in counts)
    except (ValueError, TypeError, KeyError) as error:
        return Failure(repr(error))
    if [len(layer) for layer in decoded] != [experts] * layers:
        return Failure("counts of another shape")
    return Success(decoded)


def _optional(value: Any) -> int | None:
    return None if value is None else int(value)
