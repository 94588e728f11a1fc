"""Memory for requests that arrive faster than they are served."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from mintsaddle.decisions.direct import FREE_REQUEST_BYTES, RequestMemory

LIMIT = 1_000_000
LARGE = 200_000
ORDINARY = 40_000
NOW = 100.0


def fill(memory: RequestMemory, requests: range, size: int, at: float) -> list[int]:
    """Let requests hold a size; return those that are refused."""
    refused: list[int] = []
    for request in requests:
        refused += memory.hold(request, size, at)
    return refused


class TestCrowds:
    def test_bodies_that_have_stopped_are_refused_first(self) -> None:
        """Guards against callers refused for bodies that have stopped."""
        memory = RequestMemory(LIMIT)
        fill(memory, range(5), LARGE, NOW)
        assert memory.hold(9, ORDINARY, NOW + 0.1) == (4,)
        assert memory.hold(9, 2 * ORDINARY, NOW + 0.2) == ()
        assert memory.complete(9)

    def test_whole_requests_are_kept(self) -> None:
        """Guards against requests that are accepted and then refused."""
        memory = RequestMemory(LIMIT)
        for request in range(5):
            assert memory.hold(request, LARGE, NOW) == ()
            assert memory.complete(request)
        assert memory.hold(9, ORDINARY, NOW) == (9,)
        memory.release(0)
        assert memory.hold(10, ORDINARY, NOW) == ()

    def test_a_refused_request_gets_nothing_later(self) -> None:
        memory = RequestMemory(LIMIT)
        assert memory.hold(1, LIMIT + 1, NOW) == (1,)
        assert memory.hold(1, 1, NOW) == (1,)
        assert not memory.complete(1)
        assert memory.used == 0

    def test_a_lower_limit_binds_from_the_next_request_on(self) -> None:
        memory = RequestMemory(LIMIT)
        fill(memory, range(5), LARGE, NOW)
        memory.set_limit(LIMIT // 2)
        refused = memory.hold(9, ORDINARY, NOW + 1.0)
        assert len(refused) == 3
        assert memory.used <= memory.limit

    def test_slow_bodies_give_way_to_quick_ones(self) -> None:
        """Guards against a byte now and then that keeps a body's memory."""
        memory = RequestMemory(LIMIT)
        fill(memory, range(5), LARGE, NOW)
        for step in range(60):
            at = NOW + step
            slow = range(10 * step, 10 * step + 10)
            fill(memory, slow, ORDINARY, at)
            fill(memory, slow, ORDINARY + 1, at + 0.9)
            quick = 1_000 + step
            assert quick not in memory.hold(quick, LARGE, at + 0.95)
            assert memory.complete(quick)
            memory.release(quick)


class RequestsMachine(RuleBasedStateMachine):
    """Requests arrive, end, are refused and are released in any order."""

    requests: Bundle[int] = Bundle("requests")

    def __init__(self) -> None:
        super().__init__()
        self.memory = RequestMemory(LIMIT)
        self.now = NOW
        self.held: dict[int, int] = {}
        self.whole: set[int] = set()
        self.number = 0

    @rule(target=requests)
    def begin(self) -> int:
        self.number += 1
        return self.number

    @rule(request=requests, size=st.integers(1, LARGE), wait=st.floats(0.0, 5.0))
    def hold(self, request: int, size: int, wait: float) -> None:
        self.now += wait
        if request in self.whole:
            return
        size += self.held.get(request, 0)
        refused = self.memory.hold(request, size, self.now)
        self.held[request] = size
        for one in refused:
            assert one not in self.whole
            self.held.pop(one, None)

    @rule(request=requests)
    def complete(self, request: int) -> None:
        if self.memory.complete(request) and request in self.held:
            self.whole.add(request)

    @rule(request=consumes(requests))
    def release(self, request: int) -> None:
        self.memory.release(request)
        self.held.pop(request, None)
        self.whole.discard(request)

    @invariant()
    def memory_is_bounded_and_accounted(self) -> None:
        assert self.memory.used == sum(self.held.values())
        assert self.memory.used <= LIMIT


TestRequestsMachine = RequestsMachine.TestCase


class TestSmallRequests:
    def test_they_take_a_small_part_of_a_vm(self) -> None:
        """Guards against small requests that exceed memory by their number."""
        assert 1_500 * FREE_REQUEST_BYTES < 0.1 * 300 * 1_048_576
