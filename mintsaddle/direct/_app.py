"""The WSGI application that callers of a direct entry reach."""

import threading
from collections.abc import Iterable, Iterator
from typing import Any, TypeAlias

from mintsaddle.decisions.direct import (
    DirectCall,
    GiveUp,
    KeyHolder,
    Route,
    advise_retry,
    match_route,
)
from mintsaddle.decisions.routing import record_request
from mintsaddle.direct._answers import CallerMessage, StreamAnswer, WholeAnswer
from mintsaddle.direct._calls import find_holder, make_call
from mintsaddle.direct._choice import CallerLeftError
from mintsaddle.direct._exchange import StreamCutError
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._runner import CallRunner
from mintsaddle.direct._timing import StreamTiming
from mintsaddle.direct._watchdog import Watchdog
from mintsaddle.observe import HistogramName, Measure, fields, make_logger
from mintsaddle.platform import RequestHead, make_refusal, read_request_head
from mintsaddle.values import Instant, Outcome, Reason

StartResponse: TypeAlias = Any
_Environ: TypeAlias = dict[str, Any]

BELIEF_SECONDS = 4.0
"""Seconds for which the table is trusted to say that a key or route doesn't
exist; a watch that is well confirms it every 2.5 s."""

_SECONDS_UNKNOWN = 3.0
"""Seconds that a caller is taken to wait if it doesn't say."""

_ROOM_USUALLY = 0.5
"""Seconds until there is room after most refusals: a stream ends every 0.3 s
on a dozen engines of six places."""

_ROOM_SECONDS = {
    # A lost rank is away for seconds; the group then forms in 0.6 s.
    Reason.GROUP_DOWN: 4.0,
    # Endpoints of a service without any take over a second to announce.
    Reason.NO_ENDPOINT: 1.5,
}

_log = make_logger("calls")


