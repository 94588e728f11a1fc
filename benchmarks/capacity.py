"""CPU time, memory and bytes as they grow with size, for docs/CAPACITY.md.

Usage: python -m benchmarks.capacity

Each cost is measured at two sizes or more, on the product's own code.
"""

import random
import time
import tracemalloc
import zlib
from collections.abc import Callable
from typing import NamedTuple

from mintsaddle.decisions.admission import (
    AdmissionRules,
    AdmissionState,
    Candidate,
    EngineFeedback,
    confirm_engine,
    finish,
    try_admit,
)
from mintsaddle.decisions.configuration import choose_sources
from mintsaddle.decisions.expert_maps import (
    PlanCost,
    make_first_map,
    plan_moves,
)
from mintsaddle.decisions.orders import (
    OrdersState,
    OrderStatus,
    close_order,
    decide_key,
)
from mintsaddle.decisions.routing import (
    RouteRequest,
    RoutingState,
    choose_endpoint,
    record_load,
    record_sent,
)
from mintsaddle.fleet import NO_MARKS, Fleet, read_fleet
from mintsaddle.observe import HistogramKey, HistogramRegistry, Measure
from mintsaddle.values import Load, issue_key

NOW = 1_800_000_000.0
DATA_CENTRES = 5
MODELS = 4
_US_PER_S = 1e6


class Size(NamedTuple):
    """Number of entries, endpoints and workspaces of a fleet."""

    entries: int
    endpoints: int
    workspaces: int


SIZES = (Size(34, 82, 470), Size(340, 820, 4700))


def make_text(size: Size) -> str:
    """Return a fleet file of the given size."""
    parts = ["[fleet]\nname = capacity\n"]
    parts += [f"[data centre dc{n}]\nregion = r{n // 3}\n" for n in range(DATA_CENTRES)]
    number = 0
    for role, count in (("entry", size.entries), ("endpoint", size.endpoints)):
        for index in range(count):
            number += 1
            address = f"10.{number // 250}.{number % 250}.1:7000"
            parts.append(
                f"[{role} {role}-{index}]\ndata centre = dc{index % DATA_CENTRES}\n"
                f"address = {address}\n"
            )
    for model in range(MODELS):
        names = [f"endpoint-{n}" for n in range(model, size.endpoints, MODELS)]
        parts.append(f"[service model{model}]\nendpoints =\n  " + "\n  ".join(names))
    for index in range(size.workspaces):
        parts.append(f"[workspace customer-{index}]\nservices = model0 model1\n")
    return "\n".join(parts) + "\n"


