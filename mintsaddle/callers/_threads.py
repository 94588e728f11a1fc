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

    def set_thread_count(self, count: int) -> None:
        """Set the number of threads, up to the limit."""
        super().set_thread_count(min(count, self._max_threads))

    def start_new_thread(self, target: Any, thread_no: int) -> None:
        """Start a thread if the host allows one; called with the lock held.

        Otherwise, the request that needs it waits for the others. An exception
        would close its caller's connection.
        """
        try:
            super().start_new_thread(target, thread_no)
        except RuntimeError:
            # The caller counts it as active from now on.
            self.active_count -= 1
            self.threads.discard(thread_no)
            _log.warning("No thread started %s.", fields(threads=len(self.threads)))

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
