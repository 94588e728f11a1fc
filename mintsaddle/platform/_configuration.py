"""Decoding of the operator's configuration into a routing table."""

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from mintsaddle.decisions.direct import (
    CallerLimits,
    Destination,
    DirectService,
    ExpertLayout,
    KeyHolder,
    Repeat,
    Route,
    RoutingTable,
    StepModel,
)
from mintsaddle.values import DECODING_ERRORS, MILLISECONDS, load_json, read_finite

_STREAMING = "streaming"
_IDEMPOTENT = "idempotent"
_BITS_PER_BYTE = 8
_KILO = 1000


def decode_table(value: bytes) -> Result[RoutingTable, str]:
    """Return the routing table in a published configuration.

    An invalid configuration is a failure; the caller keeps the current table.
    """
    try:
        return Success(_decode_configuration(load_json(value)))
    except DECODING_ERRORS as error:
        return Failure(f"{type(error).__name__}: {error}")


def _decode_configuration(values: Mapping[str, Any]) -> RoutingTable:
    hosts: dict[str, list[Route]] = defaultdict(list)
    for entry in values["routes"]:
        route = _decode_route(entry)
        hosts[route.host].append(route)
    return RoutingTable(
        version=int(values["version"]),
        hosts={
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in hosts.items()
        },
        services={
            service.name: service
            for service in map(_decode_service, values["services"])
        },
        limits=_decode_limits(values.get("limits") or {}),
        keys=_decode_keys(values.get("tenants")),
    )


def _decode_route(values: Mapping[str, Any]) -> Route:
    # A route has either one service or several with weights.
    weighted = values.get("weighted_backends")
    if weighted:
        destinations = tuple(
            Destination(str(entry["service"]), read_finite(entry["weight"]))
            for entry in weighted
            if read_finite(entry["weight"]) > 0
        )
    else:
        destinations = (Destination(str(values["service"]), 1.0),)
    kind = values["kind"]
    return Route(
        name=str(values["name"]),
        host=str(values["host"]).lower(),
        prefix=str(values["prefix"]),
        repeat=_decode_repeat(kind, bool(values.get("stream_resume"))),
        is_stream=kind == _STREAMING,
        timeout=read_finite(values["timeout_ms"]) / MILLISECONDS,
        objective=read_finite(values.get("target_latency_ms") or 0) / MILLISECONDS,
        longest_pause=read_finite(values.get("gap_aim_ms") or 0) / MILLISECONDS,
        priority=int(values.get("priority") or 0),
        destinations=destinations,
        max_attempts=max(1, int(values.get("max_attempts") or 1)),
        allows_anonymous=bool(values.get("allow_anonymous")),
    )


def _decode_repeat(kind: str, is_resumable: bool) -> Repeat:
    if kind == _IDEMPOTENT:
        return Repeat.IDEMPOTENT
    if kind == _STREAMING and is_resumable:
        return Repeat.RESUMABLE
    # Requests of an unknown kind are never repeated, which is always safe.
    return Repeat.ONCE


def _decode_service(values: Mapping[str, Any]) -> DirectService:
    return DirectService(
        name=str(values["name"]),
        health_path=str(values.get("health_path") or "/health"),
        max_connections=int(values.get("max_connections") or 0),
        cold_rate=read_finite(values.get("cold_per_s") or 0),
        is_engine=isinstance(values.get("engine"), dict),
        cold_seconds=read_finite(values.get("cold_start_s") or 0),
        experts=_decode_experts(values.get("engine") or {}),
        steps=_decode_steps(values.get("engine") or {}),
    )


def _decode_steps(engine: Mapping[str, Any]) -> StepModel | None:
    if not engine.get("step_ms"):
        return None
    usual = engine.get("usual") or {}
    # On average, half of the response has been generated.
    answer = read_finite(usual.get("answer") or 0) / 2
    context = read_finite(usual.get("prompt") or 0) + answer
    per_context = read_finite(engine.get("context_per_k") or 0) * context / _KILO
    per_request = read_finite(engine.get("per_seq_ms") or 0) + per_context
    return StepModel(
        token_seconds=read_finite(engine["step_ms"]) / MILLISECONDS,
        request_seconds=read_finite(per_request / MILLISECONDS),
        tokens=max(1, int(engine.get("stride") or 1)),
    )


def _decode_experts(engine: Mapping[str, Any]) -> ExpertLayout | None:
    if not engine.get("experts"):
        return None
    megabits = read_finite(engine.get("expert_mb") or 0) * _BITS_PER_BYTE
    link = read_finite(engine.get("link_mbps") or 0)
    return ExpertLayout(
        # The platform calls a layer a set.
        layers=int(engine["sets"]),
        experts=int(engine["experts"]),
        max_experts=int(engine["places"]),
        # The platform's "spare" limits the experts that one map may add.
        max_new_experts=int(engine["spare"]),
        load_seconds=read_finite(megabits / link) if link > 0 else 0.0,
    )


def _decode_limits(values: Mapping[str, Any]) -> CallerLimits:
    header_ms = read_finite(values.get("header_timeout_ms") or 3000)
    idle_ms = read_finite(values.get("idle_timeout_ms") or 15_000)
    return CallerLimits(
        header_bytes=int(values.get("max_header_bytes") or 16_384),
        body_bytes=int(values.get("max_body_bytes") or 4_194_304),
        header_seconds=header_ms / MILLISECONDS,
        idle_seconds=idle_ms / MILLISECONDS,
    )


def _decode_keys(tenants: Any) -> dict[str, KeyHolder] | None:
    # The platform calls a workspace a tenant. Without a list, no keys are
    # needed.
    if not tenants:
        return None
    keys: dict[str, KeyHolder] = {}
    for entry in tenants:
        priority = entry.get("priority")
        holder = KeyHolder(
            str(entry["name"]), None if priority is None else int(priority)
        )
        for key in entry.get("api_keys") or ():
            keys[str(key)] = holder
    return keys
