"""Queue of reply events that wait to be sent to an entry."""

import asyncio
from collections import deque
from collections.abc import Callable

from mintsaddle.endpoint._reply_events import ReplyEvent
from mintsaddle.transport.proto import peer_pb2 as pb


class Mailbox:
    """Reply events of one attempt that wait to be sent to its entry."""

    def __init__(self, message: pb.CallRequest) -> None:
        self._message = message
        self._events: deque[ReplyEvent] = deque()
        self._ready = asyncio.Event()
        self._wake_scheduled = False

    @property
    def message(self) -> pb.CallRequest:
        """The request message as received."""
        return self._message

    def put(self, event: ReplyEvent) -> None:
        """Add an event from the event loop."""
        self._events.append(event)
        self._ready.set()

    def put_from_thread(self, event: ReplyEvent, post: Callable[..., object]) -> None:
        """Add an event from a worker thread.

        The loop is woken only once for all waiting events, because waking it
        costs more than adding an event.
        """
        self._events.append(event)
        if not self._wake_scheduled:
            self._wake_scheduled = True
            post(self._wake)

    def _wake(self) -> None:
        self._wake_scheduled = False
        self._ready.set()

    async def take_all(self) -> list[ReplyEvent]:
        """Wait until there are events, then remove and return them all."""
        await self._ready.wait()
        self._ready.clear()
        events = []
        # A worker thread may append meanwhile; clearing the deque could drop
        # an event that was not returned.
        while self._events:
            events.append(self._events.popleft())
        return events
