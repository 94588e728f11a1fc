"""Answers to requests that the server for callers refuses."""

import json
from collections.abc import Mapping

from mintsaddle.callers import STATUS_LINES, HttpRefusal, RequestFault
from mintsaddle.entry._answers import JSON_TYPE
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Outcome

_RETRY_AFTER_SECONDS = 1
_RETRIED_STATUS = "503"
_log = make_logger("entry")


def refuse_fault(fault: RequestFault, headers: Mapping[str, str]) -> HttpRefusal:
    """Refuse a request that has not arrived completely.

    It isn't reported as not run if it has a key, or may have one: an earlier
    attempt with that key may have reached its home through another entry.

    Args:
        fault: Why it is refused.
        headers: Its headers in their WSGI form, as far as they are known.
    """
    _log.info("Refused a request %s.", fields(reason=fault.value))
    may_have_key = not headers or "HTTP_IDEMPOTENCY_KEY" in headers
    outcome = Outcome.ASK_AGAIN if may_have_key else Outcome.NOT_RUN
    status = STATUS_LINES[fault]
    sent = [("Content-Type", JSON_TYPE), ("Mintsaddle-Outcome", outcome.value)]
    if status.startswith(_RETRIED_STATUS):
        sent.append(("Retry-After", str(_RETRY_AFTER_SECONDS)))
    body = json.dumps({"outcome": outcome.value, "problem": fault.value}).encode()
    return HttpRefusal(status, sent, body)
