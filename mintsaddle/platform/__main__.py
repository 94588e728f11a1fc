"""Run a direct entry by the platform's settings file."""

import os
import sys
from typing import NoReturn

from returns.result import Failure, Success

from mintsaddle.direct import run_direct
from mintsaddle.observe import start_logging, stop_logging
from mintsaddle.platform import load_direct_settings, settings_path
from mintsaddle.settings import DirectSettings
from mintsaddle.values import render_findings

_EXIT_BAD_SETTINGS = 2


def _reload() -> DirectSettings | None:
    return load_direct_settings(settings_path()).value_or(None)


def main() -> NoReturn:
    """Run until told to stop."""
    match load_direct_settings(settings_path()):
        case Failure(findings):
            print(render_findings(findings), file=sys.stderr)
            sys.exit(_EXIT_BAD_SETTINGS)
        case Success(settings):
            start_logging(settings.log_level)
            code = run_direct(settings, _reload)
    stop_logging()
    # Threads may still wait in a watch of the store; Python would wait for
    # them.
    os._exit(code)


if __name__ == "__main__":
    main()
