"""A thread pool for callers that grows on demand."""

import threading
from typing import Any

from waitress.task import ThreadedTaskDispatcher

from mintsaddle.observe import fields, make_logger

INITIAL_THREADS = 4
"""Threads that are started before the first request."""

_log = make_logger("callers")


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request finds none idle, up to a limit.

    Threads are kept once started, because the next load peak needs them.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self._growth = threading.Lock()
        self._starting = 0
        """Number of the thread that was started last."""

    def set_thread_count(self, count: int) -> None:
        """Set the number of threads, up to the limit."""
        try:
            super().set_thread_count(min(count, self._max_threads))
        except RuntimeError:
            # The host may allow no further thread. The request is queued for
            # the others; the caller's connection must not fail for it.
            with self.lock:
                self.threads.discard(self._starting)
            _log.warning("No thread started %s.", fields(threads=len(self.threads)))

    def start_new_thread(self, target: Any, thread_no: int) -> None:
        """Start a thread; called with the lock held."""
        self._starting = thread_no
        super().start_new_thread(target, thread_no)

    def add_task(self, task: Any) -> None:
        """Queue a request for the next idle thread."""
        # Without it, a number that is out of date would stop a thread.
        with self._growth:
            with self.lock:
                self.queue.append(task)
                self.queue_cv.notify()
                needed = self.active_count + len(self.queue)
                is_short = needed > len(self.threads)
            if is_short:
                self.set_thread_count(needed)
