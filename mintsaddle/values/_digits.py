"""Whole numbers in texts that other programs write."""

MAX_DIGITS = 18
"""Most digits of a number; ``int`` fails for more than some thousands."""


def read_digits(text: str) -> int | None:
    """Return the number that a text of ASCII digits stands for.

    Unlike ``int``, this takes neither signs, blanks and underscores nor digits
    of other scripts.

    Returns:
        None if the text is no such number, or has over ``MAX_DIGITS`` digits.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None
