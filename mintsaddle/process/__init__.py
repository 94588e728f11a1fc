"""What all long-running processes share."""

from mintsaddle.process._signals import SignalReceiver

__all__ = ["SignalReceiver"]
