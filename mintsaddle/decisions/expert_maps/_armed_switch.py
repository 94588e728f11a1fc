"""State machine that switches a group's map by arming it rank by rank.

Used with engines that don't compare their maps with each other. An engine
accepts five orders: prepare (load a map's weights), hold (the group doesn't
begin a given step until it is released), arm (use a prepared map from a given
step on), disarm and release. Any answer may be lost, and an unanswered order
may still be carried out seconds later. The engines don't prevent a step from
beginning with two maps, so the sequence of orders has to:

* The hold is in place before the first arm is sent. It is released only when
  all ranks are armed, or when no rank is armed and none can become armed.
* An unanswered arm is resent until it is answered, while the group waits.
  Duplicates that arrive after the step has begun are refused.
* If a rank refuses to arm, the switch is rolled back: all ranks are disarmed
  and then fenced. To fence a rank, it is made to prepare a higher version of
  the old map. This replaces the new map, so that a late arm is refused.
* Every order carries the group's epoch. When a rank dies, the group starts a
  new epoch with its first map and nothing armed or held, which voids the
  switch.

If a coordinator dies during a switch, the group stays held. A successor rolls
the switch back with ``roll_back_held_switch``. It first holds the same step at
another rank, so that the original coordinator, if still running, can't let the
step begin meanwhile. Before each round the successor checks that its own hold
is still in place: if it isn't, another coordinator may have finished the
rollback, and whatever is armed now belongs to a newer switch.

A successor never completes the switch instead, since that can mix maps: the
reports don't tell for which step a rank is armed.
"""

from collections.abc import Mapping, Sequence

from mintsaddle.decisions.expert_maps._armed_state import (
    ROLLBACK_STAGES,
    ArmedSwitch,
    MapOrder,
    OrderAct,
    OrderOutcome,
    RankReport,
    SwitchStage,
    reported_versions,
)
from mintsaddle.values import Instant

LEAD_SECONDS = 0.25
"""Lead of the held step if reports may be up to 0.2 s old."""

LEAD_STEPS = 3
"""Additional steps of lead, for the time to deliver the orders."""

FRESH_LEAD_STEPS = 2
"""Lead of the held step if reports are current. The next step may begin at any
moment; the one after it begins only when that has ended, and the hold order
takes a few milliseconds."""

MAX_HOLD_ATTEMPTS = 3
"""Hold steps tried before the switch fails; each began before it was held."""


def next_map_orders(switch: ArmedSwitch) -> tuple[MapOrder, ...]:
    """Return the orders to send now, including unanswered ones again."""
    waiting = [
        rank for rank in range(switch.ranks) if rank not in switch.completed_ranks
    ]
    match switch.stage:
        case SwitchStage.PREPARE | SwitchStage.FENCE:
            # A repeated order is answered with DONE once the weights are
            # loaded, up to 0.2 s before a report shows it.
            return tuple(_order(switch, rank, OrderAct.PREPARE) for rank in waiting)
        case SwitchStage.HOLD:
            return (_order(switch, switch.hold_rank, OrderAct.HOLD),)
        case SwitchStage.ARM:
            return tuple(_order(switch, rank, OrderAct.ARM) for rank in waiting)
        case SwitchStage.DISARM:
            ranks = [rank for rank in waiting if switch.versions_to_disarm[rank]]
            return tuple(_order(switch, rank, OrderAct.DISARM) for rank in ranks)
        case SwitchStage.RELEASE:
            ranks = sorted(switch.held_ranks - switch.completed_ranks)
            return tuple(_order(switch, rank, OrderAct.RELEASE) for rank in ranks)
        case _:
            return ()


def needs_fresh_reports(switch: ArmedSwitch) -> bool:
    """Return whether the next orders require fresh reports."""
    return switch.stage in ROLLBACK_STAGES


def ranks_to_read(switch: ArmedSwitch) -> tuple[int, ...]:
    """Return the ranks whose reports can advance the current stage."""
    match switch.stage:
        case SwitchStage.HOLD:
            return (switch.hold_rank,)
        case SwitchStage.RELEASE:
            return tuple(sorted(switch.held_ranks - switch.completed_ranks))
        case _:
            waiting = set(range(switch.ranks)) - switch.completed_ranks
            if switch.stage in ROLLBACK_STAGES:
                waiting.add(switch.hold_rank)
            return tuple(sorted(waiting))


