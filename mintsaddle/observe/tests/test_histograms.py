"""Histograms are bounded in number and can be merged across daemons."""

import logging

import pytest

from mintsaddle.observe import (
    HistogramKey,
    HistogramRegistry,
    Measure,
    make_logger,
    merge_encoded,
)


def key(workspace: str) -> HistogramKey:
    return HistogramKey(workspace, "letter", Measure.TIME_TO_FIRST_BYTE)


class TestHistogramRegistry:
    def test_number_is_bounded_and_no_value_is_lost(self) -> None:
        registry = HistogramRegistry(10)
        for number in range(500):
            registry.record(key(f"w{number}"), 0.1)
        summaries = registry.summarise()
        assert len(summaries) <= 11
        assert sum(item.total_count for item in summaries) == 500
        assert "other" in {item.key.workspace for item in summaries}

    def test_recently_used_histograms_are_kept(self) -> None:
        registry = HistogramRegistry(3)
        for number in range(20):
            registry.record(key("busy"), 0.1)
            registry.record(key(f"w{number}"), 0.1)
        busy = [item for item in registry.summarise() if item.key == key("busy")]
        assert busy[0].total_count == 20

    def test_merge_across_daemons(self) -> None:
        registries = [HistogramRegistry(), HistogramRegistry()]
        for registry, seconds in zip(registries, (0.1, 0.9), strict=True):
            for _ in range(100):
                registry.record(key("w"), seconds)
        encoded = tuple(registry.summarise()[0].encoded for registry in registries)
        merged = merge_encoded(encoded, key("w"))
        assert merged.total_count == 200
        assert merged.p50 == pytest.approx(100, rel=0.02)
        assert merged.p95 == pytest.approx(900, rel=0.02)


class TestLogs:
    def test_messages_start_with_their_component(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        with caplog.at_level(logging.INFO):
            make_logger("orders").info("Home %s is settled.", "a")
        assert caplog.messages == ["[orders] Home a is settled."]
