"""Tests of the command line against a daemon's administration over HTTP."""

import json
import os
import subprocess
import sys

from click import testing
import pytest
import yaml

from topazlug import cli
from topazlug.cli import _client
from topazlug.cli import _exit_codes

PROGRAM = "from topazlug import cli; cli.main()"
EXIT = _exit_codes.ExitCode


class TestRows:
    def test_add_set_show_list_remove(self, topazlug):
        topazlug.json("pool", "add", "p", "model=m")
        topazlug.json("team", "add", "acme", "weight=2", "pools=p")
        topazlug.json("team", "set", "acme", "ceiling_rate=5.5")
        row = topazlug.json("team", "show", "acme")["row"]
        assert (row["weight"], row["ceiling_rate"]) == (2, 5.5)
        assert [r["name"] for r in topazlug.json("team", "list")] == ["acme"]
        assert topazlug.json("team", "remove", "acme")["revision"] == 4
        assert topazlug.json("team", "list") == []

    def test_table(self, topazlug):
        topazlug.json("team", "add", "acme")
        lines = topazlug("team", "list", output="table").stdout.splitlines()
        assert lines[0].split()[:2] == ["NAME", "WEIGHT"]
        assert lines[1].split()[:2] == ["acme", "1"]

    def test_yaml(self, topazlug):
        topazlug.json("team", "add", "acme")
        shown = topazlug("team", "show", "acme", output="yaml").stdout
        assert yaml.safe_load(shown)["row"]["name"] == "acme"

    def test_reason_goes_into_the_history(self, topazlug):
        topazlug.json("team", "add", "acme", "--reason", "für Wien")
        assert topazlug.json("history")[0]["why"] == "für Wien"


class TestConflicts:
    def test_two_operators_on_one_cell(self, topazlug):
        """The change of one of two operators must not be lost unnoticed.

        Both read the team and both set its weight. The second write must not
        replace the first.
        """
        topazlug.json("team", "add", "acme", "weight=1")
        etag = topazlug.json("team", "show", "acme")["etag"]
        first = topazlug("team", "set", "acme", "weight=2", "--etag", etag)
        second = topazlug("team", "set", "acme", "weight=3", "--etag", etag)
        assert first.exit_code == EXIT.OK
        assert second.exit_code == EXIT.CONFLICT
        assert "weight: yours 3.0, in force 2.0" in second.stderr
        assert topazlug.json("team", "show", "acme")["row"]["weight"] == 2

    @pytest.mark.processes
    def test_two_concurrent_programs(self, topazlug):
        """As above, by two concurrent processes."""
        topazlug.json("team", "add", "acme", "weight=1")
        etag = topazlug.json("team", "show", "acme")["etag"]
        programs = [
            subprocess.Popen(
                [sys.executable, "-c", PROGRAM, "team", "set", "acme"]
                + [f"weight={weight}", "--etag", etag],
                env=os.environ | topazlug.environment,
                stderr=subprocess.PIPE,
            )
            for weight in (2, 3)
        ]
        codes = [program.wait(30) for program in programs]
        assert sorted(codes) == [EXIT.OK, EXIT.CONFLICT]
        weights = (2.0, 3.0)
        winner, loser = (weights[codes.index(c)] for c in (0, 3))
        output = programs[codes.index(EXIT.CONFLICT)].stderr.read().decode()
        assert f"weight: yours {loser}, in force {winner}" in output

    def test_add_of_an_existing_row(self, topazlug):
        topazlug.json("team", "add", "acme")
        assert topazlug("team", "add", "acme").exit_code == EXIT.CONFLICT


