"""Histograms for each workspace and class, and logs with a fixed prefix."""

from mintsaddle.observe._histograms import (
    HistogramBook,
    HistogramName,
    Measure,
    Summary,
    merge_encoded,
)
from mintsaddle.observe._logs import fields, make_logger, start_logging, stop_logging

__all__ = [
    "HistogramBook",
    "HistogramName",
    "Measure",
    "Summary",
    "fields",
    "make_logger",
    "merge_encoded",
    "start_logging",
    "stop_logging",
]
