"""Both sides of a network partition go on serving new requests."""

import pytest

from fakes.model._callers import Caller, RequestKind
from fakes.model._oracle import find_violations
from fakes.model._site import END, WATCHED_AT, Site
from mintsaddle.values import Outcome

CUT_SECONDS = 8.0


def cut_off(site: Site, centre: str) -> None:
    """Cut a data centre off from the others and from the platform."""
    world = site.world
    world.ever_isolated.add(centre)
    world.cut_from_others.add(centre)
    world.cut_from_platform.add(centre)

    def heal() -> None:
        world.cut_from_others.clear()
        world.cut_from_platform.clear()

    world.after(CUT_SECONDS, heal)


class TestPartition:
    @pytest.mark.parametrize(
        "kind", [RequestKind.STREAM, RequestKind.ISSUED, RequestKind.DRAWN]
    )
    @pytest.mark.parametrize("entry", ["a-entry", "b-entry"])
    def test_each_side_takes_new_work(self, kind: RequestKind, entry: str) -> None:
        """Guards against a side of a partition that can run no new orders."""
        site = Site(RequestKind.STREAM, seed=5)
        site.start()
        site.world.run_until(WATCHED_AT)
        cut_off(site, "a")
        site.world.run_until(WATCHED_AT + 1.0)
        entries = [site.entries[entry]]
        caller = Caller(site.world, "partitioned", kind, entries, END)
        site.callers.append(caller)
        caller.start()
        site.world.run_until(WATCHED_AT + CUT_SECONDS - 1.0)
        assert [answer.outcome for answer in caller.answers][-1] is Outcome.DONE
        calls = {call for call, _ in caller.calls}
        keys = {key for key, call in site.world.calls_by_key.items() if call in calls}
        work_ids = calls | keys | caller.keys
        ran = [run for run in site.world.executions if run.work_id in work_ids]
        assert {run.endpoint[0] == "a" for run in ran} == {entry == "a-entry"}
        site.run()
        assert not find_violations(site, ("cut off",), planned=False)

    def test_supplied_key_of_the_other_side_claims_nothing(self) -> None:
        """Guards against a NOT_RUN answer for an order the other side may run.

        The caller would order again, and the order would run twice.
        """
        site = Site(RequestKind.STREAM, seed=5)
        site.start()
        site.world.run_until(WATCHED_AT)
        cut_off(site, "a")
        site.world.run_until(WATCHED_AT + 1.0)
        callers = [
            Caller(
                site.world,
                f"brought{n}",
                RequestKind.SUPPLIED,
                [site.entries["a-entry"]],
                END,
            )
            for n in range(8)
        ]
        site.callers += callers
        for number, caller in enumerate(callers):
            # Spaced out, since a full home may answer NOT_RUN.
            site.world.after(number * 0.4, caller.start)
        site.world.run_until(WATCHED_AT + CUT_SECONDS - 1.0)
        outcomes = {answer.outcome for caller in callers for answer in caller.answers}
        assert Outcome.NOT_RUN not in outcomes
        assert Outcome.DONE in outcomes
        site.run()
        assert not find_violations(site, ("cut off",), planned=False)
