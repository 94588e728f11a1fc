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

WAITS = "Request waits request={} service=llm level=2 late=False position=3 waiting=5 \
until=0.700."
OVER_SHARE = 'Request over share request={} service=llm workspace="a b" own_level={} \
level=2 late={} share=40.0 shares_age=0.200.'
DISPLACED = "Request displaced request={} service=llm level=2 late=False waiting=64 \
waited=0.327."
REFUSED = (
    "Request not admitted request={} part=levels service=llm priority=0/2 level=2 \
over_share=True late={} probed={} requests=12 slots=6 waited=0.701 waiting=5 \
expected=0.884 loads_age=None shares_age=0.862 version=1 age=2.001."
)
FULL = "Ended request={} ending=not-run:full status=0."
STEPS_REFUSED = (
    "Request not admitted request={} probed=2 requests=9 slots=6 late=False."
)


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


class TestAdmission:
    @pytest.mark.parametrize(
        ("messages", "cause", "told"),
        [
            (
                [WAITS, REFUSED.format("{}", False, 2), FULL],
                "no capacity was left for its priority level",
                [
                    "place 3 of 5 in the queue, for at most 0.700 s.",
                    "at level 2: the engines probed (2) had 12 requests for 6 slots",
                    "expected after 0.884 s.",
                ],
            ),
            (
                [WAITS, DISPLACED, REFUSED.format("{}", False, 0), FULL],
                "no capacity was left for its priority level",
                ["place 3 of 5", "After 0.327 s it was displaced", "no probed engine"],
            ),
            (
                [
                    OVER_SHARE.format("{}", 1, False),
                    REFUSED.format("{}", False, 2),
                    FULL.replace("full", "group-down"),
                ],
                "no capacity was left for its priority level",
                ['Workspace "a b" was over', "of level 1 was treated like level 2."],
            ),
            (
                [
                    OVER_SHARE.format("{}", 2, True),
                    REFUSED.format("{}", True, 2),
                    FULL,
                ],
                "no capacity was left for its priority level",
                ["of level 2 was treated as late.", "at level 2 (late)"],
            ),
            (
                [
                    WAITS,
                    "Ended request={} ending=streamed first=0.9 longest_pause=0.1.",
                ],
                "Its stream ended normally.",
                ["place 3 of 5"],
            ),
            ([STEPS_REFUSED, FULL], "all endpoints that were tried were full", []),
        ],
    )
    def test_each_step_is_told_in_order(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        messages: list[str],
        cause: str,
        told: list[str],
    ) -> None:
        """Guards against a refusal whose cause the operator has to guess."""
        path = tmp_path / "entry-1.log"
        path.write_text(
            "".join(
                f"2026-05-01 10:00:0{second},000 INFO [calls] {text.format('r-1')}\n"
                for second, text in enumerate(messages)
            )
        )
        assert main(["trace", "r-1", str(path), "--json"]) == 0
        summary = json.loads(capsys.readouterr().out)["summary"]
        shown = {row["what"]: row["is"] for row in summary}
        assert cause in shown["cause"]
        admission = shown.get("admission", "")
        places = [admission.find(part) for part in told]
        assert -1 not in places
        assert places == sorted(places)
        assert bool(admission) is bool(told)

    def test_the_overload_of_the_entry_is_part_of_the_story(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "entry-1.log"
        messages = [WAITS, "Overload began service=llm waiting=5.", FULL]
        path.write_text(
            "".join(
                f"2026-05-01 10:00:0{second},000 INFO [calls] {text.format('r-1')}\n"
                for second, text in enumerate(messages)
            )
        )
        assert main(["trace", "r-1", str(path)]) == 0
        assert "Overload began service=llm" in capsys.readouterr().out