def record_answers(
    switch: ArmedSwitch, answers: Mapping[MapOrder, OrderOutcome], now: Instant
) -> ArmedSwitch:
    """Return the switch updated with one round of answers."""
    stage = switch.stage
    for order, outcome in answers.items():
        # A refusal may end the stage; its remaining answers are ignored.
        if switch.stage is stage:
            switch = _record_answer(switch, order, outcome)
    return _advance(switch, now)


def record_reports(
    switch: ArmedSwitch, reports: Sequence[RankReport], now: Instant
) -> ArmedSwitch:
    """Return the switch updated with reports of some ranks.

    Reports resolve orders that were refused or not answered, so they must be
    newer than those orders.
    """
    for report in reports:
        if report.epoch != switch.epoch or not report.is_open:
            return switch._replace(stage=SwitchStage.VOID)
        switch = _record_report(switch, report)
    return _advance(switch, now)


def choose_step(reports: Sequence[RankReport], step_seconds: float) -> int:
    """Return the earliest step that can be held before it begins."""
    newest = max(report.step for report in reports)
    if all(report.is_fresh for report in reports):
        return newest + FRESH_LEAD_STEPS
    return newest + LEAD_STEPS + round(LEAD_SECONDS / max(0.01, step_seconds))


def hold_at(switch: ArmedSwitch, step: int) -> ArmedSwitch:
    """Return the switch with a new step to hold."""
    return switch._replace(step=step, hold_attempts=switch.hold_attempts + 1)


def _order(switch: ArmedSwitch, rank: int, act: OrderAct) -> MapOrder:
    version, layers = switch.version, switch.new_map.layers
    if switch.stage is SwitchStage.FENCE:
        version, layers = switch.fence_version, switch.old_map.layers
    if switch.stage is SwitchStage.DISARM:
        version = switch.versions_to_disarm[rank]
    if act is not OrderAct.PREPARE:
        layers = ()
    return MapOrder(rank, act, switch.epoch, version, switch.step, layers)


def _record_answer(
    switch: ArmedSwitch, order: MapOrder, outcome: OrderOutcome
) -> ArmedSwitch:
    rank = order.rank
    switch = switch._replace(refused=switch.refused - {rank})
    if outcome is OrderOutcome.UNKNOWN:
        return switch
    if outcome is OrderOutcome.REFUSED:
        # If the step has already begun, another one is chosen. If a rank
        # can't be armed, the switch is rolled back. The cause of any other
        # refusal is known only from a report.
        if order.act is OrderAct.HOLD and not switch.is_recovery:
            return switch._replace(step=0)
        if order.act is OrderAct.ARM and switch.stage is SwitchStage.ARM:
            return _enter_stage(switch, SwitchStage.DISARM)
        return switch._replace(refused=switch.refused | {rank})
    match order.act:
        case OrderAct.HOLD:
            return switch._replace(held_ranks=switch.held_ranks | {rank})
        case OrderAct.PREPARE if outcome is OrderOutcome.BEGUN:
            return switch
        case _:
            return _mark_completed(switch, rank)


def _record_report(switch: ArmedSwitch, report: RankReport) -> ArmedSwitch:
    rank = report.rank
    is_refused = rank in switch.refused
    if _has_lost_hold(switch, report):
        return switch._replace(stage=SwitchStage.FAILED)
    match switch.stage:
        case SwitchStage.PREPARE if report.prepared == switch.version:
            return _mark_completed(switch, rank)
        case SwitchStage.PREPARE if max(reported_versions([report])) > switch.version:
            # Another coordinator's map has replaced this one, which would
            # never load; fail now instead of at the deadline.
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.PREPARE if is_refused and not report.is_busy:
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.FENCE if report.armed is not None:
            # A newer switch stays armed: its map has already replaced the one
            # rolled back. Disarming some of its ranks without its
            # coordinator's knowledge would make them change maps later.
            is_newer = report.armed > switch.fence_version
            if is_newer or not (switch.is_recovery or report.armed == switch.version):
                return _mark_completed(switch, rank)
            return _require_disarm(switch, rank, report.armed)
        case SwitchStage.FENCE if (report.prepared or 0) > switch.version:
            return _record_fenced(switch, rank, report.prepared or 0)
        case SwitchStage.FENCE if is_refused:
            # The rank once had a higher version, which it no longer reports.
            return switch._replace(fence_version=switch.fence_version + 1)
        case SwitchStage.HOLD if report.held == switch.step:
            return switch._replace(held_ranks=switch.held_ranks | {rank})
        case SwitchStage.HOLD if report.step >= switch.step > 0:
            if switch.is_recovery:
                return switch._replace(stage=SwitchStage.FAILED)
            return switch._replace(step=0)
        case SwitchStage.DISARM if is_refused and report.armed is None:
            return _mark_completed(switch, rank)
        case SwitchStage.RELEASE if is_refused and report.held != switch.step:
            return _mark_completed(switch, rank)
        case SwitchStage.RELEASE if report.step >= switch.step:
            return _mark_completed(switch, rank)
        case _:
            return switch


