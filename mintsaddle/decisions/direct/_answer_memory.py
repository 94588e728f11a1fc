"""Memory for answers that are being read or passed on.

An endpoint in trouble may send bytes without end, so neither the length of an
answer nor the sum of all of them is bounded by what endpoints send.

Load pattern: most answers take a few kilobytes for milliseconds. An endpoint
in trouble fills memory as fast as its link allows, in all requests that it
has. When memory is short, the largest answer that isn't whole yet is
abandoned. That is one of those without end, and all smaller ones are served.
"""

LARGEST_ANSWER_SHARE = 0.25
"""Share of the memory for answers that a single one may take."""


class AnswerMemory:
    """Bytes that each answer of one entry holds. Not thread-safe."""

    def __init__(self, limit: int) -> None:
        """Set up the memory.

        Args:
            limit: Bytes for all answers together.
        """
        self._limit = limit
        self._partial: dict[int, int] = {}
        self._whole: dict[int, int] = {}
        self._abandoned: set[int] = set()

    @property
    def used(self) -> int:
        """Bytes of all answers that haven't been abandoned."""
        return sum(self._partial.values()) + sum(self._whole.values())

    @property
    def largest_answer(self) -> int:
        """Bytes that a single answer may take."""
        return int(self._limit * LARGEST_ANSWER_SHARE)

    def hold(self, answer: int, size: int) -> int | None:
        """Record the bytes that an answer holds while it is being read.

        Args:
            answer: Number of the answer.
            size: All bytes of it so far.

        Returns:
            The answer to abandon, which may be this one; None if there is
            room.
        """
        if answer in self._abandoned:
            return answer
        self._partial[answer] = size
        if size > self.largest_answer:
            return self._abandon(answer)
        if self.used <= self._limit:
            return None
        return self._abandon(max(self._partial, key=self._size_and_number))

    def complete(self, answer: int) -> bool:
        """Record that an answer has been read to its end.

        Returns:
            False if it was abandoned before.
        """
        if answer in self._abandoned:
            return False
        if answer in self._partial:
            self._whole[answer] = self._partial.pop(answer)
        return True

    def release(self, answer: int) -> None:
        """Forget an answer, which holds nothing any longer."""
        self._partial.pop(answer, None)
        self._whole.pop(answer, None)
        self._abandoned.discard(answer)

    def _size_and_number(self, answer: int) -> tuple[int, int]:
        return self._partial[answer], answer

    def _abandon(self, answer: int) -> int:
        del self._partial[answer]
        self._abandoned.add(answer)
        return answer
