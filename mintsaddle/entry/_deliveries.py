"""The caller's side of a call, in the thread that answers it."""

import queue
from collections.abc import Callable

from mintsaddle.decisions.calls import DeliverChunk, DeliverHead, FinishCall
from mintsaddle.entry._calls import Delivery, EntryCall

_HANG_UP_POLL = 0.25


class Deliveries:
    """The caller's side of a call: waits for deliveries, notices a hang-up."""

    def __init__(
        self,
        call: EntryCall,
        post: Callable[..., object],
        is_gone: Callable[[], bool],
        on_close: Callable[[EntryCall], None],
    ) -> None:
        self._call = call
        self._post = post
        self._is_gone = is_gone
        self._on_close = on_close
        self._next: Delivery | None = None
        self._closed = False

    def take(self) -> DeliverHead | DeliverChunk | FinishCall | None:
        """Return the next delivery, or None once the caller has gone."""
        if self._next is not None:
            delivery, self._next = self._next, None
            return delivery
        while True:
            try:
                return self._call.deliveries.get(timeout=_HANG_UP_POLL)
            except queue.Empty:
                if self._is_gone():
                    return None

    def take_ready_chunks(self) -> bytes:
        """Return the data of all chunks that wait already, joined.

        Under load a write for each token costs more than the token; nothing
        is ever waited for to fill one.
        """
        parts: list[bytes] = []
        while self._next is None:
            try:
                delivery = self._call.deliveries.get_nowait()
            except queue.Empty:
                break
            if isinstance(delivery, DeliverChunk):
                parts.append(delivery.data)
            else:
                self._next = delivery
        return b"".join(parts)

    def close(self) -> None:
        """End the call from the caller's side; it may be over already."""
        if not self._closed:
            self._closed = True
            self._on_close(self._call)
            self._post(self._call.leave)
