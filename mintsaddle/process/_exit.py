"""The end of a long-running process."""

import os
from collections.abc import Callable
from typing import NoReturn

from mintsaddle.observe import make_logger, stop_logging

EXIT_FAILURE = 1
"""Exit code after an exception; the platform starts the process again."""

_log = make_logger("daemon")


def exit_after(run: Callable[[], int]) -> NoReturn:
    """Run the work of a process, and exit with the code that it returns.

    After an exception, the code is EXIT_FAILURE. A normal exit would join
    threads, which may be blocked in a watch of the platform, and callers would
    still reach a process without its main thread.
    """
    try:
        code = run()
    except BaseException:
        _log.exception("Ending after an exception.")
        code = EXIT_FAILURE
    stop_logging()
    os._exit(code)
