"""Tests for planning maps from scratch and by incremental moves."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintsaddle.decisions.expert_maps import (
    ExpertMap,
    PlanCost,
    count_moved,
    is_complete,
    make_first_map,
    measure_skew,
    plan_from_scratch,
    plan_moves,
)
from mintsaddle.decisions.expert_maps._draft import LayerDraft

FREE = PlanCost(1000.0, 0.0, 0.0)
COSTLY = PlanCost(1.0, 1e9, 1e9)
RANKS, EXPERTS, LAYERS, SLOTS = 4, 12, 2, 4


def first() -> ExpertMap:
    return make_first_map(1, RANKS, EXPERTS, LAYERS, SLOTS)


def tokens(seed: int) -> list[list[float]]:
    rng = random.Random(seed)
    return [[rng.lognormvariate(0, 1) for _ in range(EXPERTS)] for _ in range(LAYERS)]


class TestPlans:
    @given(st.integers(0, 10_000), st.sampled_from([1.0, 0.5, 0.1]))
    def test_plans_hold_every_expert_and_are_no_worse(
        self, seed: int, speed: float
    ) -> None:
        speeds = [speed, 1.0, 1.0, 1.0]
        popularity = tokens(seed)
        from_scratch = plan_from_scratch(2, first(), popularity, speeds)
        assert is_complete(from_scratch, EXPERTS)
        planned = plan_moves(3, first(), popularity, speeds, FREE)
        if planned is not None:
            assert is_complete(planned, EXPERTS)
            before = measure_skew(first(), popularity, speeds)
            assert measure_skew(planned, popularity, speeds) < before

    def test_moves_that_cost_too_much_are_not_made(self) -> None:
        assert plan_moves(2, first(), tokens(1), [1.0] * RANKS, COSTLY) is None

    def test_straggler_gets_less(self) -> None:
        speeds = [0.5, 1.0, 1.0, 1.0]
        flat = [[1.0] * EXPERTS] * LAYERS
        planned = plan_moves(2, first(), flat, speeds, FREE)
        assert planned is not None
        assert measure_skew(planned, flat, speeds) < measure_skew(first(), flat, speeds)

    def test_counts_moved_weights(self) -> None:
        layers = [[list(slots) for slots in layer] for layer in first().layers]
        old = layers[0][0][0]
        layers[0][0][0] = next(e for e in range(EXPERTS) if e not in layers[0][0])
        changed = ExpertMap(
            2, tuple(tuple(tuple(slots) for slots in layer) for layer in layers)
        )
        assert (old, count_moved(first(), changed)) == (old, 1)

    @pytest.mark.parametrize("ranks", [8, 128])
    def test_first_map_is_complete(self, ranks: int) -> None:
        assert is_complete(make_first_map(1, ranks, 2 * ranks, 1, 3), 2 * ranks)


class TestLayerDraft:
    @given(
        st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(0, 11)))
    )
    def test_incremental_loads_match_recomputed_ones(
        self, changes: list[tuple[int, int, int]]
    ) -> None:
        speeds = [1.0, 2.0, 1.0, 0.5]
        popularity = tokens(3)[0]
        draft = LayerDraft(first().layers[0], popularity, speeds)
        for change in changes:
            if draft.copies[draft.held[change[0]][change[1]]] > 1:
                draft.apply((change,))
        again = LayerDraft(draft.slots(), popularity, speeds)
        for one, other in zip(draft.loads, again.loads, strict=True):
            assert one == pytest.approx(other)
