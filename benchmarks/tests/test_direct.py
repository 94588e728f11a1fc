"""Bounds on message sizes as the fleet grows; no times, so deterministic."""

from benchmarks.direct import entry_hello_bytes, poll_reply_bytes


class TestDirect:
    def test_a_message_to_a_peer_does_not_grow_with_the_fleet(self) -> None:
        assert entry_hello_bytes(340) <= 1.1 * entry_hello_bytes(20)
        assert entry_hello_bytes(340) < 1000

    def test_an_agent_reply_fits_the_control_bytes_of_a_second(self) -> None:
        assert poll_reply_bytes(256, 8) < 9000
