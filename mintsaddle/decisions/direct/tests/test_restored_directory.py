"""What an entry believes when the platform comes back from an older copy."""

from mintsaddle.decisions.direct import (
    DataCentreBack,
    DataCentreOut,
    Directory,
    EndpointPublished,
    EndpointRemoved,
    Fact,
    Incarnation,
    RankPlace,
    apply_facts,
    drop_lapsed,
    usable_endpoints,
)
from mintsaddle.values import Instant

RESTORED_AT = 10.0
HOLD_UNTIL = 15.0
LAPSE_UNTIL = 12.0


def make_endpoint(*, leaving: bool = False, born: int = 5) -> Incarnation:
    return Incarnation("e-1", "desk", "10.0.0.1:80", "a", 6, leaving, 0.0, born)


def learn(*facts: Fact) -> Directory:
    return apply_facts(Directory(), facts, 0.0, 9.0)


def restore(directory: Directory, *facts: Fact) -> Directory:
    return apply_facts(directory, facts, LAPSE_UNTIL, RESTORED_AT, HOLD_UNTIL)


def is_used(directory: Directory, now: Instant) -> bool:
    return bool(usable_endpoints(drop_lapsed(directory, now), "desk"))


class TestLeavingEndpoints:
    def test_a_run_that_leaves_goes_on_leaving(self) -> None:
        """Guards against an announcement from before the leaving."""
        known = learn(EndpointPublished(make_endpoint(leaving=True)))
        restored = restore(known, EndpointPublished(make_endpoint()))
        assert not is_used(restored, HOLD_UNTIL)

    def test_its_group_does_not_go_back_to_an_earlier_epoch(self) -> None:
        """Guards against requests to a group as it was before it failed."""
        place = RankPlace("g", 2, 0, 12, False)
        known = learn(EndpointPublished(make_endpoint()._replace(place=place)))
        earlier = place._replace(epoch=1, is_open=True)
        listed = EndpointPublished(make_endpoint()._replace(place=earlier))
        assert restore(known, listed).endpoints["e-1"].place == place
        announced = apply_facts(known, [listed], 0.0, 11.0)
        assert announced.endpoints["e-1"].place == earlier

    def test_a_later_run_of_the_same_name_is_used(self) -> None:
        known = learn(EndpointPublished(make_endpoint(leaving=True)))
        restored = restore(known, EndpointPublished(make_endpoint(born=6)))
        assert is_used(restored, RESTORED_AT)


class TestColdEndpoints:
    def test_one_that_turned_cold_since_the_copy_stays_cold(self) -> None:
        """Guards against a flood of requests to an endpoint that is cold."""
        cold = make_endpoint()._replace(cold_until=13.0)
        known = learn(EndpointPublished(cold))
        restored = restore(known, EndpointPublished(make_endpoint()))
        assert restored.endpoints["e-1"].cold_until == 13.0
        warm = apply_facts(known, [EndpointPublished(make_endpoint())], 0.0, 11.0)
        assert warm.endpoints["e-1"].cold_until == 0.0

    def test_one_that_started_anew_under_its_name_stays(self) -> None:
        """Guards against a run from before the copy in place of the last."""
        started = make_endpoint(born=6)._replace(cold_until=13.0)
        known = learn(EndpointPublished(started))
        restored = restore(known, EndpointPublished(make_endpoint(born=5)))
        assert restored.endpoints["e-1"] == started


