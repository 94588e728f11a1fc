"""Commands on fleet texts, and the daemon's check of its settings."""

import json
from pathlib import Path

import pytest

from mintsaddle.cli import main
from mintsaddle.program import main as daemon_main

EXAMPLES = Path(__file__).parents[3] / "examples"
TEXTS = ("eftersend.ini", "clampwise.ini")


class TestExamples:
    @pytest.mark.parametrize("name", TEXTS)
    def test_texts_are_good(
        self, name: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["check", str(EXAMPLES / name)]) == 0
        assert "the text is good" in capsys.readouterr().out

    @pytest.mark.parametrize("name", ["entry.ini", "endpoint.ini"])
    def test_settings_are_good(self, name: str) -> None:
        assert daemon_main(["--settings", str(EXAMPLES / name), "--check"]) == 0


class TestCheck:
    def test_findings_exit_with_a_problem(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "fleet.ini"
        path.write_text("[fleet]\nname = x\nclock bound = fast\n[endpoint a]\n")
        assert main(["check", str(path)]) == 1
        shown = capsys.readouterr().out
        assert "fleet.ini:3" in shown
        assert "fleet.ini:4" in shown

    def test_missing_file_fails(self, capsys: pytest.CaptureFixture[str]) -> None:
        assert main(["check", "no-such-file.ini"]) == 2
        assert "can't be read" in capsys.readouterr().err


class TestPlan:
    def test_unsafe_change_comes_first(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        old = EXAMPLES / "eftersend.ini"
        new = tmp_path / "new.ini"
        text = old.read_text()
        start = text.index("[service redirections]")
        changed = text[start:].replace("  dk3-orders\n", "", 1)
        new.write_text(text[:start] + changed)
        assert main(["plan", str(old), str(new), "--json"]) == 1
        changes = json.loads(capsys.readouterr().out)["changes"]
        assert changes[0][""] == "UNSAFE"
        assert "dk3-orders may still run orders" in changes[0]["what changes"]


class TestExplain:
    def test_shows_outage_of_each_data_centre(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(EXAMPLES / "clampwise.ini"), "advice"]) == 0
        shown = capsys.readouterr().out
        assert "bc2 out" in shown
        assert "256" in shown

    def test_unknown_service_lists_known_services(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["explain", str(EXAMPLES / "clampwise.ini"), "x"]) == 2
        assert "the services are: advice history" in capsys.readouterr().err


class TestStatus:
    @pytest.mark.parametrize(
        "address", ["127.0.0.1:1", "nowhere", "a:" + "9" * 5_000, "127.0.0.1:\u0661"]
    )
    def test_unreachable_daemon_fails(
        self, address: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["status", address]) == 2
        assert address in capsys.readouterr().err


class TestDaemonSettings:
    def test_all_findings_are_reported_at_once(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "daemon.ini"
        path.write_text("[daemon]\nrole = both\nthreads = 0\n")
        assert daemon_main(["--settings", str(path), "--check"]) == 2
        shown = capsys.readouterr().err
        assert "daemon.ini:2: [daemon] role" in shown
        assert "daemon.ini:3: [daemon] threads" in shown

    def test_the_platforms_settings_file_is_checked(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "settings.toml"
        path.write_text('node_name = "edge-1"\nzone = "a"\n[listen]\nfront = 7\n')
        assert daemon_main(["--settings", str(path), "--check"]) == 2
        shown = capsys.readouterr().err
        assert "[listen] front" in shown
        assert "[listen] control" in shown
        assert "store" in shown or "platform" in shown
