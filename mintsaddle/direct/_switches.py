"""Execution of a switch of a group's expert map by orders and reports."""

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

REPORT_WAIT_SECONDS = 0.3
"""Seconds after an order until any report shows its effect. Reports that
aren't fresh are up to 0.2 s old."""

_LOAD_RETRY_SECONDS = 0.18
"""Seconds until a rank without an agent is asked again whether it has loaded
its weights. One expert takes 0.1 to 0.2 s to load, and most maps give a rank
few new experts."""

_AGENT_LOAD_POLL_SECONDS = 0.02
"""Seconds between two polls of a rank with an agent, whose report shows at
once that the weights are loaded."""

_ROUND_PAUSE_SECONDS = 0.05
_URGENT_PAUSE_SECONDS = 0.02
"""Seconds between two rounds of an urgent stage. A rank that is down refuses
at once, and without a pause it would be called hundreds of times a second."""

ROUNDS_PER_REPORT = 6
"""Rounds after which reports are read, in urgent stages and while weights
load. A silent rank may have died, which voids the switch."""

_URGENT_STAGES = frozenset({SwitchStage.ARM, SwitchStage.RELEASE})


class SwitchRunner:
    """Sends orders to the ranks of a group and reads their reports."""

    def __init__(self, rank_calls: RankCalls, now: Callable[[], Instant]) -> None:
        self._rank_calls = rank_calls
        self._now = now

    def execute(
        self, group: RankGroup, switch: ArmedSwitch, step_seconds: float
    ) -> ArmedSwitch:
        """Send orders and read reports until the switch is finished."""
        is_rolling_back = False
        rounds = 0
        while switch.stage not in TERMINAL_STAGES:
            if switch.stage is SwitchStage.HOLD and not switch.step:
                switch = self._choose_step(group, switch, step_seconds)
                if switch.stage in TERMINAL_STAGES:
                    break
            if needs_fresh_reports(switch):
                # Only in the first round may an old report miss the hold.
                switch = self._update_from_reports(
                    group, switch, require_fresh=not is_rolling_back
                )
                is_rolling_back = True
            stage = switch.stage
            orders = next_map_orders(switch)
            answers = self._rank_calls.send(group, orders)
            switch = record_answers(switch, answers, self._now())
            if switch.stage in TERMINAL_STAGES:
                break
            rounds += 1
            if stage in _URGENT_STAGES and rounds % ROUNDS_PER_REPORT:
                # The group may be stalled, so unanswered orders are resent
                # soon. Occasional reports show whether it has formed again.
                time.sleep(_URGENT_PAUSE_SECONDS if switch.stage is stage else 0)
                continue
            if needs_fresh_reports(switch):
                time.sleep(_ROUND_PAUSE_SECONDS)
                continue
            is_refused = OrderOutcome.REFUSED in answers.values()
            if stage is SwitchStage.PREPARE and not is_refused:
                switch = self._await_weights(group, switch, rounds)
                continue
            if is_refused or OrderOutcome.UNKNOWN in answers.values():
                time.sleep(_URGENT_PAUSE_SECONDS)
                switch = self._update_from_reports(group, switch, require_fresh=True)
            elif switch.stage is stage:
                time.sleep(_ROUND_PAUSE_SECONDS)
        return switch

    def _choose_step(
        self, group: RankGroup, switch: ArmedSwitch, step_seconds: float
    ) -> ArmedSwitch:
        reports = self._rank_calls.read_reports(group)
        if reports is None:
            return switch._replace(stage=SwitchStage.FAILED)
        return hold_at(switch, choose_step(reports, step_seconds))

    def _await_weights(
        self, group: RankGroup, switch: ArmedSwitch, rounds: int
    ) -> ArmedSwitch:
        """Wait for a limited time until weights are loaded.

        With agents, polls the ranks until the order, which may have been lost,
        is due to be resent. Without agents, the answer to the resent order
        shows completion sooner than a report.
        """
        if switch.stage is not SwitchStage.PREPARE:
            return switch
        if not self._rank_calls.has_agents(group):
            time.sleep(_LOAD_RETRY_SECONDS)
            if rounds % ROUNDS_PER_REPORT:
                return switch
            return self._update_from_reports(group, switch, require_fresh=False)
        for _ in range(ROUNDS_PER_REPORT):
            time.sleep(_AGENT_LOAD_POLL_SECONDS)
            switch = self._update_from_reports(group, switch, require_fresh=False)
            if switch.stage is not SwitchStage.PREPARE:
                break
        return switch

    def _update_from_reports(
        self, group: RankGroup, switch: ArmedSwitch, *, require_fresh: bool
    ) -> ArmedSwitch:
        """Update the switch from reports where answers left doubt.

        Args:
            group: The group.
            switch: The switch in progress.
            require_fresh: Whether the reports must be newer than the last
                order; reports that aren't fresh may predate it.
        """
        ranks = ranks_to_read(switch)
        poll = self._rank_calls.poll(group, ranks)
        if require_fresh and not poll.is_fresh:
            time.sleep(REPORT_WAIT_SECONDS)
            poll = self._rank_calls.poll(group, ranks)
        return record_reports(switch, list(poll.reports.values()), self._now())
