"""What all long-running processes share."""

from mintsaddle.process._exit import EXIT_FAILURE, exit_after
from mintsaddle.process._failures import FailureLog
from mintsaddle.process._jobs import run_job
from mintsaddle.process._signals import SignalReceiver, clear_wakeup, open_wakeup
from mintsaddle.process._supervisor import (
    BeyondHelpError,
    SupervisedThread,
    Supervisor,
)
from mintsaddle.process._threads import never_alive, start_thread
from mintsaddle.process._workers import NoThreadError, WorkerPool

__all__ = [
    "EXIT_FAILURE",
    "BeyondHelpError",
    "FailureLog",
    "NoThreadError",
    "SignalReceiver",
    "SupervisedThread",
    "Supervisor",
    "WorkerPool",
    "clear_wakeup",
    "exit_after",
    "never_alive",
    "open_wakeup",
    "run_job",
    "start_thread",
]
