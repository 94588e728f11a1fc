"""Calls and a variant of the queue that tests of the queue share."""

from mintsaddle.decisions.direct import DirectCall
from mintsaddle.decisions.direct.tests.samples import ROUTE
from mintsaddle.decisions.overload import MAX_CONCURRENT_ATTEMPTS, CallQueue
from mintsaddle.values import Instant

STREAM_ROUTE = ROUTE._replace(is_stream=True, timeout=8.0, objective=0.4)


def make_call(
    request_id: str, arrived_at: Instant, *, is_returning: bool = False
) -> DirectCall:
    """Return a stream; that of a returning caller is due at its arrival."""
    objective = 0.0 if is_returning else STREAM_ROUTE.objective
    return DirectCall(
        request_id,
        STREAM_ROUTE,
        "llm",
        "north",
        arrived_at=arrived_at,
        deadline=arrived_at + STREAM_ROUTE.timeout,
        due_at=arrived_at + objective,
    )


class ArrivalOrderQueue(CallQueue):
    """A permissive queue: its calls attempt placement in order of arrival."""

    def __init__(self, max_calls: int) -> None:
        super().__init__(max_calls)
        self._arrived: list[str] = []

    def enqueue(
        self, call: DirectCall, level: int, now: Instant, *, is_protected: bool = False
    ) -> bool:
        is_accepted = super().enqueue(call, level, now, is_protected=is_protected)
        if is_accepted:
            self._arrived.append(call.request_id)
        return is_accepted

    def remove(self, request_id: str) -> None:
        super().remove(request_id)
        if request_id in self._arrived:
            self._arrived.remove(request_id)

    def may_attempt(self, request_id: str, now: Instant) -> bool:
        waiting = [key for key in self._arrived if not self.is_displaced(key)]
        return request_id in waiting[:MAX_CONCURRENT_ATTEMPTS]
