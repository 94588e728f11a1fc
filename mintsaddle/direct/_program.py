"""The direct entry's program, by the platform's settings file."""

import os
import sys
from typing import NoReturn

from returns.result import Failure, Success

from mintsaddle.direct._run import run_direct
from mintsaddle.observe import start_logging, stop_logging
from mintsaddle.platform import load_direct_settings
from mintsaddle.settings import DirectSettings
from mintsaddle.values import render_findings

EXIT_BAD_SETTINGS = 2
"""Exit code when the settings have findings."""


def run_settings_file(path: str) -> NoReturn:
    """Run a direct entry by a settings file until it is told to stop.

    Args:
        path: The platform's TOML file; it is read again when it may have
            changed.
    """

    def reload() -> DirectSettings | None:
        return load_direct_settings(path).value_or(None)

    match load_direct_settings(path):
        case Failure(findings):
            print(render_findings(findings), file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Success(settings):
            start_logging(settings.log_level)
            code = run_direct(settings, reload)
    stop_logging()
    # Threads may still wait in a watch of the store; Python would wait for
    # them.
    os._exit(code)
