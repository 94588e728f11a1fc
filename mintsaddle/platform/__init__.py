"""The platform, read only: its protocols and spelling, decoded once."""

from mintsaddle.platform._client import PlatformValue, watch_value
from mintsaddle.platform._items import (
    PUBLISHED_PREFIX,
    decode_items,
    is_ours,
)
from mintsaddle.platform._messages import (
    READY_PATH,
    AnswerHead,
    CallerHead,
    make_answer_headers,
    make_endpoint_headers,
    make_refusal,
    read_answer_head,
    read_caller_head,
)
from mintsaddle.platform._ranks import (
    read_expert_counts,
    read_rank_experts,
    read_rank_report,
    send_map_order,
)
from mintsaddle.platform._settings import load_direct_settings, settings_path
from mintsaddle.platform._store import StoreAnswer, StoreClient, StoreProblem

__all__ = [
    "PUBLISHED_PREFIX",
    "READY_PATH",
    "AnswerHead",
    "CallerHead",
    "PlatformValue",
    "StoreAnswer",
    "StoreClient",
    "StoreProblem",
    "decode_items",
    "is_ours",
    "load_direct_settings",
    "make_answer_headers",
    "make_endpoint_headers",
    "make_refusal",
    "read_answer_head",
    "read_caller_head",
    "read_expert_counts",
    "read_rank_experts",
    "read_rank_report",
    "send_map_order",
    "settings_path",
    "watch_value",
]
