"""Bounds on what grows with the size; counts only, no times."""

from benchmarks.direct import hello_bytes, look_bytes


class TestDirect:
    def test_a_message_to_a_peer_does_not_grow_with_the_fleet(self) -> None:
        assert hello_bytes(340) <= 1.1 * hello_bytes(20)
        assert hello_bytes(340) < 1000

    def test_what_an_agent_tells_fits_a_seconds_share_of_control(self) -> None:
        assert look_bytes(256, 8) < 9000
