"""The WSGI application that callers reach."""

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
    FinalWord,
    StartResponse,
    answer_problem,
    answer_word,
    key_header,
    status_line,
    word_of,
)
from mintsaddle.entry._calls import CallerMessage, EntryCall, Outbox
from mintsaddle.entry._deliveries import Deliveries
from mintsaddle.entry._requests import (
    LARGEST_BODY,
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
    """Turns each caller's HTTP request into a call and its answer."""

    def __init__(self, node: DaemonNode, routing: RoutingState) -> None:
        self._node = node
        self._routing = routing
        self._refuse_after: Instant = math.inf
        self._has_looked = False
        self._outbox = Outbox(node.loop_thread.loop)
        self._open: set[EntryCall] = set()

    @property
    def open_calls(self) -> int:
        """Callers that are being answered."""
        return len(self._open)

    def mark_looked(self) -> None:
        """Note that the homes of orders were asked for their runs."""
        self._has_looked = True

    def stop_at(self, moment: Instant) -> None:
        """Refuse new callers from a moment on."""
        self._refuse_after = moment

    def __call__(self, environ: _Environ, start: StartResponse) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/health":
            return self._answer_health(start)
        fleet = self._node.configuration.fleet
        if fleet is None or not self._node.is_serving():
            return self._refuse(start, Reason.BEHIND)
        if self._node.now() >= self._refuse_after:
            return self._refuse(start, Reason.LEAVING)
        match read_target(environ, fleet):
            case Failure(problem):
                return answer_problem(start, problem, has_key=_has_key(environ))
            case Success(target):
                if target.wants_key:
                    return self._issue_key(start, target.service)
                return self._answer_call(environ, start, target.service)
        return ()

    def _answer_health(self, start: StartResponse) -> Iterable[bytes]:
        """Tell the balancer whether this entry takes new callers."""
        node = self._node
        out = is_out(node.configuration, node.settings.vm)
        ready = node.is_serving() and self._has_looked
        if ready and not node.leaving and not out:
            start("200 OK", [("Content-Type", "text/plain")])
            return [b"serving\n"]
        start("503 Service Unavailable", [("Content-Type", "text/plain")])
        return [b"not serving\n"]

    def _refuse(self, start: StartResponse, reason: Reason) -> Iterable[bytes]:
        """Refuse a caller whose request went nowhere from here.

        A key that the caller brought may have reached its home by another
        entry, so no claim is made.
        """
        retry_at = self._node.now() + 1.0
        word = FinalWord(Outcome.ASK_AGAIN, reason, retry_at, 0, None)
        return answer_word(start, word, self._node.now())

    def _answer_call(
        self, environ: _Environ, start: StartResponse, service: Service
    ) -> Iterable[bytes]:
        body = _read_body(environ)
        if body is None:
            text = f"body: a length of at most {LARGEST_BODY} bytes is needed"
            problem = Problem("413 Content Too Large", text)
            return answer_problem(start, problem, has_key=_has_key(environ))
        fleet = self._node.configuration.fleet
        assert fleet is not None
        now = self._node.now()
        match read_request(environ, fleet, service, now, body):
            case Failure(problem):
                return answer_problem(start, problem, has_key=_has_key(environ))
            case Success(request):
                return self._run_call(environ, start, request, body, now)
        return ()

    def _run_call(
        self,
        environ: _Environ,
        start: StartResponse,
        request: CallRequest,
        body: bytes,
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        message = CallerMessage(
            str(environ["REQUEST_METHOD"]),
            _path_of(environ),
            str(environ.get("CONTENT_TYPE", "")),
            body,
        )
        call = EntryCall(self._node, self._routing, request, message, self._outbox)
        self._open.add(call)
        post = self._node.loop_thread.post
        post(call.start)
        gone = environ.get("waitress.client_disconnected", lambda: False)
        deliveries = Deliveries(call, post, gone, self._open.discard)
        return self._relay(start, call, deliveries, arrived_at)

    def _relay(
        self,
        start: StartResponse,
        call: EntryCall,
        deliveries: "Deliveries",
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        first = deliveries.take()
        if isinstance(first, DeliverHead):
            if first.content_type.startswith(EVENT_STREAM):
                head = [
                    ("Content-Type", first.content_type),
                    ("Cache-Control", "no-store"),
                    ("Mintsaddle-Outcome", "see-end"),
                ]
                start(status_line(first.status), head)
                return self._stream(call, deliveries, arrived_at)
            return self._answer_whole(start, first, call, deliveries, arrived_at)
        deliveries.close()
        if isinstance(first, FinishCall):
            return self._answer_finish(start, call, first, arrived_at)
        # The caller hung up; nobody reads what is returned here.
        start("499 Client Closed Request", [])
        return ()

    def _stream(
        self, call: EntryCall, deliveries: "Deliveries", arrived_at: Instant
    ) -> Iterator[bytes]:
        """Give each chunk on, and end with the final word as an event."""
        last = arrived_at
        waits: list[float] = []
        try:
            while True:
                delivery = deliveries.take()
                if delivery is None:
                    return
                if isinstance(delivery, FinishCall):
                    word = word_of(delivery)
                    self._log_end(call, delivery)
                    yield b"event: end\ndata: " + word.to_json() + b"\n\n"
                    return
                if isinstance(delivery, DeliverChunk):
                    now = self._node.now()
                    waits.append(now - last)
                    last = now
                    yield delivery.data + deliveries.take_ready_chunks()
        finally:
            # Reached by a hang-up too: waitress closes the iterable.
            deliveries.close()
            self._record(call, waits[:1], waits[1:], self._node.now() - arrived_at)

    def _answer_whole(
        self,
        start: StartResponse,
        head: DeliverHead,
        call: EntryCall,
        deliveries: "Deliveries",
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        """Answer with a whole body, once it is known to be whole."""
        parts: list[bytes] = []
        delivery = deliveries.take()
        while isinstance(delivery, DeliverChunk):
            parts.append(delivery.data)
            delivery = deliveries.take()
        deliveries.close()
        if not isinstance(delivery, FinishCall):
            start("499 Client Closed Request", [])
            return ()
        if delivery.outcome is not Outcome.DONE:
            return self._answer_finish(start, call, delivery, arrived_at)
        seconds = self._node.now() - arrived_at
        self._record(call, [seconds], [], seconds)
        self._log_end(call, delivery)
        headers = [
            ("Content-Type", head.content_type),
            ("Content-Length", str(sum(map(len, parts)))),
            ("Mintsaddle-Outcome", Outcome.DONE.value),
        ]
        headers += key_header(delivery.key)
        start(status_line(head.status), headers)
        return parts

    def _answer_finish(
        self,
        start: StartResponse,
        call: EntryCall,
        finish: FinishCall,
        arrived_at: Instant,
    ) -> Iterable[bytes]:
        now = self._node.now()
        self._record(call, [], [], now - arrived_at)
        self._log_end(call, finish)
        return answer_word(start, word_of(finish), now)

    def _issue_key(self, start: StartResponse, service: Service) -> Iterable[bytes]:
        """Issue a key for a home that answers now, own data centre first."""
        node = self._node
        fleet = node.configuration.fleet
        assert fleet is not None
        route = RouteRequest(service, "", frozenset())
        marks = node.configuration.marks
        now = node.now()
        drawn = draw_key(self._routing, fleet, marks, route, now, node.rng)
        if drawn is None:
            return self._refuse(start, Reason.NO_ENDPOINT)
        key = drawn.key
        start("201 Created", [("Content-Type", JSON_TYPE), *key_header(key)])
        return [json.dumps({"key": key.text, "home": drawn.home}).encode()]

    def _record(
        self, call: EntryCall, first: list[float], gaps: list[float], whole: float
    ) -> None:
        """Count a call's times at once: the book is used in the loop only."""
        self._node.loop_thread.post(self._count, call, first, gaps, whole)

    def _count(
        self, call: EntryCall, first: list[float], gaps: list[float], whole: float
    ) -> None:
        request = call.request
        values = {
            Measure.TIME_TO_FIRST_BYTE: first,
            Measure.STREAM_GAP: gaps,
            Measure.TOTAL_TIME: [whole],
        }
        for measure, seconds in values.items():
            name = HistogramKey(request.workspace, request.service.work_class, measure)
            for value in seconds:
                self._node.book.record(name, value)

    def _log_end(self, call: EntryCall, finish: FinishCall) -> None:
        request = call.request
        key = f" key {finish.key.text}" if finish.key else ""
        if finish.outcome is Outcome.DONE:
            _log.debug("Request %s%s is done.", request.request_id, key)
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
    if length > LARGEST_BODY:
        return None
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    return body


def _path_of(environ: _Environ) -> str:
    """Return the path behind the service's name, with its query."""
    _, _, rest = str(environ["PATH_INFO"]).lstrip("/").partition("/")
    query = environ.get("QUERY_STRING")
    return f"/{rest}?{query}" if query else f"/{rest}"
