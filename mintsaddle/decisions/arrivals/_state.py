"""The state of one endpoint daemon."""

from collections.abc import Mapping

from mintsaddle.decisions.admission import AdmissionState
from mintsaddle.decisions.arrivals._messages import Arrival
from mintsaddle.decisions.configuration import ConfigurationState
from mintsaddle.decisions.orders import OrdersState
from mintsaddle.values import Boot, Instant


class EndpointState:
    """One run of an endpoint daemon: engine, orders and waiting arrivals."""

    def __init__(
        self,
        vm: str,
        boot: Boot,
        boot_at: Instant,
        configuration: ConfigurationState,
    ) -> None:
        self._vm = vm
        self._configuration = configuration
        self._admission = AdmissionState()
        self._orders = OrdersState(vm, boot, boot_at)
        self._leave_by: Instant | None = None
        self._arrivals: dict[str, Arrival] = {}
        self._joined: dict[str, list[str]] = {}

    @property
    def vm(self) -> str:
        """Name of the endpoint."""
        return self._vm

    @property
    def configuration(self) -> ConfigurationState:
        """The active fleet text and marks."""
        return self._configuration

    @property
    def admission(self) -> AdmissionState:
        """The engine's limit, running requests and queue."""
        return self._admission

    @property
    def orders(self) -> OrdersState:
        """The ledger and this daemon's state among the homes."""
        return self._orders

    @property
    def leaving(self) -> bool:
        """Whether this daemon was told to stop."""
        return self._leave_by is not None

    @property
    def leave_by(self) -> Instant | None:
        """Until when a leaving daemon waits for homes to take over keys."""
        return self._leave_by

    @property
    def arrivals(self) -> Mapping[str, Arrival]:
        """Requests that are queued or at the engine, by request ID."""
        return self._arrivals

    def mark_leaving(self, leave_by: Instant) -> None:
        """Record that this daemon was told to stop."""
        self._leave_by = leave_by

    def put_arrival(self, arrival: Arrival) -> None:
        """Add a request that is queued or at the engine."""
        self._arrivals[arrival.request_id] = arrival

    def drop_arrival(self, request_id: str) -> Arrival | None:
        """Remove and return a request that has ended, if it is known."""
        return self._arrivals.pop(request_id, None)

    def join(self, key: str, request_id: str) -> None:
        """Let a repeated arrival wait for a pending order's answer."""
        self._joined.setdefault(key, []).append(request_id)

    def take_joined(self, key: str) -> tuple[str, ...]:
        """Remove and return the arrivals that wait for an order's answer."""
        return tuple(self._joined.pop(key, ()))

    def drop_joined(self, request_id: str) -> None:
        """Remove a joined arrival whose entry no longer waits for it."""
        for waiting in self._joined.values():
            if request_id in waiting:
                waiting.remove(request_id)
