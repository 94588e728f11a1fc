"""The lines of the metrics page about admission by priority level."""

import pytest

from mintsaddle.decisions.direct import DirectService, RoutingTable
from mintsaddle.decisions.overload import WorkspaceUse
from mintsaddle.decisions.overload.tests.samples import make_call, make_table
from mintsaddle.direct._overload import OverloadControl
from mintsaddle.direct._overload_metrics import MAX_LISTED_WORKSPACES, render_overload

NOW = 100.0
SERVICE = DirectService("s", "/health", 9, 0.0, is_engine=True)


def make_routed(*priorities: int) -> RoutingTable:
    return make_table(priorities)._replace(services={"s": SERVICE})


def make_control(*priorities: int) -> OverloadControl:
    control = OverloadControl(WorkspaceUse())
    control.replace_table(make_routed(*priorities))
    return control


class TestOverloadMetrics:
    @pytest.mark.parametrize("priorities", [(1,), (1, 1)])
    def test_services_without_levels_add_no_line(
        self, priorities: tuple[int, ...]
    ) -> None:
        """Guards against changed pages of other deployments."""
        control = make_control(*priorities)
        control.record_not_admitted(make_call(NOW, None, 1), NOW)
        assert render_overload(control, NOW) == []

    def test_lines_without_overload(self) -> None:
        control = make_control(0, 2)
        control.workspace_use.record("n", 10.0, NOW)
        control.queue("s").enqueue(make_call(NOW, None, 2), 1, NOW)
        assert render_overload(control, NOW) == [
            'mintsaddle_priority_levels{service="s"} 2',
            'mintsaddle_waiting_calls{service="s"} 1',
            'mintsaddle_placements_per_second{service="s"} 0.00',
            'mintsaddle_overloaded{service="s"} 0',
            'mintsaddle_overloaded_seconds{service="s"} 0.0',
        ]

    def test_lines_under_overload(self) -> None:
        control = make_control(0, 2)
        use = control.workspace_use
        for name, work in (("big", 800.0), ("small", 50.0), ("tiny", 50.0)):
            use.record(name, work, NOW)
        control.record_placed(make_call(NOW, None, 0)._replace(workspace="big"), NOW)
        for at in (NOW, NOW + 1.0):
            control.record_not_admitted(make_call(at, None, 2), at)
        use.is_over_share("big", NOW + 1.0)
        lines = render_overload(control, NOW + 1.0)
        assert 'mintsaddle_overloaded{service="s"} 1' in lines
        assert 'mintsaddle_overloaded_seconds{service="s"} 1.0' in lines
        assert 'mintsaddle_placements_per_second{service="s"} 0.37' in lines
        assert 'mintsaddle_workspace_over_share{workspace="big"} 1' in lines
        assert 'mintsaddle_workspace_over_share{workspace="tiny"} 0' in lines
        (share,) = [line for line in lines if "fair_share" in line]
        assert float(share.split()[1]) < 160.0
        # An overload that has ended leaves no lines about workspaces.
        later = render_overload(control, NOW + 60.0)
        assert 'mintsaddle_overloaded{service="s"} 0' in later
        assert not any("workspace" in line or "share" in line for line in later)

    def test_an_infinite_share_is_left_out(self) -> None:
        """Guards against a value that readers of the page can't parse."""
        control = make_control(0, 2)
        control.workspace_use.record("n", 10.0, NOW)
        control.record_not_admitted(make_call(NOW, None, 2), NOW)
        assert not any("fair_share" in line for line in render_overload(control, NOW))

    def test_the_number_of_workspaces_is_bounded(self) -> None:
        control = make_control(0, 2)
        for number in range(2 * MAX_LISTED_WORKSPACES):
            control.workspace_use.record(f"w{number}", 10.0 + number, NOW)
        control.record_not_admitted(make_call(NOW, None, 2), NOW)
        uses = [
            line
            for line in render_overload(control, NOW)
            if line.startswith("mintsaddle_workspace_use{")
        ]
        assert len(uses) == MAX_LISTED_WORKSPACES
        assert uses[0].startswith('mintsaddle_workspace_use{workspace="w15"} ')

    @pytest.mark.parametrize(
        ("name", "label"),
        [
            ("", '""'),
            ('a"b', r'"a\"b"'),
            ("a\\b", r'"a\\b"'),
            ("a\nb 1", r'"a\nb 1"'),
        ],
    )
    def test_label_values_are_escaped(self, name: str, label: str) -> None:
        """Guards against names, which peers report, that add lines."""
        control = make_control(0, 2)
        control.workspace_use.record(name, 5.0, NOW)
        control.record_not_admitted(make_call(NOW, None, 2), NOW)
        lines = render_overload(control, NOW)
        assert f"mintsaddle_workspace_use{{workspace={label}}} 1.00" in lines
