"""Calls to a rank's engine: reports, expert counts and map orders."""

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
from mintsaddle.engines import BoundedConnection
from mintsaddle.rank_agent import NO_RESPONSE, RankCall, RankResponse
from mintsaddle.values import DECODING_ERRORS, load_json, read_finite

CALL_TIMEOUT_SECONDS = 0.4
"""Timeout for an engine's response. Such a call occupies no slot of the
engine; a round trip takes 2 ms and a step up to 0.15 s."""

ORDER_TIMEOUT_SECONDS = 0.12
"""Timeout for the response to an order, for which a group may be waiting. Most
responses take up to 5 ms and the slowest 45 ms. A later one counts as lost,
and the order, which is idempotent, is sent again."""

_REPORT_PATH = "/mintsaddle/report"
_COUNTS_PATH = "/mintsaddle/picked"
_ORDER_PATH = "/mintsaddle/order"
_MAX_RESPONSE_BYTES = 1_048_576
_OPERATIONS = {
    OrderAct.PREPARE: "prepare",
    OrderAct.HOLD: "hold",
    OrderAct.ARM: "arm",
    OrderAct.DISARM: "disarm",
    # The platform's name for starting a held step.
    OrderAct.RELEASE: "go",
}
_ORDER_OUTCOMES = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.BEGUN,
    409: OrderOutcome.REFUSED,
}


def report_call() -> RankCall:
    """Return the call that requests the report of a rank's engine."""
    return RankCall("GET", _REPORT_PATH)


def decode_rank_report(response: RankResponse, rank: int) -> Result[RankReport, str]:
    """Return the report of a rank's engine.

    Args:
        response: The response to a ``report_call``.
        rank: The rank that was called.
    """
    return _check_status(response).bind(lambda body: _decode_report(body, rank))


def counts_call() -> RankCall:
    """Return the call that requests how often experts were chosen."""
    return RankCall("GET", _COUNTS_PATH)


def decode_expert_counts(
    response: RankResponse, layers: int, experts: int
) -> Result[tuple[tuple[int, ...], ...], str]:
    """Return how often each expert was chosen since the rank's start."""
    decoded = _check_status(response)
    return decoded.bind(lambda body: _decode_counts(body, layers, experts))


def experts_call() -> RankCall:
    """Return the call that requests which experts a rank holds."""
    return RankCall("GET", f"{_COUNTS_PATH}?lists=1")


def decode_rank_experts(
    response: RankResponse,
) -> Result[tuple[tuple[int, ...], ...], str]:
    """Return the experts of each layer in the rank's active map."""
    return _check_status(response).bind(_decode_experts)


def order_call(order: MapOrder) -> RankCall:
    """Return the call that sends an order to a rank's engine."""
    body = json.dumps(_encode_order(order), separators=(",", ":"))
    return RankCall("POST", _ORDER_PATH, body)


def decode_order_outcome(response: RankResponse) -> OrderOutcome:
    """Return the outcome of an order from the engine's response."""
    if response.status == NO_RESPONSE.status:
        return OrderOutcome.UNKNOWN
    # 421 and 503 come from an engine that holds no maps or orders of entries.
    return _ORDER_OUTCOMES.get(response.status, OrderOutcome.REFUSED)


def call_rank(address: str, call: RankCall) -> RankResponse:
    """Call a rank's engine over the network, on a new connection."""
    timeout_seconds = ORDER_TIMEOUT_SECONDS if call.body else CALL_TIMEOUT_SECONDS
    connection = BoundedConnection(address, timeout=timeout_seconds)
    headers = {"Content-Type": "application/json"} if call.body else {}
    try:
        body = call.body.encode() or None
        connection.request(call.method, call.path, body, headers)
        response = connection.getresponse()
        text = response.read(_MAX_RESPONSE_BYTES).decode(errors="replace")
    except (OSError, http.client.HTTPException):
        # The caller logs the missing response and retries.
        return NO_RESPONSE
    finally:
        connection.close()
    return RankResponse(response.status, text)


def _encode_order(order: MapOrder) -> dict[str, Any]:
    values: dict[str, Any] = {"op": _OPERATIONS[order.act], "epoch": order.epoch}
    if order.act in (OrderAct.PREPARE, OrderAct.ARM, OrderAct.DISARM):
        values["version"] = order.version
    if order.act in (OrderAct.HOLD, OrderAct.ARM, OrderAct.RELEASE):
        values["step"] = order.step
    if order.act is OrderAct.PREPARE:
        values["map"] = order.layers
    return values


def _check_status(response: RankResponse) -> Result[str, str]:
    if response.status == NO_RESPONSE.status:
        return Failure("no answer")
    if response.status != http.client.OK:
        return Failure(f"status {response.status}")
    return Success(response.body)


def _decode_report(body: str, rank: int) -> Result[RankReport, str]:
    try:
        values = load_json(body)
        group = values["group"]
        armed = values.get("armed")
        # Either the version alone, or an object that also contains the step.
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
                prepared=_decode_optional(values.get("prepared")),
                armed=_decode_optional(armed),
                held=_decode_optional(values.get("held")),
                # The platform's "pace" is higher for a slower engine.
                slowness=read_finite(values.get("pace") or 1.0),
                queued=int(values.get("queue_depth") or 0),
            )
        )
    except DECODING_ERRORS as error:
        return Failure(repr(error))


def _decode_experts(body: str) -> Result[tuple[tuple[int, ...], ...], str]:
    try:
        # The platform calls a layer a set.
        experts = load_json(body)["map"]["experts"]
        return Success(tuple(tuple(map(int, layer)) for layer in experts))
    except DECODING_ERRORS as error:
        return Failure(repr(error))


def _decode_counts(
    body: str, layers: int, experts: int
) -> Result[tuple[tuple[int, ...], ...], str]:
    try:
        counts = load_json(body)["counts"]
        if counts and isinstance(counts[0], int):
            counts = [
                counts[layer * experts : (layer + 1) * experts]
                for layer in range(layers)
            ]
        decoded = tuple(tuple(map(int, layer)) for layer in counts)
    except DECODING_ERRORS as error:
        return Failure(repr(error))
    if [len(layer) for layer in decoded] != [experts] * layers:
        return Failure("counts of another shape")
    return Success(decoded)


def _decode_optional(value: Any) -> int | None:
    return None if value is None else int(value)
