"""A clock that tests move."""


class Clock:
    """Gives the instant that a test has set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now
