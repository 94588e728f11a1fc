"""The rank agent: a small process beside each engine of a rank group.

Reports and counts from an engine are only fresh, and orders to it only cheap,
when the call comes from the engine's own VM. The agent makes these calls on
behalf of whichever entry manages the group's expert map.
"""

from mintsaddle.rank_agent._messages import (
    NO_RESPONSE,
    AgentMessageError,
    AgentReply,
    AgentRequest,
    RankCall,
    RankResponse,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)

__all__ = [
    "AgentMessageError",
    "AgentReply",
    "AgentRequest",
    "RankResponse",
    "RankCall",
    "NO_RESPONSE",
    "decode_reply",
    "decode_request",
    "encode_reply",
    "encode_request",
]
