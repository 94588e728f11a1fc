"""An engine leaves in the moment in which the store cuts a waiting watch."""

import time
from pathlib import Path

from scene import DRAIN_SECONDS, SERVICE, Scene, answer_whole, has_trouble, run_case

SERVE_ON_SECONDS = 6.0
"""The engine serves on for ``drain_ms`` and a little longer after its entry is
removed."""


def play(scene: Scene) -> list[str]:
    """Return a line for each request that reached the engine too late."""
    scene.configure()
    engines = [scene.add_engine(f"i-{n}", answer_whole) for n in range(3)]
    scene.start_entries(2)
    scene.run_clients(8, 0.03, "GET", "/lookup/1")
    time.sleep(3.0)
    leaving = engines[0]
    if has_trouble():
        scene.store.cut_watches()
        scene.note(f"the store has cut {scene.store.cuts} waiting watches")
        time.sleep(0.02)
    scene.store.delete(f"servers/{leaving.name}")
    acknowledged_at = time.monotonic()
    scene.note(f"acknowledged: entry of {leaving.name} removed", acknowledged_at)
    time.sleep(SERVE_ON_SECONDS)
    scene.stop_clients()
    before = [a for a in scene.arrivals if a.at < acknowledged_at]
    assert any(a.engine == leaving.name for a in before), "no request before"
    assert all(one.status == 200 for one in scene.sent), "not all were answered"
    return [
        f"{a.attempt} reached {a.engine} {a.at - acknowledged_at:.3f} s after the"
        f" acknowledgement of its removal from {SERVICE}"
        for a in scene.arrivals
        if a.engine == leaving.name and a.at > acknowledged_at + DRAIN_SECONDS
    ]


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
