"""Words on their way from an endpoint daemon to an entry."""

import asyncio
from collections import deque
from collections.abc import Callable

from mintsaddle.endpoint._words import Word
from mintsaddle.transport.proto import peer_pb2 as pb


class Mailbox:
    """Words that wait to be sent to the entry of one attempt."""

    def __init__(self, message: pb.CallRequest) -> None:
        self._message = message
        self._words: deque[Word] = deque()
        self._ready = asyncio.Event()
        self._woken = False

    @property
    def message(self) -> pb.CallRequest:
        """The request as it came."""
        return self._message

    def put(self, word: Word) -> None:
        """Add a word; it is sent soon. For the loop."""
        self._words.append(word)
        self._ready.set()

    def put_from_thread(self, word: Word, post: Callable[..., object]) -> None:
        """Add a word from a worker thread.

        The loop is woken once for all words that wait: waking it costs more
        than the word.
        """
        self._words.append(word)
        if not self._woken:
            self._woken = True
            post(self._wake)

    def _wake(self) -> None:
        self._woken = False
        self._ready.set()

    async def take(self) -> list[Word]:
        """Wait for words and take all that are there."""
        await self._ready.wait()
        self._ready.clear()
        words = []
        # A worker thread may add one meanwhile, so nothing is cleared unseen.
        while self._words:
            words.append(self._words.popleft())
        return words
