"""What an entry learns from its attempts."""

from collections.abc import Iterable

from mintsaddle.decisions.routing._state import RoutingState
from mintsaddle.values import Boot, Instant, Load, Reason

_FIRST_BLOCK = 0.5
_LONGEST_BLOCK = 30.0
_REFUSED_BLOCK = 1.0
_AWAY_REASONS = frozenset({Reason.LEAVING, Reason.MARKED_OUT, Reason.ENGINE_DOWN})


def record_request(state: RoutingState) -> None:
    """Count a fresh request: it earns a share of a retry.

    Guards against retry storms: when most attempts fail, a count for each
    request multiplies the load by that count; a share of recent requests adds
    at most that share.
    """
    state.replace_budget(min(state.budget_cap, state.budget + state.retry_share))


def spend_retry(state: RoutingState) -> None:
    """Take one retry from the budget."""
    state.replace_budget(state.budget - 1.0)


def record_sent(state: RoutingState, endpoint: str) -> None:
    """Count an attempt that is on its way."""
    view = state.view(endpoint)
    state.replace_view(endpoint, view._replace(sent=view.sent + 1))


def record_finished(state: RoutingState, endpoint: str) -> None:
    """Count an attempt that is over, however it ended."""
    view = state.view(endpoint)
    state.replace_view(endpoint, view._replace(sent=max(0, view.sent - 1)))


def record_load(
    state: RoutingState, endpoint: str, boot: Boot, load: Load, now: Instant
) -> None:
    """Take over the exact load that an endpoint daemon reported."""
    view = state.view(endpoint)
    view = view._replace(
        load=load, load_at=now, sent_at_report=view.sent, boot=boot, failures=0
    )
    if not load.leaving:
        view = view._replace(blocked_until=0.0)
    state.replace_view(endpoint, view)


def record_refused(
    state: RoutingState, endpoint: str, reason: Reason, now: Instant
) -> None:
    """Rest an endpoint that is away; a full one only has its load noted."""
    if reason not in _AWAY_REASONS:
        return
    view = state.view(endpoint)
    state.replace_view(endpoint, view._replace(blocked_until=now + _REFUSED_BLOCK))


def record_failed(state: RoutingState, endpoint: str, now: Instant) -> None:
    """Rest an endpoint that failed or was silent, longer each time.

    It is tried again when its rest is over, so it is never forgotten.
    """
    view = state.view(endpoint)
    rest = min(_LONGEST_BLOCK, _FIRST_BLOCK * 2**view.failures)
    # The daemon may come back as another run, so its boot is forgotten: a key
    # issued to a dead run could only end in doubt.
    view = view._replace(
        failures=view.failures + 1, blocked_until=now + rest, boot=None
    )
    state.replace_view(endpoint, view)


def welcome_back(state: RoutingState, endpoints: Iterable[str]) -> None:
    """End the rest of endpoints that operators have marked in again."""
    for endpoint in endpoints:
        view = state.view(endpoint)
        state.replace_view(endpoint, view._replace(blocked_until=0.0, failures=0))
