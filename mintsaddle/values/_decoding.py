"""Errors in what other programs write."""

from typing import Final

DECODING_ERRORS: Final = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""What a decoder may raise for bytes of any form. Nested brackets exceed the
depth of the JSON parser, and the number 1e999 is infinite."""
