"""Gathering one request's story from the logs of many processes."""

import re
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.cli._output import Output, Table

STANDARD_INPUT = "-"
"""Stands for standard input among the names of logs."""

_LINE = re.compile(
    r"(?P<before>.*?)(?P<time>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) "
    r"(?P<level>[A-Z]+) (?P<text>\[(?P<part>[\w-]+)\] .*)$"
)
_REQUEST = re.compile(r"\brequest=(?P<id>[^\s.]+)")
_ENDING = re.compile(r"\bending=(?P<ending>[\w:-]+)")
_REASON = re.compile(r"\breason=(?P<reason>[\w-]+)")
_FIRST = re.compile(r"\bfirst=(\d+\.\d+)")
_PAUSE = re.compile(r"\blongest_pause=(\d+\.\d+)")
_WHY = re.compile(r"\bwhy=(?P<why>[\w-]+)")

_CAUSES = {
    "answered": "It was answered whole by an endpoint.",
    "streamed": "Its stream came to its end.",
    "caller-left": "Its caller hung up before the answer was complete.",
    "cut": "Its stream was cut at the endpoint and could not go on elsewhere.",
    "not-run:group-down": "It was refused: the engines' group was down for as "
    "long as its caller would have waited.",
    "not-run:full": "It was refused: the endpoints that were asked were full.",
    "not-run:no-endpoint": "It was refused: no endpoint of its service was left.",
    "not-run:unreachable": "It was refused: no connection to an endpoint was made.",
    "in-doubt:cut-off": "It may have run: the endpoint broke off its answer.",
    "in-doubt:silent": "It may have run: the endpoint gave no answer in time.",
    "in-doubt:too-late": "It may have run: its deadline passed.",
    "refused:behind": "It was refused: the entry knew no table that is new enough.",
    "refused:full": "It was refused: the entry served as many callers as it can.",
    "denied:no-key": "It was denied: its key is in no workspace of the table.",
    "denied:no-route": "It was denied: the table has no route for its path.",
}


class LogLine(NamedTuple):
    """One line that one of our processes wrote."""

    time: str
    source: str
    """The log's name, or what a collector has put before the line."""

    level: str
    part: str
    text: str

    @property
    def request(self) -> str:
        """The request that it is about, or an empty string."""
        found = _REQUEST.search(self.text)
        return found["id"] if found else ""


def trace_request(request: str, paths: Iterable[str]) -> Result[Output, str]:
    """Return a request's story over several logs, with its cause.

    Args:
        request: The caller's id of the attempt.
        paths: Names of logs; ``-`` is standard input.

    Returns:
        The lines about it in order of time, those that changed what its entry
        believed meanwhile, and one sentence of cause; a failure if a log can't
        be read or none of them knows the request.
    """
    if not request:
        return Failure("no request is named; give the caller's id of the attempt")
    lines: list[LogLine] = []
    skipped = 0
    for path in paths:
        match _read_lines(path):
            case Failure(problem):
                return Failure(problem)
            case Success(texts):
                parsed = [parse_line(path, text) for text in texts]
                lines += [line for line in parsed if line is not None]
                skipped += sum(line is None for line in parsed)
    own = [line for line in lines if line.request == request]
    if not own:
        looked = f"{len(lines)} lines looked at, {skipped} of another form"
        return Failure(
            f"no line names request {request} ({looked}); "
            "give the logs of all entries of that time"
        )
    return Success(_tell(request, own, lines, skipped))


def parse_line(path: str, text: str) -> LogLine | None:
    """Return a line of our processes; None for any other or a torn one."""
    found = _LINE.match(text)
    if found is None:
        return None
    source = " ".join(found["before"].split()[-1:]) or Path(path).name
    return LogLine(found["time"], source, found["level"], found["part"], found["text"])


def find_cause(lines: Iterable[LogLine]) -> str:
    """Return one sentence that says how a request ended, and why."""
    for line in reversed(list(lines)):
        key = _ending_key(line)
        if key:
            return _CAUSES.get(key, f"It ended {key}.") + _timing_of(line)
    return "Its end is not in these logs: it may still run, or its entry died."


def _timing_of(line: LogLine) -> str:
    """Return what a stream's last line says of its events."""
    first, pause = _FIRST.search(line.text), _PAUSE.search(line.text)
    if first is None or pause is None:
        return ""
    return f" First event after {first[1]} s, longest pause {pause[1]} s."


def _ending_key(line: LogLine) -> str:
    text = line.text
    if "] Ended " in text and (ending := _ENDING.search(text)):
        return ending["ending"]
    if "] Refused " in text and (reason := _REASON.search(text)):
        return f"refused:{reason['reason']}"
    if "] Denied " in text and (why := _WHY.search(text)):
        return f"denied:{why['why']}"
    return ""


def _tell(
    request: str, own: list[LogLine], lines: list[LogLine], skipped: int
) -> Output:
    first, last = min(line.time for line in own), max(line.time for line in own)
    sources = {line.source for line in own}
    beliefs = [
        line
        for line in lines
        if not line.request
        and line.source in sources
        and first <= line.time <= last
        and line.part != "calls"
    ]
    story = sorted([*own, *beliefs], key=lambda line: line.time)
    rows = tuple((line.time[11:], line.source, line.text) for line in story)
    summary = (
        ("request", request),
        ("cause", find_cause(own)),
        ("entries", ", ".join(sorted(sources))),
        ("clocks", "times of different entries may differ by their clocks"),
        ("lines of another form", str(skipped)),
    )
    return Output(
        (
            Table("story", ("time", "entry", "line"), rows),
            Table("summary", ("what", "is"), summary),
        )
    )


def _read_lines(path: str) -> Result[list[str], str]:
    if path == STANDARD_INPUT:
        return Success(sys.stdin.read().splitlines())
    try:
        text = Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        return Failure(f"{path}: can't be read: {error}")
    return Success(text.splitlines())
