"""Settings of a daemon, read from an INI file and validated."""

from mintsaddle.settings._direct import DirectSettings
from mintsaddle.settings._read import read_settings
from mintsaddle.settings._requests import DEFAULT_REQUEST_LIMITS, RequestLimits
from mintsaddle.settings._settings import Role, Settings

__all__ = [
    "DEFAULT_REQUEST_LIMITS",
    "DirectSettings",
    "RequestLimits",
    "Role",
    "Settings",
    "read_settings",
]
