"""Collects the log lines of one request from the logs of many processes."""

import re
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure, Result, Success

from mintsaddle.cli._admission_story import (
    describe_admission,
    is_refused_by_level,
)
from mintsaddle.cli._output import Output, Table

STANDARD_INPUT = "-"
"""Log name that stands for standard input."""

_LINE_PATTERN = re.compile(
    r"(?P<before>.*?)(?P<time>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) "
    r"(?P<level>[A-Z]+) (?P<text>\[(?P<component>[\w-]+)\] .*)$"
)
_REQUEST_PATTERN = re.compile(r"\brequest=(?P<id>[^\s.]+)")
_ENDING_PATTERN = re.compile(r"\bending=(?P<ending>[\w:-]+)")
_REASON_PATTERN = re.compile(r"\breason=(?P<reason>[\w-]+)")
_FIRST_EVENT_PATTERN = re.compile(r"\bfirst=(\d+\.\d+)")
_LONGEST_PAUSE_PATTERN = re.compile(r"\blongest_pause=(\d+\.\d+)")
_WHY_PATTERN = re.compile(r"\bwhy=(?P<why>[\w-]+)")

_CAUSES = {
    "answered": "An endpoint returned the complete response.",
    "streamed": "Its stream ended normally.",
    "caller-left": "Its caller disconnected before the response was complete.",
    "cut": "Its stream was cut off at the endpoint and could not resume elsewhere.",
    "not-run:group-down": "It was refused: the engines' group was down for as "
    "long as its caller was willing to wait.",
    "not-run:full": "It was refused: all endpoints that were tried were full.",
    "not-run:asked-to-wait": "It was refused: all endpoints had asked the entry "
    "to wait for longer than the request could.",
    "not-run:rate-limited": "It was refused: no endpoint had a permit left in time.",
    "not-run:no-endpoint": "It was refused: no endpoint of its service was available.",
    "not-run:unreachable": "It was refused: no connection to an endpoint succeeded.",
    "not-run:quarantined": "It was refused: engines end as they begin requests "
    "that have something in common with it.",
    "not-run:on-trial": "It was refused: requests that have something in common "
    "with it were on trial for as long as it could wait.",
    "in-doubt:quarantined": "It was withdrawn from its endpoint: engines end as "
    "they begin requests that have something in common with it.",
    "in-doubt:cut-off": "It may have run: the endpoint cut off its response.",
    "in-doubt:silent": "It may have run: the endpoint did not respond in time.",
    "in-doubt:too-late": "It may have run: its deadline passed.",
    "refused:behind": "It was refused: the entry had no recent enough table.",
    "refused:full": "It was refused: the entry was at its limit of callers.",
    "denied:no-key": "It was denied: no workspace of the table has its key.",
    "denied:no-route": "It was denied: the table has no route for its path.",
}

_REFUSED_BY_LEVEL = (
    "It was refused: no capacity was left for its priority level in time."
)

_LEVEL_ENDINGS = frozenset({"not-run:full", "not-run:group-down"})
"""How requests end that aren't admitted by their level."""

_OVERLOAD_PATTERN = re.compile(r"\[calls\] Overload (began|ended) ")


class LogLine(NamedTuple):
    """A log line of a mintsaddle process."""

    time: str
    source: str
    """The log's name, or the last word of the prefix of a log collector."""

    level: str
    component: str
    text: str

    @property
    def request(self) -> str:
        """The id of the request that the line names, or an empty string."""
        found = _REQUEST_PATTERN.search(self.text)
        return found["id"] if found else ""


def trace_request(request: str, paths: Iterable[str]) -> Result[Output, str]:
    """Return the timeline of a request from several logs, and its cause.

    Args:
        request: The caller's id of the attempt.
        paths: Names of logs; ``-`` is standard input.

    Returns:
        The lines that name the request and those about the state of its entry
        in the meantime, ordered by time, and a sentence on how it ended; a
        failure if a log can't be read or no line names the request.
    """
    if not request:
        return Failure("the request id is empty; give the caller's id of the attempt")
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
    request_lines = [line for line in lines if line.request == request]
    if not request_lines:
        counts = f"{len(lines)} lines read, {skipped} of another form"
        return Failure(
            f"no line names request {request} ({counts}); "
            "give the logs of all entries of that time"
        )
    return Success(_build_output(request, request_lines, lines, skipped))


def parse_line(path: str, text: str) -> LogLine | None:
    """Parse a line; return None if it is truncated or of another program."""
    found = _LINE_PATTERN.match(text)
    if found is None:
        return None
    source = " ".join(found["before"].split()[-1:]) or Path(path).name
    return LogLine(
        found["time"], source, found["level"], found["component"], found["text"]
    )


def find_cause(lines: Iterable[LogLine]) -> str:
    """Return a sentence on how a request ended, and why."""
    known = list(lines)
    for line in reversed(known):
        key = _ending_key(line)
        if key in _LEVEL_ENDINGS and is_refused_by_level(other.text for other in known):
            return _REFUSED_BY_LEVEL
        if key:
            return _CAUSES.get(key, f"It ended {key}.") + _format_timing(line)
    return "Its end is not in these logs: it may still run, or its entry terminated."


def _format_timing(line: LogLine) -> str:
    """Return the event timing in a stream's last line, if there is any."""
    first, pause = (
        _FIRST_EVENT_PATTERN.search(line.text),
        _LONGEST_PAUSE_PATTERN.search(line.text),
    )
    if first is None or pause is None:
        return ""
    return f" First event after {first[1]} s, longest pause {pause[1]} s."


def _ending_key(line: LogLine) -> str:
    text = line.text
    if "] Ended " in text and (ending := _ENDING_PATTERN.search(text)):
        return ending["ending"]
    if "] Refused " in text and (reason := _REASON_PATTERN.search(text)):
        return f"refused:{reason['reason']}"
    if "] Denied " in text and (why := _WHY_PATTERN.search(text)):
        return f"denied:{why['why']}"
    return ""


def _build_output(
    request: str, request_lines: list[LogLine], lines: list[LogLine], skipped: int
) -> Output:
    first, last = (
        min(line.time for line in request_lines),
        max(line.time for line in request_lines),
    )
    sources = {line.source for line in request_lines}
    state_changes = [
        line
        for line in lines
        if not line.request
        and line.source in sources
        and first <= line.time <= last
        and (line.component != "calls" or _OVERLOAD_PATTERN.match(line.text))
    ]
    timeline = sorted([*request_lines, *state_changes], key=lambda line: line.time)
    rows = tuple((line.time[11:], line.source, line.text) for line in timeline)
    story = describe_admission(
        line.text for line in timeline if line.request == request
    )
    summary = (
        ("request", request),
        ("cause", find_cause(request_lines)),
        *((("admission", story),) if story else ()),
        ("entries", ", ".join(sorted(sources))),
        ("clocks", "the clocks of different entries may differ"),
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
