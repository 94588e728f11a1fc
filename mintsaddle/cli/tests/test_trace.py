"""The timeline of one request from the logs of several entries."""

import json
from pathlib import Path

import pytest

from mintsaddle.cli import main

LOG = """\
2026-05-01 10:00:00,000 INFO [daemon] Started vm=entry-1 callers=10.0.0.1:80.
2026-05-01 10:00:01,000 INFO [calls] Chosen request=r-1 endpoint=i-1 load=2.
2026-05-01 10:00:01,500 WARNING [directory] Group lost group=llm/g epoch=1.
2026-05-01 10:00:01,600 INFO [calls] Attempt failed request=r-1 ending=not-run.
2026-05-01 10:00:02,900 INFO [calls] Ended request=r-1 ending=not-run:group-down.
2026-05-01 10:00:03,000 INFO [calls] Ended request=r-2 ending=cut status=200.
2026-05-01 10:00:03,100 INFO [calls] Refused request=r-3 reason=behind.
2026-05-01 10:00:04,000 INFO [calls] Chosen request=r-4 endpoint=i-1 load=2.
2026-05-01 10:00:05,000 INFO [calls] Ended request=r-5 ending=streamed \
first=0.210 longest_pause=0.131.
a line of another program
2026-05-01 10:00:0
"""


@pytest.fixture
def log(tmp_path: Path) -> str:
    path = tmp_path / "entry-1.log"
    path.write_text(LOG)
    return str(path)


class TestTrace:
    def test_timeline_holds_state_changes_of_the_entry(
        self, log: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["trace", "r-1", log]) == 0
        shown = capsys.readouterr().out
        assert shown.index("Chosen") < shown.index("Group lost") < shown.index("Ended")
        assert "group was down" in shown
        assert "r-2" not in shown

    @pytest.mark.parametrize(
        ("request_id", "cause"),
        [
            ("r-2", "could not resume elsewhere"),
            ("r-3", "had no recent enough table"),
            ("r-4", "not in these logs"),
            ("r-5", "First event after 0.210 s, longest pause 0.131 s."),
        ],
    )
    def test_each_ending_has_its_cause(
        self, log: str, request_id: str, cause: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["trace", request_id, log, "--json"]) == 0
        summary = json.loads(capsys.readouterr().out)["summary"]
        shown = {row["what"]: row["is"] for row in summary}
        assert cause in shown["cause"]
        assert shown["lines of another form"] == "2"

    def test_an_unknown_id_asks_for_more_logs(
        self, log: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["trace", "r-9", log]) == 2
        assert "logs of all entries" in capsys.readouterr().err

    def test_an_empty_id_is_rejected(
        self, log: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against an unset variable that selects the whole log."""
        assert main(["trace", "", log]) == 2
        assert "the request id is empty" in capsys.readouterr().err

    def test_a_missing_log_is_named(self, capsys: pytest.CaptureFixture[str]) -> None:
        assert main(["trace", "r-1", "/nowhere.log"]) == 2
        assert "/nowhere.log" in capsys.readouterr().err

    def test_the_prefix_of_a_collector_names_the_entry(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "all.log"
        path.write_text(f"  1.25 entry-7 {LOG.splitlines()[4]}\n")
        assert main(["trace", "r-1", str(path)]) == 0
        assert "entry-7" in capsys.readouterr().out
