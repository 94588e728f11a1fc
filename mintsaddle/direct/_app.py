"""The WSGI application that serves callers of a direct entry."""

import threading
from collections.abc import Iterable, Iterator
from typing import IO, Any, TypeAlias

from mintsaddle.callers import HttpRefusal, RequestBody
from mintsaddle.decisions.direct import DirectCall, GiveUp, KeyHolder, Route
from mintsaddle.decisions.quarantine import extract_features
from mintsaddle.decisions.routing import record_request
from mintsaddle.direct._answers import BufferedAnswer, CallerRequest, StreamAnswer
from mintsaddle.direct._availability import CallerDisconnectedError
from mintsaddle.direct._calls import make_call
from mintsaddle.direct._closing_body import ClosingBody
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._reading import StreamCutError
from mintsaddle.direct._retry_advice import recommend_wait
from mintsaddle.direct._runner import CallRunner
from mintsaddle.direct._screening import Screening
from mintsaddle.direct._timing import StreamTiming
from mintsaddle.direct._watchdog import Watchdog
from mintsaddle.observe import HistogramKey, Measure, fields, make_logger
from mintsaddle.platform import RequestHead, make_refusal
from mintsaddle.values import Instant, Outcome, Reason

StartResponse: TypeAlias = Any
_Environ: TypeAlias = dict[str, Any]

_log = make_logger("calls")


class DirectApp:
    """Turns each caller's HTTP request into a call and serves its answer."""

    def __init__(self, gateway: Gateway, watchdog: Watchdog, max_calls: int) -> None:
        self._gateway = gateway
        self._watchdog = watchdog
        self._max_calls = max_calls
        self._screening = Screening(gateway)
        self._open_calls = 0
        self._lock = threading.Lock()

    @property
    def open_calls(self) -> int:
        """Number of requests that are being served."""
        return self._open_calls

    @property
    def screening(self) -> Screening:
        """Refusals of requests by what their heads say."""
        return self._screening

    def __call__(
        self, environ: _Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        with self._lock:
            self._open_calls += 1
            is_full = self._open_calls > self._max_calls
        try:
            answer = self._answer(environ, start_response, is_full=is_full)
        except BaseException:
            self._record_closed()
            raise
        return ClosingBody(answer, self._record_closed)

    def _record_closed(self) -> None:
        with self._lock:
            self._open_calls -= 1

    def _answer(
        self, environ: _Environ, start_response: StartResponse, *, is_full: bool
    ) -> Iterable[bytes]:
        arrived_at = self._gateway.now()
        checked = self._screening.check(environ, is_full=is_full)
        if isinstance(checked, HttpRefusal):
            length = ("Content-Length", str(len(checked.body)))
            start_response(checked.status, [*checked.headers, length])
            return [checked.body] if checked.body else ()
        head, target, route, holder = checked
        body = _read_parts(environ["wsgi.input"])
        call = self._make_call(head, route, holder, arrived_at)
        request = CallerRequest(environ, environ["REQUEST_METHOD"], target, body)
        features = extract_features(
            call.parts, call.workspace, request.method, target, body
        )
        call = call._replace(features=features)
        return self._run(environ, start_response, call, request)

    def _make_call(
        self, head: RequestHead, route: Route, holder: KeyHolder, arrived_at: Instant
    ) -> DirectCall:
        # Deadlines beyond the route's timeout are capped before they are
        # recorded: a few of them would make all other callers look like ones
        # that retry.
        left = route.timeout
        if head.seconds_left is not None:
            left = min(left, head.seconds_left)
        deadlines = self._gateway.deadlines
        with self._gateway.lock:
            deadlines.note(route.name, left)
            is_returning = deadlines.is_returning(route.name, left)
        # A request that is retried after a refusal is late on arrival.
        due_at = arrived_at if is_returning else arrived_at + route.objective
        return make_call(head, route, holder, arrived_at, due_at)

    def _run(
        self,
        environ: _Environ,
        start_response: StartResponse,
        call: DirectCall,
        request: CallerRequest,
    ) -> Iterable[bytes]:
        gateway = self._gateway
        with gateway.lock:
            record_request(gateway.routing)
        is_disconnected = environ["waitress.client_disconnected"]
        runner = CallRunner(gateway, self._watchdog, call, request, is_disconnected)
        try:
            answer = runner.run()
        except CallerDisconnectedError:
            self._log_end(runner.call, "caller-left", 0)
            start_response("499 Client Closed Request", [])
            return ()
        match answer:
            case BufferedAnswer(status, headers, body):
                self._record(call, Measure.TIME_TO_FIRST_BYTE)
                self._record(call, Measure.TOTAL_TIME)
                self._log_end(runner.call, "answered", status)
                length = ("Content-Length", str(len(body)))
                try:
                    start_response(f"{status} From endpoint", [*headers, length])
                except BaseException:
                    body.close()
                    raise
                return body
            case StreamAnswer(status, headers, events):
                start_response(f"{status} From endpoint", headers)
                return self._stream(runner, events)
            case GiveUp(outcome, reason):
                return self._give_up(start_response, runner.call, outcome, reason)
        raise AssertionError("unexpected type of answer")

    def _stream(self, runner: CallRunner, events: Iterator[bytes]) -> Iterator[bytes]:
        ending = "caller-left"
        timing = StreamTiming(runner.call.arrived_at)
        try:
            for data in events:
                if timing.first is None:
                    self._record(runner.call, Measure.TIME_TO_FIRST_BYTE)
                timing.record_event(self._gateway.now())
                yield data
            ending = "streamed"
            if timing.is_late(runner.call.route):
                self._gateway.metrics.count("streams_late")
        except StreamCutError:
            # Re-raised, so that the server closes the connection without the
            # last chunk and a truncated stream can't look complete.
            ending = "cut"
            raise
        finally:
            self._record(runner.call, Measure.TOTAL_TIME)
            self._log_end(runner.call, ending, 200, timing)

    def _give_up(
        self,
        start_response: StartResponse,
        call: DirectCall,
        outcome: Outcome,
        reason: Reason,
    ) -> Iterable[bytes]:
        self._log_end(call, f"{outcome.value}:{reason.value}", 0)
        self._gateway.metrics.count(f"given_up_{reason.value}")
        left = call.deadline - self._gateway.now()
        retry_after = recommend_wait(self._gateway, left, reason, call.service, call)
        status, headers = make_refusal(outcome, reason, call.request_id, retry_after)
        start_response(status, [*headers, ("Content-Length", "0")])
        return ()

    def _record(self, call: DirectCall, measure: Measure) -> None:
        key = HistogramKey(call.workspace or "none", call.route.name, measure)
        self._gateway.metrics.record(key, self._gateway.now() - call.arrived_at)

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


def _read_parts(body: RequestBody | IO[bytes]) -> list[bytes | bytearray | memoryview]:
    """Return a body in parts, without a copy where the server keeps it."""
    if isinstance(body, RequestBody):
        return body.parts()
    return [whole] if (whole := body.read()) else []
