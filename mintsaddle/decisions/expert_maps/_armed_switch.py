"""Switching a map on engines that don't compare theirs with each other.

The engines know five acts: prepare (load a map's weights), hold (the group
doesn't begin a step until it is released), arm (use a prepared map from a step
on), disarm and release. Any answer may be lost, and an order without an answer
may be carried out seconds later. Nothing on the engines' side keeps a step
from beginning with two maps, so the order of the acts has to:

* The hold stands before the first arm is sent, and it is released only when
  every rank is armed, or when none is and none can become so any more.
* An unanswered arm is sent again until it is answered: the group waits. Copies
  that come late find that the step has begun, and are refused.
* A switch is withdrawn when a rank refuses to be armed. Then all ranks are
  disarmed and fenced: each prepares a higher version of the old map, which
  takes the place of the new one, so that a late arm is refused.
* Every order names the group's epoch. When a rank dies the group forms anew
  with its first map and nothing armed or held: the switch is void.

A coordinator that dies leaves the group held. Whoever notices withdraws its
switch with ``withdraw_held``: it holds the same step at another rank, so that
a first coordinator that still runs can't let the step begin meanwhile. Who
withdraws reads before each round that its own hold still stands: another one
may have ended the matter, and what is armed then belongs to a newer switch.
Going on with the switch instead was shown to mix maps: reports don't tell for
which step a rank is armed.
"""

from collections.abc import Mapping, Sequence

from mintsaddle.decisions.expert_maps._armed_state import (
    WITHDRAWING,
    ArmedSwitch,
    MapOrder,
    OrderAct,
    RankReport,
    SwitchStage,
    Verdict,
    told_versions,
)
from mintsaddle.values import Instant

LEAD_SECONDS = 0.25
"""Seconds until the step that is held: reports are 0.2 s old."""

LEAD_STEPS = 3
"""Steps more, for the time that the orders themselves take."""

FRESH_LEAD_STEPS = 2
"""Steps until the one that is held, by reports that tell what holds now: the
next step may begin at any moment, and the one after it only once that is over,
while the order to hold takes some milliseconds."""

MOST_HOLDS = 3
"""Steps tried before the switch is given up: each was passed too soon."""


def next_map_orders(switch: ArmedSwitch) -> tuple[MapOrder, ...]:
    """Return the orders to send now; unanswered ones come again."""
    waiting = [rank for rank in range(switch.ranks) if rank not in switch.settled]
    match switch.stage:
        case SwitchStage.PREPARE | SwitchStage.FENCE:
            # Given again, the order is answered as done once the weights are
            # loaded; a report tells that 0.2 s later only.
            return tuple(_order(switch, rank, OrderAct.PREPARE) for rank in waiting)
        case SwitchStage.HOLD:
            return (_order(switch, switch.holder, OrderAct.HOLD),)
        case SwitchStage.ARM:
            return tuple(_order(switch, rank, OrderAct.ARM) for rank in waiting)
        case SwitchStage.DISARM:
            ranks = [rank for rank in waiting if switch.doomed[rank]]
            return tuple(_order(switch, rank, OrderAct.DISARM) for rank in ranks)
        case SwitchStage.RELEASE:
            ranks = sorted(switch.holders - switch.settled)
            return tuple(_order(switch, rank, OrderAct.RELEASE) for rank in ranks)
        case _:
            return ()


def must_read_first(switch: ArmedSwitch) -> bool:
    """Return whether fresh reports are needed before the next orders."""
    return switch.stage in WITHDRAWING


def ranks_to_read(switch: ArmedSwitch) -> tuple[int, ...]:
    """Return the ranks whose reports can bring the present stage on."""
    match switch.stage:
        case SwitchStage.HOLD:
            return (switch.holder,)
        case SwitchStage.RELEASE:
            return tuple(sorted(switch.holders - switch.settled))
        case _:
            waiting = set(range(switch.ranks)) - switch.settled
            if switch.stage in WITHDRAWING:
                waiting.add(switch.holder)
            return tuple(sorted(waiting))


