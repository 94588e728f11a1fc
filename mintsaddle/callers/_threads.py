"""A thread pool for callers that grows on demand."""

import threading
from collections.abc import Callable
from functools import partial
from typing import Any

from waitress.task import ThreadedTaskDispatcher

from mintsaddle.observe import fields, make_logger
from mintsaddle.process import FailureLog, never_alive, start_thread

INITIAL_THREADS = 4
"""Threads that are started before the first request."""

_LOOP = "requests"
_ENDED = RuntimeError("A thread has ended unnoticed.")
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
        self._is_alive: dict[int, Callable[[], bool]] = {}
        """Whether each thread is alive, by its number."""

        self._idle: set[int] = set()
        """Threads that wait for a request, or will as soon as they run."""

    @property
    def idle_count(self) -> int:
        """Number of threads that have no request."""
        return len(self._idle)

    def set_thread_count(self, count: int) -> None:
        """Set the number of threads, up to the limit."""
        super().set_thread_count(min(count, self._max_threads))

    def start_new_thread(self, target: Any, thread_no: int) -> None:
        """Start a thread if the host allows one; called with the lock held.

        Otherwise, the request that needs it waits for the others. An exception
        would close its caller's connection.
        """
        try:
            self._is_alive[thread_no] = start_thread(
                f"{_LOOP}-{thread_no}", partial(target, thread_no)
            )
            self._idle.add(thread_no)
        except (RuntimeError, MemoryError):
            self._remove(thread_no)
            _log.warning("No thread started %s.", fields(threads=len(self.threads)))

    def replace_ended(self) -> None:
        """Replace threads that have ended without a chance to say so."""
        with self.lock:
            for thread_no in tuple(self.threads):
                if not self._is_alive.get(thread_no, never_alive)():
                    self._failures.record(_LOOP, _ENDED)
                    self._remove(thread_no)
        self._grow()

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
            while (task := self._take_task(thread_no)) is not None:
                self._serve(task)
        except BaseException:
            has_failed = True
            self._failures.record(_LOOP)
        finally:
            with self.lock:
                self._remove(thread_no)
                self.thread_exit_cv.notify()
                # It may have been woken up for a request that still waits.
                self.queue_cv.notify()
        if has_failed:
            self._grow()

    def _take_task(self, thread_no: int) -> Any:
        """Wait for a request; return None if the thread is to stop."""
        with self.lock:
            self._idle.add(thread_no)
            while not self.queue and self.stop_count == 0:
                self.queue_cv.wait()
            if self.stop_count > 0:
                self.stop_count -= 1
                return None
            self._idle.discard(thread_no)
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
                missing = len(self.queue) - len(self._idle)
                count = len(self.threads) + missing
            if missing > 0:
                self.set_thread_count(count)

    def _remove(self, thread_no: int) -> None:
        """Remove a thread; called with the lock held."""
        self.threads.discard(thread_no)
        self._idle.discard(thread_no)
        self._is_alive.pop(thread_no, None)
