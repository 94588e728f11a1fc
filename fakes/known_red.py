"""The list of tests that are known to fail for a fault that is still open."""

from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"


def read_known_red(root: Path) -> list[str]:
    """Return the tests listed in a checkout's file; none without a file.

    A test's id stands at the start of a line; indented lines below it hold
    its command, what was seen and its issue.
    """
    path = root / FILE_NAME
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [line.strip() for line in lines if line and line[0] not in " #"]
