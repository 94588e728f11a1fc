"""Requests that are arriving, as waitress parses them."""

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from waitress.parser import HTTPRequestParser, ParsingError

from mintsaddle.callers._bodies import RequestBody, RequestBuffers
from mintsaddle.callers._refusals import (
    FaultError,
    HttpRefusal,
    RefusedError,
    RequestFault,
)
from mintsaddle.values import Instant

_PARSED_BYTES = 8_192
"""Bytes of a chunked body that are parsed at a time. The parser copies what
is left of them for each chunk."""

_COSTLY_FRAMING = 0.125
"""Share of framing above which the chunks of a body are small."""

_HEADER_BYTES = 400
"""Memory that a header takes in addition to its text, in all forms in which
it is kept."""


class ArrivalLimits(NamedTuple):
    """Limits for the arrival of requests."""

    header_seconds: float
    body_seconds: float
    framing_bytes: int
    """Bytes of framing that a chunked body may have."""


class Intake(NamedTuple):
    """What an arriving request needs of its connection."""

    buffers: RequestBuffers
    limits: ArrivalLimits
    is_backlogged: Callable[[], bool]
    """Returns whether earlier requests of the connection have to be answered
    before a further one is parsed."""

    screen: Callable[[HTTPRequestParser], HttpRefusal | None]
    """Returns the refusal of a request of which only the head has arrived."""

    notice_refusal: Callable[[], None]
    """Called when there is no memory for the request."""


class ArrivingRequest(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request within the limits for its arrival."""

    def __init__(self, adj: Any, intake: Intake) -> None:
        super().__init__(adj)
        self._intake = intake
        self._begun_at: Instant = time.monotonic()
        self._due_at: Instant = self._begun_at + intake.limits.header_seconds
        self._body: RequestBody | None = None
        self._framing_bytes = 0
        self._is_costly = False
        self._is_screened = False
        self._parked = b""

    @property
    def begun_at(self) -> Instant:
        """When its first byte was read."""
        return self._begun_at

    @property
    def is_late(self) -> bool:
        """Whether what is missing should have arrived."""
        return not self._parked and time.monotonic() > self._due_at

    @property
    def is_costly(self) -> bool:
        """Whether its body takes long to parse."""
        return self._is_costly

    @property
    def is_parked(self) -> bool:
        """Whether it isn't parsed yet."""
        return bool(self._parked)

    @property
    def body_bytes_received(self) -> int:
        """Bytes of its body, without framing."""
        return 0 if self.body_rcv is None else len(self.body_rcv)

    @body_bytes_received.setter
    def body_bytes_received(self, _: int) -> None:
        # waitress adds what was on the wire, with framing.
        return

    def received(self, data: bytes) -> int:
        """Parse what has arrived; return how many bytes belong to it."""
        if self._body is None and self._intake.is_backlogged():
            self._park(data)
            return len(data)
        if self.body_rcv is None:
            consumed: int = super().received(data)
            if self.headers_finished:
                self._due_at = time.monotonic() + self._intake.limits.body_seconds
        elif self.chunked:
            consumed = self._receive_chunks(data[:_PARSED_BYTES])
        else:
            consumed = super().received(data)
        if self.error:
            # waitress would go on with a request that expects to continue.
            self.completed = True
            self.expect_continue = False
        elif self.completed and self._body is not None:
            self._body.complete()
        elif self.expect_continue and self.headers_finished:
            self.screen()
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head."""
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError("Head is invalid") from error
        size = 2 * len(header_plus) + _HEADER_BYTES * len(self.headers)
        self._body = self._intake.buffers.open(size, self._refuse_for_memory)
        if self.body_rcv is not None:
            self.body_rcv.buf = self._body

    def get_body_stream(self) -> RequestBody:
        """Return the body as the input of a WSGI application."""
        assert self._body is not None
        return self._body

    def close(self) -> None:
        """Release the memory of the request."""
        if self._body is not None:
            self._body.close()

    def refuse(self, fault: RequestFault) -> None:
        """End the request with an error, and release its memory."""
        self._end(FaultError(fault))

    def screen(self) -> None:
        """End the request with an error if its head suffices to refuse it."""
        if not self._is_screened and self.headers_finished:
            self._is_screened = True
            refusal = self._intake.screen(self)
            if refusal is not None:
                self._end(RefusedError(refusal))

    def take_parked(self) -> bytes:
        """Return what hasn't been parsed, in order to parse it now."""
        parked, self._parked = self._parked, b""
        self.close()
        return parked

    def _park(self, data: bytes) -> None:
        self._parked = data
        self._body = self._intake.buffers.open(len(data), self._refuse_for_memory)

    def _end(self, error: FaultError | RefusedError) -> None:
        self.error = error
        self.completed = True
        self.expect_continue = False
        self._parked = b""
        if self._body is not None:
            self._body.drop()

    def _receive_chunks(self, data: bytes) -> int:
        before = len(self.body_rcv)
        consumed: int = super().received(data)
        framing = consumed - (len(self.body_rcv) - before)
        self._framing_bytes += framing
        if framing > consumed * _COSTLY_FRAMING:
            self._is_costly = True
        receiver = self.body_rcv
        line_bytes = max(len(receiver.control_line), len(receiver.trailer))
        if line_bytes > self.adj.max_request_header_size:
            self.refuse(RequestFault.MALFORMED)
        elif self._framing_bytes > self._intake.limits.framing_bytes:
            self.refuse(RequestFault.FRAMING)
        return consumed

    def _refuse_for_memory(self) -> None:
        self.refuse(RequestFault.MEMORY)
        self._intake.notice_refusal()
