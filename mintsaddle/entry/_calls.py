"""Executes call decisions: sends attempts, sets timers, delivers replies."""

import asyncio
from queue import SimpleQueue
from typing import NamedTuple

from grpclib.client import Channel

from mintsaddle.daemon import DaemonNode
from mintsaddle.decisions.calls import (
    AttemptAccepted,
    AttemptFailed,
    AttemptRefused,
    CallAction,
    CallerDisconnected,
    CallEvent,
    CallRequest,
    CallState,
    CancelAttempt,
    ChunkArrived,
    DeliverChunk,
    DeliverHead,
    EndArrived,
    FinishCall,
    HeadArrived,
    RoutingContext,
    SendAttempt,
    TimerFired,
    handle_event,
    next_deadline,
    start_call,
)
from mintsaddle.decisions.routing import RoutingState, choose_subset, record_load
from mintsaddle.fleet import Fleet
from mintsaddle.observe import make_logger
from mintsaddle.transport import read_load, read_refusal, read_stamp, write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb
from mintsaddle.transport.proto.peer_grpc import EndpointCallsStub

_log = make_logger("entry")

Delivery = DeliverHead | DeliverChunk | FinishCall
"""A message from the event loop to the caller's thread."""


class ForwardedRequest(NamedTuple):
    """The parts of a caller's HTTP request that are sent to an endpoint."""

    method: str
    path: str
    content_type: str
    body: bytes

    def write_to(self, message: pb.CallRequest) -> None:
        """Copy the HTTP parts into a message to an endpoint daemon."""
        message.method = self.method
        message.path = self.path
        message.content_type = self.content_type
        message.body = self.body


class Outbox:
    """Batches the deliveries of a loop iteration and flushes them at its end.

    Each delivery wakes a thread, which then contends for the GIL. If sent in
    the middle of an iteration, they would take the GIL from the loop again and
    again, and the first token of each call would wait for many iterations.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pending: list[tuple[SimpleQueue[Delivery], Delivery]] = []

    def put(self, target: "SimpleQueue[Delivery]", delivery: Delivery) -> None:
        """Queue a delivery; must be called in the loop."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append((target, delivery))

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        for target, delivery in pending:
            target.put(delivery)


