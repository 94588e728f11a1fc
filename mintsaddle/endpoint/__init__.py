"""The endpoint daemon, through which all requests reach its VM's engine."""

from mintsaddle.endpoint._run import run_endpoint

__all__ = ["run_endpoint"]
