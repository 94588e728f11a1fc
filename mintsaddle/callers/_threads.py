"""A thread pool for callers that grows on demand."""

import threading
from typing import Any

from waitress.task import ThreadedTaskDispatcher

from mintsaddle.observe import fields, make_logger
from mintsaddle.process import FailureLog

INITIAL_THREADS = 4
"""Threads that are started before the first request."""

_LOOP = "requests"
_log = make_logger("callers")


class GrowingDispatcher(ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts a thread when a request finds none idle, up to a limit.

    Threads are kept once started, because the next load peak needs them.
    """

    def __init__(self, max_threads: int, failures: FailureLog) -> None:
        """Create the pool without threads.

        Args:
            max_threads: Most threads.
            failures: Records what threads raise beside their requests.
        """
        super().__init__()
        self._failures = failures
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
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
        self._grow()

    def handler_thread(self, thread_no: int) -> None:
        """Serve requests until the thread is to stop.

        Another one takes over if an exception ends it.
        """
        has_failed = False
        try:
            while (task := self._take_task()) is not None:
                self._serve(task)
        except BaseException:
            has_failed = True
            self._failures.record(_LOOP)
        finally:
            with self.lock:
                self.active_count -= 1
                self.threads.discard(thread_no)
                self.thread_exit_cv.notify()
                # It may have been woken up for a request that still waits.
                self.queue_cv.notify()
        if has_failed:
            self._grow()

    def _take_task(self) -> Any:
        """Wait for a request; return None if the thread is to stop."""
        with self.lock:
            while not self.queue and self.stop_count == 0:
                self.active_count -= 1
                try:
                    self.queue_cv.wait()
                finally:
                    self.active_count += 1
            if self.stop_count > 0:
                self.stop_count -= 1
                return None
            return self.queue.popleft()

    def _serve(self, task: Any) -> None:
        try:
            task.service()
        except BaseException:
            self._failures.record(_LOOP)

    def _grow(self) -> None:
        """Start threads if more requests wait than threads are idle."""
        # Without it, a number that is out of date would stop a thread.
        with self._growth:
            with self.lock:
                needed = self.active_count + len(self.queue)
                is_short = self.queue and needed > len(self.threads)
            if is_short:
                self.set_thread_count(needed)
