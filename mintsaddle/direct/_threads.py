"""Threads for callers, started as requests come."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

FIRST_THREADS = 4
"""Threads that are there before the first request."""


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request finds none idle, up to a bound.

    Threads stay once they were needed: the next peak needs them again.
    """

    def __init__(self, most_threads: int) -> None:
        super().__init__()
        self._most_threads = most_threads

    def set_thread_count(self, count: int) -> None:
        """Set the number of threads, within the bound."""
        super().set_thread_count(min(count, self._most_threads))

    def add_task(self, task: Any) -> None:
        """Queue a request for the next idle thread."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            needed = self.active_count + len(self.queue)
            is_short = needed > len(self.threads)
        if is_short:
            self.set_thread_count(needed)
