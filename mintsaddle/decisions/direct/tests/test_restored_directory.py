"""The directory after the platform's store is restored from a backup."""

from mintsaddle.decisions.direct import (
    DataCentreEvacuated,
    DataCentreReinstated,
    Directory,
    DirectoryUpdate,
    EndpointPublished,
    EndpointRemoved,
    Incarnation,
    RankAssignment,
    apply_updates,
    drop_expired,
    usable_endpoints,
)
from mintsaddle.values import Instant

RESTORED_AT = 10.0
HOLD_UNTIL = 15.0
LAPSE_UNTIL = 12.0


def make_endpoint(*, leaving: bool = False, started_at_ms: int = 5) -> Incarnation:
    return Incarnation(
        "e-1", "desk", "10.0.0.1:80", "a", 6, leaving, 0.0, started_at_ms
    )


def build(*updates: DirectoryUpdate) -> Directory:
    return apply_updates(Directory(), updates, 0.0, 9.0)


def restore(directory: Directory, *updates: DirectoryUpdate) -> Directory:
    return apply_updates(directory, updates, LAPSE_UNTIL, RESTORED_AT, HOLD_UNTIL)


def is_used(directory: Directory, now: Instant) -> bool:
    return bool(usable_endpoints(drop_expired(directory, now), "desk"))


class TestLeavingEndpoints:
    def test_a_run_that_leaves_goes_on_leaving(self) -> None:
        """Guards against a restored announcement from before the shutdown."""
        known = build(EndpointPublished(make_endpoint(leaving=True)))
        restored = restore(known, EndpointPublished(make_endpoint()))
        assert not is_used(restored, HOLD_UNTIL)

    def test_its_group_does_not_go_back_to_an_earlier_epoch(self) -> None:
        """Guards against requests to a group by its state before a failure."""
        assignment = RankAssignment("g", 2, 0, 12, False)
        known = build(
            EndpointPublished(make_endpoint()._replace(assignment=assignment))
        )
        earlier = assignment._replace(epoch=1, is_open=True)
        listed = EndpointPublished(make_endpoint()._replace(assignment=earlier))
        assert restore(known, listed).endpoints["e-1"].assignment == assignment
        announced = apply_updates(known, [listed], 0.0, 11.0)
        assert announced.endpoints["e-1"].assignment == earlier

    def test_a_later_run_of_the_same_name_is_used(self) -> None:
        known = build(EndpointPublished(make_endpoint(leaving=True)))
        restored = restore(known, EndpointPublished(make_endpoint(started_at_ms=6)))
        assert is_used(restored, RESTORED_AT)


class TestColdEndpoints:
    def test_one_that_turned_cold_since_the_backup_stays_cold(self) -> None:
        """Guards against overload of an endpoint that is cold."""
        cold = make_endpoint()._replace(cold_until=13.0)
        known = build(EndpointPublished(cold))
        restored = restore(known, EndpointPublished(make_endpoint()))
        assert restored.endpoints["e-1"].cold_until == 13.0
        warm = apply_updates(known, [EndpointPublished(make_endpoint())], 0.0, 11.0)
        assert warm.endpoints["e-1"].cold_until == 0.0

    def test_one_that_restarted_under_its_name_stays(self) -> None:
        """Guards against an older run in the backup replacing the latest."""
        started = make_endpoint(started_at_ms=6)._replace(cold_until=13.0)
        known = build(EndpointPublished(started))
        restored = restore(known, EndpointPublished(make_endpoint(started_at_ms=5)))
        assert restored.endpoints["e-1"] == started


