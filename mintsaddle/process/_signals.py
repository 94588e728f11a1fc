"""Signals that the main thread waits for."""

import collections
import os
import select
import signal

from mintsaddle.values import MILLISECONDS

_MAX_SIGNALS = 1_024


def open_wakeup() -> int:
    """Return a descriptor that becomes readable when a signal arrives.

    A wait for it also ends for a signal that arrives just before the wait.
    Call it in the main thread.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    return reader


def clear_wakeup(reader: int) -> None:
    """Read what has made such a descriptor readable."""
    os.read(reader, _MAX_SIGNALS)


class SignalReceiver:
    """Receives signals for a main thread that waits in ``wait``.

    Python runs handlers in the main thread, between any two of its steps. So
    they take no lock: the thread may hold it, and would wait for itself. An
    ``Event`` has one.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        """Install handlers; call it in the main thread."""
        self._received: collections.deque[int] = collections.deque()
        self._wakeup = open_wakeup()
        self._poll = select.poll()
        self._poll.register(self._wakeup, select.POLLIN)
        for number in numbers:
            signal.signal(number, self._record)

    def wait(self, seconds: float) -> frozenset[int]:
        """Wait for signals; return those received since the last call.

        Args:
            seconds: How long to wait if there are none.
        """
        if not self._received and self._poll.poll(max(0.0, seconds) * MILLISECONDS):
            clear_wakeup(self._wakeup)
        received = set()
        while self._received:
            received.add(self._received.popleft())
        return frozenset(received)

    def _record(self, number: int, _: object) -> None:
        self._received.append(number)
