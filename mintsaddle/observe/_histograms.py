"""Histograms for each workspace and class, bounded in number.

One HdrHistogram takes about 17 KB in memory at the range and precision used
here, so one for each of thousands of workspaces would not fit a daemon: they
are made on demand, and the least recently used is folded into a common one.
"""

import enum
from collections import OrderedDict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MOST_HISTOGRAMS = 300
"""Histograms that one daemon holds; about 5 MB."""

OTHER = "other"
"""Workspace under which folded histograms are kept."""

_LOWEST = 1
_HIGHEST = 3_600_000
_DIGITS = 2
_MILLISECONDS = 1000
_PERCENTILES = (50.0, 95.0, 99.0)


class Measure(enum.Enum):
    """What a histogram counts, in milliseconds."""

    FIRST = "first"
    """From arrival to the first byte of the answer."""

    GAP = "gap"
    """Between two deliveries of a stream."""

    WHOLE = "whole"
    """From arrival to the final word."""


class HistogramName(NamedTuple):
    """Which histogram."""

    workspace: str
    work_class: str
    measure: Measure


class Summary(NamedTuple):
    """One histogram in figures; milliseconds."""

    name: HistogramName
    total: int
    p50: float
    p95: float
    p99: float
    largest: float
    encoded: bytes
    """HdrHistogram's own form, for merging over daemons."""


class HistogramBook:
    """The histograms of one daemon, least recently used first."""

    def __init__(self, most: int = MOST_HISTOGRAMS) -> None:
        self._most = most
        self._histograms: OrderedDict[HistogramName, HdrHistogram] = OrderedDict()

    def record(self, name: HistogramName, seconds: float) -> None:
        """Count one value."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._add(name)
        else:
            self._histograms.move_to_end(name)
        value = round(seconds * _MILLISECONDS)
        histogram.record_value(min(_HIGHEST, max(_LOWEST, value)))

    def summarise(self) -> tuple[Summary, ...]:
        """Return all histograms in figures, by name."""
        names = sorted(self._histograms, key=_sort_key)
        return tuple(_summarise(name, self._histograms[name]) for name in names)

    def _add(self, name: HistogramName) -> HdrHistogram:
        while len(self._histograms) >= self._most and self._fold_oldest():
            pass
        histogram = _make_histogram()
        self._histograms[name] = histogram
        return histogram

    def _fold_oldest(self) -> bool:
        oldest = next((n for n in self._histograms if n.workspace != OTHER), None)
        if oldest is None:
            return False
        folded = self._histograms.pop(oldest)
        common = oldest._replace(workspace=OTHER)
        if common not in self._histograms:
            self._histograms[common] = _make_histogram()
        self._histograms[common].add(folded)
        return True


def merge_encoded(encoded: tuple[bytes, ...], name: HistogramName) -> Summary:
    """Return the figures of one histogram merged over daemons."""
    merged = _make_histogram()
    for part in encoded:
        merged.decode_and_add(part)
    return _summarise(name, merged)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)


def _sort_key(name: HistogramName) -> tuple[str, str, str]:
    return (name.workspace, name.work_class, name.measure.value)


def _summarise(name: HistogramName, histogram: HdrHistogram) -> Summary:
    p50, p95, p99 = (
        float(histogram.get_value_at_percentile(at)) for at in _PERCENTILES
    )
    largest = float(histogram.get_max_value())
    return Summary(
        name, histogram.total_count, p50, p95, p99, largest, histogram.encode()
    )
