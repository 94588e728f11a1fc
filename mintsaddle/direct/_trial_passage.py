"""Holds back calls whose features are on trial; refuses quarantined ones."""

from collections.abc import Callable

from mintsaddle.decisions.direct import DirectCall, Incarnation, hold_until
from mintsaddle.decisions.quarantine import Feature, Verdict
from mintsaddle.direct._availability import CallerDisconnectedError
from mintsaddle.direct._choice import choose_endpoint
from mintsaddle.direct._gateway import Gateway
from mintsaddle.observe import fields, make_logger
from mintsaddle.values import Reason

TRIAL_POLL_SECONDS = 0.2
"""Seconds between two requests for a trial; each costs a message."""

_log = make_logger("calls")


class _CallRefusedError(Exception):
    """A call was refused while it waited for an endpoint."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason)
        self.reason = reason


class TrialPassage:
    """The trials that one call holds. Not thread-safe."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._holder = gateway.quarantine.next_holder()
        self._trials: set[Feature] = set()

    def await_endpoint(
        self, call: DirectCall, is_disconnected: Callable[[], bool]
    ) -> Incarnation | Reason:
        """Return the endpoint to try, or why there is none.

        Verdicts may change while the call waits for an endpoint, so it passes
        again once it has one.

        Args:
            call: The call.
            is_disconnected: Returns whether the caller has disconnected.

        Raises:
            CallerDisconnectedError: The caller disconnected while it waited.
        """

        def is_waiting_in_vain() -> bool:
            if self._gateway.quarantine.is_quarantined(call.features):
                raise _CallRefusedError(Reason.QUARANTINED)
            if self._gateway.stops_before(call):
                raise _CallRefusedError(Reason.LEAVING)
            return is_disconnected()

        while True:
            try:
                refusal = self._await_admission(call, is_waiting_in_vain)
                if refusal is not None:
                    return refusal
                if self._gateway.stops_before(call):
                    return Reason.LEAVING
                endpoint = choose_endpoint(self._gateway, call, is_waiting_in_vain)
            except _CallRefusedError as error:
                return error.reason
            except CallerDisconnectedError:
                self.end()
                raise
            if isinstance(endpoint, Reason) or self._may_send(call):
                return endpoint
            self._gateway.release_chosen(endpoint)

    def end(self) -> None:
        """End all trials that the call holds."""
        for feature in self._trials:
            self._gateway.quarantine.end_trial(feature, self._holder)
        self._trials.clear()

    def _await_admission(
        self, call: DirectCall, is_disconnected: Callable[[], bool]
    ) -> Reason | None:
        """Wait until the call may be sent; return why if it may not."""
        gateway, quarantine = self._gateway, self._gateway.quarantine
        has_waited = False
        while not quarantine.is_empty:
            judgement = quarantine.judge(call.features)
            if judgement.verdict is Verdict.QUARANTINED:
                return Reason.QUARANTINED
            if self._request_trials(call, judgement.suspects):
                break
            left = hold_until(call) - gateway.now()
            if left <= 0:
                return Reason.ON_TRIAL
            if not has_waited:
                has_waited = True
                self._log_waiting(call, judgement.suspects)
            with gateway.groups_changed:
                gateway.groups_changed.wait(min(left, TRIAL_POLL_SECONDS))
            if is_disconnected():
                raise CallerDisconnectedError
        return None

    def _may_send(self, call: DirectCall) -> bool:
        """Return whether the call may still be sent as it was admitted."""
        if self._gateway.quarantine.is_empty:
            return True
        judgement = self._gateway.quarantine.judge(call.features)
        if judgement.verdict is Verdict.QUARANTINED:
            return False
        return self._trials.issuperset(judgement.suspects)

    def _request_trials(self, call: DirectCall, suspects: tuple[Feature, ...]) -> bool:
        """Return whether the call holds trials of all suspects, or get none.

        A call that kept some of them while it waits for others would hold
        back calls that need no more than those.
        """
        for feature in suspects:
            if feature in self._trials:
                continue
            if not self._gateway.quarantine.request_trial(
                feature, self._holder, call.deadline
            ):
                self.end()
                return False
            self._trials.add(feature)
        return True

    def _log_waiting(self, call: DirectCall, suspects: tuple[Feature, ...]) -> None:
        self._gateway.metrics.count("waited_for_trial")
        _log.info(
            "Request waits for a trial %s.",
            fields(
                request=call.request_id,
                features=",".join(f"{feature:016x}" for feature in suspects),
            ),
        )
