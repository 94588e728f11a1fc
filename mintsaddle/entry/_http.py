"""The WSGI application that serves callers."""

import json
import math
from collections.abc import Iterable, Iterator
from typing import Any, TypeAlias

from returns.result import Failure, Success

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.calls import (
    CallRequest,
    DeliverChunk,
    DeliverHead,
    FinishCall,
)
from mintsaddle.decisions.configuration import is_out
from mintsaddle.decisions.routing import RouteRequest, RoutingState, draw_key
from mintsaddle.engines import EVENT_STREAM
from mintsaddle.entry._answers import (
    JSON_TYPE,
    FinalResult,
    StartResponse,
    key_headers,
    make_final_result,
    respond_with_problem,
    respond_with_result,
    status_line,
)
from mintsaddle.entry._calls import EntryCall, ForwardedRequest, Outbox
from mintsaddle.entry._deliveries import DeliveryReader
from mintsaddle.entry._requests import (
    MAX_BODY_BYTES,
    Problem,
    read_request,
    read_target,
)
from mintsaddle.fleet import Service
from mintsaddle.observe import HistogramKey, Measure, make_logger
from mintsaddle.values import Instant, Outcome, Reason

_Environ: TypeAlias = dict[str, Any]

_log = make_logger("entry")


class EntryApp:
    """Starts a call for each HTTP request and responds with its result."""

    def __init__(self, node: DaemonNode, routing: RoutingState) -> None:
        self._node = node
        self._routing = routing
        self._refuse_after: Instant = math.inf
        self._homes_polled = False
        self._outbox = Outbox(node.loop_thread.loop)
        self._open_calls: set[EntryCall] = set()

    @property
    def open_calls(self) -> int:
        """Number of calls in progress."""
        return len(self._open_calls)

    def mark_homes_polled(self) -> None:
        """Record that the homes were asked for their boot numbers."""
        self._homes_polled = True

    def refuse_after(self, instant: Instant) -> None:
        """Refuse new requests from an instant on."""
        self._refuse_after = instant

    def __call__(
        self, environ: _Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/health":
            return self._respond_health(start_response)
        fleet = self._node.configuration.fleet
        if fleet is None or not self._node.is_serving():
            return self._refuse(start_response, Reason.BEHIND)
        if self._node.now() >= self._refuse_after:
            return self._refuse(start_response, Reason.LEAVING)
        match read_target(environ, fleet):
            case Failure(problem):
                return respond_with_problem(
                    start_response, problem, has_key=_has_key(environ)
                )
            case Success(target):
                if target.wants_key:
                    return self._issue_key(start_response, target.service)
                return self._handle_call(environ, start_response, target.service)
        return ()

    def _respond_health(self, start_response: StartResponse) -> Iterable[bytes]:
        """Tell the HTTP load balancer whether this entry accepts requests."""
        node = self._node
        out = is_out(node.configuration, node.settings.vm)
        ready = node.is_serving() and self._homes_polled
        if ready and not node.leaving and not out:
            start_response("200 OK", [("Content-Type", "text/plain")])
            return [b"serving\n"]
        start_response("503 Service Unavailable", [("Content-Type", "text/plain")])
        return [b"not serving\n"]

    def _refuse(self, start_response: StartResponse, reason: Reason) -> Iterable[bytes]:
        """Refuse a request that this entry hasn't forwarded.

        It isn't reported as not run, because its key may have reached its home
        through another entry.
        """
        retry_at = self._node.now() + 1.0
        result = FinalResult(Outcome.ASK_AGAIN, reason, retry_at, 0, None)
        return respond_with_result(start_response, result, self._node.now())

    def _handle_call(
        self, environ: _Environ, start_response: StartResponse, service: Service
    ) -> Iterable[bytes]:
        body = _read_body(environ)
        if body is None:
            text = f"body: a length of at most {MAX_BODY_BYTES} bytes is needed"
            problem = Problem("413 Content Too Large", text)
            return respond_with_problem(
                start_response, problem, has_key=_has_key(environ)
            )
        fleet = self._node.configuration.fleet
        assert fleet is not None
        now = self._node.now()
        match read_request(environ, fleet, service, now, body):
            case Failure(problem):
                return respond_with_problem(
                    start_response, problem, has_key=_has_key(environ)
                )
            case Success(request):
                return self._run_call(environ, start_response, request, body, now)
        return ()

    def _run_call(
        self,
        environ: _Environ,
        start_response: StartResponse,
        request: CallRequest,
        body: bytes,
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        forwarded = ForwardedRequest(
            str(environ["REQUEST_METHOD"]),
            _forwarded_path(environ),
            str(environ.get("CONTENT_TYPE", "")),
            body,
        )
        call = EntryCall(self._node, self._routing, request, forwarded, self._outbox)
        self._open_calls.add(call)
        post = self._node.loop_thread.post
        post(call.start)
        is_disconnected = environ.get("waitress.client_disconnected", lambda: False)
        reader = DeliveryReader(call, post, is_disconnected, self._open_calls.discard)
        return self._relay(start_response, call, reader, arrived_at)

    def _relay(
        self,
        start_response: StartResponse,
        call: EntryCall,
        reader: "DeliveryReader",
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        first = reader.next_delivery()
        if isinstance(first, DeliverHead):
            if first.content_type.startswith(EVENT_STREAM):
                headers = [
                    ("Content-Type", first.content_type),
                    ("Cache-Control", "no-store"),
                    ("Mintsaddle-Outcome", "see-end"),
                ]
                start_response(status_line(first.status), headers)
                return self._stream(call, reader, arrived_at)
            return self._respond_buffered(
                start_response, first, call, reader, arrived_at
            )
        reader.close()
        if isinstance(first, FinishCall):
            return self._respond_with_outcome(start_response, call, first, arrived_at)
        # The caller disconnected; nobody reads this response.
        start_response("499 Client Closed Request", [])
        return ()

    def _stream(
        self, call: EntryCall, reader: "DeliveryReader", arrived_at: Instant
    ) -> Iterator[bytes]:
        """Forward each chunk, then send the final result as an event."""
        last_chunk_at = arrived_at
        gaps: list[float] = []
        try:
            while True:
                delivery = reader.next_delivery()
                if delivery is None:
                    return
                if isinstance(delivery, FinishCall):
                    result = make_final_result(delivery)
                    self._log_end(call, delivery)
                    yield b"event: end\ndata: " + result.to_json() + b"\n\n"
                    return
                if isinstance(delivery, DeliverChunk):
                    now = self._node.now()
                    gaps.append(now - last_chunk_at)
                    last_chunk_at = now
                    yield delivery.data + reader.drain_ready_chunks()
        finally:
            # Also runs on a disconnect, when waitress closes the iterable.
            reader.close()
            self._record_times(call, gaps[:1], gaps[1:], self._node.now() - arrived_at)

    def _respond_buffered(
        self,
        start_response: StartResponse,
        head: DeliverHead,
        call: EntryCall,
        reader: "DeliveryReader",
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        """Respond with the body once it is known to be complete."""
        parts: list[bytes] = []
        delivery = reader.next_delivery()
        while isinstance(delivery, DeliverChunk):
            parts.append(delivery.data)
            delivery = reader.next_delivery()
        reader.close()
        if not isinstance(delivery, FinishCall):
            start_response("499 Client Closed Request", [])
            return ()
        if delivery.outcome is not Outcome.DONE:
            return self._respond_with_outcome(
                start_response, call, delivery, arrived_at
            )
        seconds = self._node.now() - arrived_at
        self._record_times(call, [seconds], [], seconds)
        self._log_end(call, delivery)
        headers = [
            ("Content-Type", head.content_type),
            ("Content-Length", str(sum(map(len, parts)))),
            ("Mintsaddle-Outcome", Outcome.DONE.value),
        ]
        headers += key_headers(delivery.key)
        start_response(status_line(head.status), headers)
        return parts

    def _respond_with_outcome(
        self,
        start_response: StartResponse,
        call: EntryCall,
        finish: FinishCall,
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        now = self._node.now()
        self._record_times(call, [], [], now - arrived_at)
        self._log_end(call, finish)
        return respond_with_result(start_response, make_final_result(finish), now)

    def _issue_key(
        self, start_response: StartResponse, service: Service
    ) -> Iterable[bytes]:
        """Issue a key for a reachable home, own data centre first."""
        node = self._node
        fleet = node.configuration.fleet
        assert fleet is not None
        route = RouteRequest(service, "", frozenset())
        marks = node.configuration.marks
        now = node.now()
        drawn = draw_key(self._routing, fleet, marks, route, now, node.rng)
        if drawn is None:
            return self._refuse(start_response, Reason.NO_ENDPOINT)
        key = drawn.key
        start_response("201 Created", [("Content-Type", JSON_TYPE), *key_headers(key)])
        return [json.dumps({"key": key.text, "home": drawn.home}).encode()]

    def _record_times(
        self, call: EntryCall, first: list[float], gaps: list[float], total: float
    ) -> None:
        """Record a call's times in the loop, which owns the histograms."""
        self._node.loop_thread.post(
            self._record_times_in_loop, call, first, gaps, total
        )

    def _record_times_in_loop(
        self, call: EntryCall, first: list[float], gaps: list[float], total: float
    ) -> None:
        request = call.request
        values = {
            Measure.TIME_TO_FIRST_BYTE: first,
            Measure.STREAM_GAP: gaps,
            Measure.TOTAL_TIME: [total],
        }
        for measure, seconds in values.items():
            histogram = HistogramKey(
                request.workspace, request.service.work_class, measure
            )
            for value in seconds:
                self._node.histograms.record(histogram, value)

    def _log_end(self, call: EntryCall, finish: FinishCall) -> None:
        request = call.request
        key = f" key {finish.key.text}" if finish.key else ""
        if finish.outcome is Outcome.DONE:
            _log.debug("Request %s%s completed.", request.request_id, key)
            return
        _log.info(
            "Request %s%s for %s ended %s: %s.",
            request.request_id,
            key,
            request.service.name,
            finish.outcome.value,
            finish.reason.value if finish.reason else "no reason",
        )


def _has_key(environ: _Environ) -> bool:
    return "HTTP_IDEMPOTENCY_KEY" in environ


def _read_body(environ: _Environ) -> bytes | None:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return None
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    return body


def _forwarded_path(environ: _Environ) -> str:
    """Return the path after the service's name, with the query string."""
    _, _, rest = str(environ["PATH_INFO"]).lstrip("/").partition("/")
    query = environ.get("QUERY_STRING")
    return f"/{rest}?{query}" if query else f"/{rest}"
