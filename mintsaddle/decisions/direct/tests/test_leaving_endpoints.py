"""The directory and endpoints whose answers say that they leave."""

import pytest

from mintsaddle.decisions.direct import (
    Directory,
    DirectoryUpdate,
    EndpointPublished,
    EndpointRemoved,
    EndpointReplaced,
    EndpointSaidLeaving,
    Incarnation,
    apply_updates,
    drop_expired,
    usable_endpoints,
)
from mintsaddle.decisions.direct._updates import REMOVAL_MEMORY_SECONDS

RUN = Incarnation("e-1", "desk", "10.0.0.1:80", "a", 6, False, 0.0, 5)
LATER_RUN = RUN._replace(started_at_ms=9)
NEIGHBOUR = RUN._replace(name="e-2", started_at_ms=7)
SAID_LEAVING = EndpointSaidLeaving("e-1", 5)

LAPSE_UNTIL = 12.0
HOLD_UNTIL = 15.0


def build(*updates: DirectoryUpdate, hold_until: float | None = None) -> Directory:
    """Return a directory after updates that come one by one."""
    directory = Directory()
    for update in updates:
        directory = apply_updates(directory, [update], LAPSE_UNTIL, 10.0, hold_until)
    return drop_expired(directory, HOLD_UNTIL)


def usable_names(directory: Directory) -> list[str]:
    return [endpoint.name for endpoint in usable_endpoints(directory, "desk")]


class TestAnswersAndAnnouncements:
    @pytest.mark.parametrize(
        "updates",
        [
            (EndpointPublished(RUN), SAID_LEAVING),
            (SAID_LEAVING, EndpointPublished(RUN)),
            (EndpointPublished(RUN), SAID_LEAVING, EndpointPublished(RUN)),
            (
                EndpointPublished(RUN),
                SAID_LEAVING,
                EndpointRemoved("e-1"),
                EndpointPublished(RUN),
            ),
            (
                EndpointPublished(RUN),
                EndpointRemoved("e-1"),
                SAID_LEAVING,
                EndpointPublished(RUN),
            ),
            (
                EndpointPublished(RUN),
                SAID_LEAVING,
                EndpointPublished(NEIGHBOUR),
                EndpointPublished(RUN),
                EndpointReplaced("e-2"),
            ),
            (
                EndpointPublished(RUN),
                EndpointPublished(NEIGHBOUR),
                SAID_LEAVING,
                EndpointReplaced("e-2"),
            ),
        ],
        ids=[
            "listed",
            "listed later",
            "listed again",
            "listed after a removal",
            "said after a removal",
            "behind a later run at its address",
            "said behind a later run at its address",
        ],
    )
    def test_a_run_that_said_it_leaves_is_not_used(
        self, updates: tuple[DirectoryUpdate, ...]
    ) -> None:
        """Guards against a store that lists a leaving endpoint as ready."""
        assert usable_names(build(*updates)) == []
        assert usable_names(build(*updates, hold_until=HOLD_UNTIL)) == []

    @pytest.mark.parametrize(
        "updates",
        [
            (EndpointPublished(RUN), SAID_LEAVING, EndpointPublished(LATER_RUN)),
            (EndpointPublished(LATER_RUN), SAID_LEAVING),
            (SAID_LEAVING, EndpointPublished(LATER_RUN)),
        ],
        ids=["restarted", "an earlier run's late answer", "never listed"],
    )
    def test_a_later_run_of_the_same_name_is_used(
        self, updates: tuple[DirectoryUpdate, ...]
    ) -> None:
        """Guards against endpoints that stay unused after a restart."""
        assert usable_names(build(*updates)) == ["e-1"]

    def test_other_endpoints_are_not_concerned(self) -> None:
        neighbour = NEIGHBOUR._replace(address="10.0.0.2:80")
        directory = build(
            EndpointPublished(RUN), EndpointPublished(neighbour), SAID_LEAVING
        )
        assert usable_names(directory) == ["e-2"]


class TestMemory:
    def test_runs_that_are_gone_are_forgotten(self) -> None:
        """Guards against memory that grows with each run that leaves."""
        directory = build(EndpointPublished(RUN), SAID_LEAVING)
        later = 10.0 + REMOVAL_MEMORY_SECONDS + 1.0
        directory = apply_updates(directory, [EndpointRemoved("e-1")], 0.0, later)
        assert directory.said_leaving == {}

    def test_a_run_that_is_still_listed_is_not_forgotten(self) -> None:
        """Guards against a leaving endpoint that is used after a minute."""
        directory = build(EndpointPublished(RUN), SAID_LEAVING)
        later = 10.0 + REMOVAL_MEMORY_SECONDS + 1.0
        directory = apply_updates(directory, [EndpointPublished(RUN)], 0.0, later)
        assert usable_names(directory) == []
