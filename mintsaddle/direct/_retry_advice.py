"""When callers whose requests aren't served should come back."""

from mintsaddle.decisions.direct import DirectCall, advise_retry
from mintsaddle.direct._gateway import Gateway
from mintsaddle.values import Reason

_USUAL_RETRY_SECONDS = 0.5
"""Seconds until a slot is free after most refusals: a stream ends every 0.3 s
on a dozen engines of six slots."""

_RETRY_SECONDS = {
    # A lost rank is away for seconds; then the group re-forms in 0.6 s.
    Reason.GROUP_DOWN: 4.0,
    # The first endpoint of a service takes over a second to announce itself.
    Reason.NO_ENDPOINT: 1.5,
    # Other entries serve the caller.
    Reason.LEAVING: 0.1,
    # A trial ends once an engine has survived for a second.
    Reason.ON_TRIAL: 1.0,
}


def recommend_wait(
    gateway: Gateway,
    seconds_left: float,
    reason: Reason,
    service: str = "",
    call: DirectCall | None = None,
) -> float:
    """Return after how many seconds a caller should come back.

    Args:
        gateway: The entry's shared state.
        seconds_left: Seconds until the caller's deadline.
        reason: Why the request isn't served.
        service: The service, if the request has one.
        call: The call, if the request became one.
    """
    preferred = _RETRY_SECONDS.get(reason, _USUAL_RETRY_SECONDS)
    if call is not None and reason is Reason.FULL:
        with gateway.lock:
            now = gateway.now()
            expected_at = gateway.overload.expected_at(call, now)
        preferred = expected_at - now if expected_at is not None else preferred
    opens_at = gateway.first_wait_end(service)
    if reason is Reason.RATE_LIMITED:
        opens_at = opens_at or gateway.next_permit_at(service)
    if opens_at is not None:
        preferred = opens_at - gateway.now()
    if reason is Reason.QUARANTINED and call is not None:
        return _seconds_quarantined(gateway, call)
    if reason is Reason.ISOLATED:
        preferred = max(_USUAL_RETRY_SECONDS, gateway.reach.failover_seconds_left)
    with gateway.lock:
        return advise_retry(
            seconds_left, preferred, gateway.rng, is_minimum=opens_at is not None
        )


def _seconds_quarantined(gateway: Gateway, call: DirectCall) -> float:
    """Return after how many seconds the features of a call are tried again."""
    until = gateway.quarantine.judge(call.features).quarantined_until
    return max(0.0, (until or 0.0) - gateway.now())
