"""Carrying a switch of a group's expert map out: orders and reports."""

import time
from collections.abc import Callable

from mintsaddle.decisions.expert_maps import (
    TERMINAL_STAGES,
    ArmedSwitch,
    OrderOutcome,
    SwitchStage,
    choose_step,
    hold_at,
    needs_fresh_reports,
    next_map_orders,
    ranks_to_read,
    record_answers,
    record_reports,
)
from mintsaddle.direct._rank_calls import RankCalls
from mintsaddle.direct._rank_groups import RankGroup
from mintsaddle.values import Instant

REPORT_AGE_SECONDS = 0.3
"""Seconds after an order until a report that may be old shows what it did:
such reports are up to 0.2 s old."""

_COPY_SECONDS = 0.18
"""Seconds until a rank without an agent is asked again whether it has loaded
its weights: one takes 0.1 to 0.2 s, and most maps bring a rank few."""

_FRESH_COPY_SECONDS = 0.02
"""The same with an agent, whose report tells at once."""

_ROUND_SECONDS = 0.05
_PAUSE_SECONDS = 0.02
"""Seconds between two rounds in a hurry: a rank that is down refuses at once,
and without a pause it would be asked hundreds of times a second."""

ROUNDS_TO_REPORT = 6
"""Rounds in a hurry until reports are read: a rank that is silent may have
died, and then nothing of the switch is left to finish."""

_HURRIED = frozenset({SwitchStage.ARM, SwitchStage.RELEASE})


class SwitchRunner:
    """Gives orders to the ranks of a group and reads their reports."""

    def __init__(self, ranks: RankCalls, now: Callable[[], Instant]) -> None:
        self._ranks = ranks
        self._now = now

    def carry_out(
        self, group: RankGroup, switch: ArmedSwitch, step_seconds: float
    ) -> ArmedSwitch:
        """Send orders and read reports until the switch is over."""
        is_withdrawing = False
        rounds = 0
        while switch.stage not in TERMINAL_STAGES:
            if switch.stage is SwitchStage.HOLD and not switch.step:
                switch = self._choose_step(group, switch, step_seconds)
                if switch.stage in TERMINAL_STAGES:
                    break
            if needs_fresh_reports(switch):
                # Old reports only in the first round wouldn't show the hold.
                switch = self._settle(group, switch, is_sure=not is_withdrawing)
                is_withdrawing = True
            stage = switch.stage
            orders = next_map_orders(switch)
            answers = self._ranks.send(group, orders)
            switch = record_answers(switch, answers, self._now())
            if switch.stage in TERMINAL_STAGES:
                break
            rounds += 1
            if stage in _HURRIED and rounds % ROUNDS_TO_REPORT:
                # The group may be standing still: what wasn't answered is sent
                # again soon. Reports tell now and then if it has formed anew.
                time.sleep(_PAUSE_SECONDS if switch.stage is stage else 0)
                continue
            if needs_fresh_reports(switch):
                time.sleep(_ROUND_SECONDS)
                continue
            is_refused = OrderOutcome.REFUSED in answers.values()
            if stage is SwitchStage.PREPARE and not is_refused:
                switch = self._await_weights(group, switch, rounds)
                continue
            if is_refused or OrderOutcome.UNKNOWN in answers.values():
                time.sleep(_PAUSE_SECONDS)
                switch = self._settle(group, switch, is_sure=True)
            elif switch.stage is stage:
                time.sleep(_ROUND_SECONDS)
        return switch

    def _choose_step(
        self, group: RankGroup, switch: ArmedSwitch, step_seconds: float
    ) -> ArmedSwitch:
        reports = self._ranks.read_reports(group)
        if reports is None:
            return switch._replace(stage=SwitchStage.FAILED)
        return hold_at(switch, choose_step(reports, step_seconds))

    def _await_weights(
        self, group: RankGroup, switch: ArmedSwitch, rounds: int
    ) -> ArmedSwitch:
        """Wait a while for weights to be loaded.

        With agents the ranks are looked at until the next time to give the
        order again, which may have been lost; without them the order itself,
        given again, tells that it is done sooner than a report.
        """
        if switch.stage is not SwitchStage.PREPARE:
            return switch
        if not self._ranks.has_agents(group):
            time.sleep(_COPY_SECONDS)
            if rounds % ROUNDS_TO_REPORT:
                return switch
            return self._settle(group, switch, is_sure=False)
        for _ in range(ROUNDS_TO_REPORT):
            time.sleep(_FRESH_COPY_SECONDS)
            switch = self._settle(group, switch, is_sure=False)
            if switch.stage is not SwitchStage.PREPARE:
                break
        return switch

    def _settle(
        self, group: RankGroup, switch: ArmedSwitch, *, is_sure: bool
    ) -> ArmedSwitch:
        """Learn from reports what orders did that weren't plainly accepted.

        Args:
            group: The group.
            switch: The switch under way.
            is_sure: Whether the reports have to be newer than the last order:
                one that may be old could have been made before it.
        """
        ranks = ranks_to_read(switch)
        poll = self._ranks.poll(group, ranks)
        if is_sure and not poll.is_fresh:
            time.sleep(REPORT_AGE_SECONDS)
            poll = self._ranks.poll(group, ranks)
        return record_reports(switch, list(poll.reports.values()), self._now())
