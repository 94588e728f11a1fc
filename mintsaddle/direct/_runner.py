"""Runs the attempts of a call in the caller's thread."""

import http.client
from collections.abc import Callable, Generator, Iterator

from mintsaddle.decisions.direct import (
    DirectCall,
    Ending,
    GiveUp,
    Incarnation,
    Repeat,
    attempt_until,
    give_up,
    idle_limit_seconds,
)
from mintsaddle.decisions.quarantine import SURVIVAL_SECONDS
from mintsaddle.decisions.routing import (
    record_finished,
)
from mintsaddle.direct._answers import (
    BufferedAnswer,
    CallAnswer,
    CallerRequest,
    StreamAnswer,
)
from mintsaddle.direct._attempt import (
    DEADLINE_GRACE_SECONDS,
    Attempt,
    acquire_exchange,
    send_request,
)
from mintsaddle.direct._availability import CallerDisconnectedError
from mintsaddle.direct._broken_answers import record_broken_answer
from mintsaddle.direct._endings import record_ending
from mintsaddle.direct._exchange import Exchange
from mintsaddle.direct._gateway import Gateway
from mintsaddle.direct._pauses import make_pause_recorder
from mintsaddle.direct._reading import StreamCutError, read_body, read_events
from mintsaddle.direct._trial_passage import TrialPassage
from mintsaddle.direct._watchdog import Watchdog, WatchedExchange
from mintsaddle.platform import (
    make_response_headers,
)
from mintsaddle.values import Reason

_SERVER_ERROR = 500


