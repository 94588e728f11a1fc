"""Trials of suspected features."""

from mintsaddle.decisions.quarantine import Feature, TrialLeases, rank_arbiters

FEATURE = Feature(7)


class TestTrialLeases:
    def test_no_more_run_than_allowed(self) -> None:
        """Guards against many engines ended at once by one feature."""
        leases = TrialLeases()
        granted = [
            leases.request(FEATURE, f"request-{number}", 2, 10.0, 1.0)
            for number in range(4)
        ]
        assert granted == [True, True, False, False]
        assert leases.request(FEATURE, "request-0", 2, 10.0, 1.0)
        assert leases.request(Feature(8), "request-3", 1, 10.0, 1.0)

    def test_a_trial_that_ends_makes_room(self) -> None:
        leases = TrialLeases()
        assert leases.request(FEATURE, "a", 1, 10.0, 1.0)
        leases.end(FEATURE, "unknown")
        assert not leases.request(FEATURE, "b", 1, 10.0, 1.0)
        leases.end(FEATURE, "a")
        leases.end(FEATURE, "a")
        assert leases.request(FEATURE, "b", 1, 10.0, 1.0)

    def test_a_trial_expires_if_nothing_is_heard_of_it(self) -> None:
        """Guards against requests held back by an entry that was killed."""
        leases = TrialLeases()
        assert leases.request(FEATURE, "a", 1, 10.0, 1.0)
        assert not leases.request(FEATURE, "b", 1, 12.0, 9.9)
        assert leases.request(FEATURE, "b", 1, 12.0, 10.0)
        leases.end(FEATURE, "b")
        assert leases.is_empty


class TestArbiters:
    def test_entries_that_know_the_same_others_ask_the_same_one(self) -> None:
        entries = [f"entry-{number}" for number in range(40)]
        ranked = rank_arbiters(FEATURE, entries)
        assert ranked == rank_arbiters(FEATURE, reversed(entries))
        firsts = {rank_arbiters(Feature(n), entries)[0] for n in range(400)}
        assert len(firsts) > 30
