"""Log lines about calls that are admitted by priority level."""

from collections.abc import Mapping

from mintsaddle.decisions.direct import EngineLoad, is_late
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._levelled_call import LevelledCall
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Instant

_log = make_logger("calls")


def log_over_share(gateway: Gateway, levelled: LevelledCall) -> None:
    """Log that a call counts as less urgent than its level."""
    call = levelled.call
    with gateway.lock:
        share = gateway.overload.workspace_use.share
        shares_age = _shares_age(gateway, gateway.now())
    _log.info(
        "Request over share %s.",
        fields(
            request=call.request_id,
            service=call.service,
            workspace=call.workspace,
            own_level=levelled.levels.level_of(call),
            level=levelled.level,
            late=is_late(call, gateway.now()),
            share=share,
            shares_age=shares_age,
        ),
    )


def log_waiting(gateway: Gateway, levelled: LevelledCall) -> None:
    """Log and count that a call begins to wait; once for each call."""
    if not levelled.wait_state.begin():
        return
    call = levelled.call
    with gateway.lock:
        now = gateway.now()
        queue = gateway.overload.queue(call.service)
        position, waiting = queue.position(levelled.ticket), queue.size
    gateway.metrics.count(f'waited{{level="{levelled.level}"}}')
    _log.info(
        "Request waits %s.",
        fields(
            request=call.request_id,
            service=call.service,
            level=levelled.level,
            late=is_late(call, now),
            position=position,
            waiting=waiting,
            until=levelled.wait_until - now,
        ),
    )


def log_displaced(gateway: Gateway, levelled: LevelledCall) -> None:
    """Log that calls that go first fill the queue."""
    call = levelled.call
    with gateway.lock:
        now = gateway.now()
        waiting = gateway.overload.queue(call.service).size
    _log.info(
        "Request displaced %s.",
        fields(
            request=call.request_id,
            service=call.service,
            level=levelled.level,
            late=is_late(call, now),
            waiting=waiting,
            waited=now - call.arrived_at,
        ),
    )


def log_not_admitted(
    gateway: Gateway,
    levelled: LevelledCall,
    loads: Mapping[str, EngineLoad],
    probed_at: Instant | None,
) -> None:
    """Log the refusal of a call, with the inputs of the decision.

    Args:
        gateway: The entry's shared state.
        levelled: The call.
        loads: Loads that the probed endpoints reported, by name.
        probed_at: When they were probed; None if none was.
    """
    call = levelled.call
    with gateway.lock:
        now = gateway.now()
        expected_at = gateway.overload.expected_at(call, now) or now
        waiting = gateway.overload.queue(call.service).size
        endpoints = gateway.directory.endpoints
        shares_age = _shares_age(gateway, now)
        table = gateway.directory.table
    _log.info(
        "Request not admitted %s.",
        fields(
            request=call.request_id,
            part="levels",
            service=call.service,
            priority="/".join(map(str, levelled.priority)),
            level=levelled.level,
            over_share=levelled.is_over_share,
            late=is_late(call, now),
            probed=len(loads),
            requests=sum(load.requests for load in loads.values()),
            slots=sum(endpoints[name].slots for name in loads if name in endpoints),
            waited=now - call.arrived_at,
            waiting=waiting,
            expected=expected_at - now,
            loads_age=None if probed_at is None else now - probed_at,
            shares_age=shares_age,
            version=table.version if table else 0,
            age=now - gateway.replica.confirmed_at,
        ),
    )


def _shares_age(gateway: Gateway, now: Instant) -> float | None:
    updated_at = gateway.overload.workspace_use.shares_updated_at
    return None if updated_at is None else now - updated_at
