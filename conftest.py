"""Hypothesis profiles and the handling of known test failures.

The default profile derandomizes Hypothesis, so that each run uses the same
examples.
"""

import pytest
from hypothesis import settings

from fakes.known_red import read_known_red

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.register_profile("long", derandomize=False, deadline=None)
settings.load_profile("ci")


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the listed tests as strict xfail: one that passes is an error."""
    known = read_known_red(config.rootpath)
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the known failures, so that a passing run does not hide them."""
    for test in read_known_red(config.rootpath):
        terminalreporter.write_line(f"KNOWN-RED {test}")
