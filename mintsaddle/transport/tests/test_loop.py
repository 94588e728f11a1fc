"""Exceptions in the loop that runs all decisions of a daemon."""

import threading
import time

import pytest

from mintsaddle.decisions.supervision import MAX_SILENCE_SECONDS
from mintsaddle.process import BeyondHelpError, Supervisor
from mintsaddle.transport import LoopThread

WAIT_SECONDS = 5.0
CHECK_SECONDS = 0.25


async def answer() -> int:
    return 7


class TestStalls:
    def test_one_that_goes_on_is_left_alone(self) -> None:
        supervisor = Supervisor()
        loop_thread = LoopThread("loop", supervisor)
        loop_thread.start()
        for _ in range(10):
            supervisor.check()
            time.sleep(MAX_SILENCE_SECONDS / 5)
        loop_thread.stop()

    def test_one_that_is_blocked_for_good_ends_the_process(self) -> None:
        """Guards against callers that wait for a loop that is blocked."""
        times = iter(
            number * CHECK_SECONDS + time.monotonic() for number in range(1_000)
        )
        supervisor = Supervisor(now=lambda: next(times))
        release = threading.Event()
        loop_thread = LoopThread("loop", supervisor)
        loop_thread.start()
        loop_thread.post(release.wait)
        with pytest.raises(BeyondHelpError):
            for _ in range(100):
                supervisor.check()
        release.set()


class TestFailures:
    @pytest.mark.parametrize("error", [RuntimeError, SystemExit, KeyboardInterrupt])
    def test_one_leaves_the_loop_running(self, error: type[BaseException]) -> None:
        """Guards against callers that wait for a loop that has ended."""

        def fail() -> None:
            raise error

        supervisor = Supervisor()
        loop_thread = LoopThread("loop", supervisor)
        loop_thread.start()
        for count in range(1, 4):
            loop_thread.post(fail)
            assert loop_thread.submit(answer()).result(WAIT_SECONDS) == 7
            counts = supervisor.failures.counts
            assert counts == {"loop": count}
        loop_thread.stop()
