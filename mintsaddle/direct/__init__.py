"""The direct entry: accepts HTTP requests and calls endpoints directly."""

from mintsaddle.direct._program import EXIT_BAD_SETTINGS, run_settings_file
from mintsaddle.direct._run import run_direct

__all__ = ["EXIT_BAD_SETTINGS", "run_direct", "run_settings_file"]
