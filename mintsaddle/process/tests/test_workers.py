"""Exceptions in the threads of a pool for blocking calls."""

import _thread
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future

import pytest

from mintsaddle.process import NoThreadError, WorkerPool
from mintsaddle.process._workers import MAX_FAILED_STARTS
from mintsaddle.process.tests.failing_threads import (
    fail_starts,
    raise_in,
    returns_within,
)

WAIT_SECONDS = 5.0
THREADS = 4
ROUNDS = 20


@pytest.fixture
def pool(monkeypatch: pytest.MonkeyPatch) -> Iterator[WorkerPool]:
    # The one of pytest keeps the frames of the thread.
    monkeypatch.setattr(sys, "unraisablehook", lambda _: None)
    pool = WorkerPool(THREADS, "test")
    yield pool
    pool.shutdown(wait=False)


def ends(future: "Future[object]") -> bool:
    """Return whether a call ends in time, with a result or an exception."""
    try:
        future.exception(WAIT_SECONDS)
    except TimeoutError:
        return False
    return True


class TestCalls:
    def test_results_come_in_order(self, pool: WorkerPool) -> None:
        assert list(pool.map(abs, range(-50, 0))) == list(range(50, 0, -1))
        assert pool.thread_count <= THREADS

    def test_an_exception_reaches_the_one_who_called(self, pool: WorkerPool) -> None:
        for error in (ValueError, SystemExit):
            with pytest.raises(error):
                pool.submit(self._raise, error).result(WAIT_SECONDS)
        assert pool.submit(abs, -1).result(WAIT_SECONDS) == 1

    def test_one_waits_if_all_threads_are_busy(self, pool: WorkerPool) -> None:
        release = threading.Event()
        blocked = [pool.submit(release.wait, WAIT_SECONDS) for _ in range(THREADS)]
        waiting = pool.submit(abs, -1)
        time.sleep(0.1)
        assert not waiting.done()
        release.set()
        assert waiting.result(WAIT_SECONDS) == 1
        assert all(future.result(WAIT_SECONDS) for future in blocked)

    def test_the_threads_end_with_the_pool(self) -> None:
        with WorkerPool(THREADS, "test") as pool:
            futures = [pool.submit(abs, -number) for number in range(20)]
        assert all(future.done() for future in futures)
        assert pool.thread_count == 0
        with pytest.raises(RuntimeError):
            pool.submit(abs, -1)

    @staticmethod
    def _raise(error: type[BaseException]) -> None:
        raise error


class TestFailures:
    @pytest.mark.parametrize("error", [RuntimeError, SystemExit, MemoryError])
    def test_one_in_an_idle_thread_blocks_no_call(
        self, pool: WorkerPool, error: type[BaseException]
    ) -> None:
        """Guards against calls that wait for a thread that is gone."""
        for _ in range(ROUNDS):
            idle = pool.submit(threading.get_ident).result(WAIT_SECONDS)
            raise_in(idle, error)
            assert ends(pool.submit(abs, -1))
        assert pool.submit(abs, -1).result(WAIT_SECONDS) == 1
        assert pool.thread_count <= THREADS

    def test_one_in_a_call_ends_it(self, pool: WorkerPool) -> None:
        """Guards against a call that never returns."""
        began, threads = threading.Event(), list[int]()

        def work() -> None:
            threads.append(threading.get_ident())
            began.set()
            while True:
                time.sleep(0.001)

        future = pool.submit(work)
        assert began.wait(WAIT_SECONDS)
        raise_in(threads[0], RuntimeError)
        assert isinstance(future.exception(WAIT_SECONDS), RuntimeError)
        assert pool.submit(abs, -1).result(WAIT_SECONDS) == 1

    @pytest.mark.parametrize("failing", [1, 3, 10])
    def test_a_thread_that_fails_as_it_starts_is_replaced(
        self, pool: WorkerPool, monkeypatch: pytest.MonkeyPatch, failing: int
    ) -> None:
        """Guards against a call that waits for a thread that is gone."""
        futures: list[Future[int]] = []
        count_failed = fail_starts(monkeypatch, failing)

        # Needs all threads at once.
        barrier = threading.Barrier(THREADS)

        def submit() -> None:
            futures.extend(pool.submit(barrier.wait) for _ in range(THREADS))

        assert returns_within(WAIT_SECONDS, submit)
        results = sorted(one.result(WAIT_SECONDS) for one in futures)
        assert results == list(range(THREADS))
        assert count_failed() == failing

    def test_a_call_ends_if_all_threads_fail_as_they_start(
        self, pool: WorkerPool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against threads that are started without end."""
        with monkeypatch.context() as patch:
            count_failed = fail_starts(patch, 1_000)
            future = pool.submit(abs, -1)
            assert isinstance(future.exception(WAIT_SECONDS), NoThreadError)
            assert count_failed() == MAX_FAILED_STARTS
        assert pool.submit(abs, -1).result(WAIT_SECONDS) == 1

    def test_a_thread_that_has_ended_before_its_start_returns_is_replaced(
        self, pool: WorkerPool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a pool that waits for its own lock."""
        count_failed = fail_starts(monkeypatch, 3, must_wait=True)
        futures: list[Future[int]] = []
        assert returns_within(
            WAIT_SECONDS, lambda: futures.append(pool.submit(abs, -1))
        )
        assert futures[0].result(WAIT_SECONDS) == 1
        assert count_failed() == 3

    def test_a_call_ends_if_no_thread_can_be_started(
        self, pool: WorkerPool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a call that waits until there are threads again."""

        def refuse_thread(*_: object) -> None:
            raise RuntimeError("can't start new thread")

        with monkeypatch.context() as patch:
            patch.setattr(_thread, "start_new_thread", refuse_thread)
            future = pool.submit(abs, -1)
            assert isinstance(future.exception(WAIT_SECONDS), NoThreadError)
        assert pool.submit(abs, -1).result(WAIT_SECONDS) == 1
