"""Entry point that runs a direct entry from the platform's settings file."""

import os
import sys
from typing import NoReturn

from returns.result import Failure, Success

from mintsaddle.direct._run import run_direct
from mintsaddle.observe import make_logger, start_logging, stop_logging
from mintsaddle.platform import load_direct_settings
from mintsaddle.settings import DirectSettings
from mintsaddle.values import render_findings

EXIT_BAD_SETTINGS = 2
"""Exit code for invalid settings."""

EXIT_FAILURE = 1
"""Exit code after an exception; the platform starts the process again."""

_log = make_logger("daemon")


def run_settings_file(path: str) -> NoReturn:
    """Run a direct entry with a settings file until a stop signal.

    Args:
        path: The platform's TOML file; read again when it may have changed.
    """

    def reload() -> DirectSettings | None:
        return load_direct_settings(path).value_or(None)

    match load_direct_settings(path):
        case Failure(findings):
            print(render_findings(findings), file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Success(settings):
            start_logging(settings.log_level)
            try:
                code = run_direct(settings, reload)
            except BaseException:
                _log.exception("Ending after an exception.")
                code = EXIT_FAILURE
    stop_logging()
    # A normal exit would join threads, which may be blocked in a watch of the
    # store, and callers would go on meeting a process without its main thread.
    os._exit(code)
