"""Tests of the commands that analyse log files."""

import json

from click import testing
import pytest

from topazlug.cli import _main

LINES = [
    {
        "time": "2026-03-23T14:00:01.000Z",
        "daemon": "d1",
        "logger": "replicas",
        "message": "r1 is held out for 1 s: 5 of 9 requests failed",
        "request_id": "a0",
    },
    {
        "time": "2026-03-23T14:00:02.000Z",
        "daemon": "d1",
        "logger": "forwarding",
        "message": "placed at r2: load 3.0, mean 2.0",
        "request_id": "a1",
        "report_age": 3.5,
    },
    {
        "time": "2026-03-23T14:00:02.500Z",
        "daemon": "d1",
        "logger": "forwarding",
        "message": "failed with target_failed after 0.500 s: it broke",
        "request_id": "a1",
        "team": "udelar",
        "code": "target_failed",
        "why": "it broke",
    },
    {
        "time": "2026-03-23T14:00:02.600Z",
        "daemon": "d2",
        "logger": "replicas",
        "message": "of another daemon",
    },
    {
        "time": "2026-03-23T14:00:01.500Z",
        "daemon": "d1",
        "logger": "daemon",
        "message": "another replica of g is tried",
        "request_id": "a0",
    },
]


@pytest.fixture
def run_command():
    def invoke(*arguments):
        text = "\n".join(["no record", *map(json.dumps, LINES)])
        return testing.CliRunner().invoke(
            _main.main, arguments, input=text, catch_exceptions=False
        )

    return invoke


class TestExplainRequest:
    def test_lines_state_changes_and_stale_inputs(self, run_command):
        shown = run_command("explain-request", "a1").output
        assert "r1 is held out" in shown
        assert "stale: load report 3.5 s old" in shown
        assert "failed with target_failed" in shown
        assert "of another daemon" not in shown
        assert "is tried" not in shown

    def test_requests_that_take_its_stream_up(self, tmp_path):
        """A stream's later tries have ids of their own."""
        later = {
            "time": "2026-03-23T14:00:03.000Z",
            "daemon": "d2",
            "logger": "versions",
            "message": "the stream began at version v1 of g: another daemon",
            "request_id": "a2",
            "resumes": "a1",
        }
        path = tmp_path / "log"
        path.write_text(
            "\n".join(json.dumps(line) for line in [*LINES, later])
        )
        result = testing.CliRunner().invoke(
            _main.main, ["explain-request", "a1", str(path)]
        )
        assert "the stream began at version v1" in result.output

    def test_unknown_request(self, run_command):
        result = run_command("explain-request", "a2")
        assert result.exit_code == 1
        assert "no log line has request a2" in result.output

    def test_json(self, run_command):
        shown = run_command("--output", "json", "explain-request", "a1").stdout
        assert [one["message"][:6] for one in json.loads(shown)] == [
            "r1 is ",
            "placed",
            "failed",
        ]


class TestWhyFailed:
    def test_causes_are_counted(self, run_command):
        shown = run_command("--output", "json", "why-failed").stdout
        (row,) = json.loads(shown)
        assert row == {
            "count": 1,
            "code": "target_failed",
            "why": "it broke",
            "newest": "a1",
        }

    def test_paths_are_not_counted_as_separate_causes(self):
        """The most common cause must not be listed below many rare ones.

        Many requests fail because no route matches their path. If each path
        were a separate cause, none of them would have a high count.
        """
        lines = [
            {
                **LINES[2],
                "code": "path_not_found",
                "why": f"no route for {p!r}",
            }
            for p in ("/a", "/b")
        ]
        text = "\n".join(map(json.dumps, lines))
        shown = testing.CliRunner().invoke(
            _main.main, ["--output", "json", "why-failed"], input=text
        )
        (row,) = json.loads(shown.stdout)
        assert (row["count"], row["why"]) == (2, "no route for '…'")

    def test_other_team(self, run_command):
        assert "(none)" in run_command("why-failed", "--team", "x").output
