"""The daemon's program; it stands above the roles that it starts."""

from mintsaddle.program._main import load_settings, main

__all__ = ["load_settings", "main"]
