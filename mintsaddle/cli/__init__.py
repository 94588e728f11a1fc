"""The command-line tool ``mintsaddle``."""

from mintsaddle.cli._main import main
from mintsaddle.cli._remote import show_histograms, show_status

__all__ = ["main", "show_histograms", "show_status"]
