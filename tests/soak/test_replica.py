"""What a replica reports of its load in responses."""

import types

import pytest

from soak import _expected
from soak import _held_contexts
from soak import _replica
from soak import _run_plan
from standins import _http

REPORT = _run_plan.LoadReport


@pytest.fixture
def new_replica(tmp_path):
    def new(report, *, slots=4):
        return _replica.Replica(
            {
                "id": "i-1",
                "seed": 1,
                "cold": False,
                "version": "v1",
                "slots": slots,
                "load_report": report.value,
                "ledger": str(tmp_path / "runs.txt"),
                "ends": str(tmp_path / "ends.txt"),
                "words": str(tmp_path / "words.txt"),
            }
        )

    return new


def answer(replica, path):
    header_by_name = {"X-Attempt-Id": "a1", "X-Expected-Replica": "i-1"}
    request = types.SimpleNamespace(
        path=path,
        body=b"{}",
        header=lambda name, default="": header_by_name.get(name, default),
    )
    return replica.answer(request)


def reported(replica, path=_expected.READ):
    return dict(answer(replica, path).headers).get("X-Replica-Load")


class TestLoadReport:
    def test_none(self, new_replica):
        assert reported(new_replica(REPORT.NONE)) is None

    def test_load(self, new_replica):
        assert reported(new_replica(REPORT.LOAD)) == "1,0,4"

    def test_slowness(self, new_replica):
        replica = new_replica(REPORT.SLOWNESS)
        usual = int(reported(replica).rpartition(",")[2])
        replica.toggle_slow()
        slow = int(reported(replica).rpartition(",")[2])
        assert usual in (100, 130)
        assert slow == 2.5 * usual

    def test_streams_in_progress_are_counted(self, new_replica):
        """A replica that is full of streams must not report that it is idle.

        Requests above its slots count as waiting, and a stream that its
        caller leaves no longer counts.
        """
        replica = new_replica(REPORT.LOAD, slots=1)
        body = answer(replica, _expected.STREAM).body
        next(body)
        assert reported(replica) == "1,1,1"
        body.close()
        assert reported(replica) == "1,0,1"


class TestContextList:
    def test_request_for_the_list_is_no_run(self, new_replica, tmp_path):
        """Owners' questions counted as runs that no caller asked for."""
        replica = new_replica(REPORT.SLOWNESS)
        answer(replica, _held_contexts.PATH)
        assert (tmp_path / "runs.txt").read_text() == ""
        assert answer(replica, "/a").status
        assert "a1" in (tmp_path / "runs.txt").read_text()


class TestFailing:
    def test_only_while_it_fails(self, new_replica):
        replica = new_replica(REPORT.NONE)
        replica.toggle_failing()
        replica._failure, replica._failing_part = "status", 1.0
        failed = answer(replica, _expected.STREAM)
        assert failed.status == 500
        assert replica._in_flight == 0
        replica.toggle_failing()
        assert answer(replica, _expected.STREAM).status == 200

    def test_reset(self, new_replica):
        replica = new_replica(REPORT.NONE)
        replica.toggle_failing()
        replica._failure, replica._failing_part = "reset", 1.0
        with pytest.raises(_http.ConnectionCut):
            answer(replica, _expected.READ)


class TestBrittle:
    def test_says_so_only_while_it_is(self, new_replica):
        replica = new_replica(REPORT.NONE)
        assert "Server-Brittle" not in dict(answer(replica, "/read/").headers)
        replica.toggle_brittle()
        assert "Server-Brittle" in dict(answer(replica, "/read/").headers)
        replica.toggle_brittle()
        assert "Server-Brittle" not in dict(answer(replica, "/read/").headers)

    def test_rejects_what_it_has_no_slot_for(self, new_replica):
        replica = new_replica(REPORT.NONE, slots=0)
        replica.toggle_brittle()
        rejected = answer(replica, "/read/")
        assert rejected.status == 503
        assert "X-Not-Executed" in dict(rejected.headers)

    def test_falls_of_too_many_rejections(self, new_replica, monkeypatch):
        fallen = []
        monkeypatch.setattr(_replica.os, "_exit", fallen.append)
        replica = new_replica(REPORT.NONE, slots=0)
        replica.toggle_brittle()
        replica._brittle_since -= _expected.BRITTLE_NOTICE + 1
        for _ in range(_expected.TOLERATED_REJECTIONS):
            answer(replica, "/read/")
        assert not fallen
        answer(replica, "/read/")
        assert fallen == [1]
