"""The work of a call, by which the capacity is shared."""

OUTPUT_TOKEN_WORK = 10.0
"""Work of a token of output; a token of input is 1. Output is generated one
token per step, while input is processed many tokens at a time."""

MIN_CALL_WORK = 1.0
"""Work of a call that names no valid number of tokens."""

MAX_CALL_WORK = 1_000_000.0
"""Largest work that a call counts as, in tokens; more than an engine can hold.
Without it, one invalid header would put its workspace over share for long."""


def call_work(tokens: tuple[float, float] | None) -> float:
    """Return the work of a call.

    Args:
        tokens: Tokens of input and maximum tokens of output that the caller
            names; None if it names none.

    Returns:
        Between MIN_CALL_WORK and MAX_CALL_WORK; the minimum if a number is
        negative or isn't one.
    """
    if tokens is None or not all(number >= 0 for number in tokens):
        return MIN_CALL_WORK
    work = tokens[0] + OUTPUT_TOKEN_WORK * tokens[1]
    return min(max(work, MIN_CALL_WORK), MAX_CALL_WORK)
