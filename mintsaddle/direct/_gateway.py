"""State that the threads of one direct entry share."""

import random
import threading
import time
from collections.abc import Callable, Sequence

from mintsaddle.decisions.direct import (
    LAPSE_GRACE_SECONDS,
    SETTLE_SECONDS,
    ColdStartLimiter,
    DirectCall,
    Directory,
    DrainSchedule,
    EndpointReplaced,
    EndpointSaidLeaving,
    EntryShare,
    GroupAvailability,
    GroupStepTimes,
    Incarnation,
    Position,
    PublishedItem,
    Repeat,
    Replica,
    RouteDeadlines,
    apply_updates,
    drop_expired,
    may_send,
    must_poll,
    plan_drain,
    preferred_data_centres,
    usable_endpoints,
)
from mintsaddle.decisions.overload import WorkspaceUse
from mintsaddle.decisions.routing import (
    RoutingState,
    clear_backoff,
    record_finished,
    record_sent,
)
from mintsaddle.direct._answer_buffers import AnswerBuffers
from mintsaddle.direct._endpoint_limits import EndpointLimits
from mintsaddle.direct._endpoint_waits import EndpointWaits
from mintsaddle.direct._metrics import Metrics
from mintsaddle.direct._overload import OverloadControl
from mintsaddle.direct._pool import ConnectionPool
from mintsaddle.direct._probe import LoadProbe
from mintsaddle.direct._quarantine import FeatureQuarantine
from mintsaddle.direct._reach import Reachability
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import PUBLISHED_PREFIX, decode_items, is_followed_key
from mintsaddle.settings import DirectSettings
from mintsaddle.values import Instant

_MIN_ENTRIES = 8
"""Minimum number of entries assumed to share limits."""

_ASSUMED_ENTRIES = 100
"""Number of entries assumed while a new entry doesn't know its peers yet. If
all entries restart together, each of them is new."""

_FIRST_RETRIES = 1.0
"""Retries that an entry may make before its requests have earned any. Each
entry keeps them free of its share, which its run before may have spent."""

PLATFORM_SOURCE = "platform"
"""Source of updates from the platform; all other sources are VMs."""

_log = make_logger("directory")


def describe_position(position: Position) -> str:
    """Return a position formatted as log fields."""
    return fields(position=position.revision, era=position.era)


def _retry_stock(settings: DirectSettings, entries: int) -> float:
    """Return how many retries one of some entries may accumulate."""
    share = settings.retry_slack / entries
    return max(_FIRST_RETRIES, share - _FIRST_RETRIES)


def map_duty(group: str) -> str:
    """Return the name of the duty of managing a group's expert map."""
    return f"maps {group}"


