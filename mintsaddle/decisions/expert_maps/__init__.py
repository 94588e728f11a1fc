"""Which rank holds which experts, and how a group changes that in step."""

from mintsaddle.decisions.expert_maps._maps import (
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
    plan_afresh,
    plan_moves,
)
from mintsaddle.decisions.expert_maps._popularity import PopularityCounts
from mintsaddle.decisions.expert_maps._ranks import (
    RankState,
    RankVerdict,
    judge_order,
)
from mintsaddle.decisions.expert_maps._switch import (
    GroupAct,
    GroupOrder,
    RankReading,
    RankReply,
    SwitchPhase,
    SwitchState,
    next_orders,
    note_reply,
    start_switch,
)

__all__ = [
    "HORIZON_INTERVALS",
    "ExpertMap",
    "GroupAct",
    "GroupOrder",
    "PlanCost",
    "Popularity",
    "PopularityCounts",
    "RankReading",
    "RankReply",
    "RankState",
    "RankVerdict",
    "SwitchPhase",
    "SwitchState",
    "count_moved",
    "is_complete",
    "judge_order",
    "make_first_map",
    "measure_skew",
    "next_orders",
    "note_reply",
    "plan_afresh",
    "plan_moves",
    "start_switch",
    "step_load",
]
