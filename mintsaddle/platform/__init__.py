"""Read-only access to the platform, translated into internal types."""

from mintsaddle.platform._client import PlatformValue, watch_value
from mintsaddle.platform._items import (
    PUBLISHED_PREFIX,
    decode_items,
    is_followed_key,
)
from mintsaddle.platform._ranks import (
    call_rank,
    counts_call,
    decode_expert_counts,
    decode_order_outcome,
    decode_rank_experts,
    decode_rank_report,
    experts_call,
    order_call,
    report_call,
)
from mintsaddle.platform._requests import (
    READY_PATH,
    RequestHead,
    make_endpoint_headers,
    read_request_head,
)
from mintsaddle.platform._responses import (
    ResponseHead,
    make_fault_headers,
    make_refusal,
    make_response_headers,
    read_response_head,
)
from mintsaddle.platform._settings import load_direct_settings, settings_path
from mintsaddle.platform._store import StoreClient, StoreProblem

__all__ = [
    "PUBLISHED_PREFIX",
    "READY_PATH",
    "PlatformValue",
    "RequestHead",
    "ResponseHead",
    "StoreClient",
    "StoreProblem",
    "call_rank",
    "counts_call",
    "decode_expert_counts",
    "decode_items",
    "decode_order_outcome",
    "decode_rank_experts",
    "decode_rank_report",
    "experts_call",
    "is_followed_key",
    "load_direct_settings",
    "make_endpoint_headers",
    "make_fault_headers",
    "make_refusal",
    "make_response_headers",
    "order_call",
    "read_request_head",
    "read_response_head",
    "report_call",
    "settings_path",
    "watch_value",
]
