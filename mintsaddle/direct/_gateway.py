"""What the threads of one direct entry share."""

import random
import threading
import time
from collections.abc import Callable, Sequence

from mintsaddle.decisions.direct import (
    LAPSE_GRACE_SECONDS,
    SETTLE_SECONDS,
    ColdStartLimiter,
    Directory,
    EndpointReplaced,
    EntryShare,
    GroupAvailability,
    GroupStepTimes,
    Incarnation,
    Position,
    PublishedItem,
    Replica,
    RouteDeadlines,
    apply_updates,
    drop_expired,
    must_poll,
    usable_endpoints,
)
from mintsaddle.decisions.routing import RoutingState, clear_backoff, record_sent
from mintsaddle.direct._endpoint_limits import EndpointLimits
from mintsaddle.direct._metrics import Metrics
from mintsaddle.direct._pool import ConnectionPool
from mintsaddle.direct._probe import LoadProbe
from mintsaddle.direct._reach import Reachability
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import PUBLISHED_PREFIX, decode_items, is_followed_key
from mintsaddle.settings import DirectSettings
from mintsaddle.values import Instant

_LIKELY_ENTRIES = 8
"""Entries assumed to share the retry budget until peers have told."""

PLATFORM_SOURCE = "platform"
"""Names the platform as the source of news; other sources are VMs."""

_log = make_logger("directory")


def describe_position(position: Position) -> str:
    """Return a position as fields of a log line."""
    return fields(position=position.revision, era=position.era)


def map_duty(group: str) -> str:
    """Return the name of the duty to manage a group's expert map."""
    return f"maps {group}"


