"""Run the rank agent of one engine.

Usage: python -m mintsaddle.rank_agent LISTEN ENGINE PREFIX

LISTEN is the IP and port on which entries reach the agent, ENGINE the IP and
port of the engine on this VM. Calls to engine paths that don't begin with
PREFIX are rejected.
"""

import signal
import sys

from mintsaddle.observe import fields, make_logger, start_logging, stop_logging
from mintsaddle.process import open_wakeup
from mintsaddle.rank_agent._agent import RankAgent

_EXIT_USAGE = 2
_log = make_logger("agent")


def main(arguments: list[str]) -> int:
    """Serve requests until SIGTERM.

    Args:
        arguments: Command-line arguments without the program name.

    Returns:
        The exit code: 0 after a requested stop, 2 for invalid arguments.
    """
    if len(arguments) != 3:
        print(__doc__, file=sys.stderr)
        return _EXIT_USAGE
    listen, engine, prefix = arguments
    wakeup = open_wakeup()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    # SIGHUP means "reload the settings file", which only entries have.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    start_logging("INFO")
    agent = RankAgent(listen, engine, prefix, wakeup=wakeup)
    _log.info("Started %s.", fields(listen=listen, engine=engine))
    try:
        agent.serve()
    finally:
        _log.info("Stopped %s.", fields(listen=listen))
        stop_logging()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
