"""Updates the routing state of an entry from its attempts."""

from collections.abc import Iterable

from mintsaddle.decisions.routing._state import RoutingState
from mintsaddle.values import Boot, Instant, Load, Reason

_MIN_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 30.0
_REFUSED_BACKOFF_SECONDS = 1.0
_MAX_TURNED_AWAY_BACKOFF_SECONDS = 4.0
_UNAVAILABLE_REASONS = frozenset(
    {Reason.LEAVING, Reason.MARKED_OUT, Reason.ENGINE_DOWN}
)


def record_request(state: RoutingState) -> None:
    """Credit the retry budget for a new request.

    This prevents retry storms. If most attempts fail, a fixed number of
    retries per request multiplies the load by that number; a budget earned as
    a share of recent requests adds at most that share.
    """
    state.replace_budget(min(state.budget_cap, state.budget + state.retry_share))


def spend_retry(state: RoutingState) -> None:
    """Take one retry from the budget."""
    state.replace_budget(state.budget - 1.0)


def record_sent(state: RoutingState, endpoint: str) -> None:
    """Count an attempt as in flight."""
    view = state.view(endpoint)
    state.replace_view(endpoint, view._replace(own_in_flight=view.own_in_flight + 1))


def record_finished(state: RoutingState, endpoint: str) -> None:
    """Count an attempt as finished, whatever its result."""
    view = state.view(endpoint)
    state.replace_view(
        endpoint, view._replace(own_in_flight=max(0, view.own_in_flight - 1))
    )


def record_load(
    state: RoutingState,
    endpoint: str,
    boot: Boot,
    load: Load,
    now: Instant,
    *,
    is_refusal: bool = False,
) -> None:
    """Store the load that an endpoint reported, and reset its failures.

    The load on a refusal resets nothing: an endpoint that turns all requests
    away has none and would look best of all.
    """
    view = state.view(endpoint)
    view = view._replace(
        load=load,
        load_at=now,
        own_in_flight_at_report=view.own_in_flight,
        boot=boot,
    )
    if not is_refusal:
        view = view._replace(failures=0)
        if not load.leaving:
            view = view._replace(blocked_until=0.0)
    state.replace_view(endpoint, view)


def record_refused(
    state: RoutingState, endpoint: str, reason: Reason, now: Instant
) -> None:
    """Back off from an unavailable endpoint; a full one is not blocked."""
    if reason not in _UNAVAILABLE_REASONS:
        return
    view = state.view(endpoint)
    state.replace_view(
        endpoint, view._replace(blocked_until=now + _REFUSED_BACKOFF_SECONDS)
    )


def record_failed(state: RoutingState, endpoint: str, now: Instant) -> None:
    """Back off exponentially from an endpoint that failed or did not answer.

    The endpoint is eligible again after the backoff, so it is never excluded
    permanently.
    """
    _back_off(state, endpoint, now, _MAX_BACKOFF_SECONDS)
    # The daemon may restart with another boot number, so the known one is
    # cleared: a key issued for a run that has ended could only end in doubt.
    state.replace_view(endpoint, state.view(endpoint)._replace(boot=None))


def record_turned_away(state: RoutingState, endpoint: str, now: Instant) -> None:
    """Back off from an endpoint that answered that it won't run a request.

    It may serve the next one, and trying it costs little, so the backoff stays
    shorter than after a failure.
    """
    _back_off(state, endpoint, now, _MAX_TURNED_AWAY_BACKOFF_SECONDS)


def _back_off(state: RoutingState, endpoint: str, now: Instant, longest: float) -> None:
    view = state.view(endpoint)
    backoff = min(longest, _MIN_BACKOFF_SECONDS * 2**view.failures)
    view = view._replace(failures=view.failures + 1, blocked_until=now + backoff)
    state.replace_view(endpoint, view)


def clear_backoff(state: RoutingState, endpoints: Iterable[str]) -> None:
    """Clear the backoff of endpoints that operators have marked in again."""
    for endpoint in endpoints:
        view = state.view(endpoint)
        state.replace_view(endpoint, view._replace(blocked_until=0.0, failures=0))
