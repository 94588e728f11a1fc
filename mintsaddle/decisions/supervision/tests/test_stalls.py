"""When a loop counts as stalled."""

from mintsaddle.decisions.supervision import (
    MAX_SILENCE_SECONDS,
    STALL_SECONDS,
    Stall,
    is_alive,
    is_stalled_for_good,
    record_check,
)

CHECK_SECONDS = 0.25
CONTACT_SECONDS = 3.0


def check_until(stall: Stall, passed_at: float, begin: float, end: float) -> Stall:
    """Check a loop regularly that has made its last pass at some time."""
    now = begin
    while now < end:
        stall = record_check(stall, passed_at, now)
        now += CHECK_SECONDS
    return stall


class TestStalls:
    def test_callers_are_sent_elsewhere_in_time(self) -> None:
        """Guards against an entry that says it is ready and serves nobody."""
        assert is_alive(0.0, 1.0)
        assert not is_alive(0.0, CONTACT_SECONDS)

    def test_a_stall_that_lasts_ends_the_process(self) -> None:
        end = MAX_SILENCE_SECONDS + STALL_SECONDS
        assert not is_stalled_for_good(check_until(Stall(), 0.0, 0.0, end))
        after = check_until(Stall(), 0.0, 0.0, end + 2 * CHECK_SECONDS)
        assert is_stalled_for_good(after)

    def test_a_loop_that_goes_on_is_forgiven(self) -> None:
        stall = check_until(Stall(), 0.0, 0.0, STALL_SECONDS)
        stall = record_check(stall, STALL_SECONDS, STALL_SECONDS)
        stall = check_until(stall, STALL_SECONDS, STALL_SECONDS, 2 * STALL_SECONDS)
        assert not is_stalled_for_good(stall)

    def test_a_stopped_process_is_given_time(self) -> None:
        """Guards against an entry that ends after each freeze of its VM."""
        stall = check_until(Stall(), 0.0, 0.0, 5.0)
        stall = record_check(stall, 0.0, 60.0)
        assert not is_stalled_for_good(stall)
