"""Points in time; only instants are stored, never durations."""

from collections.abc import Callable
from typing import TypeAlias

Instant: TypeAlias = float
"""Seconds since the Unix epoch on the daemon's own clock."""

Clock: TypeAlias = Callable[[], Instant]
"""Gives the present instant; virtual in tests and benchmarks."""

MILLISECONDS = 1000
"""Milliseconds in a second."""
