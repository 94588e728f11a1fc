"""Look at fleet texts and at running daemons.

Usage:
  mintsaddle check TEXT
  mintsaddle plan OLD NEW [--json]
  mintsaddle explain TEXT SERVICE [--json]
  mintsaddle status ADDRESS [--json]
  mintsaddle histograms ADDRESS... [--json]
  mintsaddle trace ID LOG... [--json]
  mintsaddle --help

Commands:
  check       Report everything wrong with a fleet text.
  plan        Show what a new text would change; unsafe changes first.
  explain     Show where a service's work goes as each data centre is out.
  status      Show what a daemon does and why.
  histograms  Show latencies by workspace and class, merged over daemons.
  trace       Gather a request's story from logs; a LOG of - is standard input.

Options:
  --json  Print JSON for programs.
  --help  Show this page.

Exit codes: 0 good, 1 the answer is bad news (findings, an unsafe change, a
daemon that doesn't serve), 2 the question could not be answered.
"""

import sys

from docopt import docopt
from returns.result import Failure, Result, Success

from mintsaddle.cli._output import Output
from mintsaddle.cli._remote import show_histograms, show_status
from mintsaddle.cli._texts import check_text, explain_text, plan_texts
from mintsaddle.cli._trace import trace_request

EXIT_BAD_NEWS = 1
EXIT_NO_ANSWER = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the tool.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code.
    """
    options = docopt(str(__doc__), arguments)
    match _answer(options):
        case Success(output):
            print(output.to_json() if options["--json"] else output.to_text())
            return EXIT_BAD_NEWS if output.is_bad_news else 0
        case Failure(problem):
            print(problem, file=sys.stderr)
    return EXIT_NO_ANSWER


def _answer(options: dict[str, str]) -> Result[Output, str]:
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
