"""An emulator of rank groups that run in lockstep, on virtual time.

It exercises the decisions of direct delivery with callers that time out and
retry. Its limits are listed in docs/DESIGN.md.
"""

from fakes.lockstep._callers import CallerModel, CallerRequest
from fakes.lockstep._day import (
    Outage,
    RefusingEngines,
    Scenario,
    ScenarioResult,
    run_scenario,
)
from fakes.lockstep._entry import (
    PRODUCT,
    ChooseRank,
    Policy,
    choose_as_product,
)
from fakes.lockstep._group import (
    EngineModel,
    EngineRequest,
    EngineRequestEnd,
    RankGroup,
)

__all__ = [
    "PRODUCT",
    "CallerModel",
    "CallerRequest",
    "ChooseRank",
    "EngineModel",
    "EngineRequest",
    "EngineRequestEnd",
    "Outage",
    "Policy",
    "RankGroup",
    "RefusingEngines",
    "Scenario",
    "ScenarioResult",
    "choose_as_product",
    "run_scenario",
]
