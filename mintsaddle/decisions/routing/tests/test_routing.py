"""Tests for endpoint subsets, selection, backoff and the retry budget."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from mintsaddle.decisions.routing import (
    RouteRequest,
    RoutingState,
    choose_endpoint,
    choose_subset,
    clear_backoff,
    may_retry,
    record_failed,
    record_finished,
    record_load,
    record_request,
    record_sent,
    record_turned_away,
    spend_retry,
)
from mintsaddle.fleet import NO_MARKS, Fleet, Marks, read_fleet
from mintsaddle.values import Load

NOW = 1000.0


def make_fleet(count: int) -> Fleet:
    parts = ["[fleet]\nname = routing\n"]
    parts += [f"[data centre {name}]\nregion = r\n" for name in "ab"]
    names = [f"e{number}" for number in range(count)]
    for number, name in enumerate(names):
        centre = "ab"[number % 2]
        address = f"10.0.{number // 200}.{number % 200 + 1}:7"
        parts.append(
            f"[endpoint {name}]\ndata centre = {centre}\naddress = {address}\n"
        )
    parts.append(f"[service s]\nendpoints = {' '.join(names)}\n")
    return read_fleet("fleet", "\n".join(parts)).unwrap()


FLEET = make_fleet(6)


def make_state(free: int = 4, fleet: Fleet = FLEET) -> RoutingState:
    state = RoutingState("entry", "a")
    for name in fleet.endpoints:
        record_load(state, name, 1, Load(0, free, 0, False), NOW)
    return state


def choose(
    state: RoutingState,
    fleet: Fleet = FLEET,
    marks: Marks = NO_MARKS,
    prefix: str = "",
    tried: frozenset[str] = frozenset(),
    seed: int = 1,
) -> str | None:
    request = RouteRequest(fleet.services["s"], prefix, tried)
    return choose_endpoint(state, fleet, marks, request, NOW, random.Random(seed))


class TestSubset:
    def test_size_does_not_grow_with_the_fleet(self) -> None:
        for count in (60, 600):
            fleet = make_fleet(count)
            subset = choose_subset(fleet, fleet.services["s"], make_state(4, fleet))
            assert len(subset) == 24, count

    def test_half_stays_with_other_data_centres(self) -> None:
        fleet = make_fleet(600)
        subset = choose_subset(fleet, fleet.services["s"], make_state(4, fleet))
        centres = Counter(fleet.endpoints[name].data_centre for name in subset)
        assert centres == {"a": 12, "b": 12}

    def test_few_move_when_an_endpoint_goes(self) -> None:
        fleet = make_fleet(200)
        smaller = make_fleet(199)
        one = set(choose_subset(fleet, fleet.services["s"], make_state(4, fleet)))
        two = set(choose_subset(smaller, smaller.services["s"], make_state(4, smaller)))
        assert len(one - two) <= 1


class TestChoice:
    def test_own_data_centre_first(self) -> None:
        names = {choose(make_state(), seed=seed) for seed in range(20)}
        assert names == {"e0", "e2", "e4"}

    def test_other_data_centre_when_own_is_full(self) -> None:
        state = make_state()
        for name in ("e0", "e2", "e4"):
            record_load(state, name, 1, Load(4, 4, 0, False), NOW)
        assert choose(state) in {"e1", "e3", "e5"}

    def test_marked_out_endpoints_get_nothing(self) -> None:
        marks = Marks(frozenset("a"), frozenset(["e1"]))
        names = {choose(make_state(), marks=marks, seed=seed) for seed in range(20)}
        assert names == {"e3", "e5"}

    def test_same_prefix_goes_to_the_same_endpoint(self) -> None:
        names = {choose(make_state(), prefix="p", seed=seed) for seed in range(20)}
        assert len(names) == 1

    def test_prefix_leaves_a_full_endpoint(self) -> None:
        state = make_state(20)
        own = choose(state, prefix="p")
        assert own is not None
        for _ in range(6):
            record_sent(state, own)
        assert choose(state, prefix="p") != own

    def test_nothing_left_gives_none(self) -> None:
        assert choose(make_state(), tried=frozenset(FLEET.endpoints)) is None

    @given(st.integers(1, 200), st.integers(0, 2**31))
    def test_own_requests_are_spread(self, count: int, seed: int) -> None:
        state = make_state(1000)
        rng = random.Random(seed)
        request = RouteRequest(FLEET.services["s"], "", frozenset())
        for _ in range(count):
            name = choose_endpoint(state, FLEET, NO_MARKS, request, NOW, rng)
            assert name is not None
            record_sent(state, name)
        loads = [state.view(name).own_in_flight for name in ("e0", "e2", "e4")]
        assert max(loads) - min(loads) <= 3 + count // 10


class TestOutliers:
    def test_failed_endpoint_backs_off_and_is_tried_again(self) -> None:
        state = make_state()
        record_failed(state, "e0", NOW)
        assert choose(state, tried=frozenset(["e2", "e4"])) in {"e1", "e3", "e5"}
        blocked_until = state.view("e0").blocked_until
        assert NOW < blocked_until < NOW + 1.0

    def test_backoff_grows_up_to_a_limit(self) -> None:
        state = make_state()
        for _ in range(20):
            record_failed(state, "e0", NOW)
        assert state.view("e0").blocked_until <= NOW + 30.0

    def test_all_in_backoff_still_gives_one(self) -> None:
        state = make_state()
        for name in FLEET.endpoints:
            record_failed(state, name, NOW)
        assert choose(state) is not None

    def test_endpoint_marked_in_is_used_at_once(self) -> None:
        state = make_state()
        record_failed(state, "e0", NOW)
        clear_backoff(state, ["e0"])
        assert choose(state, tried=frozenset(["e2", "e4"])) == "e0"

    def test_loads_follow_own_attempts(self) -> None:
        state = make_state()
        record_load(state, "e0", 1, Load(2, 4, 0, False), NOW)
        record_sent(state, "e0")
        assert state.view("e0").estimate_load(NOW) == 3
        record_finished(state, "e0")
        assert state.view("e0").estimate_load(NOW) == 2


class TestTurnedAway:
    def test_the_load_on_a_refusal_does_not_end_the_backoff(self) -> None:
        """Guards against refusing endpoints that look least loaded."""
        state = make_state()
        now = NOW
        for _ in range(6):
            idle = Load(0, 4, 0, False)
            record_load(state, "e0", 1, idle, now, is_refusal=True)
            record_turned_away(state, "e0", now)
            now = state.view("e0").blocked_until
        assert now - NOW >= 0.5 + 1.0 + 2.0 + 3 * 4.0

    def test_the_backoff_stays_short(self) -> None:
        """Guards against endpoints left out long after they have recovered."""
        state = make_state()
        for _ in range(20):
            record_turned_away(state, "e0", NOW)
        assert state.view("e0").blocked_until <= NOW + 4.0

    def test_an_answer_ends_the_backoff(self) -> None:
        state = make_state()
        record_turned_away(state, "e0", NOW)
        record_load(state, "e0", 1, Load(0, 4, 0, False), NOW)
        assert state.view("e0").blocked_until <= NOW
        assert state.view("e0").failures == 0


class TestRetryBudget:
    def test_retries_are_a_share_of_requests(self) -> None:
        """Guards against retries that multiply failing endpoints' load."""
        state = make_state()
        retries = 0
        for _ in range(1000):
            record_request(state)
            while may_retry(state):
                spend_retry(state)
                retries += 1
        assert retries <= 20 + 0.2 * 1000
