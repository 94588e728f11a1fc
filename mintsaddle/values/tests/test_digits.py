"""Numbers that are read from texts."""

import pytest

from mintsaddle.values import read_digits


class TestDigits:
    @pytest.mark.parametrize(
        ("text", "number"), [("0", 0), ("0042", 42), ("9" * 18, 10**18 - 1)]
    )
    def test_a_number_is_read(self, text: str, number: int) -> None:
        assert read_digits(text) == number

    @pytest.mark.parametrize(
        "text", ["", "-1", "+1", " 1", "1_0", "1.0", "\xb2", "\u0663", "9" * 5_000]
    )
    def test_what_int_or_isdigit_would_take_is_none(self, text: str) -> None:
        """Guards against an exception that a long or odd number raises."""
        assert read_digits(text) is None
