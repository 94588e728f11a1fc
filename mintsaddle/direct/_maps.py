"""Seeing to the expert maps of rank groups, one duty for each group."""

import threading
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from returns.result import Failure, Success

from mintsaddle.decisions.direct import ExpertModel, Incarnation, Membership
from mintsaddle.decisions.expert_maps import (
    OVER,
    ArmedSwitch,
    ExpertMap,
    MapOrder,
    MapWatch,
    RankReport,
    SpreadLimits,
    SwitchStage,
    Verdict,
    begin_switch,
    choose_samples,
    choose_step,
    draw_version,
    hold_at,
    make_first_map,
    must_read_first,
    next_map_orders,
    note_answers,
    note_reports,
    ranks_to_read,
    withdraw_held,
)
from mintsaddle.direct._gateway import Gateway, map_duty
from mintsaddle.observe import fields, make_logger
from mintsaddle.platform import (
    read_expert_counts,
    read_rank_experts,
    read_rank_report,
    send_map_order,
)
from mintsaddle.values import MILLISECONDS

LOOK_SECONDS = 0.5
"""Seconds between two looks at a group: popularity changes every few seconds,
and a look costs one report and the counts of a few ranks."""

SAMPLE_RANKS = 2
"""Ranks whose counts are read in a look. Requests are spread over all ranks
alike, so two of twelve show the hot experts; reading each costs a pause."""

REPORT_AGE_SECONDS = 0.3
"""Seconds after an order until a report shows what it did: reports are up to
0.2 s old."""

_COPY_LOOK_SECONDS = 0.15
_ROUND_SECONDS = 0.05
_PAUSE_SECONDS = 0.02
"""Seconds between two rounds in a hurry: a rank that is down refuses at once,
and without a pause it would be asked hundreds of times a second."""

ROUNDS_TO_REPORT = 6
"""Rounds in a hurry until reports are read: a rank that is silent may have
died, and then nothing of the switch is left to finish."""

FREE_TRIES = 8
"""Looks at a group in which one's own switch has left a step held, one each
report's age: 2.4 s; the group stands before that step within 0.5 s."""

_HURRIED = frozenset({SwitchStage.ARM, SwitchStage.RELEASE})
_log = make_logger("maps")


class _Group(NamedTuple):
    """The ranks of one group, in order."""

    name: str
    ranks: tuple[Incarnation, ...]
    model: ExpertModel
    serving: tuple[int, ...]
    """Ranks that get work: their data centre isn't out."""


