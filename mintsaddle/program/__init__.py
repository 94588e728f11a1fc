"""Entry point of the daemon, which starts the configured role."""

from mintsaddle.program._main import load_settings, main

__all__ = ["load_settings", "main"]
