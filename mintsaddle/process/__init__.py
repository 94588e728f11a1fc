"""What all long-running processes share."""

from mintsaddle.process._failures import FailureLog
from mintsaddle.process._signals import SignalReceiver, clear_wakeup, open_wakeup

__all__ = ["FailureLog", "SignalReceiver", "clear_wakeup", "open_wakeup"]
