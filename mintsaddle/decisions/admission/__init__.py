"""Admission control of an endpoint daemon for its engine."""

from mintsaddle.decisions.admission._commands import (
    AdmissionDecision,
    AdmissionResult,
    confirm_engine,
    drain_queue,
    expire_queue,
    finish,
    mark_engine_down,
    start_waiting,
    try_admit,
)
from mintsaddle.decisions.admission._queries import (
    CONFIRMATION_TTL,
    current_limit,
    describe_load,
)
from mintsaddle.decisions.admission._state import (
    AdmissionRules,
    AdmissionState,
    Candidate,
    EngineFeedback,
    QueuedRequest,
)

__all__ = [
    "CONFIRMATION_TTL",
    "AdmissionDecision",
    "AdmissionResult",
    "AdmissionRules",
    "AdmissionState",
    "Candidate",
    "EngineFeedback",
    "QueuedRequest",
    "confirm_engine",
    "current_limit",
    "describe_load",
    "drain_queue",
    "expire_queue",
    "finish",
    "mark_engine_down",
    "start_waiting",
    "try_admit",
]
