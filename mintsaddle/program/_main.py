"""Run a mintsaddle daemon.

Usage:
  mintsaddled --settings FILE [--check]
  mintsaddled --help

Options:
  --settings FILE  Settings of the daemon: an INI file, or the platform's
                   settings file if its name ends in .toml.
  --check          Check the settings and exit.
  --help           Show this page.
"""

import sys
from functools import partial
from pathlib import Path
from typing import NoReturn

from docopt import docopt
from returns.result import Failure, Result, Success

from mintsaddle.direct import EXIT_BAD_SETTINGS, run_settings_file
from mintsaddle.endpoint import run_endpoint
from mintsaddle.entry import run_entry
from mintsaddle.observe import start_logging
from mintsaddle.platform import load_direct_settings
from mintsaddle.process import exit_after
from mintsaddle.settings import Role, Settings, read_settings
from mintsaddle.values import Finding, Findings, render_findings

_PLATFORM_SUFFIX = ".toml"


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until it is requested to stop.

    Args:
        arguments: Command-line arguments without the program name; those of
            the process by default.

    Returns:
        The exit code: 0 after a requested stop, 2 for invalid settings.
    """
    options = docopt(str(__doc__), arguments)
    path = options["--settings"]
    is_direct = path.endswith(_PLATFORM_SUFFIX)
    match load_direct_settings(path) if is_direct else load_settings(path):
        case Failure(findings):
            print(render_findings(findings), file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Success(settings):
            if options["--check"]:
                print(f"{path}: the settings are good")
                return 0
            if isinstance(settings, Settings):
                _run(settings)
            run_settings_file(path)
    raise AssertionError("a result is a success or a failure")


def load_settings(path: str) -> Result[Settings, Findings]:
    """Return the settings in a file, or all errors in it."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = f"can't be read: {error}"
        return Failure((Finding(path, 0, "", "", problem),))
    return read_settings(path, text)


def _run(settings: Settings) -> NoReturn:
    start_logging(settings.log_level)
    run = run_entry if settings.role is Role.ENTRY else run_endpoint
    exit_after(partial(run, settings))
