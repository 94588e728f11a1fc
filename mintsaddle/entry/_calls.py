"""Carrying out what the call decisions ask for."""

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
"""What the caller's thread gets."""


class CallerMessage(NamedTuple):
    """A caller's HTTP request, as it is passed on."""

    method: str
    path: str
    content_type: str
    body: bytes

    def fill(self, message: pb.CallRequest) -> None:
        """Write the HTTP part of a message to an endpoint daemon."""
        message.method = self.method
        message.path = self.path
        message.content_type = self.content_type
        message.body = self.body


class Outbox:
    """Deliveries of one turn of the loop, given out at its end.

    Each one wakes a thread, which then asks for the interpreter's lock. Given
    out in the midst of a turn, they would take it from the loop again and
    again, and each call's first token would wait for many such turns.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: list[tuple[SimpleQueue[Delivery], Delivery]] = []

    def put(self, target: "SimpleQueue[Delivery]", delivery: Delivery) -> None:
        """Add a delivery; in the loop."""
        if not self._waiting:
            self._loop.call_soon(self._give_out)
        self._waiting.append((target, delivery))

    def _give_out(self) -> None:
        waiting, self._waiting = self._waiting, []
        for target, delivery in waiting:
            target.put(delivery)


class EntryCall:
    """One caller's request, moved on in the loop and awaited in a thread."""

    def __init__(
        self,
        node: DaemonNode,
        routing: RoutingState,
        request: CallRequest,
        message: CallerMessage,
        outbox: Outbox,
    ) -> None:
        self._node = node
        self._outbox = outbox
        self._routing = routing
        self._state = CallState(request)
        self._message = message
        self._deliveries: SimpleQueue[Delivery] = SimpleQueue()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def request(self) -> CallRequest:
        """The caller's request."""
        return self._state.request

    @property
    def deliveries(self) -> "SimpleQueue[Delivery]":
        """What the caller's thread waits for."""
        return self._deliveries

    def start(self) -> None:
        """Begin; in the loop."""
        facts = self._facts()
        self._perform(start_call(self._state, facts, self._node.now()))
        self._set_timer()

    def leave(self) -> None:
        """Note that the caller hung up; in the loop."""
        self._handle(CallerDisconnected())

    def _facts(self) -> RoutingContext:
        configuration = self._node.configuration
        fleet = configuration.fleet
        # Calls are only begun by a daemon that serves, which has a text.
        assert fleet is not None
        return RoutingContext(fleet, configuration.marks, self._routing, self._node.rng)

    def _handle(self, event: CallEvent) -> None:
        now = self._node.now()
        self._perform(handle_event(self._state, self._facts(), event, now))

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
        """Wake the call when it next wants to look at the time.

        The timeout moves on with each chunk; the timer is set again only
        when it fires, since setting it for each chunk would cost more.
        """
        if self._state.over:
            return
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.0, next_deadline(self._state) - self._node.now())
        loop = self._node.loop_thread.loop
        self._timer = loop.call_later(wait, self._wake)

    def _wake(self) -> None:
        if self._state.over:
            return
        if self._node.now() >= next_deadline(self._state):
            self._handle(TimerFired())
        self._set_timer()

    async def _run_attempt(self, action: SendAttempt) -> None:
        number = action.attempt
        address = self._facts().fleet.endpoints[action.endpoint].address
        channel = self._node.channels.open(address)
        try:
            await channel.__connect__()
        except OSError:
            self._node.channels.drop(address)
            self._handle(AttemptFailed(number, sent=False))
            return
        try:
            await self._exchange(action, channel, address)
        except Exception as error:
            # Cancelled streams raise nothing here; all else means that the
            # way to the endpoint daemon broke after the request had left.
            name = type(error).__name__
            _log.debug("Attempt at %s broke: %s.", action.endpoint, name)
        self._handle(AttemptFailed(number, sent=True))

    async def _exchange(
        self, action: SendAttempt, channel: Channel, address: str
    ) -> None:
        stub = EndpointCallsStub(channel)
        async with stub.Call.open() as stream:
            await stream.send_message(self._make_message(action), end=True)
            async for reply in stream:
                self._take_reply(action, reply, address)

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
        self._message.fill(message)
        return message

    def _take_reply(
        self, action: SendAttempt, reply: pb.CallReply, address: str
    ) -> None:
        number = action.attempt
        word = reply.WhichOneof("word")
        if word == "chunks":
            sequence = reply.chunks.first
            for data in reply.chunks.data:
                self._handle(ChunkArrived(number, sequence, data))
                sequence += 1
            return
        stamp = read_stamp(reply.stamp)
        self._node.record_stamp(stamp, address)
        load = read_load(reply.load)
        now = self._node.now()
        record_load(self._routing, action.endpoint, stamp.boot, load, now)
        if word == "accepted":
            self._handle(AttemptAccepted(number))
        elif word == "refused":
            self._handle(AttemptRefused(number, read_refusal(reply.refused)))
        elif word == "head":
            head = reply.head
            self._handle(HeadArrived(number, head.status, head.content_type))
        elif word == "end":
            self._handle(EndArrived(number, reply.end.count))
        elif word == "broken":
            self._handle(AttemptFailed(number, sent=True))


def unknown_homes(fleet: Fleet, routing: RoutingState) -> tuple[str, ...]:
    """Return the homes that this entry may issue keys for but doesn't know."""
    return tuple(
        name
        for service in fleet.services.values()
        if not service.repeatable
        for name in choose_subset(fleet, service, routing)
        if routing.view(name).boot is None
    )
