"""Whether the store is taken for lost, by how its calls end."""

import pytest

from mintsaddle.decisions.direct import StorePolling


@pytest.fixture
def polling() -> StorePolling:
    return StorePolling()


class TestCutConnections:
    def test_one_is_no_outage(self, polling: StorePolling) -> None:
        """Guards against removals delayed by a cut watch."""
        polling.record_cut()
        assert not polling.is_lost
        assert polling.needs_check and polling.needs_full_read
        polling.record_available()
        assert not polling.needs_check

    def test_one_is_checked_again_after_each_cut(self, polling: StorePolling) -> None:
        for _ in range(3):
            polling.record_cut()
            polling.record_available()
            assert not polling.is_lost

    def test_a_store_without_the_history_has_answered(
        self, polling: StorePolling
    ) -> None:
        polling.record_cut()
        polling.record_history_gone()
        assert not polling.is_lost and not polling.needs_check


class TestOutages:
    def test_a_check_that_fails_begins_one(self, polling: StorePolling) -> None:
        """Guards against endpoints dropped whose announcements expired."""
        polling.record_cut()
        polling.record_failure()
        assert polling.is_lost and not polling.needs_check

    def test_one_ends_only_with_an_answer(self, polling: StorePolling) -> None:
        polling.record_failure()
        polling.record_cut()
        polling.record_history_gone()
        assert polling.is_lost
        polling.record_available()
        assert not polling.is_lost
