"""Threads that fail as they start."""

import threading
import time
from types import SimpleNamespace

import pytest

from mintsaddle.process import BeyondHelpError, Supervisor, _supervisor
from mintsaddle.process.tests.failing_threads import fail_starts, returns_within

WAIT_SECONDS = 5.0
CHECK_SECONDS = 0.05
FAILURES = 3


class TestFailingStarts:
    def test_one_is_started_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a main thread that waits for a dead thread."""
        supervisor, ran = Supervisor(), threading.Event()
        count_failed = fail_starts(monkeypatch, FAILURES)

        def check_until_it_runs() -> None:
            supervisor.start("loop", ran.set)
            end = time.monotonic() + WAIT_SECONDS
            while not ran.is_set() and time.monotonic() < end:
                supervisor.check()
                time.sleep(CHECK_SECONDS)

        assert returns_within(2 * WAIT_SECONDS, check_until_it_runs)
        assert ran.is_set()
        assert count_failed() == FAILURES

    def test_one_is_counted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a thread that fails again and again in silence."""
        supervisor, ran = Supervisor(), threading.Event()
        fail_starts(monkeypatch, FAILURES)
        supervisor.start("loop", ran.set)
        end = time.monotonic() + WAIT_SECONDS
        while not ran.is_set() and time.monotonic() < end:
            supervisor.check()
            time.sleep(CHECK_SECONDS)
        assert supervisor.failures.counts == {"loop": FAILURES}

    def test_one_that_callers_need_ends_the_process(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an entry that stays without the loop it needs."""
        supervisor, ended = Supervisor(), threading.Event()
        fail_starts(monkeypatch, 1_000)

        def check_until_the_end() -> None:
            supervisor.start("loop", threading.Event().wait, is_vital=True)
            try:
                while True:
                    supervisor.check()
            except BeyondHelpError:
                ended.set()

        assert returns_within(WAIT_SECONDS, check_until_the_end)
        assert ended.is_set()


class TestPauses:
    def test_an_exception_in_one_is_counted(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a thread that ends as it waits to run again."""
        pauses, ran = iter([MemoryError, SystemExit, RuntimeError]), threading.Event()

        def sleep(_: float) -> None:
            if error := next(pauses, None):
                raise error

        fake = SimpleNamespace(sleep=sleep, monotonic=time.monotonic)
        monkeypatch.setattr(_supervisor, "time", fake)
        supervisor = Supervisor()
        supervisor.start("loop", ran.set)
        assert ran.wait(WAIT_SECONDS)
        assert supervisor.failures.counts == {"loop": 3}
