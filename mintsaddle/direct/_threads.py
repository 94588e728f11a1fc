"""A thread pool for callers that grows on demand."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

INITIAL_THREADS = 4
"""Threads that are started before the first request."""


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request finds none idle, up to a limit.

    Threads are kept once started, because the next load peak needs them.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads

    def set_thread_count(self, count: int) -> None:
        """Set the number of threads, up to the limit."""
        super().set_thread_count(min(count, self._max_threads))

    def add_task(self, task: Any) -> None:
        """Queue a request for the next idle thread."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            needed = self.active_count + len(self.queue)
            is_short = needed > len(self.threads)
        if is_short:
            self.set_thread_count(needed)
