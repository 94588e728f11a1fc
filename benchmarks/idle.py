"""What idle daemons spend on control: processor time, memory, bytes.

Usage: python -m benchmarks.idle
"""

import time
from datetime import UTC, datetime, timedelta

from benchmarks.real_path import read_cost
from fakes.site import Site, VmPlan

SECONDS = 45.0
SIZES = (2, 6)
"""Endpoints of each of two data centres."""

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
    """Run a site with nothing to do and print what its daemons spend."""
    plans = [VmPlan(f"{name}-entry", name, "entry") for name in "ab"]
    plans += [
        VmPlan(f"{name}-{n}", name, "endpoint") for name in "ab" for n in range(count)
    ]
    names = " ".join(plan.name for plan in plans if plan.role == "endpoint")
    later = datetime.now(UTC) + timedelta(seconds=30)
    bootstrap = later.isoformat(timespec="seconds")
    site = Site(plans, _SERVICES.format(endpoints=names, bootstrap=bootstrap))
    try:
        site.start()
        site.publish("fleet", 1, site.fleet_text())
        site.wait_until_serving()
        time.sleep(3.0)
        calls = site.platform_calls()
        before = {p.name: read_cost(site.addresses[p.name]) for p in plans}
        time.sleep(SECONDS)
        after = {p.name: read_cost(site.addresses[p.name]) for p in plans}
        for role in ("entry", "endpoint"):
            own = [plan.name for plan in plans if plan.role == role]
            cpu = max(after[n].cpu - before[n].cpu for n in own) / SECONDS
            memory = max(after[n].memory for n in own)
            control = max(after[n].control - before[n].control for n in own) / SECONDS
            print(
                f"{len(plans)} daemons, {role}: at most {cpu:.2%} of a core,"
                f" {memory:.0f} MB, {control:.0f} control bytes/s"
            )
        reads = (site.platform_calls() - calls) / SECONDS
        print(f"{len(plans)} daemons: {reads:.1f} platform calls a second")
    finally:
        site.stop()


def main() -> None:
    """Print the table."""
    for count in SIZES:
        measure(count)


if __name__ == "__main__":
    main()
