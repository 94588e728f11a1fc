"""Orders: calls that run at most once, tracked in memory only."""

from mintsaddle.decisions.orders._commands import (
    LEDGER_LIMIT,
    KeyAction,
    KeyDecision,
    close_order,
    decide_key,
    purge_ledger,
)
from mintsaddle.decisions.orders._handover import close_ledger, store_snapshot
from mintsaddle.decisions.orders._homes import (
    adopt_homes,
    answer_question,
    ask_homes,
    record_answer,
    settle_if_only_home,
)
from mintsaddle.decisions.orders._homes_messages import HomeAnswer, HomeQuestion
from mintsaddle.decisions.orders._queries import (
    has_pending_transfers,
    home_is_settled,
)
from mintsaddle.decisions.orders._state import (
    HomeState,
    LedgerEntry,
    LedgerSnapshot,
    OrdersState,
    OrderStatus,
)

__all__ = [
    "LEDGER_LIMIT",
    "HomeAnswer",
    "HomeQuestion",
    "HomeState",
    "KeyAction",
    "KeyDecision",
    "LedgerEntry",
    "LedgerSnapshot",
    "OrderStatus",
    "OrdersState",
    "adopt_homes",
    "answer_question",
    "ask_homes",
    "close_ledger",
    "close_order",
    "decide_key",
    "has_pending_transfers",
    "home_is_settled",
    "purge_ledger",
    "record_answer",
    "settle_if_only_home",
    "store_snapshot",
]
