"""Selects the endpoint for an attempt from a possibly stale local view."""

from mintsaddle.decisions.routing._commands import (
    clear_backoff,
    record_failed,
    record_finished,
    record_load,
    record_refused,
    record_request,
    record_sent,
    record_turned_away,
    spend_retry,
)
from mintsaddle.decisions.routing._queries import (
    DrawnKey,
    RouteRequest,
    choose_endpoint,
    choose_subset,
    draw_key,
    has_free_capacity,
    may_retry,
)
from mintsaddle.decisions.routing._state import EndpointView, RoutingState

__all__ = [
    "DrawnKey",
    "EndpointView",
    "RouteRequest",
    "RoutingState",
    "choose_endpoint",
    "choose_subset",
    "clear_backoff",
    "draw_key",
    "has_free_capacity",
    "may_retry",
    "record_failed",
    "record_finished",
    "record_load",
    "record_refused",
    "record_request",
    "record_sent",
    "record_turned_away",
    "spend_retry",
]
