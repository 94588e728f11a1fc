"""The part of a caller's connection that requests arrive on."""

from typing import Any

from waitress.channel import HTTPChannel

from mintsaddle.callers._arriving import ArrivingRequest, Intake
from mintsaddle.callers._refusals import HttpRefusal, RequestFault


class ReceivingChannel(HTTPChannel):  # type: ignore[misc]
    """Parses requests, and refuses them while they arrive."""

    request: ArrivingRequest | None = None
    will_close: bool = False
    _is_receiving = False

    @property
    def is_parked(self) -> bool:
        """Whether a further request waits to be parsed."""
        return self.request is not None and bool(self.request.is_parked)

    def parser_class(self, adjustments: Any) -> ArrivingRequest:
        """Return the parser of the next request."""
        server = self.server
        intake = Intake(
            server.buffers,
            server.arrival_limits,
            self._is_backlogged,
            self._screen,
            self._notice_refusal,
        )
        return ArrivingRequest(adjustments, intake)

    def refuse_arriving(self, fault: RequestFault) -> None:
        """Refuse the request that is arriving; called in the server's loop."""
        if self.request is not None:
            self.request.refuse(fault)
            self._end_refused()

    def received(self, data: bytes) -> bool:
        """Parse what has arrived."""
        if self.requests and self.requests[-1].error:
            return False
        self._is_receiving = True
        is_received = bool(super().received(data))
        if self.request is not None and not self.requests:
            self.request.screen()
        self._is_receiving = False
        self._end_refused()
        return is_received

    def _may_read_on(self) -> bool:
        """Return whether more is read while a request is arriving."""
        if self._is_costly():
            self.server.turns.begin_pass()
        if self.is_parked:
            self._resume_parked()
        return not self.is_parked

    def _is_costly(self) -> bool:
        return self.request is not None and self.request.is_costly

    def _is_backlogged(self) -> bool:
        return bool(len(self.requests) > self.adj.channel_request_lookahead)

    def _screen(self, request: ArrivingRequest) -> HttpRefusal | None:
        environ = self.task_class(self, request).get_environment()
        refusal: HttpRefusal | None = self.server.screen(environ)
        return refusal

    def _notice_refusal(self) -> None:
        if not self._is_receiving:
            self._end_refused()

    def _end_refused(self) -> None:
        """Answer the arriving request if it has been refused meanwhile."""
        with self.requests_lock:
            request = self.request
            if request is None or not request.error:
                return
            self.request = None
            if self.will_close or self.close_when_flushed:
                return
            self.requests.append(request)
            if len(self.requests) > 1:
                return
        if self.total_outbufs_len:
            # Its caller doesn't read; the loop must not wait for that.
            self.will_close = True
        else:
            self.service()

    def _resume_parked(self) -> None:
        """Parse a further request if the earlier ones are answered."""
        if not self._is_backlogged() and not self.will_close:
            request, self.request = self.request, None
            data = request.take_parked() if request else b""
            self.received(data)
