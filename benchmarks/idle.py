"""CPU time, memory and control traffic of idle daemons.

Usage: python -m benchmarks.idle
"""

import time
from datetime import UTC, datetime, timedelta

from benchmarks.real_path import read_usage
from fakes.site import Site, VmPlan

MEASURE_SECONDS = 45.0
ENDPOINTS_PER_CENTRE = (2, 6)
"""Endpoints in each of the two data centres."""

_SERVICES = """
[service letters]
endpoints = {endpoints}

[service orders]
repeat = no
endpoints = {endpoints}
bootstrap = {bootstrap}

[workspace load]
services = letters
"""


def measure(count: int) -> None:
    """Run a site without calls and print what its daemons use."""
    plans = [VmPlan(f"{name}-entry", name, "entry") for name in "ab"]
    plans += [
        VmPlan(f"{name}-{n}", name, "endpoint") for name in "ab" for n in range(count)
    ]
    names = " ".join(plan.name for plan in plans if plan.role == "endpoint")
    bootstrap_at = datetime.now(UTC) + timedelta(seconds=30)
    bootstrap = bootstrap_at.isoformat(timespec="seconds")
    site = Site(plans, _SERVICES.format(endpoints=names, bootstrap=bootstrap))
    try:
        site.start()
        site.publish("fleet", 1, site.fleet_text())
        site.wait_until_serving()
        time.sleep(3.0)
        calls_before = site.platform_calls()
        before = {p.name: read_usage(site.addresses[p.name]) for p in plans}
        time.sleep(MEASURE_SECONDS)
        after = {p.name: read_usage(site.addresses[p.name]) for p in plans}
        for role in ("entry", "endpoint"):
            role_names = [plan.name for plan in plans if plan.role == role]
            cpu = (
                max(after[n].cpu_seconds - before[n].cpu_seconds for n in role_names)
                / MEASURE_SECONDS
            )
            memory = max(after[n].memory_mb for n in role_names)
            control = (
                max(after[n].control - before[n].control for n in role_names)
                / MEASURE_SECONDS
            )
            print(
                f"{len(plans)} daemons, {role}: at most {cpu:.2%} of a core,"
                f" {memory:.0f} MB, {control:.0f} control bytes/s"
            )
        call_rate = (site.platform_calls() - calls_before) / MEASURE_SECONDS
        print(f"{len(plans)} daemons: {call_rate:.1f} platform calls a second")
    finally:
        site.stop()


def main() -> None:
    """Measure each size."""
    for count in ENDPOINTS_PER_CENTRE:
        measure(count)


if __name__ == "__main__":
    main()