class MapKeeper:
    """Watches the groups that this entry sees to; one thread."""

    def __init__(self, gateway: Gateway, membership: Membership) -> None:
        self._gateway = gateway
        self._membership = membership
        self._pool = ThreadPoolExecutor(12, "orders")
        self._watches: dict[str, MapWatch] = {}
        self._maps: dict[str, tuple[int, ExpertMap | None]] = {}

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="maps", daemon=True).start()

    def _run(self) -> None:
        while True:
            time.sleep(LOOK_SECONDS)
            if self._gateway.leaving:
                return
            for group in self._find_groups():
                duty = map_duty(group.name)
                if self._membership.is_chosen(duty, self._gateway.now()):
                    self._try_to_look_at(group)
                else:
                    self._watches.pop(group.name, None)

    def _try_to_look_at(self, group: _Group) -> None:
        """Look at a group; go on with the duty whatever goes wrong.

        Guards against a keeper whose thread has died: the entry would still be
        the chosen one, and a held group would stand still for good.
        """
        try:
            self._look_at(group)
        except Exception:
            _log.exception("Look failed %s.", fields(group=group.name))

    def _find_groups(self) -> list[_Group]:
        """Return the groups whose ranks are all announced."""
        directory = self._gateway.directory
        if directory.table is None:
            return []
        found: dict[str, dict[int, Incarnation]] = {}
        for one in directory.endpoints.values():
            if one.place is not None:
                found.setdefault(one.place.group, {})[one.place.rank] = one
        groups = []
        for name, ranks in found.items():
            service = directory.table.services.get(next(iter(ranks.values())).service)
            model = service.experts if service else None
            places = [one.place for one in ranks.values() if one.place is not None]
            is_whole = sorted(ranks) == list(range(places[0].size))
            if model is not None and is_whole:
                ordered = tuple(ranks[rank] for rank in sorted(ranks))
                serving = tuple(
                    rank
                    for rank, one in enumerate(ordered)
                    if one.data_centre not in directory.out
                )
                if serving:
                    groups.append(_Group(name, ordered, model, serving))
        return groups

    def _look_at(self, group: _Group) -> None:
        gateway = self._gateway
        report = self._read_report(group, group.serving[0])
        if report is None or not report.is_open:
            self._watches.pop(group.name, None)
            return
        watch = self._watches.get(group.name)
        if watch is None or watch.epoch != report.epoch:
            watch = MapWatch(report.epoch, group.model.layers, group.model.experts)
            self._watches[group.name] = watch
            self._recover(group)
        watch.note_step(report.step, report.running, gateway.now())
        if watch.is_stuck(gateway.now()):
            self._recover(group)
            return
        if not watch.is_busy:
            return
        self._count(group, watch)
        current = self._current_map(group, report)
        if current is None:
            return
        limits = SpreadLimits(group.model.places, group.model.new_places)
        planned = watch.plan(current, limits)
        if planned is not None:
            self._switch(group, watch, current, planned)

    def _count(self, group: _Group, watch: MapWatch) -> None:
        """Read the counts of a few ranks, the same ones each time."""
        model = group.model
        for rank in choose_samples(group.serving, SAMPLE_RANKS):
            address = group.ranks[rank].address
            match read_expert_counts(address, model.layers, model.experts):
                case Success(counts):
                    watch.note_counts(rank, counts)
                case Failure(problem):
                    _log.info(
                        "Counts missing %s.",
                        fields(group=group.name, rank=rank, why=problem),
                    )
        watch.finish_counts()

    def _current_map(self, group: _Group, report: RankReport) -> ExpertMap | None:
        """Return the map in use, as set here or as the ranks tell."""
        if report.version == 0:
            model = group.model
            ranks = len(group.ranks)
            slots = -(-model.experts // ranks)
            return make_first_map(0, ranks, model.experts, model.layers, slots)
        epoch, known = self._maps.get(group.name, (0, None))
        if known and (epoch, known.version) == (report.epoch, report.version):
            return known
        held = list(
            self._pool.map(lambda one: read_rank_experts(one.address), group.ranks)
        )
        by_rank = [result.value_or(None) for result in held]
        if any(experts is None for experts in by_rank):
            return None
        layers = tuple(
            tuple(experts[layer] for experts in by_rank if experts is not None)
            for layer in range(group.model.layers)
        )
        return ExpertMap(report.version, layers)

    def _switch(
        self, group: _Group, watch: MapWatch, current: ExpertMap, planned: ExpertMap
    ) -> None:
        reports = self._read_reports(group)
        if reports is None or any(report.held is not None for report in reports):
            return
        with self._gateway.lock:
            version = draw_version(reports, self._gateway.rng)
        new_map = planned._replace(version=version)
        switch = begin_switch(current, new_map, reports, self._gateway.now())
        began_at = self._gateway.now()
        slowest = max(reports, key=lambda report: report.slowness)
        switch = self._carry_out(group, switch, watch.step_seconds)
        if switch.stage is SwitchStage.DONE:
            self._maps[group.name] = (switch.epoch, new_map)
        elif switch.stage is SwitchStage.FAILED and switch.holders:
            self._free_own_hold(group)
        watch.note_switch()
        _log.info(
            "Switch over %s.",
            fields(
                group=group.name,
                version=new_map.version,
                stage=switch.stage.value,
                step=switch.step,
                epoch=switch.epoch,
                seconds=self._gateway.now() - began_at,
                step_ms=round(watch.step_seconds * MILLISECONDS),
                running=sum(report.running for report in reports),
                slowest=slowest.rank,
                slowness=slowest.slowness,
            ),
        )
        self._gateway.count(f"switch_{switch.stage.value}")

    def _free_own_hold(self, group: _Group) -> None:
        """Withdraw what one's own switch has left held, without being asked.

        Left to whoever notices a group that stands still, it would stand for
        over a second more, and callers leave streams after two.
        """
        for _ in range(FREE_TRIES):
            time.sleep(REPORT_AGE_SECONDS)
            if self._recover(group):
                return

    def _recover(self, group: _Group) -> bool:
        """Bring a switch to its end whose coordinator has gone.

        Returns:
            Whether nothing is held any more.
        """
        reports = self._read_reports(group)
        if reports is None:
            return False
        if all(report.held is None for report in reports):
            return True
        current = self._current_map(group, reports[0])
        if current is None:
            return False
        with self._gateway.lock:
            rng = self._gateway.rng
            switch = withdraw_held(current, reports, self._gateway.now(), rng)
        if switch is None:
            return False
        _log.warning(
            "Group held %s.",
            fields(group=group.name, step=switch.step, version=switch.version),
        )
        self._gateway.count("group_held")
        switch = self._carry_out(group, switch, 0.1)
        _log.info("Group freed %s.", fields(group=group.name, stage=switch.stage.value))
        return True

    def _carry_out(
        self, group: _Group, switch: ArmedSwitch, step_seconds: float
    ) -> ArmedSwitch:
        """Send orders and read reports until the switch is over."""
        is_withdrawing = False
        rounds = 0
        while switch.stage not in OVER:
            if switch.stage is SwitchStage.HOLD and not switch.step:
                reports = self._read_reports(group)
                if reports is None:
                    return switch._replace(stage=SwitchStage.FAILED)
                newest = max(report.step for report in reports)
                step = choose_step(newest, step_seconds)
                switch = hold_at(switch, step)
            if must_read_first(switch):
                # Old reports only in the first round wouldn't show the hold.
                time.sleep(_ROUND_SECONDS if is_withdrawing else REPORT_AGE_SECONDS)
                is_withdrawing = True
                switch = self._settle(group, switch)
            stage = switch.stage
            orders = next_map_orders(switch)
            answers = self._send(group, orders)
            switch = note_answers(switch, answers, self._gateway.now())
            if switch.stage in OVER:
                break
            rounds += 1
            if stage in _HURRIED and rounds % ROUNDS_TO_REPORT:
                # The group may be standing still: what wasn't answered is sent
                # again soon. Reports tell now and then if it has formed anew.
                time.sleep(_PAUSE_SECONDS if switch.stage is stage else 0)
                continue
            if must_read_first(switch):
                continue
            is_unsure = {Verdict.UNKNOWN, Verdict.REFUSED} & set(answers.values())
            if is_unsure or stage is SwitchStage.PREPARE:
                time.sleep(REPORT_AGE_SECONDS if is_unsure else _COPY_LOOK_SECONDS)
                switch = self._settle(group, switch)
            else:
                time.sleep(0 if switch.stage is not stage else _ROUND_SECONDS)
        return switch

    def _settle(self, group: _Group, switch: ArmedSwitch) -> ArmedSwitch:
        """Learn from reports what orders did that weren't plainly accepted."""
        reports = list(
            self._pool.map(
                lambda rank: self._read_report(group, rank), ranks_to_read(switch)
            )
        )
        known = [report for report in reports if report is not None]
        return note_reports(switch, known, self._gateway.now())

    def _send(
        self, group: _Group, orders: Sequence[MapOrder]
    ) -> Mapping[MapOrder, Verdict]:
        verdicts = self._pool.map(
            lambda order: send_map_order(group.ranks[order.rank].address, order),
            orders,
        )
        return dict(zip(orders, verdicts, strict=True))

    def _read_report(self, group: _Group, rank: int) -> RankReport | None:
        match read_rank_report(group.ranks[rank].address, rank):
            case Success(RankReport() as report):
                return report
            case Failure(problem):
                _log.info(
                    "Report missing %s.",
                    fields(group=group.name, rank=rank, why=problem),
                )
        return None

    def _read_reports(self, group: _Group) -> list[RankReport] | None:
        """Return a report of every rank, or None if one is missing."""
        ranks = range(len(group.ranks))
        reports = self._pool.map(lambda rank: self._read_report(group, rank), ranks)
        known = [report for report in reports if report is not None]
        if len(known) < len(group.ranks):
            return None
        if len({report.epoch for report in known}) > 1:
            return None
        return known
