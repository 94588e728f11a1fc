"""Bounds on what grows with the size; counts only, no times."""

from benchmarks.direct import hello_bytes


class TestDirect:
    def test_a_message_to_a_peer_does_not_grow_with_the_fleet(self) -> None:
        assert hello_bytes(340) <= 1.1 * hello_bytes(20)
        assert hello_bytes(340) < 1000
