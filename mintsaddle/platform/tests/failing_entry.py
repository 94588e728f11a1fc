"""Runs an entry in whose threads exceptions can be raised from outside.

A file beside the settings lists the threads, a name and an exception a line.
Each line raises once, at whatever step the thread then is. A request with the
header ``Block-Loop`` blocks the loop that reads it for so many seconds.
"""

import builtins
import re
import socket
import sys
import threading
import time
from pathlib import Path

from mintsaddle.callers._connections import CallerChannel
from mintsaddle.direct import run_settings_file
from mintsaddle.platform import settings_path
from mintsaddle.process.tests import failing_threads

_POLL_SECONDS = 0.02
_RESTART_SECONDS = 3.0
"""Time by when a thread that has ended must be there again."""

_PEEKED_BYTES = 4_096

_handle_read = CallerChannel.handle_read


def orders_path(settings: str) -> Path:
    """Return the path of the file that lists threads."""
    return Path(settings).with_suffix(".raise")


def raise_in(settings: Path, thread: str, error: str = "RuntimeError") -> None:
    """Raise an exception in a thread of the entry with these settings."""
    with orders_path(str(settings)).open("a") as file:
        file.write(f"{thread} {error}\n")


def _raise_in(name: str, error: type[BaseException]) -> int:
    # Some that have ended are still listed.
    running = sys._current_frames()
    threads = [
        thread
        for thread in threading.enumerate()
        if thread.name == name and thread.ident in running
    ]
    for thread in threads:
        assert thread.ident is not None
        failing_threads.raise_in(thread.ident, error)
    return len(threads)


def _follow_orders(path: Path) -> None:
    done = 0
    while True:
        time.sleep(_POLL_SECONDS)
        if not path.exists():
            continue
        lines = path.read_text().splitlines()
        for line in lines[done:]:
            name, _, error = line.partition(" ")
            count = 0
            end = time.monotonic() + _RESTART_SECONDS
            while not count and time.monotonic() < end:
                count = _raise_in(name, getattr(builtins, error or "RuntimeError"))
                time.sleep(_POLL_SECONDS)
            sys.stdout.write(f"raised in {count} threads {name}\n")
            sys.stdout.flush()
        done = len(lines)


def _block_if_asked(channel: CallerChannel) -> None:
    peeked = channel.socket.recv(_PEEKED_BYTES, socket.MSG_PEEK)
    asked = re.search(rb"Block-Loop: (\d+)", peeked)
    if asked:
        time.sleep(int(asked[1]))
    _handle_read(channel)


if __name__ == "__main__":
    CallerChannel.handle_read = _block_if_asked  # type: ignore[method-assign, assignment]
    threading.Thread(
        target=_follow_orders, args=(orders_path(settings_path()),), daemon=True
    ).start()
    run_settings_file(settings_path())
