"""Signals that the main thread waits for."""

import collections
import os
import select
import signal

from mintsaddle.values import MILLISECONDS

_MAX_SIGNALS = 1_024


class SignalReceiver:
    """Receives signals for a main thread that waits in ``wait``.

    Python runs handlers in the main thread, between any two of its steps. So
    they take no lock: the thread may hold it, and would wait for itself. An
    ``Event`` has one.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        """Install handlers; call it in the main thread."""
        self._received: collections.deque[int] = collections.deque()
        # A signal just before the wait ends it, too.
        self._reader, writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, self._record)

    def wait(self, seconds: float) -> frozenset[int]:
        """Wait for signals; return those received since the last call.

        Args:
            seconds: How long to wait if there are none.
        """
        poll = select.poll()
        poll.register(self._reader, select.POLLIN)
        if not self._received and poll.poll(max(0.0, seconds) * MILLISECONDS):
            os.read(self._reader, _MAX_SIGNALS)
        received = set()
        while self._received:
            received.add(self._received.popleft())
        return frozenset(received)

    def _record(self, number: int, _: object) -> None:
        self._received.append(number)
