"""Points in time. State holds instants, never durations."""

from collections.abc import Callable
from typing import TypeAlias

Instant: TypeAlias = float
"""Seconds since the Unix epoch on the daemon's own clock."""

Clock: TypeAlias = Callable[[], Instant]
"""Returns the present instant; a virtual clock in tests and benchmarks."""

MILLISECONDS = 1000
"""Milliseconds per second."""
