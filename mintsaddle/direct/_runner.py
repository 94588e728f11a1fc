"""Carrying out what the call decisions ask for, in the caller's thread."""

import http.client
from collections.abc import Callable, Generator, Iterator
from typing import NamedTuple

from mintsaddle.decisions.direct import (
    DirectCall,
    Ending,
    GiveUp,
    Incarnation,
    Repeat,
    attempt_until,
    choose_urgency,
    decide_next,
    give_up,
    idle_limit_seconds,
    record_attempt,
)
from mintsaddle.decisions.routing import (
    may_retry,
    record_failed,
    record_finished,
    record_load,
    spend_retry,
)
from mintsaddle.direct._answers import (
    CallAnswer,
    CallerMessage,
    StreamAnswer,
    WholeAnswer,
)
from mintsaddle.direct._choice import CallerLeftError, choose_endpoint
from mintsaddle.direct._exchange import (
    Exchange,
    StreamCutError,
    read_body,
    read_events,
)
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._watchdog import Watchdog, Watched
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import (
    ResponseHead,
    make_endpoint_headers,
    make_response_headers,
    read_response_head,
)
from mintsaddle.values import Instant, Reason

OWN_ANSWER_SECONDS = 0.15
"""Seconds past the deadline in which the endpoint's own answer to it is still
waited for; it works until that very instant, and one way takes 1 ms."""

_RUN_UNKNOWN = 0
"""Boot under which loads are noted: an incarnation's name says the run."""

_SERVER_ERROR = 500
_log = make_logger("calls")


class _Attempt(NamedTuple):
    endpoint: Incarnation
    exchange: Exchange
    watched: Watched
    response: http.client.HTTPResponse
    head: ResponseHead


