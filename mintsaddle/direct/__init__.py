"""The direct entry: callers come in by HTTP, endpoints are called directly."""

from mintsaddle.direct._run import run_direct

__all__ = ["run_direct"]