def time_call(operation: Callable[[], object], repeats: int) -> float:
    """Return the CPU seconds of one call, the best mean of three rounds."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        for _ in range(repeats):
            operation()
        best = min(best, (time.process_time() - started) / repeats)
    return best


def retained_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that a created object retains."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return after - before


def measure_fleet_file(size: Size) -> None:
    """Print the cost of one fleet file: size, parse time and memory."""
    text = make_text(size)
    encoded = text.encode()
    seconds = time_call(lambda: read_fleet("fleet", text).unwrap(), 1)
    memory = retained_bytes(lambda: read_fleet("fleet", text).unwrap())
    print(
        f"text      {size.entries}+{size.endpoints} VMs, {size.workspaces} workspaces:"
        f" {len(encoded) / 1e3:.0f} kB,"
        f" {len(zlib.compress(encoded)) / 1e3:.1f} kB packed,"
        f" check {seconds * 1e3:.0f} ms, kept {memory / 1e6:.2f} MB"
    )


def measure_sources(size: Size) -> None:
    """Print the shape of the relay tree and the cost of choosing a source.

    Readers are daemons that have no other daemon as their source.
    """
    fleet = read_fleet("fleet", make_text(size)).unwrap()
    parents: dict[str, str] = {}
    for vm in fleet.vm_names():
        centre = fleet.data_centre_of(vm)
        assert centre is not None
        first_source = choose_sources(fleet, vm, centre)[0]
        parents[vm] = first_source.vm
    readers = sum(not parent for parent in parents.values())
    followers = [list(parents.values()).count(vm) for vm in parents]
    depth = max(_depth(parents, vm) for vm in parents)
    vm = fleet.vm_names()[0]
    seconds = time_call(lambda: choose_sources(fleet, vm, "dc0"), 3)
    print(
        f"relays    {len(parents)} daemons: {readers} readers, at most"
        f" {max(followers)} followers, {depth} hops, choice {seconds * 1e3:.1f} ms"
    )


def _depth(parents: dict[str, str], vm: str) -> int:
    depth = 0
    while parents[vm]:
        vm = parents[vm]
        depth += 1
    return depth


def measure_routing(size: Size) -> None:
    """Print the time to choose an endpoint and the memory of its view."""
    fleet = read_fleet("fleet", make_text(size)).unwrap()
    state = _make_routing_state(fleet)
    request = RouteRequest(fleet.services["model0"], "prefix", frozenset())
    rng = random.Random(1)

    def operation() -> None:
        name = choose_endpoint(state, fleet, NO_MARKS, request, NOW, rng)
        assert name is not None
        record_sent(state, name)

    seconds = time_call(operation, 300)
    memory = retained_bytes(lambda: _make_routing_state(fleet)) / size.endpoints
    print(
        f"routing   {len(request.service.endpoints)} endpoints of a model:"
        f" {seconds * _US_PER_S:.0f} us a choice, {memory:.0f} bytes a view"
    )


def _make_routing_state(fleet: Fleet) -> RoutingState:
    state = RoutingState("entry-0", "dc0")
    for name in fleet.endpoints:
        record_load(state, name, 1, Load(3, 400, 0, False), NOW)
    return state


def measure_admission(held: int) -> None:
    """Print the time to admit and finish one request."""
    rules = AdmissionRules(held * 2, held * 2, 1.0, 0.6, 0.3)
    state = AdmissionState()
    confirm_engine(state, 1, None, NOW)
    for number in range(held):
        candidate = Candidate(f"h{number}", f"w{number % 50}", 1.0, 0, NOW + 9)
        try_admit(state, rules, candidate, NOW)
    numbers = iter(range(10_000_000))

    def operation() -> None:
        name = f"n{next(numbers)}"
        try_admit(state, rules, Candidate(name, "w", 1.0, 0, NOW + 9), NOW)
        finish(state, rules, name, EngineFeedback.GOOD, NOW)

    print(
        f"admission {held} held:"
        f" {time_call(operation, 2000) * _US_PER_S:.0f} us a request"
    )


def measure_ledger(count: int) -> None:
    """Print the time and memory of one completed order in the ledger."""
    rng = random.Random(1)

    def make() -> OrdersState:
        state = OrdersState("home", 5, NOW)
        for _ in range(count):
            key = issue_key("home", 5, NOW, rng)
            decide_key(state, key, "orders", 0.5, 900.0, NOW)
            close_order(state, key, OrderStatus.DONE, 200, "text/plain", bytes(400))
        return state

    seconds = time_call(make, 1) / count
    print(
        f"ledger    {count} orders: {seconds * _US_PER_S:.0f} us and"
        f" {retained_bytes(make) / count:.0f} bytes an order"
        " with an answer of 400 bytes"
    )


def measure_planner(ranks: int, experts: int, layers: int) -> None:
    """Print the time of planning one map with free moves and switches."""
    rng = random.Random(1)
    first_map = make_first_map(1, ranks, experts, layers, experts // ranks + 1)
    tokens = [
        [rng.lognormvariate(0, 0.6) for _ in range(experts)] for _ in range(layers)
    ]
    cost = PlanCost(1400.0, 0.0, 0.0)
    speeds = [1.0] * ranks
    seconds = time_call(lambda: plan_moves(2, first_map, tokens, speeds, cost), 1)
    print(
        f"planner   {ranks} ranks, {experts} experts, {layers} layers:"
        f" {seconds:.2f} s at most for a whole new plan"
    )


def measure_histograms(count: int) -> None:
    """Print the memory of a histogram and the time to record a value."""

    def make() -> HistogramRegistry:
        registry = HistogramRegistry(count)
        for number in range(count):
            registry.record(
                HistogramKey(f"w{number}", "c", Measure.TIME_TO_FIRST_BYTE), 0.1
            )
        return registry

    registry = make()
    name = HistogramKey("w0", "c", Measure.TIME_TO_FIRST_BYTE)
    seconds = time_call(lambda: registry.record(name, 0.1), 2000)
    print(
        f"histogram {count}: {retained_bytes(make) / count / 1e3:.1f} kB each,"
        f" {seconds * _US_PER_S:.0f} us a value"
    )


def main() -> None:
    """Print each cost at each size."""
    for size in SIZES:
        measure_fleet_file(size)
    for size in SIZES:
        measure_sources(size)
    for size in SIZES:
        measure_routing(size)
    for held in (16, 160):
        measure_admission(held)
    for count in (1000, 10_000):
        measure_ledger(count)
    for layers in (2, 8):
        measure_planner(128, 256, layers)
    for count in (30, 300):
        measure_histograms(count)


if __name__ == "__main__":
    main()
