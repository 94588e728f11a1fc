"""Orders: calls that run at most once, with no state that lasts."""

from mintsaddle.decisions.orders._commands import (
    LEDGER_LIMIT,
    KeyVerdict,
    KeyWord,
    close_order,
    decide_key,
    purge_ledger,
)
from mintsaddle.decisions.orders._handover import bequeath, keep_bequest
from mintsaddle.decisions.orders._homes import (
    adopt_homes,
    answer_question,
    ask_homes,
    record_answer,
    settle_alone,
)
from mintsaddle.decisions.orders._homes_messages import HomeAnswer, HomeQuestion
from mintsaddle.decisions.orders._queries import (
    home_is_settled,
    is_awaited,
)
from mintsaddle.decisions.orders._state import (
    Bequest,
    HomeState,
    LedgerEntry,
    OrdersState,
    OrderStatus,
)

__all__ = [
    "LEDGER_LIMIT",
    "Bequest",
    "HomeAnswer",
    "HomeQuestion",
    "HomeState",
    "KeyVerdict",
    "KeyWord",
    "LedgerEntry",
    "OrderStatus",
    "OrdersState",
    "adopt_homes",
    "answer_question",
    "ask_homes",
    "bequeath",
    "close_order",
    "decide_key",
    "home_is_settled",
    "is_awaited",
    "keep_bequest",
    "purge_ledger",
    "record_answer",
    "settle_alone",
]
