"""What an entry remembers of endpoints."""

from typing import NamedTuple

from mintsaddle.values import Boot, Instant, Load

REPORT_LIFE = 1.0
"""Seconds for which a reported load is believed."""

BUDGET_CAP = 20.0
"""Retries that may be saved up by quiet times."""

RETRY_SHARE = 0.2
"""Retries allowed for each fresh request."""


class EndpointView(NamedTuple):
    """An entry's possibly old view of one endpoint."""

    sent: int = 0
    """This entry's own attempts there that are not over."""

    load: Load | None = None
    """The last load that the endpoint's daemon reported."""

    load_at: Instant = 0.0
    """When it reported that."""

    sent_at_report: int = 0
    """Own attempts there when that load was reported."""

    boot: Boot | None = None
    """The run of the endpoint's daemon, for keys issued to it."""

    failures: int = 0
    """Failures in a row; a good answer sets it to 0."""

    blocked_until: Instant = 0.0
    """Not tried before, unless nothing else is left."""

    def estimate_load(self, now: Instant) -> int:
        """Return the requests believed to be there, waiting ones included.

        An old report counts for nothing: an endpoint that was full once would
        otherwise never be tried again by an entry that has nothing there.
        """
        if self.load is None or now > self.load_at + REPORT_LIFE:
            return self.sent
        since = self.sent - self.sent_at_report
        return max(self.sent, self.load.in_flight + self.load.queued + since)


class RoutingState:
    """One entry's views of all endpoints and its retry budget."""

    def __init__(
        self,
        vm: str,
        data_centre: str,
        budget_cap: float = BUDGET_CAP,
        retry_share: float = RETRY_SHARE,
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._views: dict[str, EndpointView] = {}
        self._budget_cap = budget_cap
        self._retry_share = retry_share
        self._budget = budget_cap

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
        """Retries that may still be spent."""
        return self._budget

    @property
    def budget_cap(self) -> float:
        """Retries that may be saved up."""
        return self._budget_cap

    @property
    def retry_share(self) -> float:
        """Retries that each fresh request earns."""
        return self._retry_share

    def view(self, endpoint: str) -> EndpointView:
        """Return the view of an endpoint; a fresh one if nothing is known."""
        return self._views.get(endpoint, EndpointView())

    def replace_view(self, endpoint: str, view: EndpointView) -> None:
        """Put a changed view in the place of the old one."""
        self._views[endpoint] = view

    def replace_budget(self, budget: float) -> None:
        """Set the retry budget."""
        self._budget = budget

    def replace_budget_cap(self, cap: float) -> None:
        """Set how many retries may be saved up."""
        self._budget_cap = cap
        self._budget = min(self._budget, cap)

    def forget(self, endpoint: str) -> None:
        """Drop the view of an endpoint that won't come back."""
        self._views.pop(endpoint, None)