class TestExitCodes:
    @pytest.mark.parametrize(
        "arguments, code",
        [
            (["team", "show", "none"], EXIT.NOT_FOUND),
            (["team", "add", "a", "weight=-1"], EXIT.INVALID),
            (["team", "add", "a", "weight=heavy"], EXIT.INVALID),
            (["team", "add", "a", "size=1"], EXIT.USAGE),
            (["team", "add", "a", "weight"], EXIT.USAGE),
            (["team", "set", "a"], EXIT.USAGE),
            (["import", "/nowhere.yaml"], EXIT.USAGE),
            (["explain", "c", "--pool", "none"], EXIT.NOT_FOUND),
            (["nonsense"], EXIT.USAGE),
        ],
    )
    def test_user_errors(self, topazlug, arguments, code):
        result = topazlug(*arguments)
        assert result.exit_code == code
        assert isinstance(result.exception, SystemExit)
        assert result.stderr

    def test_wrong_token(self, topazlug):
        topazlug.token = "wrong"
        assert topazlug("team", "list").exit_code == EXIT.REFUSED

    def test_store_down(self, topazlug, platform):
        platform.faults.down = True
        result = topazlug("team", "add", "acme")
        assert result.exit_code == EXIT.UNREACHABLE

    def test_no_daemon(self, monkeypatch):
        monkeypatch.setattr(_client, "RETRY_WAIT", 0.0)
        arguments = ["--url", "http://127.0.0.1:1", "team", "add", "acme"]
        result = testing.CliRunner().invoke(cli.main, arguments)
        assert result.exit_code == EXIT.UNREACHABLE
        assert "--edit-id" in result.stderr

    def test_no_url(self):
        result = testing.CliRunner().invoke(cli.main, ["team", "list"])
        assert result.exit_code == EXIT.USAGE


class TestLostAnswers:
    def test_lost_answer_of_the_store(self, topazlug, platform):
        """An accepted edit must not be reported as failed.

        The store commits and its answer is lost. The daemon must then check
        whether the edit was made.
        """
        platform.faults.lose_answers = 1
        result = topazlug.json("team", "add", "acme")
        assert (result["revision"], result["repeated"]) == (1, True)

    def test_repeat_under_the_same_id(self, topazlug):
        for _ in range(2):
            result = topazlug.json(
                "team", "add", "acme", "--edit-id", "edit-one"
            )
            assert result["revision"] == 1


class TestSecrets:
    def test_key_from_issue_to_revocation(self, topazlug, node):
        topazlug.json("team", "add", "acme")
        issued = topazlug.json("team", "key", "issue", "acme", "--days", "9")
        assert issued["key"].startswith("tzk_")
        assert len(topazlug.json("team", "key", "list", "acme")) == 1
        topazlug.json("team", "key", "revoke", "acme", issued["hash"][:12])
        assert not node.holder.current.team_by_key_hash

    def test_operators(self, topazlug):
        added = topazlug.json("operator", "add", "ana", "--role", "admin")
        assert topazlug("team", "list").exit_code == EXIT.REFUSED
        topazlug.token = added["token"]
        renewed = topazlug.json("operator", "renew", "ana")
        assert topazlug("team", "list").exit_code == EXIT.REFUSED
        topazlug.token = renewed["token"]
        assert topazlug("operator", "remove", "ana").exit_code == EXIT.INVALID


