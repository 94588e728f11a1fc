"""The operator takes the keys of the last tenant away."""

import time
from pathlib import Path

from scene import Scene, answer_whole, has_trouble, run_case

APPLY_SECONDS = 2.0
"""``config_apply_ms``."""

NEVER_HELD = "a-key-that-no-configuration-held"
REQUESTS = 20


def play(scene: Scene) -> list[str]:
    """Return a line for each request that ran without a valid key."""
    scene.configure(version=1)
    for number in range(2):
        scene.add_engine(f"i-{number}", answer_whole)
    scene.start_entries(2)
    before = [
        scene.call(scene.entries[number % 2], "GET", "/lookup/1", Api_Key=NEVER_HELD)
        for number in range(REQUESTS)
    ]
    scene.note(f"before, unknown key: {[status for status, _ in before]}")
    assert {status for status, _ in before} == {401}, "unknown key not refused"
    if has_trouble():
        acknowledged_at = scene.configure(version=3, tenants=[])
        scene.note("acknowledged: version 3 with tenants = []", acknowledged_at)
    time.sleep(APPLY_SECONDS + 0.5)
    for number in range(REQUESTS):
        scene.call(scene.entries[number % 2], "GET", "/lookup/1", Api_Key=NEVER_HELD)
    ran = {arrival.attempt for arrival in scene.arrivals}
    return [
        f"{one.attempt} ran with a key that no configuration ever held"
        for one in scene.sent
        if one.attempt in ran
    ]


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
