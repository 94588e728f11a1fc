"""Placement of experts on the ranks of a group, and switching it safely."""

from mintsaddle.decisions.expert_maps._armed_begin import (
    begin_switch,
    draw_version,
    roll_back_held_switch,
)
from mintsaddle.decisions.expert_maps._armed_state import (
    TERMINAL_STAGES,
    ArmedSwitch,
    MapOrder,
    OrderAct,
    OrderOutcome,
    RankReport,
    SwitchStage,
)
from mintsaddle.decisions.expert_maps._armed_switch import (
    choose_step,
    hold_at,
    needs_fresh_reports,
    next_map_orders,
    ranks_to_read,
    record_answers,
    record_reports,
)
from mintsaddle.decisions.expert_maps._maps import (
    FIRST_VERSION,
    ExpertMap,
    Popularity,
    count_moved,
    is_complete,
    make_first_map,
    measure_skew,
    step_load,
)
from mintsaddle.decisions.expert_maps._planner import (
    HORIZON_INTERVALS,
    PlanCost,
    plan_from_scratch,
    plan_moves,
)
from mintsaddle.decisions.expert_maps._polling import (
    MIN_LOCAL_RANKS,
    REMOTE_POLL_SECONDS,
    LastReports,
    choose_counted_ranks,
    choose_polled_ranks,
    have_even_load,
)
from mintsaddle.decisions.expert_maps._popularity import PopularityCounts
from mintsaddle.decisions.expert_maps._ranks import (
    OrderDecision,
    RankState,
    check_order,
)
from mintsaddle.decisions.expert_maps._spread import (
    SpreadLimits,
    choose_limits,
    mean_skew,
    spread_experts,
)
from mintsaddle.decisions.expert_maps._stall import StallDetector, watchdog_timeout
from mintsaddle.decisions.expert_maps._switch import (
    GroupAct,
    GroupOrder,
    RankReading,
    RankReply,
    SwitchPhase,
    SwitchRound,
    next_orders,
    record_reply,
    start_switch_round,
)
from mintsaddle.decisions.expert_maps._watch import MapWatch, choose_sampled_ranks

__all__ = [
    "FIRST_VERSION",
    "HORIZON_INTERVALS",
    "MIN_LOCAL_RANKS",
    "REMOTE_POLL_SECONDS",
    "TERMINAL_STAGES",
    "ArmedSwitch",
    "ExpertMap",
    "GroupAct",
    "GroupOrder",
    "LastReports",
    "MapOrder",
    "MapWatch",
    "OrderAct",
    "OrderDecision",
    "OrderOutcome",
    "PlanCost",
    "Popularity",
    "PopularityCounts",
    "RankReading",
    "RankReply",
    "RankReport",
    "RankState",
    "SpreadLimits",
    "StallDetector",
    "SwitchPhase",
    "SwitchRound",
    "SwitchStage",
    "begin_switch",
    "check_order",
    "choose_counted_ranks",
    "choose_limits",
    "choose_polled_ranks",
    "have_even_load",
    "choose_sampled_ranks",
    "choose_step",
    "count_moved",
    "draw_version",
    "hold_at",
    "is_complete",
    "make_first_map",
    "mean_skew",
    "measure_skew",
    "needs_fresh_reports",
    "next_map_orders",
    "next_orders",
    "plan_from_scratch",
    "plan_moves",
    "ranks_to_read",
    "record_answers",
    "record_reply",
    "record_reports",
    "roll_back_held_switch",
    "spread_experts",
    "start_switch_round",
    "step_load",
    "watchdog_timeout",
]
