"""Pace at which the parts of one answer are read.

Load pattern: an engine generates an event, and sends a chunk, in each of its
steps. An endpoint in trouble sends parts of a few bytes as fast as its link
allows, and reading them takes as much of the processor as a hundred sound
streams. Reading more slowly holds the endpoint back, and costs a sound answer
nothing.
"""

from mintsaddle.values import Instant

BURST_PARTS = 512
"""Parts that may arrive at once, as after a pause of the network."""

PARTS_PER_SECOND = 500
"""Parts that are read each second after that."""

BYTES_PER_PART = 1_024
"""Bytes of a body that allow one further part: a large body may have as many
chunks as it has kilobytes."""

MIN_PAUSE_SECONDS = 0.02
"""Shortest pause; shorter ones cost more than they spare."""


class AnswerPace:
    """A token bucket for the parts of one answer. Not thread-safe."""

    def __init__(self, now: Instant) -> None:
        self._full_at = now
        """When the burst may be used in full again."""

    def record_bytes(self, count: int) -> None:
        """Record bytes of a body, which allow further parts."""
        self._full_at -= count / BYTES_PER_PART / PARTS_PER_SECOND

    def record_parts(self, count: int, now: Instant) -> Instant:
        """Record parts that are read; return when to read the next one."""
        self._full_at = max(now, self._full_at) + count / PARTS_PER_SECOND
        next_at = self._full_at - BURST_PARTS / PARTS_PER_SECOND
        return next_at if next_at - now >= MIN_PAUSE_SECONDS else now
