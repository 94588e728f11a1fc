"""The growing thread pool."""

import _thread
import threading
from typing import Any

import pytest

from mintsaddle.callers._threads import INITIAL_THREADS, GrowingDispatcher
from mintsaddle.platform.tests.standins import wait_for
from mintsaddle.process import FailureLog
from mintsaddle.process.tests.failing_threads import fail_starts, returns_within

WAIT_SECONDS = 10.0


class BlockedTask:
    """A task that blocks until the test releases it."""

    def __init__(self, release: threading.Event) -> None:
        self.began = threading.Event()
        self._release = release

    def service(self) -> None:
        self.began.set()
        self._release.wait(WAIT_SECONDS)

    def cancel(self) -> None:
        """Required by the dispatcher; does nothing."""


def add_tasks(
    dispatcher: Any, count: int, release: threading.Event
) -> list[BlockedTask]:
    tasks = [BlockedTask(release) for _ in range(count)]
    for one in tasks:
        dispatcher.add_task(one)
    return tasks


class TestGrowth:
    def test_each_request_finds_a_thread_up_to_the_bound(self) -> None:
        """Guards against a request that waits behind a long stream."""
        dispatcher, release = GrowingDispatcher(20, FailureLog()), threading.Event()
        dispatcher.set_thread_count(INITIAL_THREADS)
        tasks = add_tasks(dispatcher, 25, release)
        assert all(one.began.wait(WAIT_SECONDS) for one in tasks[:20])
        assert len(dispatcher.threads) == 20
        release.set()
        assert all(one.began.wait(WAIT_SECONDS) for one in tasks[20:])
        dispatcher.shutdown()

    def test_an_idle_entry_keeps_few_threads(self) -> None:
        dispatcher = GrowingDispatcher(100, FailureLog())
        dispatcher.set_thread_count(INITIAL_THREADS)
        assert len(dispatcher.threads) == INITIAL_THREADS
        dispatcher.shutdown()


class TestExhaustion:
    def test_a_request_waits_while_no_thread_can_be_started(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a connection closed after its request was queued."""
        dispatcher, release = GrowingDispatcher(20, FailureLog()), threading.Event()
        dispatcher.set_thread_count(INITIAL_THREADS)

        def refuse_thread(*_: object) -> None:
            raise RuntimeError("can't start new thread")

        with monkeypatch.context() as patch:
            patch.setattr(_thread, "start_new_thread", refuse_thread)
            tasks = add_tasks(dispatcher, INITIAL_THREADS + 2, release)
            assert all(one.began.wait(WAIT_SECONDS) for one in tasks[:-2])
        assert len(dispatcher.threads) == INITIAL_THREADS
        tasks += add_tasks(dispatcher, 1, release)
        assert all(one.began.wait(WAIT_SECONDS) for one in tasks)
        release.set()
        dispatcher.shutdown()


class FailingTask(BlockedTask):
    """A task that raises an exception."""

    def service(self) -> None:
        raise SystemExit


class TestFailures:
    def test_a_request_that_raises_leaves_its_thread(self) -> None:
        failures = FailureLog()
        dispatcher, release = GrowingDispatcher(4, failures), threading.Event()
        dispatcher.set_thread_count(INITIAL_THREADS)
        for _ in range(20):
            dispatcher.add_task(FailingTask(release))
        release.set()
        (task,) = add_tasks(dispatcher, 1, release)
        assert task.began.wait(WAIT_SECONDS)
        wait_for(lambda: failures.counts == {"requests": 20}, "failures")
        dispatcher.shutdown()

    def test_a_thread_that_fails_while_idle_is_replaced(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests that wait for threads that are gone."""
        failures = FailureLog()
        dispatcher, release = GrowingDispatcher(8, failures), threading.Event()
        plain = dispatcher.queue_cv.wait

        def fail_once_woken() -> None:
            plain()
            raise MemoryError

        monkeypatch.setattr(dispatcher.queue_cv, "wait", fail_once_woken)
        dispatcher.set_thread_count(INITIAL_THREADS)
        wait_for(lambda: dispatcher.idle_count == INITIAL_THREADS, "idle threads")
        release.set()
        for _ in range(3 * INITIAL_THREADS):
            (task,) = add_tasks(dispatcher, 1, release)
            assert task.began.wait(WAIT_SECONDS)
        assert failures.counts["requests"] >= INITIAL_THREADS
        wait_for(
            lambda: dispatcher.idle_count == len(dispatcher.threads), "idle threads"
        )
        assert len(dispatcher.threads) <= 8
        dispatcher.shutdown()

    @pytest.mark.parametrize("failing", [1, 3])
    def test_threads_that_fail_as_they_start_are_replaced(
        self, monkeypatch: pytest.MonkeyPatch, failing: int
    ) -> None:
        """Guards against a loop that waits for a thread that is gone."""
        dispatcher, release = GrowingDispatcher(8, FailureLog()), threading.Event()
        dispatcher.set_thread_count(INITIAL_THREADS)
        tasks: list[BlockedTask] = []
        count_failed = fail_starts(monkeypatch, failing)
        assert returns_within(
            WAIT_SECONDS, lambda: tasks.extend(add_tasks(dispatcher, 8, release))
        )
        wait_for(lambda: count_failed() == failing, "failing threads")
        dispatcher.replace_ended()
        assert all(one.began.wait(WAIT_SECONDS) for one in tasks)
        release.set()
        dispatcher.shutdown()
