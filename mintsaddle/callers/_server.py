"""The HTTP server for callers, based on waitress."""

import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple, NoReturn

from mintsaddle.callers._arriving import ArrivalLimits
from mintsaddle.callers._bodies import RequestBuffers
from mintsaddle.callers._cuts import CloseReason, CutConnection
from mintsaddle.callers._listener import CallerListener
from mintsaddle.callers._loop import ServingLoop
from mintsaddle.callers._refusals import (
    RefuseFault,
    ScreenRequest,
    accept_any,
    refuse_plainly,
)
from mintsaddle.callers._threads import INITIAL_THREADS, GrowingDispatcher
from mintsaddle.callers._upkeep import ConnectionUpkeep
from mintsaddle.decisions.direct import (
    CallerLimits,
    ParsingTurns,
)
from mintsaddle.decisions.supervision import is_alive
from mintsaddle.engines import is_readable
from mintsaddle.process import FailureLog, Supervisor
from mintsaddle.settings import DEFAULT_REQUEST_LIMITS, RequestLimits

_REFUSAL_THREADS = 4
"""Threads in addition to one per caller; they refuse excess requests."""

MAX_UNSENT_BYTES = 131_072
"""Bytes for a caller above which the next part of its answer waits. A caller
that doesn't read must not fill memory."""

RECEIVE_MEMORY_SHARE = 0.15
"""Share of the VM's memory for bytes that have arrived and aren't read."""

MIN_RECEIVE_BYTES = 16_384
MAX_RECEIVE_BYTES = 262_144
"""Limits for the receive buffer of a connection."""

INITIAL_LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_seconds=3.0, idle_seconds=15.0
)
"""Limits until the operator's are known."""

DEFAULT_MEMORY_MEGABYTES = 256.0
"""Memory of a VM whose settings don't state it."""

MAX_HELD_BESIDE_BODY = 131_072
"""Bytes that the largest body may take beside its own: its head, and the room
that is left in its last block."""

_MEGABYTE = 1_048_576
_BACKLOG = 1024
_CLEANUP_SECONDS = 1
_READ_BYTES = 65_536
_DRAIN_POLL_SECONDS = 0.05


class ServerLoad(NamedTuple):
    """What the connections of a server hold."""

    connections: int
    waiting: int
    """Number of requests that wait for a thread."""

    unanswered: int
    """Number of complete requests without a complete answer."""

    arriving: int
    """Number of requests that have not arrived completely."""

    unsent_bytes: int
    """Bytes of answers that have not been sent."""


