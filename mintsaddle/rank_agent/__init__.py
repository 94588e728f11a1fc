"""The rank agent: a small program beside each engine of a rank group.

An engine's reports and counts are fresh, and its orders cost nothing, from its
own VM only. The agent carries such calls out for whichever entry manages the
group's expert map.
"""

from mintsaddle.rank_agent._messages import (
    NO_ANSWER,
    AgentMessageError,
    AgentReply,
    AgentRequest,
    RankAnswer,
    RankCall,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)

__all__ = [
    "NO_ANSWER",
    "AgentMessageError",
    "AgentReply",
    "AgentRequest",
    "RankAnswer",
    "RankCall",
    "decode_reply",
    "decode_request",
    "encode_reply",
    "encode_request",
]
