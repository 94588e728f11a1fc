"""Limits that all entries share while they don't know each other yet."""

import json

import pytest

from mintsaddle.decisions.direct import PublishedItem
from mintsaddle.decisions.routing import may_retry, record_request, spend_retry
from mintsaddle.direct._gateway import Gateway
from mintsaddle.platform.tests.standins import make_configuration
from mintsaddle.platform.tests.test_taking_items import ANNOUNCED, SETTINGS, apply

ENTRIES = 43
"""Entries of a site whose VMs have all lost power."""


@pytest.fixture
def restarted() -> list[Gateway]:
    return [Gateway(SETTINGS) for _ in range(ENTRIES)]


def spend_all(gateways: list[Gateway]) -> int:
    """Let each entry make all retries that it may; return their number."""
    retries = 0
    for gateway in gateways:
        while may_retry(gateway.routing):
            spend_retry(gateway.routing)
            retries += 1
    return retries


class TestRetryBudget:
    def test_entries_that_start_together_keep_to_the_budget(
        self, restarted: list[Gateway]
    ) -> None:
        """Guards against entries that each begin with a share of few."""
        before = [Gateway(SETTINGS) for _ in range(ENTRIES)]
        for gateway in before:
            gateway.set_entry_count(ENTRIES)
            for _ in range(200):
                record_request(gateway.routing)
        retries, requests = spend_all(before), 0
        for _ in range(38):
            for gateway in restarted:
                record_request(gateway.routing)
                requests += 1
            retries += spend_all(restarted)
        assert retries <= SETTINGS.retry_share * requests + SETTINGS.retry_slack

    def test_the_first_request_may_be_repeated(self, restarted: list[Gateway]) -> None:
        """Guards against callers that a new entry fails for want of budget."""
        gateway = restarted[0]
        record_request(gateway.routing)
        assert may_retry(gateway.routing)


class TestColdEndpoints:
    def test_entries_that_start_together_keep_to_the_cold_limit(
        self, restarted: list[Gateway]
    ) -> None:
        """Guards against cold endpoints that get the shares of too few."""
        service = {"name": "desk", "cold_per_s": 26.0, "cold_start_s": 9.0}
        configuration = json.dumps(make_configuration(services=[service]))
        cold = json.dumps({**json.loads(ANNOUNCED), "cold_left_ms": 9000})
        sent = 0
        for gateway in restarted:
            apply(
                gateway,
                PublishedItem("op/config", 6, configuration.encode()),
                PublishedItem("servers/i-1", 7, cold.encode()),
            )
            endpoint = gateway.directory.endpoints["i-1"]
            while gateway.takes_work(endpoint):
                gateway.record_chosen(endpoint)
                sent += 1
        assert sent <= 26.0 * SETTINGS.cold_factor + SETTINGS.cold_slack
