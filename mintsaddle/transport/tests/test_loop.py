"""Exceptions in the loop that runs all decisions of a daemon."""

import pytest

from mintsaddle.process import Supervisor
from mintsaddle.transport import LoopThread

WAIT_SECONDS = 5.0


async def answer() -> int:
    return 7


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
