"""Jobs of an event loop, which run again after an exception."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from mintsaddle.decisions.supervision import Restarts, record_failure
from mintsaddle.process._failures import FailureLog
from mintsaddle.values import Clock


async def run_job(
    name: str,
    job: Callable[[], Coroutine[Any, Any, None]],
    failures: FailureLog,
    now: Clock = time.monotonic,
) -> None:
    """Run a job until it returns or this task is cancelled.

    Args:
        name: Name of the job in the record of failures.
        job: Runs again after any exception.
        failures: Records its exceptions.
        now: A clock that doesn't step.
    """
    restarts = Restarts()
    while True:
        started_at = now()
        try:
            return await job()
        except asyncio.CancelledError:
            if _is_cancelled():
                raise
            # Something that the job awaited was cancelled.
            failures.record(name)
        except Exception:
            failures.record(name)
        restarts = record_failure(restarts, started_at, now())
        await asyncio.sleep(max(0.0, restarts.restart_at - now()))


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
