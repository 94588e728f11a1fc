"""The limits on concurrent callers and on connections."""

import pytest

from mintsaddle.direct._capacity import (
    CALLER_DESCRIPTORS,
    MAX_CONNECTIONS,
    RESERVED_DESCRIPTORS,
    max_callers,
    max_connections,
)
from mintsaddle.platform.tests.test_taking_items import SETTINGS


class TestBound:
    def test_it_follows_memory_and_descriptors(self) -> None:
        assert max_callers(SETTINGS) == 500
        assert max_callers(SETTINGS._replace(memory_megabytes=552)) == 1266
        assert max_callers(SETTINGS._replace(descriptors=450)) == 50

    @pytest.mark.parametrize("megabytes", [64, 200, 552, 4_000])
    @pytest.mark.parametrize("descriptors", [310, 450, 4_100, 20_000])
    def test_callers_and_idle_connections_fit_the_descriptors(
        self, megabytes: int, descriptors: int
    ) -> None:
        """Guards against an entry that runs out of descriptors."""
        settings = SETTINGS._replace(
            memory_megabytes=megabytes, descriptors=descriptors
        )
        callers, connections = max_callers(settings), max_connections(settings)
        assert connections >= callers or connections == MAX_CONNECTIONS
        used = connections + (CALLER_DESCRIPTORS - 1) * callers
        assert used <= descriptors - RESERVED_DESCRIPTORS
