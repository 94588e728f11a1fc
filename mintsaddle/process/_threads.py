"""Threads whose start waits for nothing."""

import _thread
import threading
import weakref
from collections.abc import Callable
from functools import partial


class _Life:
    """Referred to by a thread from its start to its end."""


def start_thread(
    name: str, run: Callable[[], object], on_end: Callable[[], object] | None = None
) -> Callable[[], bool]:
    """Start a daemon thread.

    threading.Thread.start() waits for the thread's first steps: for good, if
    an exception ends the thread in them.

    Args:
        name: Name of the thread.
        run: The function that it runs.
        on_end: Called as it ends, in whatever way, as long as the returned
            function is referred to; in that thread or, if it ends before this
            function returns, in the present one.

    Returns:
        A function that returns whether the thread is alive. One that has been
        started is, until it has ended in whatever way.

    Raises:
        RuntimeError: The host has no thread left.
        MemoryError: There is no memory for it.
    """
    life = _Life()
    is_alive = partial(_exists, weakref.ref(life, on_end and (lambda _: on_end())))
    try:
        _thread.start_new_thread(_run_named, (name, run, life))
    except BaseException:
        # Nothing ends, so nothing may be called when `life` does.
        del is_alive
        raise
    return is_alive


def never_alive() -> bool:
    """Return False, as for a thread that hasn't been started."""
    return False


def _exists(life: "weakref.ref[_Life]") -> bool:
    return life() is not None


def _run_named(name: str, run: Callable[[], object], life: _Life) -> None:
    # The interpreter refers to it until the thread has ended. A frame could be
    # kept for longer by an exception that refers to itself.
    del life
    threading.current_thread().name = name
    run()