class CallRunner:
    """Runs one call. Not thread-safe."""

    def __init__(
        self,
        gateway: Gateway,
        watchdog: Watchdog,
        call: DirectCall,
        request: CallerRequest,
        is_disconnected: Callable[[], bool],
    ) -> None:
        self._gateway = gateway
        self._watchdog = watchdog
        self._call = call
        self._request = request
        self._is_disconnected = is_disconnected
        self._failed_answer: BufferedAnswer | None = None
        self._passage = TrialPassage(gateway)
        self._has_begun = False

    @property
    def call(self) -> DirectCall:
        """The call, including the state of its attempts."""
        return self._call

    def run(self) -> CallAnswer:
        """Return the answer, or a stream that has begun.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        answer: CallAnswer | None = None
        try:
            answer = self._run_attempts()
            return answer
        finally:
            if self._failed_answer is not answer:
                self._keep_failed(None)

    def _keep_failed(self, answer: BufferedAnswer | None) -> None:
        """Keep an endpoint's own error in place of the one before."""
        if self._failed_answer is not None:
            self._failed_answer.body.close()
        self._failed_answer = answer

    def _run_attempts(self) -> CallAnswer:
        while True:
            result = self._try_endpoint()
            if isinstance(result, GiveUp):
                self._passage.end()
                # An endpoint's own error is more specific than a refusal.
                return self._failed_answer or result
            if isinstance(result, Attempt):
                if result.head.is_stream:
                    self._call = self._call._replace(response_started=True)
                    headers = make_response_headers(result.response)
                    events = self._relay_stream(result)
                    return StreamAnswer(result.head.status, headers, events)
                answer = self._read_answer(result)
                if answer is not None:
                    return answer

    def _try_endpoint(self) -> Attempt | GiveUp | None:
        """Try one endpoint.

        Returns:
            The attempt if its answer has begun, a GiveUp if the call is over,
            or None if another endpoint may be tried.
        """
        endpoint = self._passage.await_endpoint(self._call, self._is_disconnected)
        if isinstance(endpoint, Reason):
            return give_up(self._call, endpoint)
        self._has_begun = False
        exchange = acquire_exchange(self._gateway, self._call, endpoint)
        until = attempt_until(self._call, self._gateway.now())
        expires_at = until + DEADLINE_GRACE_SECONDS
        watched = WatchedExchange(exchange, self._must_abort, expires_at)
        self._watchdog.add(watched)
        try:
            ending, attempt = send_request(
                self._gateway, self._call, self._request, endpoint, watched
            )
        except BaseException:
            self._discard(endpoint, exchange, watched)
            raise
        if attempt is not None:
            self._has_begun = True
            return attempt
        self._discard(endpoint, exchange, watched)
        return self._record_failure(endpoint, ending)

    def _must_abort(self) -> bool:
        """Return whether the request is to be withdrawn from its endpoint.

        A request that has been quarantined still ends an engine in whose
        queue it waits.
        """
        if self._is_disconnected() or self._gateway.aborts_calls:
            return True
        return not self._has_begun and self._gateway.quarantine.is_quarantined(
            self._call.features
        )

    def _read_answer(self, attempt: Attempt) -> BufferedAnswer | GiveUp | None:
        """Read a complete answer; None if another endpoint may be tried."""
        ending = Ending.BROKEN
        is_complete = False
        buffer = self._gateway.answers.open(attempt.exchange.abort)
        try:
            body = read_body(attempt.response, buffer, attempt.is_aborted)
        except (OSError, http.client.HTTPException) as error:
            self._record_broken(attempt, error)
        else:
            is_complete = True
            self._record_survived(attempt)
            headers = make_response_headers(attempt.response)
            answer = BufferedAnswer(attempt.head.status, headers, body)
            repeat = self._call.route.repeat
            if attempt.head.status < _SERVER_ERROR or repeat is Repeat.ONCE:
                return answer
            self._keep_failed(answer)
            ending = Ending.FAILED
        finally:
            self._finish(attempt, is_complete=is_complete)
        result = self._record_failure(attempt.endpoint, ending)
        return result if result is None else self._failed_answer or result

    def _relay_stream(self, attempt: Attempt | None) -> Iterator[bytes]:
        """Relay events, and resume at another endpoint if the stream breaks.

        Raises:
            StreamCutError: The stream can't be completed.
        """
        while True:
            if attempt is not None:
                if (yield from self._relay_attempt(attempt)):
                    return
                ending = self._record_failure(attempt.endpoint, Ending.BROKEN)
                if ending is not None:
                    raise StreamCutError
            result = self._try_endpoint()
            if isinstance(result, GiveUp):
                self._passage.end()
                raise StreamCutError
            if result is not None and not result.head.is_stream:
                self._discard(result.endpoint, result.exchange, result.watched)
                if self._record_failure(result.endpoint, Ending.FAILED) is not None:
                    raise StreamCutError
                result = None
            attempt = result

    def _relay_attempt(self, attempt: Attempt) -> Generator[bytes, None, bool]:
        """Relay events of one endpoint; return whether it sent all of them."""
        is_complete = has_survived = has_event = False
        record_event = make_pause_recorder(
            self._gateway, self._call, attempt.endpoint.assignment
        )
        buffer = self._gateway.answers.open(attempt.exchange.abort)
        try:
            for event in read_events(attempt.response, buffer, attempt.is_aborted):
                number = event.read_id()
                if number is not None:
                    self._call = self._call._replace(last_event=number)
                record_event()
                has_event = True
                age = self._gateway.now() - attempt.begun_at
                if not has_survived and age >= SURVIVAL_SECONDS:
                    has_survived = True
                    self._record_survived(attempt)
                yield event.data
            is_complete = True
            if not has_survived:
                self._record_survived(attempt)
        except (OSError, http.client.HTTPException, StreamCutError) as error:
            self._record_broken(attempt, error, has_event=has_event)
            return False
        finally:
            # Also runs when the caller disconnects: the server closes the
            # iterator.
            buffer.close()
            self._finish(attempt, is_complete=is_complete)
        return True

    def _record_survived(self, attempt: Attempt) -> None:
        self._gateway.quarantine.record_survived(
            self._call.features, attempt.endpoint.name
        )
        self._passage.end()

    def _record_broken(
        self, attempt: Attempt, error: Exception, *, has_event: bool = False
    ) -> None:
        record_broken_answer(
            self._gateway,
            self._call,
            attempt.endpoint,
            attempt.watched,
            error,
            attempt.begun_at,
            has_event=has_event,
        )

    def _record_failure(self, endpoint: Incarnation, ending: Ending) -> GiveUp | None:
        """Record a failed attempt; return a GiveUp, or None to try again."""
        if self._is_disconnected():
            raise CallerDisconnectedError
        self._call, decision = record_ending(
            self._gateway, self._call, endpoint, ending
        )
        return decision

    def _finish(self, attempt: Attempt, *, is_complete: bool) -> None:
        """Pool the connection if the answer is complete, else close it."""
        self._passage.end()
        endpoint, exchange = attempt.endpoint, attempt.exchange
        self._watchdog.remove(attempt.watched)
        if is_complete:
            seconds = idle_limit_seconds(attempt.head.idle_seconds)
            self._gateway.pool.release(endpoint, exchange, seconds)
        else:
            exchange.close()
        with self._gateway.lock:
            record_finished(self._gateway.routing, endpoint.name)

    def _discard(
        self, endpoint: Incarnation, exchange: Exchange, watched: WatchedExchange
    ) -> None:
        self._passage.end()
        self._watchdog.remove(watched)
        exchange.close()
        with self._gateway.lock:
            record_finished(self._gateway.routing, endpoint.name)
