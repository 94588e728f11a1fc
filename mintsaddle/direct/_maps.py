"""Management of rank groups' expert maps; each group is a duty of its own."""

import time

from mintsaddle.decisions.direct import Membership, shortest_allowed_pause
from mintsaddle.decisions.expert_maps import (
    ExpertMap,
    MapWatch,
    RankReport,
    StallDetector,
    SwitchStage,
    begin_switch,
    choose_limits,
    draw_version,
    make_first_map,
    roll_back_held_switch,
    watchdog_timeout,
)
from mintsaddle.direct._gateway import Gateway, map_duty
from mintsaddle.direct._group_polls import GroupPoller
from mintsaddle.direct._rank_calls import RankCalls
from mintsaddle.direct._rank_groups import RankGroup, find_rank_groups
from mintsaddle.direct._switches import REPORT_WAIT_SECONDS, SwitchRunner
from mintsaddle.observe import fields, make_logger
from mintsaddle.process import FailureLog, Supervisor
from mintsaddle.values import MILLISECONDS

POLL_SECONDS = 0.5
"""Seconds between two polls of a group over the network. Popularity changes
every few seconds, and each poll reads reports and the counts of a few
ranks."""

AGENT_POLL_SECONDS = 0.1
"""Seconds between two polls through agents, which cost little more than their
datagrams."""

WATCHDOGS = 2
"""Successors of the coordinator that check whether the group has stalled."""

ROLLBACK_ATTEMPTS = 8
"""Attempts to roll back a failed switch of this coordinator that has left a
step held. At one per REPORT_WAIT_SECONDS they take 2.4 s; the group stops
before the held step within 0.5 s."""

_THREAD = "maps"
_log = make_logger("maps")


