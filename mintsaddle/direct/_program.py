"""Entry point that runs a direct entry from the platform's settings file."""

import sys
from functools import partial
from typing import NoReturn

from returns.result import Failure, Success

from mintsaddle.direct._run import run_direct
from mintsaddle.observe import start_logging
from mintsaddle.platform import load_direct_settings
from mintsaddle.process import exit_after
from mintsaddle.settings import DirectSettings
from mintsaddle.values import render_findings

EXIT_BAD_SETTINGS = 2
"""Exit code for invalid settings."""


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
            exit_after(partial(run_direct, settings, reload))
    raise AssertionError("a result is a success or a failure")
