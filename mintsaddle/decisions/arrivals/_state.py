"""The state of one endpoint daemon."""

from collections.abc import Mapping

from mintsaddle.decisions.admission import AdmissionState
from mintsaddle.decisions.arrivals._messages import Arrival
from mintsaddle.decisions.configuration import ConfigurationState
from mintsaddle.decisions.orders import OrdersState
from mintsaddle.values import Boot, Instant


class EndpointState:
    """One run of an endpoint daemon: its engine, its orders, who waits."""

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
        """The text and marks in force."""
        return self._configuration

    @property
    def admission(self) -> AdmissionState:
        """The engine's limit, running requests and queue."""
        return self._admission

    @property
    def orders(self) -> OrdersState:
        """The ledger and the standing among homes."""
        return self._orders

    @property
    def leaving(self) -> bool:
        """Whether this daemon was told to stop."""
        return self._leave_by is not None

    @property
    def leave_by(self) -> Instant | None:
        """Until when a leaving daemon waits for homes that need its word."""
        return self._leave_by

    @property
    def arrivals(self) -> Mapping[str, Arrival]:
        """Requests that are queued or at the engine, by id."""
        return self._arrivals

    def mark_leaving(self, leave_by: Instant) -> None:
        """Note that this daemon was told to stop."""
        self._leave_by = leave_by

    def put_arrival(self, arrival: Arrival) -> None:
        """Remember a request until it is over."""
        self._arrivals[arrival.request_id] = arrival

    def drop_arrival(self, request_id: str) -> Arrival | None:
        """Forget a request that is over."""
        return self._arrivals.pop(request_id, None)

    def join(self, key: str, request_id: str) -> None:
        """Let a later arrival wait for a pending order's answer."""
        self._joined.setdefault(key, []).append(request_id)

    def take_joined(self, key: str) -> tuple[str, ...]:
        """Take out the arrivals that wait for an order's answer."""
        return tuple(self._joined.pop(key, ()))

    def leave_joined(self, request_id: str) -> None:
        """Forget a waiting arrival whose entry has gone."""
        for waiting in self._joined.values():
            if request_id in waiting:
                waiting.remove(request_id)
