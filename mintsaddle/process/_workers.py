"""A pool of threads for blocking calls, all of which end.

The one of the standard library loses a call if an exception ends the thread
that takes it, and later calls wait for the thread that is gone.
"""

import contextlib
import itertools
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import Executor, Future, InvalidStateError
from functools import partial
from typing import Any, NamedTuple, ParamSpec, TypeVar

from mintsaddle.process._threads import never_alive, start_thread

MAX_FAILED_STARTS = 20
"""Threads in a row that end without a call before the calls that wait end."""

_POLL_SECONDS = 0.01

_Parameters = ParamSpec("_Parameters")
_Value = TypeVar("_Value")


class NoThreadError(Exception):
    """A call has no result, as the thread for it ended or couldn't start."""


class _Call(NamedTuple):
    future: "Future[Any]"
    run: Callable[[], Any]


class WorkerPool(Executor):
    """Starts threads when calls find none idle, up to a limit.

    They are kept once started. One that has ended is replaced, and its call
    ends with an exception. Thread-safe.
    """

    def __init__(self, max_threads: int, name: str) -> None:
        """Create the pool without threads.

        Args:
            max_threads: Most threads.
            name: Name of the threads, which are numbered.
        """
        self._max_threads = max_threads
        self._name = name
        self._lock = threading.Lock()
        self._has_changed = threading.Condition(self._lock)
        self._queue: deque[_Call] = deque()
        self._numbers = itertools.count()
        self._threads: dict[int, Callable[[], bool]] = {}
        """Whether each thread is alive, by its number."""

        self._idle: set[int] = set()
        """Threads that wait for a call, or will as soon as they run."""

        self._running: dict[int, _Call] = {}
        """Calls by the number of their thread."""

        self._failed_starts = 0
        """Threads that have ended without a call since the last call."""

        self._is_shut_down = False

    @property
    def thread_count(self) -> int:
        """Number of threads."""
        return len(self._threads)

    def submit(
        self,
        fn: Callable[_Parameters, _Value],
        /,
        *args: _Parameters.args,
        **kwargs: _Parameters.kwargs,
    ) -> "Future[_Value]":
        """Call a function in a thread.

        Raises:
            RuntimeError: The pool is shut down.
        """
        future: Future[_Value] = Future()
        with self._lock:
            if self._is_shut_down:
                raise RuntimeError("The pool is shut down.")
            self._queue.append(_Call(future, partial(fn, *args, **kwargs)))
            self._has_changed.notify()
        self._start_missing()
        return future

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        """Let the threads end once no call waits.

        Args:
            wait: Whether to return only once they have ended.
            cancel_futures: Whether to cancel the calls that wait.
        """
        with self._lock:
            self._is_shut_down = True
            cancelled = tuple(self._queue) if cancel_futures else ()
            if cancel_futures:
                self._queue.clear()
            self._has_changed.notify_all()
        for call in cancelled:
            call.future.cancel()
        while wait and self._threads:
            time.sleep(_POLL_SECONDS)

    def _start_missing(self) -> None:
        """Start threads if more calls wait than threads are idle.

        The lock isn't held meanwhile, as a thread that fails as it starts may
        have its end handled in this one.
        """
        while (number := self._reserve()) is not None:
            try:
                is_alive = start_thread(
                    f"{self._name}-{number}",
                    partial(self._work, number),
                    partial(self._handle_end, number),
                )
            except (RuntimeError, MemoryError):
                _fail(self._withdraw(number))
                return
            with self._lock:
                if number in self._threads:
                    self._threads[number] = is_alive

    def _reserve(self) -> int | None:
        """Return the number of a thread to start, or None."""
        with self._lock:
            is_short = len(self._queue) > len(self._idle)
            if not is_short or len(self._threads) >= self._max_threads:
                return None
            number = next(self._numbers)
            self._threads[number] = never_alive
            self._idle.add(number)
            return number

    def _withdraw(self, number: int) -> tuple[_Call, ...]:
        """Remove a thread that isn't there; return calls that none takes."""
        with self._lock:
            self._threads.pop(number, None)
            self._idle.discard(number)
            if self._threads:
                return ()
            lost = tuple(self._queue)
            self._queue.clear()
            return lost

    def _work(self, number: int) -> None:
        while (call := self._take(number)) is not None:
            _run(call)

    def _take(self, number: int) -> _Call | None:
        """Wait for a call; return None if the thread is to end."""
        with self._lock:
            self._running.pop(number, None)
            self._idle.add(number)
            while not self._queue and not self._is_shut_down:
                self._has_changed.wait()
            if not self._queue:
                return None
            # In this order, an exception between two steps loses no call.
            self._running[number] = self._queue[0]
            self._idle.discard(number)
            self._failed_starts = 0
            return self._queue.popleft()

    def _handle_end(self, number: int) -> None:
        """Replace a thread that has ended, in whatever way."""
        with self._lock:
            self._threads.pop(number, None)
            self._idle.discard(number)
            call = self._running.pop(number, None)
            self._failed_starts += call is None
            must_stop = self._failed_starts >= MAX_FAILED_STARTS
            lost = [call] if call is not None and call not in self._queue else []
            if must_stop and not self._threads:
                lost += self._queue
                self._queue.clear()
            # It may have been woken up for a call that still waits.
            self._has_changed.notify()
        _fail(lost)
        if not must_stop:
            self._start_missing()


def _run(call: _Call) -> None:
    if not call.future.set_running_or_notify_cancel():
        return
    try:
        result = call.run()
    except BaseException as error:
        call.future.set_exception(error)
        # Breaks the reference cycle with the exception.
        del call
    else:
        call.future.set_result(result)


def _fail(calls: Iterable[_Call]) -> None:
    for call in calls:
        # The thread may have ended just after its call.
        with contextlib.suppress(InvalidStateError):
            call.future.set_exception(NoThreadError())
