"""Threads that serve callers."""

import threading
from typing import Any

from mintsaddle.direct._server import most_callers
from mintsaddle.direct._threads import FIRST_THREADS, GrowingDispatcher
from mintsaddle.platform.tests.test_taking_items import SETTINGS

WAIT_SECONDS = 10.0


class Held:
    """A request that waits until the test lets it go."""

    def __init__(self, let_go: threading.Event) -> None:
        self.began = threading.Event()
        self._let_go = let_go

    def service(self) -> None:
        self.began.set()
        self._let_go.wait(WAIT_SECONDS)

    def cancel(self) -> None:
        """Nothing to undo."""


def start(dispatcher: Any, count: int, let_go: threading.Event) -> list[Held]:
    held = [Held(let_go) for _ in range(count)]
    for one in held:
        dispatcher.add_task(one)
    return held


class TestGrowth:
    def test_each_request_finds_a_thread_up_to_the_bound(self) -> None:
        """Guards against a request that waits behind a long stream."""
        dispatcher, let_go = GrowingDispatcher(20), threading.Event()
        dispatcher.set_thread_count(FIRST_THREADS)
        held = start(dispatcher, 25, let_go)
        assert all(one.began.wait(WAIT_SECONDS) for one in held[:20])
        assert len(dispatcher.threads) == 20
        let_go.set()
        assert all(one.began.wait(WAIT_SECONDS) for one in held[20:])
        dispatcher.shutdown()

    def test_an_idle_entry_keeps_few_threads(self) -> None:
        dispatcher = GrowingDispatcher(100)
        dispatcher.set_thread_count(FIRST_THREADS)
        assert len(dispatcher.threads) == FIRST_THREADS
        dispatcher.shutdown()


class TestBound:
    def test_it_follows_memory_and_descriptors(self) -> None:
        assert most_callers(SETTINGS) == 100
        assert most_callers(SETTINGS._replace(memory_megabytes=552)) == 276
        assert most_callers(SETTINGS._replace(descriptors=450)) == 50