class CallerServer:
    """Accepts callers' connections and serves their requests."""

    def __init__(
        self,
        app: Any,
        address: str,
        should_close_connections: Callable[[], bool],
        max_callers: int,
        max_connections: int,
        record_cut: Callable[[CutConnection], None],
        memory_megabytes: float = DEFAULT_MEMORY_MEGABYTES,
        limits: RequestLimits = DEFAULT_REQUEST_LIMITS,
        screen: ScreenRequest = accept_any,
        refuse: RefuseFault = refuse_plainly,
        failures: FailureLog | None = None,
        name: str = "callers",
    ) -> None:
        """Create the server.

        Args:
            app: The WSGI application.
            address: IP and port to listen on.
            should_close_connections: Returns whether callers should send
                their next request to another entry.
            max_callers: How many requests are served concurrently.
            max_connections: How many connections are open at the same time.
            record_cut: Called with each connection that is closed before its
                requests were answered.
            memory_megabytes: The VM's memory.
            limits: What the requests of all callers may take together.
            screen: Refuses a request by its head while its body arrives.
            refuse: Renders and records the refusals of the server itself.
            failures: Records exceptions of connections and of the server.
            name: Name of the server in that record, and of its thread.
        """
        self._max_connections = max_connections
        self._limits = limits
        self._memory_bytes = int(memory_megabytes * _MEGABYTE)
        self._buffers = RequestBuffers(0)
        self._is_listening = True
        self._failures = failures or FailureLog()
        self._dispatcher = GrowingDispatcher(
            max_callers + _REFUSAL_THREADS, self._failures
        )
        self._dispatcher.set_thread_count(min(INITIAL_THREADS, max_callers))
        self._name = name
        self._server = CallerListener(
            app,
            dispatcher=self._dispatcher,
            listen=address,
            backlog=_BACKLOG,
            connection_limit=max_connections,
            cleanup_interval=_CLEANUP_SECONDS,
            recv_bytes=_READ_BYTES,
            outbuf_high_watermark=MAX_UNSENT_BYTES,
            channel_request_lookahead=1,
            ident=None,
            clear_untrusted_proxy_headers=False,
            # The app logs truncated streams and callers that disconnect.
            log_socket_errors=False,
        )
        self._loop = ServingLoop(self._server._map, self._failures, self._name)
        self._server.record_failure = self._record_failure
        self._server.should_close_connections = should_close_connections
        self._upkeep = ConnectionUpkeep(
            self._server, max_connections, self._record_failure
        )
        self._server.is_crowded = self._upkeep.is_crowded
        self._server.record_cut = record_cut
        self._server.buffers = self._buffers
        self._server.turns = ParsingTurns()
        self._server.screen = screen
        self._server.refuse = refuse
        self._server.maintenance = self._maintain
        # Connections inherit it. Bytes that aren't read take memory, too.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes()
        )
        self.set_limits(INITIAL_LIMITS)

    @property
    def load(self) -> ServerLoad:
        """What the connections hold now."""
        channels = self._upkeep.channels()
        return ServerLoad(
            len(channels),
            len(self._dispatcher.queue),
            sum(len(channel.requests) for channel in channels),
            sum(channel.request is not None for channel in channels),
            sum(channel.total_outbufs_len for channel in channels),
        )

    @property
    def is_serving(self) -> bool:
        """Whether callers have been accepted and read lately."""
        return is_alive(self._loop.sound_at, time.monotonic())

    @property
    def max_connections(self) -> int:
        """How many connections are open at the same time."""
        return self._max_connections

    @property
    def max_unfinished(self) -> int:
        """How many of them requests may hold that haven't arrived."""
        return self._upkeep.max_unfinished

    @property
    def request_bytes(self) -> int:
        """Bytes that requests hold beyond a few kilobytes each."""
        return self._buffers.used_bytes

    @property
    def request_bytes_limit(self) -> int:
        """Bytes that they may hold."""
        return self._buffers.limit

    def start(self, supervisor: Supervisor) -> None:
        """Start serving in a thread of its own."""
        supervisor.start(self._name, self._run, is_vital=True)
        supervisor.watch(self._name, lambda: self._loop.passed_at)

    def set_limits(
        self, limits: CallerLimits, requests: RequestLimits | None = None
    ) -> None:
        """Apply new limits from the next request on.

        Args:
            limits: Limits for each request.
            requests: Limits for all requests together; None if unchanged.
        """
        if requests is not None:
            self._limits = requests
        adjustments = self._server.adj
        adjustments.max_request_header_size = limits.header_bytes
        # waitress refuses bodies of this size.
        adjustments.max_request_body_size = limits.body_bytes + 1
        adjustments.channel_timeout = limits.idle_seconds
        self._server.arrival_limits = ArrivalLimits(
            limits.header_seconds,
            self._limits.body_seconds,
            int(self._limits.framing_factor * limits.body_bytes),
        )
        self._upkeep.set_unfinished_share(self._limits.unfinished_share)
        share = int(self._memory_bytes * self._limits.memory_share)
        # A single body of any allowed size is served in calm.
        self._buffers.set_limit(max(share, limits.body_bytes + MAX_HELD_BESIDE_BODY))

    def drain(
        self, has_calls: Callable[[], bool], must_end: Callable[[], bool]
    ) -> None:
        """Refuse new connections, and wait until all others have ended.

        A connection ends once its answer has been sent completely. A call ends
        before that, and a request that has been read may have no call yet.

        Args:
            has_calls: Returns whether the application serves requests.
            must_end: Returns whether to wait no longer, whatever is left.
        """
        self._server.trigger.pull_trigger(self._stop_listening)
        while not must_end():
            self._server.trigger.pull_trigger(self._upkeep.close_expired)
            self.close_idle()
            time.sleep(_DRAIN_POLL_SECONDS)
            is_drained = not (self._is_listening or self._server.active_channels)
            if is_drained and not has_calls():
                return

    def close_idle(self) -> None:
        """Close connections without a request; callers open new ones."""
        self._upkeep.close_all(self._upkeep.channels(), CloseReason.ELSEWHERE)

    def _run(self) -> NoReturn:
        while True:
            self._loop.run_pass()

    def _record_failure(self) -> None:
        self._failures.record(self._name)

    def _stop_listening(self) -> None:
        """Close the listening socket; called in the server's loop.

        Callers whose connections the kernel has accepted may have sent their
        requests; the others must not wait for the end of the process.
        """
        with self._failures.contain(self._name):
            for _ in range(_BACKLOG):
                if not is_readable(self._server.socket, 0.0):
                    break
                self._server.handle_accept()
        self._server.del_channel()
        self._server.socket.close()
        self._is_listening = False

    def _maintain(self, _: float) -> None:
        """Close idle connections, replace threads; called in the loop."""
        for step in (
            self._upkeep.close_expired,
            self._upkeep.refuse_excess,
            self._upkeep.close_excess,
            self._dispatcher.replace_ended,
        ):
            with self._failures.contain(self._name):
                step()

    def _receive_bytes(self) -> int:
        """Return the size of a connection's receive buffer."""
        share = self._memory_bytes * RECEIVE_MEMORY_SHARE / self._max_connections
        return int(min(MAX_RECEIVE_BYTES, max(MIN_RECEIVE_BYTES, share)))
