"""The settings of one daemon: a small INI file, checked as a whole."""

from mintsaddle.settings._read import read_settings
from mintsaddle.settings._settings import Role, Settings

__all__ = ["Role", "Settings", "read_settings"]
