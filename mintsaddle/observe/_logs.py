"""Logs: short sentences, each with the fixed prefix of its part."""

import json
import logging
import sys
from typing import Any

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class _PrefixAdapter(logging.LoggerAdapter[logging.Logger]):
    def process(self, msg: Any, kwargs: Any) -> tuple[str, Any]:
        assert self.extra is not None
        return f"[{self.extra['part']}] {msg}", kwargs


def make_logger(part: str) -> logging.LoggerAdapter[logging.Logger]:
    """Return the logger of one part; each line starts with the part."""
    logger = logging.getLogger(f"mintsaddle.{part}")
    return _PrefixAdapter(logger, {"part": part})


def start_logging(level: str) -> None:
    """Send the program's logs to standard error."""
    logging.basicConfig(format=_FORMAT, level=level, stream=sys.stdout)


def fields(**values: object) -> str:
    """Return ``key=value`` pairs, the structured part of a line.

    A value with a space is quoted, so that a line splits at spaces.
    """
    return " ".join(f"{key}={_render(value)}" for key, value in values.items())


def _render(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return json.dumps(text) if " " in text or not text else text