class MapCoordinator:
    """Manages the maps of the groups whose duty this entry has; one thread."""

    def __init__(
        self, gateway: Gateway, membership: Membership, failures: FailureLog
    ) -> None:
        self._gateway = gateway
        self._membership = membership
        self._failures = failures
        self._rank_calls = RankCalls(
            gateway.settings, gateway.now, gateway.metrics.count
        )
        self._poller = GroupPoller(
            self._rank_calls, gateway.settings.data_centre, gateway.now
        )
        self._runner = SwitchRunner(self._rank_calls, gateway.now)
        self._watches: dict[str, MapWatch] = {}
        self._last_versions: dict[str, int] = {}
        self._stall_detectors: dict[str, StallDetector] = {}
        self._has_reachable_group = False
        self._known_maps: dict[str, tuple[int, ExpertMap | None]] = {}

    def start(self, supervisor: Supervisor) -> None:
        """Start the thread."""
        supervisor.start(_THREAD, self._run)

    def _run(self) -> None:
        while True:
            time.sleep(
                AGENT_POLL_SECONDS if self._has_reachable_group else POLL_SECONDS
            )
            if self._gateway.leaving:
                return
            self._has_reachable_group = False
            duties = self._gateway.duties()
            for group in find_rank_groups(self._gateway.directory):
                self._manage_safely(group, duties.get(map_duty(group.name), ""))
                self._has_reachable_group |= self._poller.is_reachable(group)

    def _manage_safely(self, group: RankGroup, data_centre: str) -> None:
        """Manage a group; record any exception and go on.

        If the thread ended, groups with a held step would stay held.
        """
        with self._failures.contain(_THREAD):
            self._manage(group, data_centre)

    def _manage(self, group: RankGroup, data_centre: str) -> None:
        index = self._membership.succession_index(
            map_duty(group.name), self._gateway.now(), data_centre
        )
        if index == 0:
            self._poll_group(group)
            return
        self._watches.pop(group.name, None)
        self._poller.forget(group)
        if index is None or index > WATCHDOGS:
            return
        if self._poller.is_reachable(group):
            self._watch_for_stall(group, index)

    def _watch_for_stall(self, group: RankGroup, index: int) -> None:
        """Release a group whose coordinator died while it held a step.

        The duty passes to a successor only seconds later, when callers have
        already given up.

        Args:
            group: The group.
            index: This entry's index in the succession.
        """
        poll = self._poller.poll_sample(group)
        report = self._poller.progress_report(group, poll)
        detector = self._stall_detectors.setdefault(group.name, StallDetector())
        now = self._gateway.now()
        if report is None or not report.is_open:
            self._stall_detectors.pop(group.name, None)
            return
        detector.record_step(report.step, poll.running, now)
        if detector.is_stalled(now, watchdog_timeout(index)):
            self._recover(group)

    def _poll_group(self, group: RankGroup) -> None:
        gateway = self._gateway
        poll = self._poller.poll(group)
        report = self._poller.progress_report(group, poll)
        if report is None or not report.is_open:
            self._watches.pop(group.name, None)
            return
        watch = self._watches.get(group.name)
        if watch is None or watch.epoch != report.epoch:
            watch = self._begin_watch(group, report.epoch)
            self._recover(group)
        watch.record_step(report.step, poll.running, gateway.now())
        if watch.is_stalled(gateway.now()):
            self._recover(group)
            return
        for rank, rank_report in poll.reports.items():
            watch.record_slowness(rank, rank_report.slowness)
        for rank, counts in poll.counts.items():
            watch.record_counts(rank, counts)
        watch.update_popularity(gateway.now())
        if not watch.is_busy or not watch.can_plan_from(report.version, gateway.now()):
            return
        current = self._current_map(group, report)
        if current is None:
            return
        layout = group.layout
        limits = choose_limits(
            layout.max_experts, layout.max_new_experts, layout.load_seconds
        )
        planned = watch.plan(current, limits)
        if planned is not None:
            self._switch(group, watch, current, planned)

    def _begin_watch(self, group: RankGroup, epoch: int) -> MapWatch:
        table = self._gateway.directory.table
        pause = shortest_allowed_pause(table, group.service) if table else 0.0
        layout = group.layout
        watch = MapWatch(epoch, layout.layers, layout.experts, pause)
        self._watches[group.name] = watch
        return watch

    def _current_map(self, group: RankGroup, report: RankReport) -> ExpertMap | None:
        """Return the active map, as known here or as read from the ranks."""
        if report.version == 0:
            layout = group.layout
            ranks = len(group.ranks)
            slots = -(-layout.experts // ranks)
            return make_first_map(0, ranks, layout.experts, layout.layers, slots)
        epoch, known = self._known_maps.get(group.name, (0, None))
        if known and (epoch, known.version) == (report.epoch, report.version):
            return known
        held = self._rank_calls.read_experts(group)
        if held is None:
            return None
        layers = tuple(
            tuple(experts[layer] for experts in held)
            for layer in range(group.layout.layers)
        )
        return ExpertMap(report.version, layers)

    def _switch(
        self, group: RankGroup, watch: MapWatch, current: ExpertMap, planned: ExpertMap
    ) -> None:
        reports = self._rank_calls.read_reports(group)
        if reports is None or any(report.held is not None for report in reports):
            return
        last = self._last_versions.get(group.name, 0)
        with self._gateway.lock:
            version = draw_version(reports, self._gateway.rng, above=last)
        self._last_versions[group.name] = version
        new_map = planned._replace(version=version)
        switch = begin_switch(current, new_map, reports, self._gateway.now())
        began_at = self._gateway.now()
        slowest = max(reports, key=lambda report: report.slowness)
        step_seconds = watch.step_seconds
        switch = self._runner.execute(group, switch, step_seconds)
        if switch.stage is SwitchStage.DONE:
            self._known_maps[group.name] = (switch.epoch, new_map)
            watch.record_switch(version, self._gateway.now())
        elif switch.stage is SwitchStage.FAILED and switch.held_ranks:
            self._roll_back_own_hold(group)
        _log.info(
            "Switch finished %s.",
            fields(
                group=group.name,
                version=new_map.version,
                stage=switch.stage.value,
                step=switch.step,
                epoch=switch.epoch,
                seconds=self._gateway.now() - began_at,
                step_ms=round(step_seconds * MILLISECONDS),
                running=sum(report.running for report in reports),
                slowest=slowest.rank,
                slowness=slowest.slowness,
            ),
        )
        self._gateway.metrics.count(f"switch_{switch.stage.value}")

    def _roll_back_own_hold(self, group: RankGroup) -> None:
        """Roll back this coordinator's own switch that has left a step held.

        Left to stall detection, the group would stall for over a second more,
        and callers abandon streams after two.
        """
        for _ in range(ROLLBACK_ATTEMPTS):
            time.sleep(REPORT_WAIT_SECONDS)
            if self._recover(group):
                return

    def _recover(self, group: RankGroup) -> bool:
        """Roll back a switch whose coordinator left a step held.

        Returns:
            Whether no rank reported a held step, or a rollback was executed.
        """
        reports = self._rank_calls.read_reports(group)
        if reports is None:
            return False
        if all(report.held is None for report in reports):
            return True
        current = self._current_map(group, reports[0])
        if current is None:
            return False
        with self._gateway.lock:
            rng = self._gateway.rng
            switch = roll_back_held_switch(current, reports, self._gateway.now(), rng)
        if switch is None:
            return False
        _log.warning(
            "Group held %s.",
            fields(group=group.name, step=switch.step, version=switch.version),
        )
        self._gateway.metrics.count("group_held")
        switch = self._runner.execute(group, switch, 0.1)
        _log.info(
            "Group released %s.", fields(group=group.name, stage=switch.stage.value)
        )
        return True
