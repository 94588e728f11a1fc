"""Histograms: bounded in number, mergeable over daemons."""

import logging

import pytest

from mintsaddle.observe import (
    HistogramBook,
    HistogramName,
    Measure,
    make_logger,
    merge_encoded,
)


def name(workspace: str) -> HistogramName:
    return HistogramName(workspace, "letter", Measure.FIRST)


class TestHistogramBook:
    def test_number_is_bounded_and_nothing_is_lost(self) -> None:
        book = HistogramBook(10)
        for number in range(500):
            book.record(name(f"w{number}"), 0.1)
        summaries = book.summarise()
        assert len(summaries) <= 11
        assert sum(item.total for item in summaries) == 500
        assert "other" in {item.name.workspace for item in summaries}

    def test_used_ones_stay(self) -> None:
        book = HistogramBook(3)
        for number in range(20):
            book.record(name("busy"), 0.1)
            book.record(name(f"w{number}"), 0.1)
        busy = [item for item in book.summarise() if item.name == name("busy")]
        assert busy[0].total == 20

    def test_merge_over_daemons(self) -> None:
        books = [HistogramBook(), HistogramBook()]
        for book, seconds in zip(books, (0.1, 0.9), strict=True):
            for _ in range(100):
                book.record(name("w"), seconds)
        encoded = tuple(book.summarise()[0].encoded for book in books)
        merged = merge_encoded(encoded, name("w"))
        assert merged.total == 200
        assert merged.p50 == pytest.approx(100, rel=0.02)
        assert merged.p95 == pytest.approx(900, rel=0.02)


class TestLogs:
    def test_lines_begin_with_their_part(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        with caplog.at_level(logging.INFO):
            make_logger("orders").info("Home %s is settled.", "a")
        assert caplog.messages == ["[orders] Home a is settled."]
