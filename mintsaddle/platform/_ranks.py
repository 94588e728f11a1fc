"""A rank's engine: its reports, counts and orders, in the product's types."""

import http.client
import json
from typing import Any

from returns.result import Failure, Result, Success

from mintsaddle.decisions.expert_maps import MapOrder, OrderAct, RankReport, Verdict

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
_VERDICTS = {200: Verdict.DONE, 202: Verdict.BEGUN, 409: Verdict.REFUSED}


def read_rank_report(address: str, rank: int) -> Result[RankReport, str]:
    """Return what a rank's engine says of itself."""
    match _call(address, "GET", _REPORT_PATH):
        case Success((200, body)):
            return _decode_report(body, rank)
        case Success((status, _)):
            return Failure(f"status {status}")
        case Failure(problem):
            return Failure(problem)
    raise AssertionError("a result is a success or a failure")


def read_expert_counts(
    address: str, layers: int, experts: int
) -> Result[tuple[tuple[int, ...], ...], str]:
    """Return how often a rank's requests chose each expert since its start."""
    match _call(address, "GET", _COUNTS_PATH):
        case Success((200, body)):
            return _decode_counts(body, layers, experts)
        case Success((status, _)):
            return Failure(f"status {status}")
        case Failure(problem):
            return Failure(problem)
    raise AssertionError("a result is a success or a failure")


def read_rank_experts(address: str) -> Result[tuple[tuple[int, ...], ...], str]:
    """Return the experts that a rank holds by the map in use, by layer."""
    match _call(address, "GET", f"{_COUNTS_PATH}?lists=1"):
        case Success((200, body)):
            try:
                # The platform's set is our layer.
                experts = json.loads(body)["map"]["experts"]
                return Success(tuple(tuple(map(int, layer)) for layer in experts))
            except (ValueError, TypeError, KeyError) as error:
                return Failure(repr(error))
        case Success((status, _)):
            return Failure(f"status {status}")
        case Failure(problem):
            return Failure(problem)
    raise AssertionError("a result is a success or a failure")


def send_map_order(address: str, order: MapOrder) -> Verdict:
    """Give a rank's engine an order; return how it answered."""
    body = json.dumps(_encode_order(order), separators=(",", ":")).encode()
    match _call(address, "POST", _ORDER_PATH, body, ORDER_SECONDS):
        case Success((status, _)):
            # 421 and 503 come from an engine that has nothing of ours.
            return _VERDICTS.get(status, Verdict.REFUSED)
        case _:
            return Verdict.UNKNOWN


def _encode_order(order: MapOrder) -> dict[str, Any]:
    values: dict[str, Any] = {"op": _ACTS[order.act], "epoch": order.epoch}
    if order.act in (OrderAct.PREPARE, OrderAct.ARM, OrderAct.DISARM):
        values["version"] = order.version
    if order.act in (OrderAct.HOLD, OrderAct.ARM, OrderAct.RELEASE):
        values["step"] = order.step
    if order.act is OrderAct.PREPARE:
        values["map"] = order.layers
    return values


def _call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    seconds: float = CALL_SECONDS,
) -> Result[tuple[int, bytes], str]:
    connection = http.client.HTTPConnection(address, timeout=seconds)
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return Success((response.status, response.read(_LARGEST_ANSWER)))
    except (OSError, http.client.HTTPException) as error:
        return Failure(type(error).__name__)
    finally:
        connection.close()


def _decode_report(body: bytes, rank: int) -> Result[RankReport, str]:
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
            )
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Failure(repr(error))


def _decode_counts(
    body: bytes, layers: int, experts: int
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
