"""Records the pauses between the events of relayed streams."""

from collections.abc import Callable

from mintsaddle.decisions.direct import DirectCall, RankAssignment
from mintsaddle.direct._gateway import Gateway
from mintsaddle.values import Instant


def make_pause_recorder(
    gateway: Gateway, call: DirectCall, assignment: RankAssignment | None
) -> Callable[[], None]:
    """Return a function to call at each event of an attempt's stream.

    It does nothing for services without priority levels.

    Args:
        gateway: The entry's shared state.
        call: The stream.
        assignment: The group and rank that generate it, if any.
    """
    with gateway.lock:
        has_levels = call.service in gateway.overload.levels
    if assignment is None or not has_levels:
        return lambda: None
    last_at: Instant | None = None

    def record_event() -> None:
        nonlocal last_at
        now = gateway.now()
        if last_at is not None:
            with gateway.lock:
                gateway.overload.record_pause(
                    call, assignment.group, now - last_at, now
                )
        last_at = now

    return record_event
