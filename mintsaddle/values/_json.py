"""JSON texts that other programs write."""

import json
import math
from typing import Any, NoReturn


def load_json(text: str | bytes) -> Any:
    """Return the value of a JSON text in which all numbers are finite.

    Python's own reader also takes ``NaN`` and ``Infinity``, which aren't JSON,
    and reads 1e999 as infinite. No comparison with a deadline that is no
    number holds.

    Raises:
        ValueError: It is no such text; other DECODING_ERRORS are possible.
    """
    return json.loads(text, parse_constant=_refuse, parse_float=read_finite)


def read_finite(value: Any) -> float:
    """Return a value of a JSON text as a number.

    Raises:
        ValueError: It isn't finite; other DECODING_ERRORS are possible.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("a number is not finite")
    return number


def _refuse(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")
