"""Counters and latency histograms of one direct entry."""

import threading
from collections import Counter

from mintsaddle.observe import HistogramKey, HistogramRegistry


class Metrics:
    """Counters and histograms for the metrics page. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._histograms = HistogramRegistry()

    def count(self, name: str) -> None:
        """Increment a counter."""
        with self._lock:
            self._counters[name] += 1

    def record(self, key: HistogramKey, seconds: float) -> None:
        """Record a value in a histogram."""
        with self._lock:
            self._histograms.record(key, seconds)

    def lines(self) -> list[str]:
        """Return counters and quantiles as lines of the metrics page."""
        with self._lock:
            counts = dict(self._counters)
            summaries = self._histograms.summarise()
        counters = [f"mintsaddle_{name} {value}" for name, value in counts.items()]
        quantiles = [
            f"mintsaddle_{summary.key.measure.value}_ms"
            f'{{workspace="{summary.key.workspace}",class="{summary.key.work_class}",'
            f'quantile="{quantile}"}} {value:.0f}'
            for summary in summaries
            for quantile, value in (("0.5", summary.p50), ("0.95", summary.p95))
        ]
        return counters + quantiles
