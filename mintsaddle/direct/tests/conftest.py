"""Shared fixtures of the tests of this package."""

import pytest

from mintsaddle.direct.tests.clocks import Clock


@pytest.fixture
def clock() -> Clock:
    return Clock()
