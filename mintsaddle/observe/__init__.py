"""Latency histograms per workspace and work class, and structured logging."""

from mintsaddle.observe._histograms import (
    HistogramKey,
    HistogramRegistry,
    HistogramSummary,
    Measure,
    merge_encoded,
)
from mintsaddle.observe._logs import fields, make_logger, start_logging, stop_logging

__all__ = [
    "HistogramRegistry",
    "HistogramKey",
    "Measure",
    "HistogramSummary",
    "fields",
    "make_logger",
    "merge_encoded",
    "start_logging",
    "stop_logging",
]
