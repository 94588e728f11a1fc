"""Counters and latency histograms of one direct entry."""

import threading
from collections import Counter

from mintsaddle.observe import HistogramKey, HistogramRegistry


class Metrics:
    """What the metrics page shows; used by all threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._book = HistogramRegistry()

    def count(self, name: str) -> None:
        """Add one to a counter."""
        with self._lock:
            self._counts[name] += 1

    def record(self, name: HistogramKey, seconds: float) -> None:
        """Count one value of a histogram."""
        with self._lock:
            self._book.record(name, seconds)

    def lines(self) -> list[str]:
        """Return counters and histograms as lines of text."""
        with self._lock:
            counts = dict(self._counts)
            summaries = self._book.summarise()
        counters = [f"mintsaddle_{name} {value}" for name, value in counts.items()]
        quantiles = [
            f"mintsaddle_{one.key.measure.value}_ms"
            f'{{workspace="{one.key.workspace}",class="{one.key.work_class}",'
            f'quantile="{quantile}"}} {value:.0f}'
            for one in summaries
            for quantile, value in (("0.5", one.p50), ("0.95", one.p95))
        ]
        return counters + quantiles
