"""Carrying a switch of a group's expert map out: orders and reports."""

import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Result, Success

from mintsaddle.decisions.expert_maps import (
    OVER,
    ArmedSwitch,
    MapOrder,
    RankReport,
    SwitchStage,
    Verdict,
    choose_step,
    hold_at,
    must_read_first,
    next_map_orders,
    note_answers,
    note_reports,
    ranks_to_read,
)
from mintsaddle.direct._rank_groups import RankGroup
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import read_rank_experts, read_rank_report, send_map_order
from mintsaddle.values import Instant

REPORT_AGE_SECONDS = 0.3
"""Seconds after an order until a report shows what it did: reports are up to
0.2 s old."""

_COPY_SECONDS = 0.18
"""Seconds until a rank is asked again whether it has loaded its weights: one
takes 0.15 to 0.2 s, and most maps bring a rank one at most."""

_ROUND_SECONDS = 0.05
_PAUSE_SECONDS = 0.02
"""Seconds between two rounds in a hurry: a rank that is down refuses at once,
and without a pause it would be asked hundreds of times a second."""

ROUNDS_TO_REPORT = 6
"""Rounds in a hurry until reports are read: a rank that is silent may have
died, and then nothing of the switch is left to finish."""

_HURRIED = frozenset({SwitchStage.ARM, SwitchStage.RELEASE})
_log = make_logger("maps")


class SwitchRunner:
    """Gives orders to the ranks of a group and reads their reports."""

    def __init__(self, now: Callable[[], Instant]) -> None:
        self._now = now
        self._pool = ThreadPoolExecutor(12, "orders")

    def carry_out(
        self, group: RankGroup, switch: ArmedSwitch, step_seconds: float
    ) -> ArmedSwitch:
        """Send orders and read reports until the switch is over."""
        is_withdrawing = False
        rounds = 0
        while switch.stage not in OVER:
            if switch.stage is SwitchStage.HOLD and not switch.step:
                reports = self.read_reports(group)
                if reports is None:
                    return switch._replace(stage=SwitchStage.FAILED)
                newest = max(report.step for report in reports)
                step = choose_step(newest, step_seconds)
                switch = hold_at(switch, step)
            if must_read_first(switch):
                # Old reports only in the first round wouldn't show the hold.
                time.sleep(_ROUND_SECONDS if is_withdrawing else REPORT_AGE_SECONDS)
                is_withdrawing = True
                switch = self._settle(group, switch)
            stage = switch.stage
            orders = next_map_orders(switch)
            answers = self._send(group, orders)
            switch = note_answers(switch, answers, self._now())
            if switch.stage in OVER:
                break
            rounds += 1
            if stage in _HURRIED and rounds % ROUNDS_TO_REPORT:
                # The group may be standing still: what wasn't answered is sent
                # again soon. Reports tell now and then if it has formed anew.
                time.sleep(_PAUSE_SECONDS if switch.stage is stage else 0)
                continue
            if must_read_first(switch):
                continue
            is_refused = Verdict.REFUSED in answers.values()
            is_copying = stage is SwitchStage.PREPARE and not is_refused
            if is_copying and rounds % ROUNDS_TO_REPORT:
                time.sleep(_COPY_SECONDS if switch.stage is stage else 0)
                continue
            is_unsure = is_refused or Verdict.UNKNOWN in answers.values()
            if is_unsure or stage is SwitchStage.PREPARE:
                time.sleep(REPORT_AGE_SECONDS if is_unsure else _COPY_SECONDS)
                switch = self._settle(group, switch)
            else:
                time.sleep(0 if switch.stage is not stage else _ROUND_SECONDS)
        return switch

    def _settle(self, group: RankGroup, switch: ArmedSwitch) -> ArmedSwitch:
        """Learn from reports what orders did that weren't plainly accepted."""
        reports = list(
            self._pool.map(
                lambda rank: self.read_report(group, rank), ranks_to_read(switch)
            )
        )
        known = [report for report in reports if report is not None]
        return note_reports(switch, known, self._now())

    def _send(
        self, group: RankGroup, orders: Sequence[MapOrder]
    ) -> Mapping[MapOrder, Verdict]:
        verdicts = self._pool.map(
            lambda order: send_map_order(group.ranks[order.rank].address, order),
            orders,
        )
        return dict(zip(orders, verdicts, strict=True))

    def read_report(self, group: RankGroup, rank: int) -> RankReport | None:
        """Return what a rank says of itself, or None if it doesn't answer."""
        match read_rank_report(group.ranks[rank].address, rank):
            case Success(RankReport() as report):
                return report
            case Failure(problem):
                _log.info(
                    "Report missing %s.",
                    fields(group=group.name, rank=rank, why=problem),
                )
        return None

    def read_reports(self, group: RankGroup) -> list[RankReport] | None:
        """Return a report of every rank, or None if one is missing."""
        ranks = range(len(group.ranks))
        reports = self._pool.map(lambda rank: self.read_report(group, rank), ranks)
        known = [report for report in reports if report is not None]
        if len(known) < len(group.ranks):
            return None
        if len({report.epoch for report in known}) > 1:
            return None
        return known

    def read_experts(
        self, group: RankGroup
    ) -> list[Result[tuple[tuple[int, ...], ...], str]]:
        """Return the experts that each rank holds, by layer."""
        addresses = [one.address for one in group.ranks]
        return list(self._pool.map(read_rank_experts, addresses))