class TestRemovedEndpoints:
    def learn_removal(self) -> Directory:
        return learn(EndpointPublished(make_endpoint()), EndpointRemoved("e-1"))

    def test_a_copy_that_lists_one_is_not_believed_at_once(self) -> None:
        """Guards against requests to an endpoint that is gone."""
        restored = restore(self.learn_removal(), EndpointPublished(make_endpoint()))
        assert not is_used(restored, HOLD_UNTIL - 0.1)

    def test_nor_is_a_copy_that_lists_an_earlier_run(self) -> None:
        earlier = EndpointPublished(make_endpoint(born=4))
        restored = restore(self.learn_removal(), earlier)
        assert not is_used(restored, HOLD_UNTIL - 0.1)

    def test_one_that_is_listed_for_long_is_used(self) -> None:
        """Guards against losing an endpoint that lapsed for a moment."""
        restored = restore(self.learn_removal(), EndpointPublished(make_endpoint()))
        assert is_used(restored, HOLD_UNTIL)

    def test_one_that_is_removed_again_stays_away(self) -> None:
        restored = restore(self.learn_removal(), EndpointPublished(make_endpoint()))
        removed = apply_facts(restored, [EndpointRemoved("e-1")], 0.0, 11.0)
        assert not is_used(removed, HOLD_UNTIL)

    def test_one_that_announces_itself_anew_is_used_at_once(self) -> None:
        restored = restore(self.learn_removal(), EndpointPublished(make_endpoint()))
        anew = apply_facts(restored, [EndpointPublished(make_endpoint())], 0.0, 11.0)
        assert is_used(anew, 11.0)

    def test_one_that_the_copy_lacks_is_used_until_its_grace_is_over(self) -> None:
        known = learn(EndpointPublished(make_endpoint()))
        restored = restore(known, EndpointRemoved("e-1"))
        assert is_used(restored, LAPSE_UNTIL - 0.1)
        assert not is_used(restored, LAPSE_UNTIL)


class TestDataCentres:
    def learn_mark(self) -> Directory:
        return learn(EndpointPublished(make_endpoint()), DataCentreOut("a"))

    def test_one_stays_out_though_the_copy_lacks_its_mark(self) -> None:
        """Guards against requests to a data centre that was taken out."""
        restored = restore(self.learn_mark(), DataCentreBack("a"))
        assert not is_used(restored, HOLD_UNTIL - 0.1)
        assert is_used(restored, HOLD_UNTIL)

    def test_one_whose_mark_is_written_again_stays_out(self) -> None:
        restored = restore(self.learn_mark(), DataCentreBack("a"))
        marked = apply_facts(restored, [DataCentreOut("a")], 0.0, 11.0)
        assert not is_used(marked, HOLD_UNTIL)

    def test_one_that_is_taken_back_afterwards_is_used_at_once(self) -> None:
        restored = restore(self.learn_mark(), DataCentreBack("a"))
        marked = apply_facts(restored, [DataCentreOut("a")], 0.0, 11.0)
        taken_back = apply_facts(marked, [DataCentreBack("a")], 0.0, 11.5)
        assert is_used(taken_back, 11.5)


class TestRunsAtOneAddress:
    """Start times are told by clocks that may jump."""

    def make_run(self, name: str, born: int) -> Incarnation:
        return make_endpoint(born=born)._replace(name=name)

    def test_the_run_that_stays_is_used(self) -> None:
        """Guards against a live run that seems to be the earlier one."""
        dead, live = self.make_run("e-1", 9), self.make_run("e-2", 8)
        for runs in ([dead, live], [live, dead]):
            known = learn(*map(EndpointPublished, runs))
            assert usable_endpoints(known, "desk") == (dead,)
            left = apply_facts(known, [EndpointRemoved("e-1")], 0.0, 10.0)
            assert usable_endpoints(left, "desk") == (live,)

    def test_one_that_is_gone_does_not_come_back(self) -> None:
        later, earlier = self.make_run("e-1", 9), self.make_run("e-2", 8)
        removals = [EndpointRemoved("e-2"), EndpointRemoved("e-1")]
        known = learn(EndpointPublished(earlier), EndpointPublished(later), *removals)
        assert usable_endpoints(known, "desk") == ()

    def test_one_whose_announcement_lapsed_does_not_come_back(self) -> None:
        earlier, later = self.make_run("e-1", 8), self.make_run("e-2", 9)
        known = learn(EndpointPublished(earlier))
        lapsing = apply_facts(known, [EndpointRemoved("e-1")], 12.0, 10.0)
        replaced = apply_facts(lapsing, [EndpointPublished(later)], 12.0, 10.5)
        left = apply_facts(replaced, [EndpointRemoved("e-2")], 0.0, 11.0)
        assert usable_endpoints(left, "desk") == ()

    def test_the_run_that_stays_is_used_after_a_grace(self) -> None:
        dead, live = self.make_run("e-1", 9), self.make_run("e-2", 8)
        known = learn(EndpointPublished(live), EndpointPublished(dead))
        lapsing = apply_facts(known, [EndpointRemoved("e-1")], 12.0, 10.0)
        assert usable_endpoints(drop_lapsed(lapsing, 12.0), "desk") == (live,)
