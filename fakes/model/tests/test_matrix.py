"""The fault matrix: every fault at every step, and checks of the oracle."""

import itertools
from collections.abc import Callable
from typing import Any, NamedTuple
from unittest.mock import patch

import pytest

from fakes.model import FAULTS, STEPS, Cell, _daemons, run_cell
from fakes.model._endpoint import EndpointDaemon
from mintsaddle.decisions.admission import AdmissionRules, AdmissionState
from mintsaddle.decisions.admission import _queries as admission
from mintsaddle.decisions.arrivals import _commands as arrivals
from mintsaddle.decisions.calls import DeliverChunk
from mintsaddle.decisions.calls import _commands as calls
from mintsaddle.decisions.configuration import Adoption
from mintsaddle.decisions.orders import KeyAction, KeyDecision, LedgerEntry, OrderStatus
from mintsaddle.decisions.orders import _commands as orders
from mintsaddle.fleet import read_fleet

KINDS = ("stream", "brought", "issued", "drawn")

CI_PAIR_STRIDE = 41
"""CI runs one pair in 41; docs/PROOF.md has the run of all pairs."""


def all_pairs() -> list[Cell]:
    """Return all cells with two faults; every other one skews clocks."""
    cells = []
    pairs = itertools.combinations(FAULTS, 2)
    for number, (kind, step, pair) in enumerate(itertools.product(KINDS, STEPS, pairs)):
        cells.append(Cell(kind, step, pair, skewed=number % 2 == 1))
    return cells


class TestSingleFaults:
    @pytest.mark.parametrize("fault", FAULTS)
    def test_no_invariant_is_violated(self, fault: str) -> None:
        found = []
        for kind, step in itertools.product(KINDS, STEPS):
            result = run_cell(Cell(kind, step, (fault,)))
            assert result.reached, result.cell
            found += [(str(result.cell), *item) for item in result.violations]
        assert not found


class TestPairs:
    @pytest.mark.parametrize("kind", KINDS)
    def test_no_invariant_is_violated(self, kind: str) -> None:
        found = []
        for cell in [cell for cell in all_pairs() if cell.kind == kind][
            ::CI_PAIR_STRIDE
        ]:
            result = run_cell(cell)
            found += [(str(cell), *item) for item in result.violations]
        assert not found


class PermissiveGuard(NamedTuple):
    """A guard, and a replacement that lets everything pass."""

    invariant: str
    """The invariant whose violation the oracle must report."""

    module: Any
    name: str
    guard: Callable[..., Any]
    cell: Cell


def _warm_limit(state: AdmissionState, rules: AdmissionRules, now: float) -> int:
    return rules.limit if state.engine_boot is not None else 0


def _deliver_any_chunk(
    state: Any, context: Any, attempt: Any, event: Any, now: Any
) -> Any:
    state.mark_head_delivered()
    return (DeliverChunk(state.count_delivered(), event.data),)


def _forget_tombstone(state: Any, key: Any, status: Any, *rest: Any) -> Any:
    entry = LedgerEntry(key, state.ledger[key.text].service, status, *rest)
    if status is OrderStatus.TOMBSTONE:
        state.drop_entry(key.text)
    else:
        state.put_entry(entry)
    return entry


def _adopt_any(state: Any, revision: int, text: str, check: Any = None) -> Any:
    if revision == state.text_revision:
        return Adoption.NOT_NEWER
    state.set_text(revision, text, read_fleet("fleet", text).unwrap())
    return Adoption.ADOPTED


def _run_any_key(state: Any, key: Any, service: str, *rest: Any) -> KeyDecision:
    entry = LedgerEntry(key, service, OrderStatus.PENDING)
    state.put_entry(entry)
    return KeyDecision(KeyAction.RUN, entry=entry)


PERMISSIVE_GUARDS = [
    PermissiveGuard(
        "cold",
        admission,
        "current_limit",
        _warm_limit,
        Cell("stream", "given", ("engine cold restart",)),
    ),
    PermissiveGuard(
        "marked out",
        arrivals,
        "refusal_reason",
        lambda state: None,
        Cell("stream", "arrived", ("data centre marked out", "entry frozen")),
    ),
    PermissiveGuard(
        "whole answer",
        calls,
        "handle_chunk",
        _deliver_any_chunk,
        Cell("stream", "middle", ("reply doubled",)),
    ),
    PermissiveGuard(
        "not run",
        arrivals,
        "close_order",
        _forget_tombstone,
        Cell("brought", "routed", ("engine cold restart", "request doubled")),
    ),
    PermissiveGuard(
        "at most once",
        orders,
        "_refuse_issued",
        lambda state, key, now: None,
        Cell("issued", "middle", ("endpoint daemon killed",)),
    ),
    PermissiveGuard(
        "at most once",
        arrivals,
        "decide_key",
        _run_any_key,
        Cell("brought", "given", ("caller retries by another entry",)),
    ),
    PermissiveGuard(
        "leaving",
        EndpointDaemon,
        "leave",
        lambda self, then: None,
        Cell("stream", "arrived", ("endpoint leaves",)),
    ),
    PermissiveGuard(
        "planned stop",
        EndpointDaemon,
        "_exit_when_idle",
        lambda self, then: self._exit(then),
        Cell("stream", "middle", ("endpoint leaves",)),
    ),
    PermissiveGuard(
        "configuration",
        _daemons,
        "adopt_text",
        _adopt_any,
        Cell("stream", "arrived", ("platform stale",)),
    ),
]


class TestOracleCanFail:
    @pytest.mark.parametrize(
        "case",
        PERMISSIVE_GUARDS,
        ids=lambda case: f"{case.invariant} without {case.name}",
    )
    def test_permissive_guard_is_reported(self, case: PermissiveGuard) -> None:
        assert not run_cell(case.cell).violations
        with patch.object(case.module, case.name, case.guard):
            violated = {item.invariant for item in run_cell(case.cell).violations}
        assert case.invariant in violated, (str(case.cell), violated)
