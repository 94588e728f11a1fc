"""Threads that an exception ends before they run what they are for."""

import itertools
import sys
import threading
from collections.abc import Callable

import pytest

_GUARDED = "guarded"
"""Name of the threads that start others."""


def fail_starts(monkeypatch: pytest.MonkeyPatch, count: int) -> Callable[[], int]:
    """End the next threads at their start; return how many have ended so."""
    running = frozenset(sys._current_frames())
    numbers = itertools.count(1)
    failed: list[str] = []
    plain_current = threading.current_thread
    plain_set = threading.Thread._set_ident  # type: ignore[attr-defined]

    def fail(thread: threading.Thread) -> None:
        if threading.get_ident() in running or thread.name == _GUARDED:
            return
        if next(numbers) <= count:
            failed.append(thread.name)
            raise MemoryError

    def fail_in_thread(thread: threading.Thread) -> None:
        fail(thread)
        plain_set(thread)

    def fail_outside() -> threading.Thread:
        fail(plain_current())
        return plain_current()

    # The first steps of threads of both kinds.
    monkeypatch.setattr(threading.Thread, "_set_ident", fail_in_thread)
    monkeypatch.setattr(threading, "current_thread", fail_outside)
    # The one of pytest keeps the frames of the thread.
    monkeypatch.setattr(sys, "unraisablehook", lambda _: None)
    return lambda: len(failed)


def returns_within(seconds: float, run: Callable[[], object]) -> bool:
    """Return whether a function, which may start threads, returns in time."""
    thread = threading.Thread(target=run, name=_GUARDED, daemon=True)
    thread.start()
    thread.join(seconds)
    return not thread.is_alive()
