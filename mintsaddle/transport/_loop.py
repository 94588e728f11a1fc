"""The thread that runs the event loop of grpclib and all decisions."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

from mintsaddle.process import FailureLog, SupervisedThread, Supervisor
from mintsaddle.values import Instant

PASS_SECONDS = 0.5
"""Seconds between two passes of an idle loop, which show that it runs."""

_Value = TypeVar("_Value")


class LoopThread:
    """An event loop in a dedicated thread.

    All decisions of a daemon run sequentially in this loop, so that their
    state needs no locks.
    """

    def __init__(self, name: str, supervisor: Supervisor) -> None:
        self._name = name
        self._supervisor = supervisor
        self._loop = asyncio.new_event_loop()
        self._loop.set_exception_handler(self._record_failure)
        self._thread: SupervisedThread | None = None
        self._passed_at: Instant = time.monotonic()
        self._beat: asyncio.TimerHandle | None = None

    @property
    def failures(self) -> FailureLog:
        """The record of what callbacks and jobs of the loop have raised."""
        return self._supervisor.failures

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop, for code that already runs in it."""
        return self._loop

    def start(self) -> None:
        """Start the thread."""
        self._thread = self._supervisor.start(self._name, self._run, is_vital=True)
        self._supervisor.watch(self._name, lambda: self._passed_at)

    def submit(self, coroutine: Coroutine[Any, Any, _Value]) -> "Future[_Value]":
        """Schedule a coroutine in the loop from another thread."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def post(self, callback: Callable[..., object], *arguments: object) -> None:
        """Schedule a function call in the loop from another thread."""
        self._loop.call_soon_threadsafe(callback, *arguments)

    def stop(self) -> None:
        """Stop the loop and wait for its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        """Run the loop until it is stopped."""
        # An exception may have cost the pass in which the last one was due.
        if self._beat is not None:
            self._beat.cancel()
        self._record_pass()
        self._loop.run_forever()

    def _record_pass(self) -> None:
        self._passed_at = time.monotonic()
        self._beat = self._loop.call_later(PASS_SECONDS, self._record_pass)

    def _record_failure(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get("exception") or RuntimeError(context["message"])
        self.failures.record(self._name, error)
