"""The entry daemon: callers come in by HTTP and are routed to endpoints."""

from mintsaddle.entry._run import run_entry

__all__ = ["run_entry"]
