"""An emulator of rank groups that run in lock-step, on virtual time.

It drives the decisions of direct delivery with callers that leave and come
back; what it leaves out is listed in docs/DESIGN.md.
"""

from fakes.lockstep._callers import CallerModel, Visit
from fakes.lockstep._day import Day, DayResult, Outage, play_day
from fakes.lockstep._entry import PRODUCT, ChooseRank, Policy, pick_product
from fakes.lockstep._group import EngineModel, RankGroup, Work, WorkEnd

__all__ = [
    "PRODUCT",
    "CallerModel",
    "ChooseRank",
    "Day",
    "DayResult",
    "EngineModel",
    "Outage",
    "Policy",
    "RankGroup",
    "Visit",
    "Work",
    "WorkEnd",
    "pick_product",
    "play_day",
]
