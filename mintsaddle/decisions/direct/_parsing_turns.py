"""Turns of requests that take long to parse.

Load pattern: a body in very small chunks takes a hundred times the processor
time of others of its size, and one thread reads for all callers. Of all
connections with such bodies, one is read in each pass of that thread, in
rounds, so that all other callers are read in each pass, too.
"""


class ParsingTurns:
    """Which of the costly connections is read in a pass. Not thread-safe."""

    def __init__(self) -> None:
        self._served: set[int] = set()
        """Connections that had their turn in this round."""

        self._is_taken = False
        """Whether a connection has had its turn in this pass."""

        self._is_new_pass = True

    def begin_pass(self) -> None:
        """Begin a pass; calls without a turn since then have no effect.

        A pass in which no connection took a turn ends the round, because all
        those that have something to read have been served in it.
        """
        if self._is_new_pass:
            return
        if not self._is_taken:
            self._served.clear()
        self._is_taken = False
        self._is_new_pass = True

    def take(self, connection: int) -> bool:
        """Return whether a connection with something to read is read now."""
        self._is_new_pass = False
        if self._is_taken or connection in self._served:
            return False
        self._is_taken = True
        self._served.add(connection)
        return True