class Gateway:
    """Beliefs and the lock under which decisions change them."""

    def __init__(self, settings: DirectSettings) -> None:
        self._settings = settings
        self._lock = threading.RLock()
        self._rng = random.Random()
        self._routing = RoutingState(
            settings.vm,
            settings.data_centre,
            budget_cap=settings.retry_slack / _LIKELY_ENTRIES,
            retry_share=settings.retry_share,
        )
        self._replica = Replica(PUBLISHED_PREFIX)
        self._directory = Directory()
        self._groups = GroupAvailability()
        self._paces = GroupStepTimes()
        self._groups_changed = threading.Condition(self._lock)
        self._reach = Reachability(
            settings.data_centre, self._lock, self.now, self._data_centres
        )
        self._reach.on_change(self._notify_waiting)
        self._deadlines = RouteDeadlines()
        self._entries = _LIKELY_ENTRIES
        self._cold_gate = ColdStartLimiter(settings.cold_factor, settings.cold_slack)
        self._limits = EndpointLimits(self._lock, self.now)
        self._pool = ConnectionPool(self.now)
        self._probe = LoadProbe(settings, self.now)
        self._metrics = Metrics()
        self._leaving = False
        self._is_platform_lost = False
        self._is_reader = False
        self._settles_at = self.now() + SETTLE_SECONDS
        self._copy_listeners: list[Callable[[], None]] = []
        self._kept: list[object] = []

    @property
    def settings(self) -> DirectSettings:
        """What the settings file said at the start."""
        return self._settings

    @property
    def lock(self) -> threading.RLock:
        """Held while a decision reads or changes shared state."""
        return self._lock

    @property
    def rng(self) -> random.Random:
        """The source of randomness for decisions; use it under the lock."""
        return self._rng

    @property
    def routing(self) -> RoutingState:
        """Views of endpoints and the retry budget; use it under the lock."""
        return self._routing

    @property
    def directory(self) -> Directory:
        """What is believed of table, endpoints and data centres."""
        return self._directory

    @property
    def deadlines(self) -> RouteDeadlines:
        """What callers of each route bring; use it under the lock."""
        return self._deadlines

    @property
    def groups(self) -> GroupAvailability:
        """Which groups take no work; use it under the lock."""
        return self._groups

    @property
    def paces(self) -> GroupStepTimes:
        """How long the steps of groups take; use it under the lock."""
        return self._paces

    @property
    def limits(self) -> EndpointLimits:
        """Which endpoints limit their requests, and permits for them."""
        return self._limits

    @property
    def reach(self) -> Reachability:
        """Which data centres this entry reaches."""
        return self._reach

    @property
    def groups_changed(self) -> threading.Condition:
        """Told when a group goes down or comes back; holds the lock."""
        return self._groups_changed

    @property
    def metrics(self) -> Metrics:
        """Counters and histograms of this entry."""
        return self._metrics

    @property
    def pool(self) -> ConnectionPool:
        """Idle connections to endpoints."""
        return self._pool

    @property
    def probe(self) -> LoadProbe:
        """Asks agents for loads of engines; use it without the lock."""
        return self._probe

    @property
    def knows_all(self) -> bool:
        """Whether everything published has been read once."""
        return not self._replica.is_empty and self._directory.table is not None

    @property
    def leaving(self) -> bool:
        """Whether this process was told to stop."""
        return self._leaving

    @property
    def is_platform_lost(self) -> bool:
        """Whether the platform gives this entry nothing at present."""
        return self._is_platform_lost

    @property
    def replica(self) -> Replica:
        """The copy of what is published."""
        return self._replica

    @property
    def must_poll(self) -> bool:
        """Whether this entry has to ask the platform itself."""
        return self._replica.is_empty or must_poll(
            is_reader=self._is_reader,
            # A young entry still learns whom to follow.
            confirmed_at=max(self._replica.confirmed_at, self._settles_at),
            bound=self._settings.news_within,
            now=self.now(),
        )

    def now(self) -> Instant:
        """Return the present instant.

        The clock that also counts while the VM is suspended: by the steady
        one, a request that was read before would seem to have time left. The
        time of day isn't used: it may jump.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def mark_leaving(self) -> None:
        """Note that this process was told to stop."""
        self._leaving = True

    def set_reader(self, is_reader: bool) -> None:
        """Record whether this entry watches the platform for others."""
        if is_reader != self._is_reader:
            self._is_reader = is_reader
            _log.info("Reader changed %s.", fields(is_reader=is_reader))

    def on_copy(self, listener: Callable[[], None]) -> None:
        """Call a function whenever the copy has changed or was confirmed."""
        self._copy_listeners.append(listener)

    def expect_lapses(self, until: Instant) -> None:
        """Record until when removals may stem from an outage."""
        with self._lock:
            self._replica.expect_lapses(until)

    def record_lost(self) -> None:
        """Note that the platform gives nothing."""
        with self._lock:
            self._is_platform_lost = True

    def record_regained(self) -> None:
        """Note that the platform gives something again.

        Announcements that lapsed in the meantime get their grace from here:
        they are taken over with the answer that follows.
        """
        with self._lock:
            self._is_platform_lost = False
            self._replica.expect_lapses(self.now() + LAPSE_GRACE_SECONDS)

    def duties(self) -> set[str]:
        """Return the names of the duties that some entry has to manage."""
        places = (one.place for one in self._directory.endpoints.values())
        return {map_duty(place.group) for place in places if place is not None}

    def set_entries(self, number: int) -> None:
        """Note how many entries share limits; the larger number counts."""
        with self._lock:
            share = self._settings.retry_slack / max(number, _LIKELY_ENTRIES)
            self._routing.replace_budget_cap(share)
            self._entries = max(number, _LIKELY_ENTRIES)

    def keep(self, *things: object) -> None:
        """Hold what would otherwise be collected while it is in use."""
        self._kept.extend(things)

    def is_fresh(self, within: float) -> bool:
        """Return whether the copy was complete a short time ago."""
        return self.now() - self._replica.confirmed_at <= within

    def take_items(
        self,
        items: Sequence[PublishedItem],
        position: Position,
        *,
        is_complete: bool,
        confirmed_at: Instant,
        source: str,
    ) -> None:
        """Take over published items and what follows from them.

        Args:
            items: What was read, changed or relayed.
            position: Up to where nothing is missing then.
            is_complete: Whether keys that aren't among the items are gone.
            confirmed_at: When the items were known to be current.
            source: Who told, for the log.
        """
        with self._lock:
            replica, before = self._replica, self._replica.position
            if not replica.accepts(position, is_complete=is_complete):
                return
            ours = [item for item in items if is_followed_key(item.key)]
            older = replica.count_older(ours, position) if is_complete else 0
            take = replica.replace if is_complete else replica.merge
            changed = take(ours, position)
            replica.confirm(confirmed_at)
            is_restored = position.era > before.era and before.revision > 0
            if is_restored:
                self._record_restored(before, source)
            if is_complete:
                _log.info(
                    "Copy read %s.",
                    fields(
                        position=position.revision,
                        era=position.era,
                        items=len(ours),
                        changed=len(changed),
                        older=older,
                        source=source,
                    ),
                )
            if changed:
                self._apply(changed, source, self.now(), is_restored=is_restored)
        for listener in self._copy_listeners:
            listener()

    def _record_restored(self, before: Position, source: str) -> None:
        """Note that the store came back from an older copy; under the lock."""
        if source == PLATFORM_SOURCE:
            # A peer tells how much of the grace is left.
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

    def record_moved(self, endpoint: str) -> None:
        """Note that another run has an endpoint's address by now.

        It gets nothing more unless it announces itself again.
        """
        with self._lock:
            facts = [EndpointReplaced(endpoint)]
            self._directory = apply_updates(self._directory, facts, 0.0, self.now())
            self._routing.forget(endpoint)

    def drop_expired(self) -> None:
        """Believe the platform where it hasn't written again what it lost."""
        with self._lock:
            before = self._directory
            self._directory = drop_expired(before, self.now())
            if self._directory is not before:
                self._log_beliefs("grace-over")

    def takes_work(self, endpoint: Incarnation) -> bool:
        """Return whether an endpoint may get a request now; under the lock."""
        table = self._directory.table
        service = table.services.get(endpoint.service) if table else None
        if service is None or not self._groups.takes_work(endpoint):
            return False
        if self._reach.is_unreachable(endpoint.data_centre):
            return False
        if not self._limits.takes_work(endpoint.name):
            return False
        return self._cold_gate.allows(endpoint, service, self._entries, self.now())

    def is_cut_off(self) -> bool:
        """Return whether entries elsewhere serve this one's callers better."""
        table = self._directory.table
        if table is None or not self._reach.is_isolated:
            return False
        with self._lock:
            return any(map(self._is_unserved, table.services))

    def _data_centres(self) -> set[str]:
        return {one.data_centre for one in self._directory.endpoints.values()}

    def _notify_waiting(self) -> None:
        with self._groups_changed:
            self._groups_changed.notify_all()

    def _is_unserved(self, service: str) -> bool:
        usable = usable_endpoints(self._directory, service)
        return bool(usable) and not any(map(self.takes_work, usable))

    def draw_addresses(self, data_centre: str, number: int) -> list[str]:
        """Return the addresses of some endpoints of a data centre."""
        with self._lock:
            there = [
                one.address
                for one in self._directory.endpoints.values()
                if one.data_centre == data_centre
            ]
            return self._rng.sample(there, min(number, len(there)))

    def share_of(self, endpoints: Sequence[Incarnation]) -> EntryShare:
        """Return what this entry has at endpoints that take work."""
        with self._lock:
            in_flight = sum(
                self._routing.view(one.name).own_in_flight for one in endpoints
            )
            return EntryShare(in_flight, len(endpoints), self._entries)

    def record_chosen(self, endpoint: Incarnation) -> None:
        """Count a request that is about to be sent; under the lock."""
        record_sent(self._routing, endpoint.name)
        self._cold_gate.record_sent(endpoint, self.now())

    def next_permit_at(self, service: str) -> Instant | None:
        """Return when a permit is expected; None if none was denied.

        Args:
            service: The service, of which any endpoint will do.
        """
        with self._lock:
            names = [one.name for one in usable_endpoints(self._directory, service)]
        return self._limits.next_permit_at(names)

    def record_rate_limit(
        self, endpoint: str, rate: float | None, observed_at: Instant
    ) -> None:
        """Take over what an endpoint says of the requests that it takes."""
        with self._lock:
            if endpoint not in self._directory.endpoints:
                return
        self._limits.record(endpoint, rate, observed_at)

    def replace_settings(self, settings: DirectSettings) -> None:
        """Take over limits from a settings file that has changed."""
        with self._lock:
            self._settings = settings
            self._cold_gate = ColdStartLimiter(
                settings.cold_factor, settings.cold_slack
            )

    def record_group(
        self, group: str, epoch: int, is_open: bool, step: int | None = None
    ) -> None:
        """Take over what a rank or its announcement says of its group.

        Args:
            group: The group.
            epoch: Its epoch.
            is_open: Whether it takes work.
            step: The last step that it began; None when that isn't told.
        """
        with self._groups_changed:
            was_down = self._groups.is_down(group)
            self._groups.record_report(group, epoch, is_open, self.now(), step)
            if was_down and not self._groups.is_down(group):
                # Its ranks failed for the group's sake.
                clear_backoff(self._routing, self._ranks_of(group))
                _log.info("Group regained %s.", fields(group=group, epoch=epoch))
            self._groups_changed.notify_all()

    def _ranks_of(self, group: str) -> list[str]:
        return [
            one.name
            for one in self._directory.endpoints.values()
            if one.place is not None and one.place.group == group
        ]

    def record_group_refusal(self, group: str, epoch: int, at_fault: str) -> None:
        """Note that a rank refused a request for its group's sake.

        Args:
            group: The group.
            epoch: The epoch that the rank was believed to be in.
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
        """Note that a group with requests has begun no step for long.

        Args:
            group: The group.
            epoch: Its epoch.
            step: The last step that it began.
        """
        with self._groups_changed:
            if self._groups.is_down(group):
                return
            self._metrics.count("group_stalled")
            fact = fields(group=group, epoch=epoch, step=step)
            _log.warning("Group stalled %s.", fact)
            self._groups.record_stall(group, epoch, step, self.now())
            self._groups_changed.notify_all()

    def _apply(
        self,
        changed: list[PublishedItem],
        source: str,
        now: Instant,
        *,
        is_restored: bool,
    ) -> None:
        before, replica = self._directory, self._replica
        facts = decode_items(sorted(changed, key=lambda item: item.revision), now)
        hold = self._settings.lease + LAPSE_GRACE_SECONDS
        self._directory = apply_updates(
            before, facts, replica.lapse_until, now, now + hold if is_restored else None
        )
        after = self._directory
        for one in after.endpoints.values():
            if one.place is not None and one is not before.endpoints.get(one.name):
                self.record_group(one.place.group, one.place.epoch, one.place.is_open)
        if after.table is not None and after.table is not before.table:
            routes = {r.name for all_of in after.table.hosts.values() for r in all_of}
            self._deadlines.keep_only(routes)
        for name in before.endpoints.keys() - after.endpoints.keys():
            self._routing.forget(name)
            self._limits.forget(name)
        self._log_beliefs(source)

    def _log_beliefs(self, source: str) -> None:
        directory, replica = self._directory, self._replica
        leaving = sum(one.leaving for one in directory.endpoints.values())
        _log.info(
            "Beliefs changed %s.",
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
