"""Routing state of an entry."""

from typing import NamedTuple

from mintsaddle.values import Boot, Instant, Load

REPORT_TTL = 1.0
"""Seconds for which a reported load is valid."""

BUDGET_CAP = 20.0
"""Maximum retries accumulated while few are needed."""

RETRY_SHARE = 0.2
"""Retries credited for each new request."""


class EndpointView(NamedTuple):
    """Possibly stale view that an entry has of one endpoint."""

    own_in_flight: int = 0
    """Unfinished attempts that this entry sent to the endpoint."""

    load: Load | None = None
    """Last load reported by the endpoint's daemon."""

    load_at: Instant = 0.0
    """Time of that report."""

    own_in_flight_at_report: int = 0
    """Value of `own_in_flight` at the time of that report."""

    boot: Boot | None = None
    """Boot number of the endpoint's daemon, if known; used to issue keys."""

    failures: int = 0
    """Consecutive failures; reset to 0 by a reported load."""

    blocked_until: Instant = 0.0
    """Time until which the endpoint is tried only if no other is available."""

    def estimate_load(self, now: Instant) -> int:
        """Return the estimated requests at the endpoint, queued ones included.

        An expired report is ignored. Otherwise an endpoint that was once full
        would never be retried by an entry with no requests in flight there.
        """
        if self.load is None or now > self.load_at + REPORT_TTL:
            return self.own_in_flight
        since = self.own_in_flight - self.own_in_flight_at_report
        return max(self.own_in_flight, self.load.in_flight + self.load.queued + since)


class RoutingState:
    """Endpoint views and retry budget of one entry."""

    def __init__(
        self,
        vm: str,
        data_centre: str,
        budget_cap: float = BUDGET_CAP,
        retry_share: float = RETRY_SHARE,
        budget: float | None = None,
    ) -> None:
        """Create the state of an entry that has just started.

        Args:
            vm: Name of the entry.
            data_centre: Its data centre.
            budget_cap: Maximum retries that can accumulate.
            retry_share: Retries credited for each new request.
            budget: Retries available at first; the maximum by default.
        """
        self._vm = vm
        self._data_centre = data_centre
        self._views: dict[str, EndpointView] = {}
        self._budget_cap = budget_cap
        self._retry_share = retry_share
        self._budget = budget_cap if budget is None else budget

    @property
    def vm(self) -> str:
        """Name of the entry."""
        return self._vm

    @property
    def data_centre(self) -> str:
        """Data centre of the entry."""
        return self._data_centre

    @property
    def budget(self) -> float:
        """Retries currently available."""
        return self._budget

    @property
    def budget_cap(self) -> float:
        """Maximum retries that can accumulate."""
        return self._budget_cap

    @property
    def retry_share(self) -> float:
        """Retries credited for each new request."""
        return self._retry_share

    def view(self, endpoint: str) -> EndpointView:
        """Return the view of an endpoint; a default one if unknown."""
        return self._views.get(endpoint, EndpointView())

    def replace_view(self, endpoint: str, view: EndpointView) -> None:
        """Replace the view of an endpoint."""
        self._views[endpoint] = view

    def replace_budget(self, budget: float) -> None:
        """Set the retry budget."""
        self._budget = budget

    def replace_budget_cap(self, cap: float) -> None:
        """Set the maximum budget and reduce the current one to it."""
        self._budget_cap = cap
        self._budget = min(self._budget, cap)

    def forget(self, endpoint: str) -> None:
        """Remove the view of an endpoint that is permanently gone."""
        self._views.pop(endpoint, None)