def record_answers(
    switch: ArmedSwitch, answers: Mapping[MapOrder, Verdict], now: Instant
) -> ArmedSwitch:
    """Return the switch after a round of answers."""
    stage = switch.stage
    for order, verdict in answers.items():
        # What was asked in a stage that a refusal has ended counts no more.
        if switch.stage is stage:
            switch = _record_answer(switch, order, verdict)
    return _advance(switch, now)


def record_reports(
    switch: ArmedSwitch, reports: Sequence[RankReport], now: Instant
) -> ArmedSwitch:
    """Return the switch after reports of some ranks.

    They settle what an unanswered or refused order has left open, so they have
    to be surely newer than that order.
    """
    for report in reports:
        if report.epoch != switch.epoch or not report.is_open:
            return switch._replace(stage=SwitchStage.VOID)
        switch = _record_report(switch, report)
    return _advance(switch, now)


def choose_step(reports: Sequence[RankReport], step_seconds: float) -> int:
    """Return the step to hold: soon, but surely not begun yet."""
    newest = max(report.step for report in reports)
    if all(report.is_fresh for report in reports):
        return newest + FRESH_LEAD_STEPS
    return newest + LEAD_STEPS + round(LEAD_SECONDS / max(0.01, step_seconds))


def hold_at(switch: ArmedSwitch, step: int) -> ArmedSwitch:
    """Return the switch with the step that it is to hold."""
    return switch._replace(step=step, holds=switch.holds + 1)


def _order(switch: ArmedSwitch, rank: int, act: OrderAct) -> MapOrder:
    version, layers = switch.version, switch.new_map.layers
    if switch.stage is SwitchStage.FENCE:
        version, layers = switch.fence, switch.old_map.layers
    if switch.stage is SwitchStage.DISARM:
        version = switch.doomed[rank]
    if act is not OrderAct.PREPARE:
        layers = ()
    return MapOrder(rank, act, switch.epoch, version, switch.step, layers)


def _record_answer(
    switch: ArmedSwitch, order: MapOrder, verdict: Verdict
) -> ArmedSwitch:
    rank = order.rank
    switch = switch._replace(refused=switch.refused - {rank})
    if verdict is Verdict.UNKNOWN:
        return switch
    if verdict is Verdict.REFUSED:
        # A step that was passed is chosen anew, and a map that can't be armed
        # is withdrawn; why all else was refused only a report can tell.
        if order.act is OrderAct.HOLD and not switch.is_foreign:
            return switch._replace(step=0)
        if order.act is OrderAct.ARM and switch.stage is SwitchStage.ARM:
            return _enter(switch, SwitchStage.DISARM)
        return switch._replace(refused=switch.refused | {rank})
    match order.act:
        case OrderAct.HOLD:
            return switch._replace(holders=switch.holders | {rank})
        case OrderAct.PREPARE if verdict is Verdict.BEGUN:
            return switch
        case _:
            return _settle(switch, rank)


def _record_report(switch: ArmedSwitch, report: RankReport) -> ArmedSwitch:
    rank = report.rank
    is_refused = rank in switch.refused
    if _has_lost_hold(switch, report):
        return switch._replace(stage=SwitchStage.FAILED)
    match switch.stage:
        case SwitchStage.PREPARE if report.prepared == switch.version:
            return _settle(switch, rank)
        case SwitchStage.PREPARE if max(told_versions([report])) > switch.version:
            # Another coordinator is ahead: its weights took the place of
            # these, and waiting for them would last until timeout ends.
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.PREPARE if is_refused and not report.is_busy:
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.FENCE if report.armed is not None:
            # What a newer switch has armed stays: its map has taken the place
            # of the withdrawn one, and its coordinator counts on it. Disarmed
            # behind its back, a part of its ranks changes the map later.
            is_newer = report.armed > switch.fence
            if is_newer or not (switch.is_foreign or report.armed == switch.version):
                return _settle(switch, rank)
            return _doom(switch, rank, report.armed)
        case SwitchStage.FENCE if (report.prepared or 0) > switch.version:
            return _record_fenced(switch, rank, report.prepared or 0)
        case SwitchStage.FENCE if is_refused:
            # It has had a higher version that isn't there any more.
            return switch._replace(fence=switch.fence + 1)
        case SwitchStage.HOLD if report.held == switch.step:
            return switch._replace(holders=switch.holders | {rank})
        case SwitchStage.HOLD if report.step >= switch.step > 0:
            if switch.is_foreign:
                return switch._replace(stage=SwitchStage.FAILED)
            return switch._replace(step=0)
        case SwitchStage.DISARM if is_refused and report.armed is None:
            return _settle(switch, rank)
        case SwitchStage.RELEASE if is_refused and report.held != switch.step:
            return _settle(switch, rank)
        case SwitchStage.RELEASE if report.step >= switch.step:
            return _settle(switch, rank)
        case _:
            return switch