class TestWholeTable:
    @pytest.mark.parametrize("suffix", ["csv", "yaml"])
    def test_export_and_import(self, topazlug, tmp_path, suffix):
        topazlug.json("pool", "add", "p", "model=m", "batch_reserve=0.25")
        topazlug.json("team", "add", "acme", "weight=2.5", "pools=p")
        topazlug.json("service", "add", "s", "idempotent_methods=[]")
        topazlug.json("drain", "wien-a", "--kind", "zone")
        path = tmp_path / f"table.{suffix}"
        topazlug("export", "--file", str(path))
        same = topazlug.json("import", str(path), "--dry-run")
        assert same["differences"] == []
        path.write_text(path.read_text().replace("2.5", "3.5"))
        topazlug("import", str(path))
        assert topazlug.json("team", "show", "acme")["row"]["weight"] == 3.5

    def test_dry_run_as_table(self, topazlug):
        topazlug.json("team", "add", "acme")
        text = "teams: [{name: acme, weight: 4, pools: [none]}]"
        result = topazlug(
            "import", "-", "--dry-run", output="table", input=text
        )
        assert result.exit_code == EXIT.INVALID
        assert "weight: 1 -> 4" in result.stdout
        assert "error: teams/acme pools" in result.stdout
        assert topazlug.json("team", "show", "acme")["row"]["weight"] == 1

    @pytest.mark.parametrize(
        "text", ["teams: [", "[]", "teams: [{name: a, size: 1}]"]
    )
    def test_invalid_files(self, topazlug, text):
        result = topazlug("import", "-", input=text)
        assert result.exit_code == EXIT.INVALID

    @pytest.mark.parametrize(
        "text, code",
        [
            ("name\na\n", EXIT.INVALID),
            ("table,name\ngateways,a\n", EXIT.INVALID),
            ("table,name\nteams,a,b\n", EXIT.INVALID),
            ("table,name,size\nteams,a,1\n", EXIT.USAGE),
        ],
    )
    def test_invalid_csv(self, topazlug, text, code):
        result = topazlug("import", "-", "--format", "csv", input=text)
        assert result.exit_code == code

    def test_undo(self, topazlug):
        topazlug.json("team", "add", "acme", "weight=1")
        topazlug.json("team", "set", "acme", "weight=2")
        assert topazlug.json("undo", "2")["revision"] == 3
        assert topazlug.json("team", "show", "acme")["row"]["weight"] == 1


class TestFleet:
    def test_drain_and_undrain(self, topazlug, node):
        topazlug.json("drain", "r1")
        assert list(node.holder.current.drains_by_name) == ["r1"]
        topazlug.json("undrain", "r1")
        assert not node.holder.current.drains_by_name

    @pytest.mark.parametrize("command", ["status", "top"])
    def test_status(self, topazlug, command):
        more = ["--count", "2", "--interval", "0"] if command == "top" else []
        result = topazlug(command, *more, output="table")
        assert result.exit_code == EXIT.OK
        assert "r1" in result.stdout
        assert "acme" in result.stdout

    def test_explain(self, topazlug):
        assert topazlug.json("explain", "c", "--pool", "p")["chosen"] == "r2"
        shown = topazlug("explain", "c", "--pool", "p", output="table")
        assert "over_bound" in shown.stdout

    def test_edit_waits_until_in_force(self, topazlug):
        result = topazlug.json("team", "add", "acme", "--wait", "1")
        assert result["in_force"]

    def test_edit_not_in_force_in_time(self, topazlug, status):
        status.other_revision = 0
        result = topazlug("team", "add", "acme", "--wait", "0.01")
        assert result.exit_code == EXIT.NOT_IN_FORCE
        assert "other" in result.stderr
        waited = topazlug("config", "status", "--wait", "0.01")
        assert waited.exit_code == EXIT.NOT_IN_FORCE

    def test_config_status(self, topazlug):
        assert topazlug.json("config", "status")["in_force"]
        shown = topazlug("config", "status", output="table").stdout
        assert "other" in shown


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion(shell):
    result = testing.CliRunner().invoke(cli.main, ["completion", shell])
    assert "TOPAZLUG_COMPLETE" in result.stdout


def test_json_is_json(topazlug):
    json.loads(topazlug("status").stdout)


class TestBlocked:
    def test_show_and_release(self, topazlug):
        shown = topazlug("blocked", output="table").stdout.splitlines()
        assert shown[1].split()[0] == "f1"
        assert topazlug.json("release", "f1")["fingerprint"] == "f1"
        assert topazlug.json("blocked")["blocked"] == []

    def test_release_of_a_request_that_is_not_blocked(self, topazlug):
        result = topazlug("release", "f2")
        assert result.exit_code == EXIT.NOT_FOUND
        assert "'f2'" in result.stderr
