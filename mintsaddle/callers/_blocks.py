"""Blocks of memory that are used again and again."""

import threading


class BlockPool:
    """Blocks of one size, of which some are kept while idle. Thread-safe.

    Freed buffers of various sizes would stay with the allocator.
    """

    def __init__(self, block_bytes: int, max_idle_bytes: int) -> None:
        """Set up the pool.

        Args:
            block_bytes: Size of a block.
            max_idle_bytes: Bytes of idle blocks that are kept.
        """
        self._block_bytes = block_bytes
        self._max_idle = max_idle_bytes // block_bytes
        self._idle: list[bytearray] = []
        self._lock = threading.Lock()

    def set_max_idle_bytes(self, max_idle_bytes: int) -> None:
        """Set the bytes of idle blocks that are kept, from the next one on."""
        with self._lock:
            self._max_idle = max_idle_bytes // self._block_bytes

    def take(self) -> bytearray:
        """Return a block; its content is undefined."""
        with self._lock:
            if self._idle:
                return self._idle.pop()
        return bytearray(self._block_bytes)

    def put_back(self, blocks: list[bytearray]) -> None:
        """Take back blocks that nothing uses any longer."""
        with self._lock:
            room = self._max_idle - len(self._idle)
            self._idle += blocks[: max(0, room)]
