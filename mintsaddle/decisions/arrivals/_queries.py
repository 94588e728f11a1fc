"""Read-only queries on an endpoint daemon's state."""

from mintsaddle.decisions.admission import AdmissionRules, describe_load
from mintsaddle.decisions.arrivals._state import EndpointState
from mintsaddle.decisions.configuration import is_out
from mintsaddle.decisions.orders import has_pending_transfers
from mintsaddle.fleet import Fleet
from mintsaddle.values import Instant, Load, Reason

CLOSED_RULES = AdmissionRules(1, 1, 0.0, 1.0, 0.0)
"""Placeholder until the text lists this endpoint; nothing is admitted then."""


def rules_of(fleet: Fleet | None, endpoint: str) -> AdmissionRules:
    """Return an engine's rules: the strictest among the services it serves."""
    services = fleet.services_of(endpoint) if fleet else ()
    if not services:
        return CLOSED_RULES
    return AdmissionRules(
        cold_limit=min(service.cold_limit for service in services),
        limit=min(service.limit for service in services),
        growth=min(service.growth for service in services),
        target=max(service.target for service in services),
        longest_queue=min(service.longest_queue for service in services),
    )


def refusal_reason(state: EndpointState) -> Reason | None:
    """Return why all new requests are refused, or None if they aren't."""
    if state.leaving:
        return Reason.LEAVING
    if is_out(state.configuration, state.vm):
        return Reason.MARKED_OUT
    return None


def may_exit(state: EndpointState, now: Instant) -> bool:
    """Return whether a leaving daemon may exit."""
    if state.arrivals or state.leave_by is None:
        return False
    return now >= state.leave_by or not has_pending_transfers(state.orders)


def describe_endpoint_load(state: EndpointState, now: Instant) -> Load:
    """Return the load that every reply to an entry carries."""
    rules = rules_of(state.configuration.fleet, state.vm)
    leaving = refusal_reason(state) is not None
    return describe_load(state.admission, rules, now, leaving=leaving)