class DirectApp:
    """Turns each caller's HTTP request into a call and its answer."""

    def __init__(self, gateway: Gateway, watchdog: Watchdog, most_calls: int) -> None:
        self._gateway = gateway
        self._watchdog = watchdog
        self._most_calls = most_calls
        self._open = 0
        self._lock = threading.Lock()

    @property
    def open_calls(self) -> int:
        """Callers that are being answered."""
        return self._open

    def __call__(self, environ: _Environ, start: StartResponse) -> Iterable[bytes]:
        with self._lock:
            self._open += 1
            is_full = self._open > self._most_calls
        answer = self._answer(environ, start, is_full=is_full)
        return _Closing(answer, self._leave)

    def _leave(self) -> None:
        with self._lock:
            self._open -= 1

    def _answer(
        self, environ: _Environ, start: StartResponse, *, is_full: bool
    ) -> Iterable[bytes]:
        arrived_at = self._gateway.now()
        head = read_request_head(environ)
        table = self._gateway.directory.table
        if table is None:
            return self._refuse(start, head, Reason.BEHIND)
        if is_full:
            return self._refuse(start, head, Reason.FULL)
        target = str(environ.get("REQUEST_URI") or environ["PATH_INFO"])
        host = str(environ.get("HTTP_HOST", ""))
        route = match_route(table, host, target.partition("?")[0])
        if route is None:
            return self._deny(start, head, "404 Not Found", "no-route")
        holder = find_holder(table, route, head)
        if holder is None:
            return self._deny(start, head, "401 Unauthorized", "no-key")
        if not head.request_id:
            start("400 Bad Request", [])
            return ()
        body = environ["wsgi.input"].read()
        call = self._make_call(head, route, holder, arrived_at)
        message = CallerMessage(environ, environ["REQUEST_METHOD"], target, body)
        return self._run(environ, start, call, message)

    def _make_call(
        self, head: RequestHead, route: Route, holder: KeyHolder, arrived_at: Instant
    ) -> DirectCall:
        # A few callers that bring more than the operator allows would make all
        # others look as if they had come back.
        left = route.timeout
        if head.seconds_left is not None:
            left = min(left, head.seconds_left)
        deadlines = self._gateway.deadlines
        with self._gateway.lock:
            deadlines.note(route.name, left)
            is_returning = deadlines.is_returning(route.name, left)
        # What is asked again after a refusal is late at its arrival.
        due_at = arrived_at if is_returning else arrived_at + route.objective
        return make_call(head, route, holder, arrived_at, due_at)

    def _run(
        self,
        environ: _Environ,
        start: StartResponse,
        call: DirectCall,
        message: CallerMessage,
    ) -> Iterable[bytes]:
        gateway = self._gateway
        with gateway.lock:
            record_request(gateway.routing)
        is_gone = environ["waitress.client_disconnected"]
        runner = CallRunner(gateway, self._watchdog, call, message, is_gone)
        try:
            answer = runner.run()
        except CallerLeftError:
            self._log_end(runner.call, "caller-left", 0)
            start("499 Client Closed Request", [])
            return ()
        match answer:
            case WholeAnswer(status, headers, body):
                self._record(call, Measure.FIRST)
                self._record(call, Measure.WHOLE)
                self._log_end(runner.call, "answered", status)
                length = ("Content-Length", str(len(body)))
                start(f"{status} From endpoint", [*headers, length])
                return [body]
            case StreamAnswer(status, headers, events):
                start(f"{status} From endpoint", headers)
                return self._stream(runner, events)
            case GiveUp(outcome, reason):
                return self._end(start, runner.call, outcome, reason)
        raise AssertionError("an answer is whole, a stream or an end")

    def _stream(self, runner: CallRunner, events: Iterator[bytes]) -> Iterator[bytes]:
        ending = "caller-left"
        timing = StreamTiming(runner.call.arrived_at)
        try:
            for data in events:
                if timing.first is None:
                    self._record(runner.call, Measure.FIRST)
                timing.record_event(self._gateway.now())
                yield data
            ending = "streamed"
            if timing.is_late(runner.call.route):
                self._gateway.metrics.count("streams_late")
        except StreamCutError:
            # Raised on: the server then closes the connection without the
            # last chunk, so a cut stream can't look complete.
            ending = "cut"
            raise
        finally:
            self._record(runner.call, Measure.WHOLE)
            self._log_end(runner.call, ending, 200, timing)

    def _end(
        self, start: StartResponse, call: DirectCall, outcome: Outcome, reason: Reason
    ) -> Iterable[bytes]:
        self._log_end(call, f"{outcome.value}:{reason.value}", 0)
        left = call.deadline - self._gateway.now()
        retry_after = self._advise(left, reason, call.service)
        status, headers = make_refusal(outcome, reason, call.request_id, retry_after)
        start(status, [*headers, ("Content-Length", "0")])
        return ()

    def _refuse(
        self, start: StartResponse, head: RequestHead, reason: Reason
    ) -> Iterable[bytes]:
        """Refuse a request that went nowhere."""
        self._gateway.metrics.count(f"refused_{reason.value}")
        _log.info(
            "Refused %s.", fields(request=head.request_id or "-", reason=reason.value)
        )
        left = head.seconds_left or _SECONDS_UNKNOWN
        retry_after = self._advise(left, reason)
        status, headers = make_refusal(
            Outcome.NOT_RUN, reason, head.request_id, retry_after
        )
        start(status, [*headers, ("Content-Length", "0")])
        return ()

    def _deny(
        self, start: StartResponse, head: RequestHead, status: str, why: str
    ) -> Iterable[bytes]:
        """Deny what the table doesn't allow, if the table is known to be new.

        Guards against a permanent answer from an entry that is cut off: a key
        or route may have been added since, and 401 and 404 aren't retried.
        """
        if not self._gateway.is_fresh(BELIEF_SECONDS):
            return self._refuse(start, head, Reason.BEHIND)
        table = self._gateway.directory.table
        version = table.version if table else 0
        self._gateway.metrics.count(f"denied_{why}")
        _log.info(
            "Denied %s.",
            fields(request=head.request_id or "-", why=why, version=version),
        )
        start(status, [("Content-Length", "0")])
        return ()

    def _advise(self, seconds_left: float, reason: Reason, service: str = "") -> float:
        gateway = self._gateway
        wished = _ROOM_SECONDS.get(reason, _ROOM_USUALLY)
        if reason is Reason.RATE_LIMITED:
            permit_at = gateway.next_permit_at(service)
            if permit_at is not None:
                wished = permit_at - gateway.now()
        if reason is Reason.ISOLATED:
            wished = max(_ROOM_USUALLY, gateway.reach.failover_seconds_left)
        with gateway.lock:
            return advise_retry(seconds_left, wished, gateway.rng)

    def _record(self, call: DirectCall, measure: Measure) -> None:
        name = HistogramName(call.workspace or "none", call.route.name, measure)
        self._gateway.metrics.record(name, self._gateway.now() - call.arrived_at)

    def _log_end(
        self,
        call: DirectCall,
        ending: str,
        status: int,
        timing: StreamTiming | None = None,
    ) -> None:
        self._gateway.metrics.count(f"ended_{ending.partition(':')[0]}")
        _log.info(
            "Ended %s.",
            fields(
                request=call.request_id,
                route=call.route.name,
                service=call.service,
                workspace=call.workspace or "-",
                ending=ending,
                status=status,
                sends=call.sends,
                last_event=call.last_event,
                seconds=self._gateway.now() - call.arrived_at,
                first=timing.first if timing else None,
                longest_pause=timing.longest_pause if timing else None,
            ),
        )


class _Closing:
    """An answer's body; says so once the server is done with it."""

    def __init__(self, body: Iterable[bytes], on_close: Any) -> None:
        self._body = body
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """End the body and what it is read from; called by the server."""
        try:
            close = getattr(self._body, "close", None)
            if close is not None:
                close()
        finally:
            self._on_close()
