"""The endpoint daemon: the only way into the engine on its VM."""

from mintsaddle.endpoint._run import run_endpoint

__all__ = ["run_endpoint"]
