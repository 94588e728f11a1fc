"""Exceptions that loops survive: counted, and logged within limits."""

import contextlib
import threading
import time
from collections import Counter
from collections.abc import Iterator

from mintsaddle.decisions.supervision import ReportLimit, take_report
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Clock

_log = make_logger("process")


class FailureLog:
    """Counts the exceptions of each long-lived loop. Thread-safe."""

    def __init__(self, now: Clock = time.monotonic) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._limits: dict[str, ReportLimit] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Number of exceptions by the name of their loop."""
        with self._lock:
            return dict(self._counts)

    def record(self, name: str, error: BaseException | None = None) -> None:
        """Record an exception; raises none itself.

        Args:
            name: Name of the loop in which it was raised.
            error: The exception; by default the one that is being handled.
        """
        # Recording needs memory and stack, which may be what was missing.
        with contextlib.suppress(Exception):
            with self._lock:
                self._counts[name] += 1
                limit = self._limits.get(name, ReportLimit())
                self._limits[name], report = take_report(limit, self._now())
            if report is not None:
                details = fields(name=name, omitted=report.omitted)
                _log.error("Failure survived %s.", details, exc_info=error or True)

    @contextlib.contextmanager
    def contain(self, name: str) -> Iterator[None]:
        """Record an exception of the block and go on after it.

        Args:
            name: Name of the loop that runs the block.
        """
        try:
            yield
        except Exception:
            self.record(name)
