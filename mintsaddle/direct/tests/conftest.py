"""Fixtures that the tests of this package share."""

import pytest

from mintsaddle.direct.tests.clocks import Clock


@pytest.fixture
def clock() -> Clock:
    return Clock()
