"""Settings of a daemon, read from an INI file and validated."""

from mintsaddle.settings._direct import DirectSettings
from mintsaddle.settings._read import read_settings
from mintsaddle.settings._settings import Role, Settings

__all__ = ["DirectSettings", "Role", "Settings", "read_settings"]