class CallRunner:
    """Runs one call; used by one thread."""

    def __init__(
        self,
        gateway: Gateway,
        watchdog: Watchdog,
        call: DirectCall,
        message: CallerMessage,
        is_gone: Callable[[], bool],
    ) -> None:
        self._gateway = gateway
        self._watchdog = watchdog
        self._call = call
        self._message = message
        self._is_gone = is_gone
        self._failed_answer: WholeAnswer | None = None

    @property
    def call(self) -> DirectCall:
        """What has become of the call so far."""
        return self._call

    def run(self) -> CallAnswer:
        """Return the answer, or the beginning of a stream.

        Raises:
            CallerLeftError: The caller has hung up meanwhile.
        """
        while True:
            found = self._attempt()
            if isinstance(found, GiveUp):
                # An endpoint's own failure says more than one of ours.
                return self._failed_answer or found
            if isinstance(found, _Attempt):
                if found.head.is_stream:
                    self._call = self._call._replace(response_started=True)
                    headers = make_response_headers(found.response)
                    events = self._relay(found)
                    return StreamAnswer(found.head.status, headers, events)
                answer = self._take_whole(found)
                if answer is not None:
                    return answer

    def _attempt(self) -> _Attempt | GiveUp | None:
        """Try one endpoint.

        Returns:
            The attempt whose answer has begun, the end of the call, or None
            when another endpoint may be tried.
        """
        endpoint = choose_endpoint(self._gateway, self._call, self._is_gone)
        if isinstance(endpoint, Reason):
            return give_up(self._call, endpoint)
        exchange = self._open_exchange(endpoint)
        until = attempt_until(self._call, self._gateway.now())
        end_at = until + OWN_ANSWER_SECONDS
        watched = Watched(exchange, self._is_gone, end_at)
        self._watchdog.add(watched)
        ending, attempt = self._open(endpoint, exchange, watched)
        if attempt is not None:
            return attempt
        self._close(endpoint, exchange, watched)
        return self._go_on(endpoint, ending)

    def _open_exchange(self, endpoint: Incarnation) -> Exchange:
        """Return a kept connection if a repeat is allowed, or a fresh one."""
        kept = None
        if self._call.route.repeat is not Repeat.ONCE:
            kept = self._gateway.pool.take(endpoint)
        self._gateway.metrics.count("connection_kept" if kept else "connection_fresh")
        return kept or Exchange(endpoint.address)

    def _open(
        self, endpoint: Incarnation, exchange: Exchange, watched: Watched
    ) -> tuple[Ending, _Attempt | None]:
        is_fresh = not exchange.is_kept
        if not exchange.connect():
            self._gateway.reach.record(endpoint.data_centre, received=False)
            return Ending.NOT_SENT, None
        if is_fresh:
            self._gateway.reach.record(endpoint.data_centre, received=True)
        call, message = self._call, self._message
        left = call.deadline - self._gateway.now()
        if left <= 0:
            return Ending.NOT_SENT, None
        headers = make_endpoint_headers(
            message.environ,
            endpoint.name,
            call.workspace,
            left,
            call.last_event,
            self._urgency(),
        )
        try:
            response = exchange.send(
                message.method,
                message.target,
                headers,
                message.body,
                left + 2 * OWN_ANSWER_SECONDS,
            )
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._log_broken(endpoint, error)
            is_silent = self._gateway.now() >= watched.end_at
            return Ending.SILENT if is_silent else Ending.BROKEN, None
        head = read_response_head(response, call.request_id, endpoint.slots)
        self._record_head(endpoint, head)
        if head.is_misdirected:
            if not head.at_fault:
                self._gateway.record_moved(endpoint.name)
            return Ending.MISDIRECTED, None
        if head.not_executed:
            place = endpoint.place
            if head.at_fault and place is not None:
                self._gateway.record_group_refusal(
                    place.group, place.epoch, head.at_fault
                )
                return Ending.GROUP_DOWN, None
            return Ending.NOT_RUN, None
        if not head.is_authentic:
            return Ending.BROKEN, None
        return Ending.BROKEN, _Attempt(endpoint, exchange, watched, response, head)

    def _urgency(self) -> int | None:
        """Return the call's urgency; plain services don't know any."""
        table = self._gateway.directory.table
        service = table.services.get(self._call.service) if table else None
        if service is None or not service.is_engine:
            return None
        return choose_urgency(self._call, self._gateway.now())

    def _take_whole(self, attempt: _Attempt) -> WholeAnswer | GiveUp | None:
        """Read a whole answer; None when another endpoint may be tried."""
        ending = Ending.BROKEN
        is_whole = False
        try:
            body = read_body(attempt.response)
        except (OSError, http.client.HTTPException) as error:
            self._log_broken(attempt.endpoint, error)
        else:
            is_whole = True
            headers = make_response_headers(attempt.response)
            answer = WholeAnswer(attempt.head.status, headers, body)
            repeat = self._call.route.repeat
            if attempt.head.status < _SERVER_ERROR or repeat is Repeat.ONCE:
                return answer
            self._failed_answer = answer
            ending = Ending.FAILED
        finally:
            self._end(attempt, is_whole=is_whole)
        found = self._go_on(attempt.endpoint, ending)
        return found if found is None else self._failed_answer or found

    def _relay(self, attempt: _Attempt | None) -> Iterator[bytes]:
        """Give each event on; go on at another endpoint after a cut.

        Raises:
            StreamCutError: The stream can't be brought to its end.
        """
        while True:
            if attempt is not None:
                if (yield from self._relay_one(attempt)):
                    return
                ending = self._go_on(attempt.endpoint, Ending.BROKEN)
                if ending is not None:
                    raise StreamCutError
            found = self._attempt()
            if isinstance(found, GiveUp):
                raise StreamCutError
            if found is not None and not found.head.is_stream:
                self._close(found.endpoint, found.exchange, found.watched)
                if self._go_on(found.endpoint, Ending.FAILED) is not None:
                    raise StreamCutError
                found = None
            attempt = found

    def _relay_one(self, attempt: _Attempt) -> Generator[bytes, None, bool]:
        """Give on the events of one endpoint; return if they are whole."""
        is_whole = False
        try:
            for event in read_events(attempt.response):
                number = event.read_id()
                if number is not None:
                    self._call = self._call._replace(last_event=number)
                yield event.data
            is_whole = True
        except (OSError, http.client.HTTPException, StreamCutError) as error:
            self._log_broken(attempt.endpoint, error)
            return False
        finally:
            # Reached by a hang-up too: the caller's side closes the iterator.
            self._end(attempt, is_whole=is_whole)
        return True

    def _go_on(self, endpoint: Incarnation, ending: Ending) -> GiveUp | None:
        """Note a failed attempt; return the end, or None to try again."""
        if self._is_gone():
            raise CallerLeftError
        gateway = self._gateway
        self._call = record_attempt(self._call, endpoint.name, ending)
        now: Instant = gateway.now()
        with gateway.lock:
            if ending not in (Ending.FAILED, Ending.GROUP_DOWN):
                record_failed(gateway.routing, endpoint.name, now)
            has_budget = may_retry(gateway.routing)
            decision = decide_next(self._call, ending, has_budget=has_budget, now=now)
            if not isinstance(decision, GiveUp) and ending is not Ending.NOT_SENT:
                spend_retry(gateway.routing)
        gateway.metrics.count(f"attempt_{ending.value}")
        _log.info(
            "Attempt failed %s.",
            fields(
                request=self._call.request_id,
                endpoint=endpoint.name,
                ending=ending.value,
                sends=self._call.sends,
                budget=has_budget,
                next="stop" if isinstance(decision, GiveUp) else "again",
            ),
        )
        return decision if isinstance(decision, GiveUp) else None

    def _record_head(self, endpoint: Incarnation, head: ResponseHead) -> None:
        gateway = self._gateway
        if not head.is_misdirected:
            gateway.record_rate_limit(endpoint.name, head.rate_limit, gateway.now())
        if head.load is None:
            return
        with gateway.lock:
            record_load(
                gateway.routing,
                endpoint.name,
                _RUN_UNKNOWN,
                head.load,
                gateway.now(),
            )

    def _end(self, attempt: _Attempt, *, is_whole: bool) -> None:
        """Keep the connection of a whole answer, or close it."""
        endpoint, exchange = attempt.endpoint, attempt.exchange
        self._watchdog.remove(attempt.watched)
        if is_whole:
            seconds = idle_limit_seconds(attempt.head.idle_seconds)
            self._gateway.pool.give(endpoint, exchange, seconds)
        else:
            exchange.close()
        with self._gateway.lock:
            record_finished(self._gateway.routing, endpoint.name)

    def _close(
        self, endpoint: Incarnation, exchange: Exchange, watched: Watched
    ) -> None:
        self._watchdog.remove(watched)
        exchange.close()
        with self._gateway.lock:
            record_finished(self._gateway.routing, endpoint.name)

    def _log_broken(self, endpoint: Incarnation, error: Exception) -> None:
        _log.info(
            "Answer broken %s.",
            fields(
                request=self._call.request_id,
                endpoint=endpoint.name,
                error=type(error).__name__,
                last_event=self._call.last_event,
            ),
        )
