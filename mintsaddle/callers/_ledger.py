"""What the requests of a server hold, and the callbacks that refuse them."""

import threading
import time
from collections.abc import Callable

from mintsaddle.decisions.direct import RequestMemory


class RequestLedger:
    """Bytes that the requests of one server hold. Thread-safe."""

    def __init__(self, limit: int) -> None:
        """Set up the ledger.

        Args:
            limit: Bytes for all requests together.
        """
        self._memory = RequestMemory(limit)
        self._refusals: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Bytes that requests hold."""
        with self._lock:
            return self._memory.used

    @property
    def limit(self) -> int:
        """Bytes for all requests together."""
        return self._memory.limit

    def set_limit(self, limit: int) -> None:
        """Set the bytes for all requests together, from the next one on."""
        with self._lock:
            self._memory.set_limit(limit)

    def hold(self, number: int, size: int, refuse: Callable[[], None]) -> None:
        """Record the bytes of a request; refuse others or itself if needed.

        Args:
            number: Number of the request.
            size: All bytes of it so far.
            refuse: Refuses the request; called by the thread that holds more
                for any request.
        """
        with self._lock:
            self._refusals[number] = refuse
            refused = self._memory.hold(number, size, time.monotonic())
            refusals = [self._refusals.pop(one) for one in refused]
        for refuse_one in refusals:
            refuse_one()

    def complete(self, number: int) -> None:
        """Record that a request has arrived, so that it isn't refused."""
        with self._lock:
            self._memory.complete(number)

    def release(self, number: int) -> None:
        """Forget a request, which holds nothing any longer."""
        with self._lock:
            self._memory.release(number)
            self._refusals.pop(number, None)