def _record_fenced(switch: ArmedSwitch, rank: int, prepared: int) -> ArmedSwitch:
    """Return the switch after a rank was found with a higher version.

    Guards against a hold that two coordinators share: the same step at the
    same rank can't be told apart. One that withdraws would release it while
    the other one, whose version this is, has armed a part of the ranks, and
    the step would begin with two maps. So the step stays held; whoever
    notices a group that stands still withdraws all that is armed.
    """
    if switch.is_foreign or prepared == switch.fence:
        return _settle(switch, rank)
    return switch._replace(stage=SwitchStage.FAILED)


def _has_lost_hold(switch: ArmedSwitch, report: RankReport) -> bool:
    is_own = report.rank == switch.holder and switch.stage in WITHDRAWING
    return is_own and report.held != switch.step


def _doom(switch: ArmedSwitch, rank: int, version: int) -> ArmedSwitch:
    """Return the switch with a rank that was armed by somebody after all."""
    doomed = list(switch.doomed)
    doomed[rank] = version
    others = frozenset(range(switch.ranks)) - {rank}
    entered = _enter(switch, SwitchStage.DISARM)
    return entered._replace(doomed=tuple(doomed), settled=others)


def _settle(switch: ArmedSwitch, rank: int) -> ArmedSwitch:
    return switch._replace(settled=switch.settled | {rank})


def _advance(switch: ArmedSwitch, now: Instant) -> ArmedSwitch:
    """Return the switch in its next stage, if the present one is through."""
    everyone = frozenset(range(switch.ranks))
    is_through = switch.settled == everyone
    match switch.stage:
        case SwitchStage.PREPARE if is_through:
            return _enter(switch, SwitchStage.HOLD)
        case SwitchStage.PREPARE if now >= switch.give_up_at:
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.HOLD if switch.holder in switch.holders:
            is_foreign = switch.is_foreign
            stage = SwitchStage.DISARM if is_foreign else SwitchStage.ARM
            return _advance(_enter(switch, stage), now)
        case SwitchStage.HOLD if not switch.step and switch.holds >= MOST_HOLDS:
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.ARM if is_through:
            done = switch._replace(succeeded=True)
            return _enter(done, SwitchStage.RELEASE)
        case SwitchStage.DISARM if switch.settled >= _doomed_ranks(switch):
            return _enter(switch, SwitchStage.FENCE)
        case SwitchStage.FENCE if is_through:
            return _enter(switch, SwitchStage.RELEASE)
        case SwitchStage.RELEASE if switch.holders <= switch.settled:
            stage = SwitchStage.DONE if switch.succeeded else SwitchStage.FAILED
            return switch._replace(stage=stage)
        case _:
            return switch


def _doomed_ranks(switch: ArmedSwitch) -> frozenset[int]:
    return frozenset(rank for rank, version in enumerate(switch.doomed) if version)


def _enter(switch: ArmedSwitch, stage: SwitchStage) -> ArmedSwitch:
    return switch._replace(stage=stage, settled=frozenset(), refused=frozenset())
