"""The platform, read only: its protocols and spelling, decoded once."""

from mintsaddle.platform._client import PlatformValue, watch_value
from mintsaddle.platform._items import (
    PUBLISHED_PREFIX,
    decode_items,
    is_followed_key,
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
    call_rank,
    counts_call,
    decode_expert_counts,
    decode_rank_experts,
    decode_rank_report,
    decode_verdict,
    experts_call,
    order_call,
    report_call,
)
from mintsaddle.platform._settings import load_direct_settings, settings_path
from mintsaddle.platform._store import StoreClient, StoreProblem

__all__ = [
    "PUBLISHED_PREFIX",
    "READY_PATH",
    "AnswerHead",
    "CallerHead",
    "PlatformValue",
    "StoreClient",
    "StoreProblem",
    "call_rank",
    "counts_call",
    "decode_expert_counts",
    "decode_items",
    "decode_rank_experts",
    "decode_rank_report",
    "decode_verdict",
    "experts_call",
    "is_followed_key",
    "load_direct_settings",
    "make_answer_headers",
    "make_endpoint_headers",
    "make_refusal",
    "order_call",
    "read_answer_head",
    "read_caller_head",
    "report_call",
    "settings_path",
    "watch_value",
]
