"""The oracle: compares the engines' executions with the callers' answers."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from fakes.model._callers import Answer, Caller, RequestKind
from fakes.model._engine import CHUNKS
from fakes.model._site import Site
from mintsaddle.values import Outcome

ADMISSION_STOP_SECONDS = 3.0
"""Time after a mark or a leave within which new admissions must stop."""

_DEADLINE_SLACK = 0.3
_FREEZE_SECONDS = 3.0
"""Duration of a freeze, by which an entry may answer late."""


class Violation(NamedTuple):
    """An invariant that a run violated."""

    invariant: str
    """Short name of the invariant."""

    text: str


def find_violations(
    site: Site, faults: tuple[str, ...], planned: bool
) -> list[Violation]:
    """Return every violated invariant of a finished simulation."""
    found = [
        *_check_cold(site),
        *_check_marked_out(site),
        *_check_answers(site),
        *_check_not_run(site),
        *_check_once(site),
        *_check_leaving(site),
        *_check_configuration(site),
        *_check_timely(site, faults),
    ]
    if planned:
        found += _check_planned(site)
    return found


def _check_cold(site: Site) -> Iterator[Violation]:
    for run in site.world.executions:
        if run.held > run.capacity:
            text = (
                f"{run.endpoint} held {run.held}, "
                f"capacity {run.capacity}: {run.work_id}"
            )
            yield Violation("cold", text)


def _check_marked_out(site: Site) -> Iterator[Violation]:
    """Check that a data centre that is marked out admits nothing new.

    A mark counts from its first adoption by a daemon, since the platform may
    go down before anyone reads it. Data centres that were cut off are skipped,
    as the mark may not reach them.
    """
    plans = site.planned_acts
    ins = [(item.split()[0], at) for item, at in plans.get("mark in", [])]
    for item, published in plans.get("mark out", []):
        centre, revision = item.split()
        known = site.world.marks_adopted_at.get(int(revision), float("inf"))
        if centre in site.world.ever_isolated:
            continue
        back = min(
            (at for name, at in ins if name == centre and at > published),
            default=float("inf"),
        )
        for run in site.world.executions:
            if (
                run.endpoint[0] == centre
                and known + ADMISSION_STOP_SECONDS < run.at < back
            ):
                text = f"{run.endpoint} admitted {run.at - known:.1f} s after the mark"
                yield Violation("marked out", text)


def _check_answers(site: Site) -> Iterator[Violation]:
    for caller in site.callers:
        for answer in caller.answers:
            if answer.outcome is Outcome.DONE:
                expected = _expected_answers(site, caller, answer)
                if answer.chunks not in expected:
                    text = (
                        f"{answer.call} got {answer.chunks}, wanted one of {expected}"
                    )
                    yield Violation("whole answer", text)
            elif not _is_prefix(caller, answer):
                yield Violation("whole answer", f"{answer.call} got {answer.chunks}")


def _expected_answers(
    site: Site, caller: Caller, answer: Answer
) -> list[tuple[bytes, ...]]:
    if caller.kind is RequestKind.STREAM:
        return [_stream_chunks(answer.call, CHUNKS)]
    return [(f"{answer.key}/1".encode(),)]


def _is_prefix(caller: Caller, answer: Answer) -> bool:
    if caller.kind is RequestKind.STREAM:
        return answer.chunks == _stream_chunks(answer.call, len(answer.chunks))
    return len(answer.chunks) <= 1


def _stream_chunks(call: str, count: int) -> tuple[bytes, ...]:
    return tuple(f"{call}/{number}".encode() for number in range(1, count + 1))


def _check_not_run(site: Site) -> Iterator[Violation]:
    ran = Counter(run.work_id for run in site.world.executions)
    for caller in site.callers:
        for answer in caller.answers:
            if answer.outcome is not Outcome.NOT_RUN:
                continue
            work_ids = {answer.key or answer.call, answer.call}
            work_ids |= {
                k for k, call in site.world.calls_by_key.items() if call == answer.call
            }
            count = sum(ran[work_id] for work_id in work_ids)
            if count:
                yield Violation("not run", f"{answer.call} ran {count} times")


def _check_once(site: Site) -> Iterator[Violation]:
    ran = Counter(run.work_id for run in site.world.executions)
    for caller in site.callers:
        if caller.kind is RequestKind.STREAM:
            continue
        calls = {call for call, _ in caller.calls}
        keys = {key for key, call in site.world.calls_by_key.items() if call in calls}
        count = sum(ran[key] for key in keys | caller.keys)
        if count > 1:
            yield Violation("at most once", f"{caller.name} ran {count} times")


def _check_leaving(site: Site) -> Iterator[Violation]:
    for endpoint, moment in site.planned_acts.get("leave", []):
        for run in site.world.executions:
            too_late = moment + ADMISSION_STOP_SECONDS < run.at
            if (
                run.endpoint == endpoint
                and too_late
                and not _restarted(site, endpoint, run.at)
            ):
                yield Violation("leaving", f"{endpoint} admitted {run.work_id}")


def _restarted(site: Site, endpoint: str, at: float) -> bool:
    """Return whether the daemon had restarted by then."""
    daemon = site.endpoints[endpoint]
    return daemon.run_number > 1 and daemon.state.orders.boot_at <= at + 1.0


def _check_configuration(site: Site) -> Iterator[Violation]:
    newest = site.platform.newest_text
    for daemon in site.daemons.values():
        if not daemon.alive:
            continue
        revision = daemon.configuration.text_revision
        if revision != newest:
            text = f"{daemon.name} ends at {revision}, {newest} was published"
            yield Violation("configuration", text)
        if sorted(daemon.adopted_revisions) != daemon.adopted_revisions:
            text = (
                f"{daemon.name} reverted to an older text: {daemon.adopted_revisions}"
            )
            yield Violation("configuration", text)
        served = [revision for _, revision in daemon.served_revisions]
        if sorted(served) != served:
            text = (
                f"{daemon.name} served on an older text again: "
                f"{daemon.served_revisions}"
            )
            yield Violation("configuration", text)


def _check_timely(site: Site, faults: tuple[str, ...]) -> Iterator[Violation]:
    frozen = any("entry frozen" in fault for fault in faults)
    slack = _DEADLINE_SLACK + (_FREEZE_SECONDS if frozen else 0.0)
    for caller in site.callers:
        last_answers = {answer.call: answer for answer in caller.answers}
        for answer in last_answers.values():
            if answer.at > answer.deadline + slack:
                late = answer.at - answer.deadline
                yield Violation("timely", f"{answer.call} answered {late:.1f} s late")
    if not site.watched.answers and not site.watched.gave_up:
        yield Violation("timely", "the watched caller was never answered")


def _check_planned(site: Site) -> Iterator[Violation]:
    for engine in site.engines.values():
        if engine.cancelled:
            yield Violation("planned stop", f"cut off {engine.cancelled}")
    for caller in site.callers:
        for answer in caller.answers:
            if answer.outcome in (None, Outcome.IN_DOUBT):
                yield Violation("planned stop", f"{answer.call} ended {answer.outcome}")
        if not caller.done:
            yield Violation("planned stop", f"{caller.name} was never served")
