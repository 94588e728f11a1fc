"""Latency histograms per workspace and work class, bounded in number.

An HdrHistogram takes about 17 KB of memory at the range and precision used
here, too much for a daemon with thousands of workspaces. Histograms are
created on demand, and the least recently used one is merged into a shared
histogram.
"""

import enum
from collections import OrderedDict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MAX_HISTOGRAMS = 300
"""Maximum number of histograms in one daemon, about 5 MB in all."""

OTHER_WORKSPACE = "other"
"""Workspace name of the shared histograms."""

_MIN_VALUE_MS = 1
_MAX_VALUE_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_MS_PER_SECOND = 1000
_PERCENTILES = (50.0, 95.0, 99.0)


class Measure(enum.Enum):
    """The duration that a histogram records, in milliseconds."""

    TIME_TO_FIRST_BYTE = "first"
    """From arrival of the request to the first byte of the response."""

    STREAM_GAP = "gap"
    """Between two consecutive chunks of a streamed response."""

    TOTAL_TIME = "whole"
    """From arrival of the request to the end of the response."""


class HistogramKey(NamedTuple):
    """Labels that identify a histogram."""

    workspace: str
    work_class: str
    measure: Measure


class HistogramSummary(NamedTuple):
    """Statistics of one histogram, in milliseconds."""

    key: HistogramKey
    total_count: int
    p50: float
    p95: float
    p99: float
    max_value: float
    encoded: bytes
    """HdrHistogram's encoding, used to merge histograms of several daemons."""


class HistogramRegistry:
    """Histograms of one daemon, with the least recently used first."""

    def __init__(self, max_histograms: int = MAX_HISTOGRAMS) -> None:
        self._max_histograms = max_histograms
        self._histograms: OrderedDict[HistogramKey, HdrHistogram] = OrderedDict()

    def record(self, key: HistogramKey, seconds: float) -> None:
        """Record one value, clamped to the range of the histogram."""
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._add(key)
        else:
            self._histograms.move_to_end(key)
        value = round(seconds * _MS_PER_SECOND)
        histogram.record_value(min(_MAX_VALUE_MS, max(_MIN_VALUE_MS, value)))

    def summarise(self) -> tuple[HistogramSummary, ...]:
        """Return the statistics of all histograms, sorted by key."""
        keys = sorted(self._histograms, key=_sort_key)
        return tuple(_summarise(key, self._histograms[key]) for key in keys)

    def _add(self, key: HistogramKey) -> HdrHistogram:
        while len(self._histograms) >= self._max_histograms and self._evict_oldest():
            pass
        histogram = _make_histogram()
        self._histograms[key] = histogram
        return histogram

    def _evict_oldest(self) -> bool:
        oldest = next(
            (k for k in self._histograms if k.workspace != OTHER_WORKSPACE), None
        )
        if oldest is None:
            return False
        evicted = self._histograms.pop(oldest)
        shared = oldest._replace(workspace=OTHER_WORKSPACE)
        if shared not in self._histograms:
            self._histograms[shared] = _make_histogram()
        self._histograms[shared].add(evicted)
        return True


def merge_encoded(encoded: tuple[bytes, ...], key: HistogramKey) -> HistogramSummary:
    """Merge a histogram of several daemons and return its statistics."""
    merged = _make_histogram()
    for part in encoded:
        merged.decode_and_add(part)
    return _summarise(key, merged)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_VALUE_MS, _MAX_VALUE_MS, _SIGNIFICANT_DIGITS)


def _sort_key(key: HistogramKey) -> tuple[str, str, str]:
    return (key.workspace, key.work_class, key.measure.value)


def _summarise(key: HistogramKey, histogram: HdrHistogram) -> HistogramSummary:
    p50, p95, p99 = (
        float(histogram.get_value_at_percentile(at)) for at in _PERCENTILES
    )
    max_value = float(histogram.get_max_value())
    return HistogramSummary(
        key, histogram.total_count, p50, p95, p99, max_value, histogram.encode()
    )