def _record_fenced(switch: ArmedSwitch, rank: int, prepared: int) -> ArmedSwitch:
    """Return the switch after a rank has reported a higher prepared version.

    Guards against two coordinators that hold the same step at the same rank:
    the engine can't distinguish their holds. If one rolled back and released
    the hold while the other, whose version this is, had armed only some of
    the ranks, the step would begin with two maps. So the step stays held, and
    the coordinator that detects the stalled group rolls back all armed ranks.
    """
    if switch.is_recovery or prepared == switch.fence_version:
        return _mark_completed(switch, rank)
    return switch._replace(stage=SwitchStage.FAILED)


def _has_lost_hold(switch: ArmedSwitch, report: RankReport) -> bool:
    is_own = report.rank == switch.hold_rank and switch.stage in ROLLBACK_STAGES
    return is_own and report.held != switch.step


def _require_disarm(switch: ArmedSwitch, rank: int, version: int) -> ArmedSwitch:
    """Return the switch back in DISARM for a rank found armed in FENCE."""
    versions_to_disarm = list(switch.versions_to_disarm)
    versions_to_disarm[rank] = version
    others = frozenset(range(switch.ranks)) - {rank}
    entered = _enter_stage(switch, SwitchStage.DISARM)
    return entered._replace(
        versions_to_disarm=tuple(versions_to_disarm), completed_ranks=others
    )


def _mark_completed(switch: ArmedSwitch, rank: int) -> ArmedSwitch:
    return switch._replace(completed_ranks=switch.completed_ranks | {rank})


def _advance(switch: ArmedSwitch, now: Instant) -> ArmedSwitch:
    """Return the switch in its next stage if the current one is complete."""
    all_ranks = frozenset(range(switch.ranks))
    is_complete = switch.completed_ranks == all_ranks
    match switch.stage:
        case SwitchStage.PREPARE if is_complete:
            return _enter_stage(switch, SwitchStage.HOLD)
        case SwitchStage.PREPARE if now >= switch.load_deadline:
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.HOLD if switch.hold_rank in switch.held_ranks:
            is_recovery = switch.is_recovery
            stage = SwitchStage.DISARM if is_recovery else SwitchStage.ARM
            return _advance(_enter_stage(switch, stage), now)
        case SwitchStage.HOLD if (
            not switch.step and switch.hold_attempts >= MAX_HOLD_ATTEMPTS
        ):
            return switch._replace(stage=SwitchStage.FAILED)
        case SwitchStage.ARM if is_complete:
            done = switch._replace(succeeded=True)
            return _enter_stage(done, SwitchStage.RELEASE)
        case SwitchStage.DISARM if switch.completed_ranks >= _ranks_to_disarm(switch):
            return _enter_stage(switch, SwitchStage.FENCE)
        case SwitchStage.FENCE if is_complete:
            return _enter_stage(switch, SwitchStage.RELEASE)
        case SwitchStage.RELEASE if switch.held_ranks <= switch.completed_ranks:
            stage = SwitchStage.DONE if switch.succeeded else SwitchStage.FAILED
            return switch._replace(stage=stage)
        case _:
            return switch


def _ranks_to_disarm(switch: ArmedSwitch) -> frozenset[int]:
    return frozenset(
        rank for rank, version in enumerate(switch.versions_to_disarm) if version
    )


def _enter_stage(switch: ArmedSwitch, stage: SwitchStage) -> ArmedSwitch:
    return switch._replace(
        stage=stage, completed_ranks=frozenset(), refused=frozenset()
    )
