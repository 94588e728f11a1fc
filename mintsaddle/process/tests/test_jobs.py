"""Jobs of an event loop that raise exceptions."""

import asyncio

import pytest

from mintsaddle.process import FailureLog, run_job


class TestJobs:
    @pytest.mark.parametrize("error", [RecursionError, asyncio.CancelledError])
    def test_one_that_raises_starts_again(self, error: type[BaseException]) -> None:
        """Guards against gossip that ends for good by one message."""
        runs: list[int] = []
        failures = FailureLog()

        async def job() -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise error

        asyncio.run(run_job("job", job, failures))
        assert runs == [0, 1, 2]
        assert failures.counts == {"job": 2}

    def test_one_that_is_cancelled_ends(self) -> None:
        """Guards against a process that can't stop its jobs."""
        failures = FailureLog()

        async def cancel() -> None:
            task = asyncio.ensure_future(
                run_job("job", lambda: asyncio.sleep(60.0), failures)
            )
            await asyncio.sleep(0.01)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

        asyncio.run(cancel())
        assert failures.counts == {}
