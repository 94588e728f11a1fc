"""The endpoint daemon's exact word on how much its engine gets."""

from mintsaddle.decisions.admission._commands import (
    Offer,
    Verdict,
    confirm_engine,
    drain_queue,
    expire_queue,
    finish,
    lose_engine,
    offer,
    start_waiting,
)
from mintsaddle.decisions.admission._queries import (
    CONFIRMATION_LIFE,
    current_limit,
    describe_load,
)
from mintsaddle.decisions.admission._state import (
    AdmissionRules,
    AdmissionState,
    Candidate,
    Evidence,
    Waiting,
)

__all__ = [
    "CONFIRMATION_LIFE",
    "AdmissionRules",
    "AdmissionState",
    "Candidate",
    "Evidence",
    "Offer",
    "Verdict",
    "Waiting",
    "confirm_engine",
    "current_limit",
    "describe_load",
    "drain_queue",
    "expire_queue",
    "finish",
    "lose_engine",
    "offer",
    "start_waiting",
]
