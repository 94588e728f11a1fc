"""The gRPC server of a daemon, within limits for all its peers together."""

import itertools
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, NamedTuple

from grpclib.protocol import Buffer, EventsProcessor, H2Protocol, Stream
from grpclib.server import Server

from mintsaddle.callers import RequestLedger
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Instant

MAX_UNSENT_BYTES = 1_048_576
"""Bytes that may wait for a peer that doesn't read. grpclib stops writing its
answers long before that, but not its acknowledgements."""

_STREAM_BYTES = 16_384
"""Memory that a request takes beside its message."""

_log = make_logger("peers")


class PeerLimits(NamedTuple):
    """Limits for all peers of a daemon together."""

    connections: int
    message_bytes: int
    """Bytes of requests that are arriving or being served."""

    refusals: int
    """Refused requests after which a peer's connection is closed."""


class BoundedServer(Server):
    """Refuses requests and closes connections of peers that take too much."""

    def __init__(self, handlers: Sequence[Any], limits: PeerLimits) -> None:
        """Create the server.

        Args:
            handlers: The services.
            limits: Limits for all peers together.
        """
        super().__init__(handlers)
        self._ledger = RequestLedger(limits.message_bytes)
        self._stream_numbers = itertools.count(1)
        self._limits = limits
        self._connections: set[_BoundedProtocol] = set()

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return _BoundedProtocol(
            plain.handler,
            plain.config,
            plain.h2_config,
            partial(_BoundedProcessor, self._ledger, self._stream_numbers),
            self._connections,
            self._limits,
        )


class _ClearedBuffer(Buffer):
    """The message of a request, which ends with the request.

    Otherwise a cycle of references would keep it for a while.
    """

    def clear(self) -> None:
        """Forget what has arrived."""
        self.unacked_size()
        self._acked.clear()


class _BoundedProcessor(EventsProcessor):
    """The requests of one connection, which the ledger may refuse."""

    def __init__(
        self,
        ledger: RequestLedger,
        numbers: "itertools.count[int]",
        handler: Any,
        connection: Any,
        notice_refusal: Callable[[], None],
    ) -> None:
        super().__init__(handler, connection)
        self._notice_refusal = notice_refusal
        self._ledger = ledger
        self._new_numbers = numbers
        self._numbers: dict[int, int] = {}

    def register(self, stream: Stream) -> Callable[[], None]:
        release_stream = super().register(stream)
        stream_id = stream.id
        assert stream_id is not None
        number = self._numbers[stream_id] = next(self._new_numbers)
        buffer = stream.buffer = _ClearedBuffer(partial(self.connection.ack, stream_id))

        def release() -> None:
            self._numbers.pop(stream_id, None)
            self._ledger.release(number)
            release_stream()
            buffer.clear()

        return release

    def process_request_received(self, event: Any) -> None:
        super().process_request_received(event)
        self._hold(event.stream_id)

    def process_data_received(self, event: Any) -> None:
        super().process_data_received(event)
        self._hold(event.stream_id)

    def process_stream_ended(self, event: Any) -> None:
        super().process_stream_ended(event)
        if event.stream_id in self._numbers:
            self._ledger.complete(self._numbers[event.stream_id])

    def _hold(self, stream_id: int) -> None:
        stream = self.streams.get(stream_id)
        number = self._numbers.get(stream_id)
        if stream is not None and number is not None:
            size = _STREAM_BYTES + stream.data_received
            self._ledger.hold(number, size, partial(self._refuse, stream))

    def _refuse(self, stream: Stream) -> None:
        """End a request that hasn't arrived; its handler waits for it."""
        _log.warning("Refused a request of a peer %s.", fields(reason="memory"))
        assert stream.id is not None
        del self._numbers[stream.id]
        if stream.closable:
            stream.reset_nowait()
        stream.__terminated__("no memory")
        self.handler.cancel(stream)
        self._notice_refusal()


class _BoundedProtocol(H2Protocol):
    """One connection of a peer."""

    def __init__(
        self,
        handler: Any,
        config: Any,
        h2_config: Any,
        make_processor: Callable[..., EventsProcessor],
        others: "set[_BoundedProtocol]",
        limits: PeerLimits,
    ) -> None:
        super().__init__(handler, config, h2_config)
        self._make_processor = make_processor
        self._others = others
        self._limits = limits
        self._refusals = 0
        self._active_at: Instant = time.monotonic()
        self._transport: Any = None

    @property
    def active_at(self) -> Instant:
        """When something was last received."""
        return self._active_at

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.processor = self._make_processor(
            self.handler, self.connection, self._count_refusal
        )
        self._transport = transport
        self._others.add(self)
        if len(self._others) > self._limits.connections:
            min(self._others, key=lambda one: one.active_at).cut("crowded")

    def connection_lost(self, exc: BaseException | None) -> None:
        self._others.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._active_at = time.monotonic()
        super().data_received(data)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.cut("unsent")

    def cut(self, reason: str) -> None:
        """Close the connection at once."""
        _log.warning("Connection of a peer cut %s.", fields(reason=reason))
        self._others.discard(self)
        self._transport.abort()

    def _count_refusal(self) -> None:
        self._refusals += 1
        if self._refusals == self._limits.refusals:
            self.cut("refused")
