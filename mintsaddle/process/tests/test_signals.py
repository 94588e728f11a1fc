"""Signals that arrive at any moment of a process that waits for them."""

import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

STOPS = 48
STOPS_AT_ONCE = 4

# It waits for so short a time that most signals arrive between two waits.
PROGRAM = """
import signal
from mintsaddle.process import SignalReceiver
receiver = SignalReceiver(signal.SIGTERM, signal.SIGHUP)
print("started", flush=True)
received = set()
while signal.SIGTERM not in received:
    received |= receiver.wait(0.0)
print(sorted(received))
"""


def stop_after_reload(_: int) -> str:
    """Return what a process has received that got SIGHUP, then SIGTERM."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    with process.stdout:
        process.stdout.readline()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        return process.stdout.read().strip()


class TestSignals:
    def test_none_is_missed_or_stops_the_main_thread(self) -> None:
        """Guards against a process that runs until it is killed."""
        with ThreadPoolExecutor(STOPS_AT_ONCE) as pool:
            received = list(pool.map(stop_after_reload, range(STOPS)))
        expected = str([int(signal.SIGHUP), int(signal.SIGTERM)])
        assert received == [expected] * STOPS

    def test_a_wait_without_signals_ends(self) -> None:
        program = PROGRAM.replace("while", "assert not receiver.wait(0.01)\nwhile")
        program = program.replace("not in received", "in received")
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        assert done.stdout.split("\n")[1] == "[]"
