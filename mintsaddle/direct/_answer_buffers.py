"""Buffers for answers, limited for all callers of an entry together."""

import itertools
import threading
from collections.abc import Callable, Iterator

from mintsaddle.callers import BlockPool
from mintsaddle.decisions.direct import AnswerMemory

ANSWER_MEMORY_SHARE = 0.2
"""Share of the VM's memory for parts of answers beyond ``FREE_BYTES``."""

FREE_BYTES = 8_192
"""Bytes of each answer that count as memory of its caller."""

BLOCK_BYTES = 65_536
"""Size of a block."""

_MEGABYTE = 1_048_576


class OversizedAnswerError(ConnectionError):
    """There is no memory for the rest of an answer."""


class AnswerBuffers:
    """Memory for the answers of one entry. Thread-safe."""

    def __init__(self, memory_megabytes: float) -> None:
        """Set up the buffers.

        Args:
            memory_megabytes: The VM's memory.
        """
        limit = int(memory_megabytes * _MEGABYTE * ANSWER_MEMORY_SHARE)
        self._memory = AnswerMemory(limit)
        self._numbers = itertools.count(1)
        self._aborts: dict[int, Callable[[], None]] = {}
        self._pool = BlockPool(BLOCK_BYTES, limit)
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Bytes that answers hold."""
        with self._lock:
            return self._memory.used

    @property
    def largest_answer(self) -> int:
        """Bytes that a single answer may have."""
        return self._memory.largest_answer

    def open(self, abort: Callable[[], None]) -> "AnswerBuffer":
        """Return the buffer for one answer.

        Args:
            abort: Aborts the exchange while the answer is being read.
        """
        return AnswerBuffer(self, next(self._numbers), abort)

    def hold(self, number: int, size: int, abort: Callable[[], None]) -> None:
        """Record the bytes of an answer; abandon the largest one if needed.

        Raises:
            OversizedAnswerError: This answer is abandoned.
        """
        with self._lock:
            self._aborts[number] = abort
            abandoned = self._memory.hold(number, size)
            if abandoned == number:
                raise OversizedAnswerError
            if abandoned is not None:
                self._aborts[abandoned]()

    def complete(self, number: int) -> None:
        """Record that an answer is whole, so that it isn't abandoned.

        Raises:
            OversizedAnswerError: It has been abandoned.
        """
        with self._lock:
            if not self._memory.complete(number):
                raise OversizedAnswerError

    def take_block(self) -> bytearray:
        """Return a block for a further part of an answer."""
        return self._pool.take()

    def release(self, number: int, blocks: list[bytearray]) -> None:
        """Take back the memory of an answer."""
        with self._lock:
            self._memory.release(number)
            self._aborts.pop(number, None)
        self._pool.put_back(blocks)


class AnswerBuffer:
    """The bytes of one answer, until it is closed. Not thread-safe."""

    def __init__(
        self, buffers: AnswerBuffers, number: int, abort: Callable[[], None]
    ) -> None:
        self._buffers = buffers
        self._number = number
        self._abort = abort
        self._first = b""
        self._blocks: list[bytearray] = []
        self._size = 0
        self._is_held = False
        self._is_closed = False

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[bytes]:
        """Yield the answer in parts."""
        if self._first:
            yield self._first
        left = self._size - len(self._first)
        for block in self._blocks:
            yield bytes(memoryview(block)[:left])
            left -= BLOCK_BYTES

    @property
    def largest_answer(self) -> int:
        """Bytes that a single answer may have."""
        return self._buffers.largest_answer

    def hold(self, size: int) -> None:
        """Record that the answer's reader holds some bytes.

        Raises:
            OversizedAnswerError: There is no memory for them.
        """
        if size > FREE_BYTES or self._is_held:
            self._is_held = True
            self._buffers.hold(self._number, size, self._abort)

    def fill(self, read_into: Callable[[memoryview], int], first: bytes) -> None:
        """Read an answer to its end.

        Args:
            read_into: Fills a buffer; returns less than its size at the end.
            first: What has been read before.

        Raises:
            OversizedAnswerError: There is no memory for the rest.
        """
        self._first = first
        self._size = len(first)
        is_at_end = False
        while not is_at_end:
            self.hold(self._size + BLOCK_BYTES)
            block = self._buffers.take_block()
            self._blocks.append(block)
            count = read_into(memoryview(block))
            self._size += count
            is_at_end = count < BLOCK_BYTES
        self._buffers.complete(self._number)

    def set(self, body: bytes) -> None:
        """Set a body that needs no blocks."""
        self._first = body
        self._size = len(body)

    def close(self) -> None:
        """Release the memory; the answer is gone."""
        if self._is_closed:
            return
        self._is_closed = True
        blocks, self._blocks = self._blocks, []
        self._buffers.release(self._number, blocks)
