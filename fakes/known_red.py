"""Reads the list of tests that fail because of a fault still to be fixed."""

from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"


def read_known_red(root: Path) -> list[str]:
    """Return the ids of the listed tests; none if there is no such file.

    Each id starts a line. The indented lines below it, which are skipped, give
    the command, what was seen and the issue.
    """
    path = root / FILE_NAME
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [line.strip() for line in lines if line and line[0] not in " #"]
