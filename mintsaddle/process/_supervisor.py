"""Long-lived threads, which are started again when they end."""

import time
from collections.abc import Callable

from mintsaddle.decisions.supervision import (
    Restarts,
    Stall,
    is_beyond_help,
    is_stalled_for_good,
    record_check,
    record_failure,
)
from mintsaddle.process._failures import FailureLog
from mintsaddle.process._threads import never_alive, start_thread
from mintsaddle.values import Clock, Instant

_JOIN_POLL_SECONDS = 0.01
_ENDED = RuntimeError("The thread has ended.")


class BeyondHelpError(Exception):
    """What the process can't do without fails again and again, or stalls."""


class SupervisedThread:
    """A daemon thread that runs a function until it returns."""

    def __init__(
        self,
        name: str,
        run: Callable[[], object],
        failures: FailureLog,
        now: Clock,
        *,
        is_vital: bool,
    ) -> None:
        """Set up the thread.

        Args:
            name: Name of the thread, and of its failures in their record.
            run: The function; runs again after an exception.
            failures: Records its exceptions.
            now: A clock that doesn't step.
            is_vital: Whether the process must end if running it again doesn't
                help.
        """
        self._name = name
        self._run = run
        self._failures = failures
        self._now = now
        self._is_vital = is_vital
        self._restarts = Restarts()
        self._has_returned = False
        self._started_at: Instant = now()
        self._is_alive = never_alive

    @property
    def name(self) -> str:
        """Name of the thread."""
        return self._name

    @property
    def must_end_process(self) -> bool:
        """Whether the process can't go on without it, and nothing helps."""
        return self._is_vital and is_beyond_help(self._restarts)

    def start(self) -> None:
        """Start the thread.

        Raises:
            RuntimeError: The host has no thread left.
            MemoryError: There is no memory for it.
        """
        self._is_alive = start_thread(self._name, self._run_again)

    def join(self) -> None:
        """Wait until the function has returned, or is beyond help."""
        while not self._has_returned and not self.must_end_process:
            self.revive()
            time.sleep(_JOIN_POLL_SECONDS)

    def revive(self) -> None:
        """Start the thread again if an exception has ended it.

        It survives exceptions of its function. This is for those that come
        while it handles one.

        Raises:
            RuntimeError: The host has no thread left.
            MemoryError: There is no memory for it.
        """
        if self._has_returned or self._is_alive():
            return
        self._failures.record(self._name, _ENDED)
        self._restarts = record_failure(self._restarts, self._started_at, self._now())
        self.start()

    def _run_again(self) -> None:
        while not self._has_returned and not self.must_end_process:
            try:
                time.sleep(max(0.0, self._restarts.restart_at - self._now()))
                self._started_at = self._now()
                self._run()
                self._has_returned = True
            # Whatever it is, the other threads go on without this one.
            except BaseException:
                self._restarts = record_failure(
                    self._restarts, self._started_at, self._now()
                )
                self._failures.record(self._name)


class Supervisor:
    """Starts the long-lived threads of a process. For the main thread."""

    def __init__(
        self, failures: FailureLog | None = None, now: Clock = time.monotonic
    ) -> None:
        """Set up the supervisor.

        Args:
            failures: Records what the threads raise.
            now: A clock that doesn't step.
        """
        self._failures = failures or FailureLog()
        self._now = now
        self._threads: list[SupervisedThread] = []
        self._passes: dict[str, Callable[[], Instant]] = {}
        self._stalls: dict[str, Stall] = {}

    @property
    def failures(self) -> FailureLog:
        """The record of what the threads, and loops in them, have raised."""
        return self._failures

    def start(
        self, name: str, run: Callable[[], object], *, is_vital: bool = False
    ) -> SupervisedThread:
        """Start a thread that runs a function, again after any exception.

        Args:
            name: Name of the thread, and of its failures in their record.
            run: The function. Once it returns, the thread ends.
            is_vital: Whether the process must end if running it again doesn't
                help.

        Raises:
            RuntimeError: The host has no thread left.
            MemoryError: There is no memory for it.
        """
        thread = SupervisedThread(
            name, run, self._failures, self._now, is_vital=is_vital
        )
        thread.start()
        self._threads.append(thread)
        return thread

    def watch(self, name: str, passed_at: Callable[[], Instant]) -> None:
        """End the process if a loop makes no pass for long.

        Args:
            name: Name of the loop.
            passed_at: Returns when the loop made its last pass.
        """
        self._passes[name] = passed_at
        self._stalls[name] = Stall()

    def check(self) -> None:
        """Check threads and loops; call it several times a second.

        Threads that have ended are started again.

        Raises:
            BeyondHelpError: The process must end, so that the platform starts
                it anew.
        """
        for thread in self._threads:
            if thread.must_end_process:
                raise BeyondHelpError(thread.name)
            with self._failures.contain(thread.name):
                thread.revive()
        for name, passed_at in self._passes.items():
            stall = record_check(self._stalls[name], passed_at(), self._now())
            self._stalls[name] = stall
            if is_stalled_for_good(stall):
                raise BeyondHelpError(name)
