"""A clock that tests set."""


class Clock:
    """Returns the instant that a test has set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now