class TestRemovedEndpoints:
    def build_with_removal(self) -> Directory:
        return build(EndpointPublished(make_endpoint()), EndpointRemoved("e-1"))

    def test_one_that_the_backup_lists_is_not_used_at_once(self) -> None:
        """Guards against requests to a removed endpoint in the backup."""
        restored = restore(
            self.build_with_removal(), EndpointPublished(make_endpoint())
        )
        assert not is_used(restored, HOLD_UNTIL - 0.1)

    def test_nor_is_an_earlier_run_that_the_backup_lists(self) -> None:
        earlier = EndpointPublished(make_endpoint(started_at_ms=4))
        restored = restore(self.build_with_removal(), earlier)
        assert not is_used(restored, HOLD_UNTIL - 0.1)

    def test_one_that_is_listed_for_long_is_used(self) -> None:
        """Guards against the loss of an endpoint that lapsed briefly."""
        restored = restore(
            self.build_with_removal(), EndpointPublished(make_endpoint())
        )
        assert is_used(restored, HOLD_UNTIL)

    def test_one_that_is_removed_again_stays_away(self) -> None:
        restored = restore(
            self.build_with_removal(), EndpointPublished(make_endpoint())
        )
        removed = apply_updates(restored, [EndpointRemoved("e-1")], 0.0, 11.0)
        assert not is_used(removed, HOLD_UNTIL)

    def test_one_that_announces_itself_again_is_used_at_once(self) -> None:
        restored = restore(
            self.build_with_removal(), EndpointPublished(make_endpoint())
        )
        announced = apply_updates(
            restored, [EndpointPublished(make_endpoint())], 0.0, 11.0
        )
        assert is_used(announced, 11.0)

    def test_one_that_the_backup_lacks_is_used_until_its_grace_is_over(self) -> None:
        known = build(EndpointPublished(make_endpoint()))
        restored = restore(known, EndpointRemoved("e-1"))
        assert is_used(restored, LAPSE_UNTIL - 0.1)
        assert not is_used(restored, LAPSE_UNTIL)


class TestDataCentres:
    def build_with_mark(self) -> Directory:
        return build(EndpointPublished(make_endpoint()), DataCentreEvacuated("a"))

    def test_one_stays_evacuated_if_the_backup_lacks_its_mark(self) -> None:
        """Guards against requests to a data centre that was evacuated."""
        restored = restore(self.build_with_mark(), DataCentreReinstated("a"))
        assert not is_used(restored, HOLD_UNTIL - 0.1)
        assert is_used(restored, HOLD_UNTIL)

    def test_one_whose_mark_is_written_again_stays_evacuated(self) -> None:
        restored = restore(self.build_with_mark(), DataCentreReinstated("a"))
        marked = apply_updates(restored, [DataCentreEvacuated("a")], 0.0, 11.0)
        assert not is_used(marked, HOLD_UNTIL)

    def test_one_that_is_reinstated_afterwards_is_used_at_once(self) -> None:
        restored = restore(self.build_with_mark(), DataCentreReinstated("a"))
        marked = apply_updates(restored, [DataCentreEvacuated("a")], 0.0, 11.0)
        reinstated = apply_updates(marked, [DataCentreReinstated("a")], 0.0, 11.5)
        assert is_used(reinstated, 11.5)


class TestRunsAtOneAddress:
    """Start times come from clocks that may jump."""

    def make_run(self, name: str, started_at_ms: int) -> Incarnation:
        return make_endpoint(started_at_ms=started_at_ms)._replace(name=name)

    def test_the_run_that_stays_is_used(self) -> None:
        """Guards against ignoring a live run that seems to be older."""
        crashed, live = self.make_run("e-1", 9), self.make_run("e-2", 8)
        for runs in ([crashed, live], [live, crashed]):
            known = build(*map(EndpointPublished, runs))
            assert usable_endpoints(known, "desk") == (crashed,)
            left = apply_updates(known, [EndpointRemoved("e-1")], 0.0, 10.0)
            assert usable_endpoints(left, "desk") == (live,)

    def test_one_that_is_gone_does_not_come_back(self) -> None:
        later, earlier = self.make_run("e-1", 9), self.make_run("e-2", 8)
        removals = [EndpointRemoved("e-2"), EndpointRemoved("e-1")]
        known = build(EndpointPublished(earlier), EndpointPublished(later), *removals)
        assert usable_endpoints(known, "desk") == ()

    def test_one_whose_announcement_lapsed_does_not_come_back(self) -> None:
        earlier, later = self.make_run("e-1", 8), self.make_run("e-2", 9)
        known = build(EndpointPublished(earlier))
        lapsing = apply_updates(known, [EndpointRemoved("e-1")], 12.0, 10.0)
        replaced = apply_updates(lapsing, [EndpointPublished(later)], 12.0, 10.5)
        left = apply_updates(replaced, [EndpointRemoved("e-2")], 0.0, 11.0)
        assert usable_endpoints(left, "desk") == ()

    def test_the_run_that_stays_is_used_after_a_grace(self) -> None:
        crashed, live = self.make_run("e-1", 9), self.make_run("e-2", 8)
        known = build(EndpointPublished(live), EndpointPublished(crashed))
        lapsing = apply_updates(known, [EndpointRemoved("e-1")], 12.0, 10.0)
        assert usable_endpoints(drop_expired(lapsing, 12.0), "desk") == (live,)
