"""Exceptions in other threads, at whatever step or before their first."""

import _thread
import ctypes
import itertools
import sys
import threading
import time
from collections.abc import Callable

import pytest

_WAIT_SECONDS = 5.0
_POLL_SECONDS = 0.01
_start_plainly = _thread.start_new_thread


def raise_in(thread: int, error: type[BaseException]) -> None:
    """Raise an exception in a thread with a number, as it goes on."""
    ctypes.pythonapi.PyThreadState_SetAsyncExc(
        ctypes.c_ulong(thread), ctypes.py_object(error)
    )


def fail_starts(
    monkeypatch: pytest.MonkeyPatch, count: int, *, must_wait: bool = False
) -> Callable[[], int]:
    """End the next threads at their first step; return how many have ended.

    Args:
        monkeypatch: Replaces the interpreter's start of threads.
        count: How many threads fail.
        must_wait: Whether their start returns only once they have ended.
    """
    numbers = itertools.count(1)
    failed: list[int] = []

    def fail(*_: object) -> None:
        failed.append(threading.get_ident())
        raise MemoryError

    def start(run: Callable[..., object], arguments: tuple[object, ...]) -> int:
        number = next(numbers)
        if number > count:
            return _start_plainly(run, arguments)
        identifier = _start_plainly(fail, arguments)
        end = time.monotonic() + _WAIT_SECONDS
        while must_wait and len(failed) < number and time.monotonic() < end:
            time.sleep(_POLL_SECONDS)
        return identifier

    # threading.Thread has a name of its own for it.
    for module, name in ((_thread, "start_new"), (threading, "_start_new")):
        monkeypatch.setattr(module, f"{name}_thread", start)
    # The one of pytest keeps the frames of the thread.
    monkeypatch.setattr(sys, "unraisablehook", lambda _: None)
    return lambda: len(failed)


def returns_within(seconds: float, run: Callable[[], object]) -> bool:
    """Return whether a function, which may start threads, returns in time."""
    has_returned = threading.Event()

    def work() -> None:
        run()
        has_returned.set()

    _start_plainly(work, ())
    return has_returned.wait(seconds)
