"""Parsing of callers' HTTP requests: path, headers, key and deadline."""

import uuid
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.decisions.calls import CallRequest
from mintsaddle.fleet import Fleet, Service
from mintsaddle.values import Instant, OrderKey, parse_key, read_digits, stable_hash

MAX_BODY_BYTES = 8 * 1_048_576
"""Maximum size of a request body in bytes."""

_PREFIX_BYTES = 512
_MAX_PRIORITY = 9


class Problem(NamedTuple):
    """Why a request is rejected before it runs."""

    status: str
    text: str


class Target(NamedTuple):
    """The service that a request path addresses."""

    service: Service
    wants_key: bool
    """Whether the request asks for a new idempotency key."""


def read_target(environ: Mapping[str, Any], fleet: Fleet) -> Result[Target, Problem]:
    """Return the service that the path addresses."""
    path = str(environ.get("PATH_INFO", ""))
    name, _, rest = path.lstrip("/").partition("/")
    service = fleet.services.get(name)
    if service is None:
        known = " ".join(sorted(fleet.services))
        text = f"path: there is no service '{name}'; the services are: {known}"
        return Failure(Problem("404 Not Found", text))
    wants_key = rest == "keys" and environ.get("REQUEST_METHOD") == "POST"
    return Success(Target(service, wants_key and not service.repeatable))


def read_request(
    environ: Mapping[str, Any],
    fleet: Fleet,
    service: Service,
    now: Instant,
    body: bytes,
) -> Result[CallRequest, Problem]:
    """Return the parsed request, or a problem that lists all header errors."""
    problems: list[str] = []
    workspace = _read_workspace(environ, fleet, service, problems)
    deadline = _read_deadline(environ, service, now, problems)
    priority = _read_priority(environ, problems)
    key = _read_key(environ, service, problems)
    if problems:
        return Failure(Problem("400 Bad Request", "; ".join(problems)))
    prefix = body[:_PREFIX_BYTES].decode(errors="replace")
    return Success(
        CallRequest(
            # Never the caller's own ID: if two callers sent the same one, an
            # endpoint daemon would treat the second as a duplicate message.
            request_id=str(uuid.uuid4()),
            service=service,
            workspace=workspace,
            priority=priority,
            deadline=deadline,
            prefix=f"{stable_hash(prefix):x}" if service.repeatable else "",
            key=key,
        )
    )


def _read_workspace(
    environ: Mapping[str, Any], fleet: Fleet, service: Service, problems: list[str]
) -> str:
    name = str(environ.get("HTTP_WORKSPACE", ""))
    workspace = fleet.workspaces.get(name)
    if workspace is None:
        problems.append(f"Workspace: '{name}' is not in the fleet text")
    elif service.name not in workspace.services:
        problems.append(f"Workspace: '{name}' may not call '{service.name}'")
    return name


def _read_deadline(
    environ: Mapping[str, Any], service: Service, now: Instant, problems: list[str]
) -> Instant:
    """Return the deadline from ``Deadline`` (absolute) or ``Timeout``."""
    for header, base in (("Deadline", 0.0), ("Timeout", now)):
        text = environ.get(f"HTTP_{header.upper()}")
        if text is None:
            continue
        try:
            deadline = base + float(text)
        except ValueError:
            problems.append(f"{header}: '{text}' is not a number of seconds")
            return now
        # A caller can shorten the service's time limit, not extend it. NaN
        # differs from itself and is rejected below.
        if deadline == deadline:
            return min(deadline, now + service.longest)
        problems.append(f"{header}: '{text}' is not a number of seconds")
    return now + service.longest


def _read_priority(environ: Mapping[str, Any], problems: list[str]) -> int:
    text = str(environ.get("HTTP_PRIORITY", "0"))
    priority = read_digits(text)
    if priority is not None and priority <= _MAX_PRIORITY:
        return priority
    problems.append(f"Priority: '{text}' is not a number from 0 to {_MAX_PRIORITY}")
    return 0


def _read_key(
    environ: Mapping[str, Any], service: Service, problems: list[str]
) -> OrderKey | None:
    text = environ.get("HTTP_IDEMPOTENCY_KEY")
    if text is None or service.repeatable:
        return None
    parsed = parse_key(str(text))
    if isinstance(parsed, Failure):
        problems.append(f"Idempotency-Key: {parsed.failure()}")
        return None
    return parsed.unwrap()
