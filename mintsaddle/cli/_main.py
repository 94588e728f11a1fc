"""Inspect fleet configuration texts and running daemons.

Usage:
  mintsaddle check TEXT
  mintsaddle plan OLD NEW [--json]
  mintsaddle explain TEXT SERVICE [--json]
  mintsaddle status ADDRESS [--json]
  mintsaddle histograms ADDRESS... [--json]
  mintsaddle trace ID LOG... [--json]
  mintsaddle --help

Commands:
  check       Report all errors in a fleet configuration text.
  plan        Show what a new text changes, unsafe changes first.
  explain     Show where a service's requests go when each data centre is out.
  status      Show the state of a daemon and the reasons for it.
  histograms  Show latencies by workspace and class, merged across daemons.
  trace       Collect a request's log lines; a LOG of - is standard input.

Options:
  --json  Print JSON instead of tables.
  --help  Show this page.

Exit codes: 0 success, 1 a problem was found (findings, an unsafe change, a
daemon that doesn't serve), 2 the command failed.
"""

import sys

from docopt import docopt
from returns.result import Failure, Result, Success

from mintsaddle.cli._output import Output
from mintsaddle.cli._remote import show_histograms, show_status
from mintsaddle.cli._texts import check_text, explain_text, plan_texts
from mintsaddle.cli._trace import trace_request

EXIT_PROBLEM_FOUND = 1
EXIT_FAILURE = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the command-line tool.

    Args:
        arguments: Command-line arguments without the program name; those of
            the process by default.

    Returns:
        The exit code.
    """
    options = docopt(str(__doc__), arguments)
    match _run_command(options):
        case Success(output):
            print(output.to_json() if options["--json"] else output.to_text())
            return EXIT_PROBLEM_FOUND if output.found_problem else 0
        case Failure(problem):
            print(problem, file=sys.stderr)
    return EXIT_FAILURE


def _run_command(options: dict[str, str]) -> Result[Output, str]:
    if options["check"]:
        return check_text(options["TEXT"])
    if options["plan"]:
        return plan_texts(options["OLD"], options["NEW"])
    if options["explain"]:
        return explain_text(options["TEXT"], options["SERVICE"])
    if options["status"]:
        return show_status(options["ADDRESS"][0])
    if options["trace"]:
        return trace_request(options["ID"], options["LOG"])
    return show_histograms(tuple(options["ADDRESS"]))
