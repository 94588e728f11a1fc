"""The command-line tool ``mintsaddle``."""

from mintsaddle.cli._main import main

__all__ = ["main"]