class EntryCall:
    """One caller's request: processed in the loop, awaited by a thread."""

    def __init__(
        self,
        node: DaemonNode,
        routing: RoutingState,
        request: CallRequest,
        forwarded: ForwardedRequest,
        outbox: Outbox,
    ) -> None:
        self._node = node
        self._outbox = outbox
        self._routing = routing
        self._state = CallState(request)
        self._forwarded = forwarded
        self._deliveries: SimpleQueue[Delivery] = SimpleQueue()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def request(self) -> CallRequest:
        """The caller's request."""
        return self._state.request

    @property
    def deliveries(self) -> "SimpleQueue[Delivery]":
        """The queue that the caller's thread reads."""
        return self._deliveries

    def start(self) -> None:
        """Start the first attempt; must be called in the loop."""
        context = self._routing_context()
        self._perform(start_call(self._state, context, self._node.now()))
        self._set_timer()

    def handle_disconnect(self) -> None:
        """Handle the caller's disconnect; must be called in the loop."""
        self._handle(CallerDisconnected())

    def _routing_context(self) -> RoutingContext:
        configuration = self._node.configuration
        fleet = configuration.fleet
        # A daemon starts calls only while it serves, so it has a fleet text.
        assert fleet is not None
        return RoutingContext(fleet, configuration.marks, self._routing, self._node.rng)

    def _handle(self, event: CallEvent) -> None:
        now = self._node.now()
        self._perform(handle_event(self._state, self._routing_context(), event, now))

    def _perform(self, actions: tuple[CallAction, ...]) -> None:
        for action in actions:
            match action:
                case SendAttempt():
                    task = asyncio.ensure_future(self._run_attempt(action))
                    self._tasks[action.attempt] = task
                    self._set_timer()
                case CancelAttempt(attempt):
                    self._tasks.pop(attempt).cancel()
                case _:
                    self._outbox.put(self._deliveries, action)
        if self._state.over and self._timer is not None:
            self._timer.cancel()

    def _set_timer(self) -> None:
        """Schedule the timer for the call's next deadline.

        Each chunk extends the deadline, but the timer is rescheduled only when
        it fires: rescheduling it for each chunk would cost more.
        """
        if self._state.over:
            return
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.0, next_deadline(self._state) - self._node.now())
        loop = self._node.loop_thread.loop
        self._timer = loop.call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        if self._state.over:
            return
        if self._node.now() >= next_deadline(self._state):
            self._handle(TimerFired())
        self._set_timer()

    async def _run_attempt(self, action: SendAttempt) -> None:
        number = action.attempt
        address = self._routing_context().fleet.endpoints[action.endpoint].address
        try:
            channel = await self._connect(action, address)
        except OSError:
            self._node.channels.drop(address)
            self._handle(AttemptFailed(number, sent=False))
            return
        try:
            await self._exchange(action, channel, address)
        except Exception as error:
            # Cancellation isn't caught here. Any other error means that the
            # connection to the endpoint daemon failed after the request was
            # sent.
            name = type(error).__name__
            _log.debug("Attempt at %s failed: %s.", action.endpoint, name)
        self._handle(AttemptFailed(number, sent=True))

    async def _connect(self, action: SendAttempt, address: str) -> Channel:
        """Return a connected channel to an endpoint daemon.

        The check for a closed connection takes time in a busy loop. Only an
        order needs it: any other request is sent again if it is lost.
        """
        channels = self._node.channels
        if action.key is not None:
            return await channels.connect(address)
        channel = channels.open(address)
        await channel.__connect__()
        return channel

    async def _exchange(
        self, action: SendAttempt, channel: Channel, address: str
    ) -> None:
        stub = EndpointCallsStub(channel)
        async with stub.Call.open() as stream:
            await stream.send_message(self._make_message(action), end=True)
            async for reply in stream:
                self._handle_reply(action, reply, address)

    def _make_message(self, action: SendAttempt) -> pb.CallRequest:
        request = self._state.request
        message = pb.CallRequest(
            stamp=write_stamp(self._node.stamp()),
            request_id=f"{request.request_id}.{action.attempt}",
            service=request.service.name,
            workspace=request.workspace,
            priority=request.priority,
            deadline=request.deadline,
            key=action.key.text if action.key else "",
            resume_after=action.resume_after,
            sender_address=self._node.settings.address,
        )
        self._forwarded.write_to(message)
        return message

    def _handle_reply(
        self, action: SendAttempt, reply: pb.CallReply, address: str
    ) -> None:
        number = action.attempt
        kind = reply.WhichOneof("word")
        if kind == "chunks":
            sequence = reply.chunks.first
            for data in reply.chunks.data:
                self._handle(ChunkArrived(number, sequence, data))
                sequence += 1
            return
        stamp = read_stamp(reply.stamp)
        self._node.pull_if_behind(stamp, address)
        load = read_load(reply.load)
        now = self._node.now()
        record_load(self._routing, action.endpoint, stamp.boot, load, now)
        if kind == "accepted":
            self._handle(AttemptAccepted(number))
        elif kind == "refused":
            self._handle(AttemptRefused(number, read_refusal(reply.refused)))
        elif kind == "head":
            head = reply.head
            self._handle(HeadArrived(number, head.status, head.content_type))
        elif kind == "end":
            self._handle(EndArrived(number, reply.end.count))
        elif kind == "broken":
            self._handle(AttemptFailed(number, sent=True))


def unknown_homes(fleet: Fleet, routing: RoutingState) -> tuple[str, ...]:
    """Return the order homes whose boot number isn't known yet."""
    return tuple(
        name
        for service in fleet.services.values()
        if not service.repeatable
        for name in choose_subset(fleet, service, routing)
        if routing.view(name).boot is None
    )
