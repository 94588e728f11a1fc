"""Reading of a call's deliveries in the caller's thread."""

import queue
from collections.abc import Callable

from mintsaddle.decisions.calls import DeliverChunk, DeliverHead, FinishCall
from mintsaddle.entry._calls import Delivery, EntryCall

_DISCONNECT_POLL_SECONDS = 0.25


class DeliveryReader:
    """Waits for a call's deliveries and detects the caller's disconnect."""

    def __init__(
        self,
        call: EntryCall,
        post: Callable[..., object],
        is_disconnected: Callable[[], bool],
        on_close: Callable[[EntryCall], None],
    ) -> None:
        self._call = call
        self._post = post
        self._is_disconnected = is_disconnected
        self._on_close = on_close
        self._lookahead: Delivery | None = None
        self._closed = False

    def next_delivery(self) -> DeliverHead | DeliverChunk | FinishCall | None:
        """Return the next delivery, or None after the caller's disconnect."""
        if self._lookahead is not None:
            delivery, self._lookahead = self._lookahead, None
            return delivery
        while True:
            try:
                return self._call.deliveries.get(timeout=_DISCONNECT_POLL_SECONDS)
            except queue.Empty:
                if self._is_disconnected():
                    return None

    def drain_ready_chunks(self) -> bytes:
        """Return the joined data of all chunks that are already queued.

        Under load, one write per token costs more than the token itself. This
        never waits for further chunks.
        """
        parts: list[bytes] = []
        while self._lookahead is None:
            try:
                delivery = self._call.deliveries.get_nowait()
            except queue.Empty:
                break
            if isinstance(delivery, DeliverChunk):
                parts.append(delivery.data)
            else:
                self._lookahead = delivery
        return b"".join(parts)

    def close(self) -> None:
        """End the call from the caller's side; has no effect if it is over."""
        if not self._closed:
            self._closed = True
            self._on_close(self._call)
            self._post(self._call.handle_disconnect)