class Gateway:
    """Shared state of an entry, and the lock that guards it."""

    def __init__(self, settings: DirectSettings) -> None:
        self._settings = settings
        self._lock = threading.RLock()
        self._rng = random.Random()
        self._routing = RoutingState(
            settings.vm,
            settings.data_centre,
            budget_cap=_retry_stock(settings, _ASSUMED_ENTRIES),
            retry_share=settings.retry_share,
            budget=_FIRST_RETRIES,
        )
        self._replica = Replica(PUBLISHED_PREFIX)
        self._directory = Directory()
        self._duties: tuple[Directory | None, dict[str, str]] = (None, {})
        self._groups = GroupAvailability()
        self._step_times = GroupStepTimes()
        self._groups_changed = threading.Condition(self._lock)
        self._queue_changed = threading.Condition(self._lock)
        self._reach = Reachability(
            settings.data_centre, self._lock, self.now, self._data_centres
        )
        self._reach.on_change(self._notify_waiting)
        self._deadlines = RouteDeadlines()
        self._workspace_use = WorkspaceUse()
        self._entry_count = _ASSUMED_ENTRIES
        self._cold_start_limiter = ColdStartLimiter(
            settings.cold_factor, settings.cold_slack
        )
        self._limits = EndpointLimits(self._lock, self.now)
        self._waits = EndpointWaits(self._lock, self.now, self._rng)
        self._overload = OverloadControl(self._workspace_use)
        self._pool = ConnectionPool(self.now)
        self._answers = AnswerBuffers(settings.memory_megabytes)
        self._probe = LoadProbe(settings, self.now)
        self._metrics = Metrics()
        self._quarantine = FeatureQuarantine(
            settings.vm, self._lock, self.now, self._metrics, self._notify_waiting
        )
        self._drain_schedule: DrainSchedule | None = None
        self._is_platform_lost = False
        self._is_reader = False
        self._settles_at = self.now() + SETTLE_SECONDS
        self._replica_listeners: list[Callable[[], None]] = []
        self._references: list[object] = []

    @property
    def settings(self) -> DirectSettings:
        """The current settings."""
        return self._settings

    @property
    def lock(self) -> threading.RLock:
        """Lock that is held while a decision reads or changes shared state."""
        return self._lock

    @property
    def rng(self) -> random.Random:
        """Random number generator for decisions; requires the lock."""
        return self._rng

    @property
    def routing(self) -> RoutingState:
        """Views of endpoints and the retry budget; requires the lock."""
        return self._routing

    @property
    def directory(self) -> Directory:
        """Known routing table, endpoints and data centres."""
        return self._directory

    @property
    def deadlines(self) -> RouteDeadlines:
        """Times that callers of each route allow; requires the lock."""
        return self._deadlines

    @property
    def groups(self) -> GroupAvailability:
        """Availability of rank groups; requires the lock."""
        return self._groups

    @property
    def step_times(self) -> GroupStepTimes:
        """Step times of rank groups; requires the lock."""
        return self._step_times

    @property
    def workspace_use(self) -> WorkspaceUse:
        """Use of the capacity by workspace; requires the lock."""
        return self._workspace_use

    @property
    def limits(self) -> EndpointLimits:
        """Request rate limits of endpoints, and permits for them."""
        return self._limits

    @property
    def waits(self) -> EndpointWaits:
        """Waits that endpoints have asked this entry for."""
        return self._waits

    @property
    def overload(self) -> OverloadControl:
        """Admission control by priority level; requires the lock."""
        return self._overload

    @property
    def reach(self) -> Reachability:
        """Which data centres this entry can reach."""
        return self._reach

    @property
    def groups_changed(self) -> threading.Condition:
        """Condition on the lock; notified when availability changes."""
        return self._groups_changed

    @property
    def queue_changed(self) -> threading.Condition:
        """Condition on the lock; notified when a call leaves a queue."""
        return self._queue_changed

    @property
    def metrics(self) -> Metrics:
        """Counters and histograms of this entry."""
        return self._metrics

    @property
    def pool(self) -> ConnectionPool:
        """Idle connections to endpoints."""
        return self._pool

    @property
    def answers(self) -> AnswerBuffers:
        """Memory for answers that are being read or passed on."""
        return self._answers

    @property
    def probe(self) -> LoadProbe:
        """Reads engine loads from agents; call it without holding the lock."""
        return self._probe

    @property
    def quarantine(self) -> FeatureQuarantine:
        """Features of requests that end engines, and trials of them."""
        return self._quarantine

    @property
    def is_initialized(self) -> bool:
        """Whether a full snapshot and a routing table have been read."""
        return not self._replica.is_empty and self._directory.table is not None

    @property
    def leaving(self) -> bool:
        """Whether this process is shutting down."""
        return self._drain_schedule is not None

    @property
    def aborts_calls(self) -> bool:
        """Whether the process stops too soon to await endpoints' answers."""
        schedule = self._drain_schedule
        return schedule is not None and self.now() >= schedule.abort_from

    @property
    def is_platform_lost(self) -> bool:
        """Whether the entry currently gets no data from the platform."""
        return self._is_platform_lost

    @property
    def replica(self) -> Replica:
        """Replica of the published items."""
        return self._replica

    @property
    def must_poll(self) -> bool:
        """Whether this entry has to poll the platform itself."""
        return self._replica.is_empty or must_poll(
            is_reader=self._is_reader,
            # A new entry needs time to find a peer to follow.
            confirmed_at=max(self._replica.confirmed_at, self._settles_at),
            bound=self._settings.propagation_time,
            now=self.now(),
        )

    def now(self) -> Instant:
        """Return the current time.

        Uses the clock that keeps running while the VM is suspended. By the
        monotonic clock, a request read before a suspension would seem to have
        time left. The wall clock isn't used because it may jump.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def begin_drain(self) -> DrainSchedule:
        """Record that this process is shutting down."""
        schedule = plan_drain(self.now(), self._settings.stop_seconds)
        self._drain_schedule = schedule
        return schedule

    def stops_before(self, call: DirectCall) -> bool:
        """Return whether the process stops too soon to send a call."""
        schedule = self._drain_schedule
        runs_once = call.route.repeat is Repeat.ONCE
        return schedule is not None and not may_send(
            schedule, self.now(), call.deadline, runs_once=runs_once
        )

    def set_reader(self, is_reader: bool) -> None:
        """Record whether this entry watches the platform for its peers."""
        if is_reader != self._is_reader:
            self._is_reader = is_reader
            _log.info("Reader changed %s.", fields(is_reader=is_reader))

    def on_replica_update(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes and confirmations of the replica."""
        self._replica_listeners.append(listener)

    def expect_lapses(self, until: Instant) -> None:
        """Record until when removals may result from an outage."""
        with self._lock:
            self._replica.expect_lapses(until)

    def record_platform_lost(self) -> None:
        """Record that no data comes from the platform."""
        with self._lock:
            self._is_platform_lost = True

    def record_platform_recovered(self) -> None:
        """Record that data comes from the platform again.

        The grace period for announcements that expired during the outage
        starts here, because the next response applies their removal.
        """
        with self._lock:
            self._is_platform_lost = False
            self._replica.expect_lapses(self.now() + LAPSE_GRACE_SECONDS)

    def duties(self) -> dict[str, str]:
        """Return the duties to divide among entries.

        Returns:
            The preferred data centre of each duty, by its name; '' for none.
        """
        directory, duties = self._duties
        if directory is not self._directory:
            directory = self._directory
            preferred = preferred_data_centres(directory)
            duties = {map_duty(group): name for group, name in preferred.items()}
            self._duties = (directory, duties)
        return duties

    def set_entry_count(self, number: int) -> None:
        """Set how many entries share limits; at least a minimum is assumed."""
        with self._lock:
            self._entry_count = max(number, _MIN_ENTRIES)
            self._workspace_use.set_entry_count(number)
            stock = _retry_stock(self._settings, self._entry_count)
            self._routing.replace_budget_cap(stock)

    def keep_references(self, *objects: object) -> None:
        """Keep objects in use from being garbage-collected."""
        self._references.extend(objects)

    def is_fresh(self, within: float) -> bool:
        """Return whether the replica was complete within the last seconds.

        Args:
            within: The number of seconds.
        """
        return self.now() - self._replica.confirmed_at <= within

    def apply_items(
        self,
        items: Sequence[PublishedItem],
        position: Position,
        *,
        is_complete: bool,
        confirmed_at: Instant,
        source: str,
    ) -> None:
        """Apply published items to the replica and the state derived from it.

        Args:
            items: Items that were read, watched or relayed.
            position: The point up to which the replica is complete then.
            is_complete: Whether the items are a full snapshot, so that all
                other keys have been removed.
            confirmed_at: When the items were known to be current.
            source: Where the items come from, for the log.
        """
        with self._lock:
            replica, before = self._replica, self._replica.position
            if not replica.accepts(position, is_complete=is_complete):
                return
            relevant = [item for item in items if is_followed_key(item.key)]
            older = replica.count_older(relevant, position) if is_complete else 0
            update = replica.replace if is_complete else replica.merge
            changed = update(relevant, position)
            replica.confirm(confirmed_at)
            is_restored = position.era > before.era and before.revision > 0
            if is_restored:
                self._record_restored(before, source)
            if is_complete:
                _log.info(
                    "Snapshot read %s.",
                    fields(
                        position=position.revision,
                        era=position.era,
                        items=len(relevant),
                        changed=len(changed),
                        older=older,
                        source=source,
                    ),
                )
            if changed:
                self._apply_changes(
                    changed, source, self.now(), is_restored=is_restored
                )
        for listener in self._replica_listeners:
            listener()

    def _record_restored(self, before: Position, source: str) -> None:
        """Record that the store was restored from a backup; under the lock."""
        if source == PLATFORM_SOURCE:
            # A peer sends the rest of the grace period with its updates.
            self._replica.expect_lapses(self.now() + LAPSE_GRACE_SECONDS)
        self._metrics.count("store_restored")
        _log.warning(
            "Store restored %s.",
            fields(
                position_before=before.revision,
                era_before=before.era,
                position=self._replica.position.revision,
                era=self._replica.position.era,
                source=source,
            ),
        )

    def record_replaced(self, endpoint: str) -> None:
        """Record that another run has answered at an endpoint's address.

        The endpoint gets no requests until it announces itself again.
        """
        with self._lock:
            updates = [EndpointReplaced(endpoint)]
            self._directory = apply_updates(self._directory, updates, 0.0, self.now())
            self._routing.forget(endpoint)

    def record_said_leaving(self, endpoint: Incarnation) -> bool:
        """Record an endpoint's answer that says that it is shutting down.

        Returns:
            Whether this entry didn't know it yet.
        """
        with self._lock:
            leaving = self._directory.said_leaving.get(endpoint.name)
            if leaving and leaving.started_at_ms == endpoint.started_at_ms:
                return False
            update = EndpointSaidLeaving(endpoint.name, endpoint.started_at_ms)
            self._directory = apply_updates(self._directory, [update], 0.0, self.now())
            self._log_directory(endpoint.name)
        return True

    def is_expected_to_run(self, endpoint: Incarnation) -> bool:
        """Return whether nothing says that an endpoint leaves or has left."""
        known = self._directory.endpoints.get(endpoint.name)
        has_said = endpoint.name in self._directory.said_leaving
        return known is not None and not known.leaving and not has_said

    def drop_expired(self) -> None:
        """Apply changes from an outage or a restore whose grace has ended."""
        with self._lock:
            before = self._directory
            self._directory = drop_expired(before, self.now())
            if self._directory is not before:
                self._log_directory("grace-over")

    def takes_work(self, endpoint: Incarnation) -> bool:
        """Return whether an endpoint may get a request; requires the lock."""
        table = self._directory.table
        service = table.services.get(endpoint.service) if table else None
        if service is None or not self._groups.takes_work(endpoint):
            return False
        if self._reach.is_unreachable(endpoint.data_centre):
            return False
        if self._waits.is_waiting(endpoint.name):
            return False
        if not self._limits.takes_work(endpoint.name):
            return False
        return self._cold_start_limiter.allows(
            endpoint, service, self._entry_count, self.now()
        )

    def is_cut_off(self) -> bool:
        """Return whether callers are served better by entries elsewhere."""
        table = self._directory.table
        if table is None or not self._reach.is_isolated:
            return False
        with self._lock:
            return any(map(self._is_unserved, table.services))

    def _data_centres(self) -> set[str]:
        return {endpoint.data_centre for endpoint in self._directory.endpoints.values()}

    def _notify_waiting(self) -> None:
        with self._groups_changed:
            self._groups_changed.notify_all()

    def has_available(self, service: str) -> bool:
        """Return whether an endpoint takes work; requires the lock."""
        return any(map(self.takes_work, usable_endpoints(self._directory, service)))

    def _is_unserved(self, service: str) -> bool:
        usable = usable_endpoints(self._directory, service)
        return bool(usable) and not self.has_available(service)

    def sample_addresses(self, data_centre: str, number: int) -> list[str]:
        """Return the addresses of random endpoints of a data centre."""
        with self._lock:
            addresses = [
                endpoint.address
                for endpoint in self._directory.endpoints.values()
                if endpoint.data_centre == data_centre
            ]
            return self._rng.sample(addresses, min(number, len(addresses)))

    def entry_share(self, endpoints: Sequence[Incarnation]) -> EntryShare:
        """Return this entry's own load on endpoints that accept work."""
        with self._lock:
            in_flight = sum(
                self._routing.view(endpoint.name).own_in_flight
                for endpoint in endpoints
            )
            return EntryShare(in_flight, len(endpoints), self._entry_count)

    def record_chosen(self, endpoint: Incarnation) -> None:
        """Count a request that is about to be sent; requires the lock."""
        record_sent(self._routing, endpoint.name)
        self._cold_start_limiter.record_sent(endpoint, self.now())

    def release_chosen(self, endpoint: Incarnation) -> None:
        """Take back a request that was counted but isn't sent after all."""
        with self._lock:
            record_finished(self._routing, endpoint.name)

    def next_permit_at(self, service: str) -> Instant | None:
        """Return when a permit is expected; None if none was denied.

        Args:
            service: The service; a permit for any of its endpoints will do.
        """
        return self._limits.next_permit_at(self._usable_names(service))

    def first_wait_end(self, service: str) -> Instant | None:
        """Return when a service's endpoints stop waiting.

        Args:
            service: The service.

        Returns:
            None unless all its usable endpoints have asked to wait.
        """
        return self._waits.first_end(self._usable_names(service))

    def _usable_names(self, service: str) -> list[str]:
        return [
            endpoint.name for endpoint in usable_endpoints(self._directory, service)
        ]

    def record_rate_limit(
        self, endpoint: str, rate: float | None, observed_at: Instant
    ) -> None:
        """Apply the request rate limit that an endpoint reports."""
        with self._lock:
            if endpoint not in self._directory.endpoints:
                return
        self._limits.record(endpoint, rate, observed_at)

    def replace_settings(self, settings: DirectSettings) -> None:
        """Apply limits from a changed settings file."""
        with self._lock:
            self._settings = settings
            self._cold_start_limiter.replace_limits(
                settings.cold_factor, settings.cold_slack
            )

    def record_group(
        self, group: str, epoch: int, is_open: bool, step: int | None = None
    ) -> None:
        """Apply the group state that a rank reports or announces.

        Args:
            group: The group.
            epoch: Its epoch.
            is_open: Whether it accepts work.
            step: The last step that it began; None if unknown.
        """
        with self._groups_changed:
            was_down = self._groups.is_down(group)
            self._groups.record_report(group, epoch, is_open, self.now(), step)
            if was_down and not self._groups.is_down(group):
                # The ranks failed only because the group was down.
                clear_backoff(self._routing, self._ranks_of(group))
                _log.info("Group regained %s.", fields(group=group, epoch=epoch))
            self._groups_changed.notify_all()

    def _ranks_of(self, group: str) -> list[str]:
        return [
            endpoint.name
            for endpoint in self._directory.endpoints.values()
            if endpoint.assignment is not None and endpoint.assignment.group == group
        ]

    def record_group_refusal(self, group: str, epoch: int, at_fault: str) -> None:
        """Record that a rank refused a request because its group is down.

        Args:
            group: The group.
            epoch: The rank's last known epoch.
            at_fault: Endpoint that the refusal names as the cause.
        """
        with self._groups_changed:
            if not self._groups.is_down(group):
                self._metrics.count("group_lost")
                _log.warning(
                    "Group lost %s.",
                    fields(group=group, epoch=epoch, at_fault=at_fault),
                )
            self._groups.record_refusal(group, epoch, self.now())
            self._groups_changed.notify_all()

    def record_stall(self, group: str, epoch: int, step: int) -> None:
        """Record that a group with requests has stopped beginning steps.

        Args:
            group: The group.
            epoch: Its epoch.
            step: The last step that it began.
        """
        with self._groups_changed:
            if self._groups.is_down(group):
                return
            self._metrics.count("group_stalled")
            details = fields(group=group, epoch=epoch, step=step)
            _log.warning("Group stalled %s.", details)
            self._groups.record_stall(group, epoch, step, self.now())
            self._groups_changed.notify_all()

    def _apply_changes(
        self,
        changed: list[PublishedItem],
        source: str,
        now: Instant,
        *,
        is_restored: bool,
    ) -> None:
        before, replica = self._directory, self._replica
        updates = decode_items(sorted(changed, key=lambda item: item.revision), now)
        hold_seconds = self._settings.lease + LAPSE_GRACE_SECONDS
        self._directory = apply_updates(
            before,
            updates,
            replica.lapse_until,
            now,
            now + hold_seconds if is_restored else None,
        )
        after = self._directory
        for endpoint in after.endpoints.values():
            if endpoint.assignment is not None and endpoint is not before.endpoints.get(
                endpoint.name
            ):
                self.record_group(
                    endpoint.assignment.group,
                    endpoint.assignment.epoch,
                    endpoint.assignment.is_open,
                )
        if after.table is not None and after.table is not before.table:
            routes = {
                route.name
                for host_routes in after.table.hosts.values()
                for route in host_routes
            }
            self._deadlines.keep_only(routes)
            self._overload.replace_table(after.table)
        for name in before.endpoints.keys() - after.endpoints.keys():
            self._routing.forget(name)
        self._overload.keep_groups(set(preferred_data_centres(after)))
        self._limits.discard_gone(after.endpoints.keys())
        self._waits.discard_ended(after.endpoints.keys())
        self._log_directory(source)

    def _log_directory(self, source: str) -> None:
        directory, replica = self._directory, self._replica
        leaving = sum(endpoint.leaving for endpoint in directory.endpoints.values())
        _log.info(
            "Directory changed %s.",
            fields(
                position=replica.position.revision,
                source=source,
                version=directory.table.version if directory.table else 0,
                endpoints=len(directory.endpoints),
                leaving=leaving,
                withheld=len(directory.withheld),
                out=",".join(sorted(directory.evacuated)) or "none",
            ),
        )
