"""Bodies of requests, limited for all callers of a server together."""

import itertools
from collections.abc import Callable

from mintsaddle.callers._blocks import BlockPool
from mintsaddle.callers._ledger import RequestLedger
from mintsaddle.decisions.direct import FREE_REQUEST_BYTES

_BLOCK_BYTES = 65_536


class RequestBuffers:
    """Memory for the requests of one server. Thread-safe."""

    def __init__(self, limit: int) -> None:
        """Set up the memory.

        Args:
            limit: Bytes for all requests together.
        """
        self._ledger = RequestLedger(limit)
        self._pool = BlockPool(_BLOCK_BYTES, limit)
        self._numbers = itertools.count(1)

    @property
    def used_bytes(self) -> int:
        """Bytes that requests hold."""
        return self._ledger.used_bytes

    @property
    def limit(self) -> int:
        """Bytes for all requests together."""
        return self._ledger.limit

    def set_limit(self, limit: int) -> None:
        """Set the bytes for all requests together, from the next one on."""
        self._ledger.set_limit(limit)
        self._pool.set_max_idle_bytes(limit)

    def open(self, head_bytes: int, refuse: Callable[[], None]) -> "RequestBody":
        """Return the buffer for one request.

        Args:
            head_bytes: Bytes that its head takes.
            refuse: Called in the server's loop if there is no memory for it.
        """
        return RequestBody(self, next(self._numbers), head_bytes, refuse)

    def take_block(self) -> bytearray:
        """Return a block for a further part of a request."""
        return self._pool.take()

    def hold(self, number: int, size: int, refuse: Callable[[], None]) -> None:
        """Record the bytes of a request; refuse others or itself if needed."""
        self._ledger.hold(number, size, refuse)

    def complete(self, number: int) -> None:
        """Record that a request has arrived, so that it isn't refused."""
        self._ledger.complete(number)

    def release(self, number: int, blocks: list[bytearray]) -> None:
        """Take back the memory of a request."""
        self._ledger.release(number)
        self._pool.put_back(blocks)


class RequestBody:
    """The body of one request, until it is closed.

    It is filled by the server's loop and then read by one thread.
    """

    def __init__(
        self,
        buffers: RequestBuffers,
        number: int,
        head_bytes: int,
        refuse: Callable[[], None],
    ) -> None:
        self._buffers = buffers
        self._number = number
        self._head_bytes = head_bytes
        self._notify_refused = refuse
        self._first = bytearray()
        self._blocks: list[bytearray] = []
        self._size = 0
        self._read_bytes = 0
        self._is_held = False
        self._is_dropped = False
        if head_bytes > FREE_REQUEST_BYTES:
            self._hold(head_bytes)

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add what has arrived."""
        self._size += len(data)
        if self._is_dropped:
            return
        room = FREE_REQUEST_BYTES - self._head_bytes - len(self._first)
        if not self._blocks and len(data) <= room:
            self._first += data
            return
        self._fill_blocks(memoryview(data))

    def drop(self) -> None:
        """Release what is held, and keep nothing of what comes."""
        self._is_dropped = True
        self._release()

    def complete(self) -> None:
        """Record that the request has arrived."""
        if self._is_held:
            self._buffers.complete(self._number)

    def parts(self) -> list[bytes | bytearray | memoryview]:
        """Return the body in parts, which are valid until it is closed."""
        parts: list[bytes | bytearray | memoryview] = []
        if self._first:
            parts.append(self._first)
        left = self._size - len(self._first)
        for block in self._blocks:
            parts.append(memoryview(block)[:left] if left < len(block) else block)
            left -= len(block)
        return parts

    def getfile(self) -> "RequestBody":
        """Return the body as the input of a WSGI application."""
        return self

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes, all of them without a size."""
        whole = b"".join(self.parts())
        begin = self._read_bytes
        end = len(whole) if size < 0 else min(len(whole), begin + size)
        self._read_bytes = end
        return whole[begin:end]

    def close(self) -> None:
        """Release the memory; the request is gone."""
        self.drop()

    def _fill_blocks(self, data: memoryview) -> None:
        while data:
            filled = self._size - len(data) - len(self._first)
            offset = filled % _BLOCK_BYTES
            if offset == 0:
                size = self._head_bytes + len(self._first) + filled + _BLOCK_BYTES
                if not self._hold(size):
                    return
                self._blocks.append(self._buffers.take_block())
            count = min(len(data), _BLOCK_BYTES - offset)
            self._blocks[-1][offset : offset + count] = data[:count]
            data = data[count:]

    def _hold(self, size: int) -> bool:
        """Record what is held; return whether there is memory for it."""
        self._is_held = True
        self._buffers.hold(self._number, size, self._refuse)
        return not self._is_dropped

    def _refuse(self) -> None:
        self.drop()
        self._notify_refused()

    def _release(self) -> None:
        blocks, self._blocks = self._blocks, []
        self._first = bytearray()
        if self._is_held:
            self._is_held = False
            self._buffers.release(self._number, blocks)
