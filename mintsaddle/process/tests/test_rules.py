"""Where threads and tasks may be started."""

import ast
from collections.abc import Iterator
from pathlib import Path

import mintsaddle

ROOT = Path(mintsaddle.__file__).parent
STARTS = {
    "Thread": (),
    "ThreadPoolExecutor": (),
    "start_new_thread": ("process/_threads.py",),
    "start_thread": (
        "process/_supervisor.py",
        "process/_workers.py",
        "callers/_threads.py",
    ),
    "ensure_future": ("daemon/_node.py", "direct/_peer_start.py", "entry/_calls.py"),
    "create_task": (),
    "run_forever": ("transport/_loop.py",),
}
"""Calls that start what runs for long, and the files that may make them."""


def find_calls(path: Path) -> Iterator[str]:
    """Yield the last part of the name of each function that a file calls."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call):
            function = node.func
            if isinstance(function, ast.Attribute):
                yield function.attr
            elif isinstance(function, ast.Name):
                yield function.id


class TestStarts:
    def test_each_long_lived_thread_is_supervised(self) -> None:
        """Guards against a thread that ends without a word."""
        found = [
            (name, path.relative_to(ROOT).as_posix())
            for path in ROOT.rglob("*.py")
            if "tests" not in path.parts and "proto" not in path.parts
            for name in find_calls(path)
            if name in STARTS
        ]
        assert {name for name, _ in found} >= {"start_new_thread", "ensure_future"}
        assert [(name, path) for name, path in found if path not in STARTS[name]] == []
