"""Tests of the tracking of runs and their ends."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.targets import _target
from topazlug.targets import _target_runs

ENDS = _target_runs.RunEnd
TARGET = fixtures.target("i-1")
PROCESS = _target.process_of(TARGET)


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def tracker(clock):
    return _target_runs.RunTracker(clock=clock)


def begin(tracker, name="f1", target=TARGET):
    return tracker.begin(
        target,
        fingerprint=_ids.Fingerprint(name),
        attempt=f"of {name}",
    )


class TestRuns:
    def test_run_in_progress(self, tracker):
        run = begin(tracker)
        assert tracker.running(PROCESS) == [run]
        assert tracker.broken(PROCESS, seconds=1.0) == []

    @pytest.mark.parametrize("end", [ENDS.COMPLETE, ENDS.NOT_RUN])
    def test_run_that_did_not_break_is_discarded(self, tracker, end):
        tracker.finish(begin(tracker), end, status=200)
        assert tracker.running(PROCESS) == []
        assert tracker.broken(PROCESS, seconds=1.0) == []

    @pytest.mark.parametrize(
        "end", [ENDS.LOST, ENDS.TIMED_OUT, ENDS.ABANDONED]
    )
    def test_broken_run_is_kept_for_a_while(self, tracker, clock, end):
        run = begin(tracker)
        tracker.finish(run, end)
        clock.advance(0.5)
        assert tracker.broken(PROCESS, seconds=1.0) == [run]
        clock.advance(1.0)
        assert tracker.broken(PROCESS, seconds=1.0) == []

    def test_first_end_counts(self, tracker):
        ended = []
        tracker.on_end(ended.append)
        run = begin(tracker)
        tracker.finish(run, ENDS.COMPLETE, status=200)
        tracker.finish(run, ENDS.ABANDONED)
        assert (run.end, ended) == (ENDS.COMPLETE, [run])

    def test_processes_of_a_replica_are_separate(self, tracker):
        restarted = fixtures.target("i-1", incarnation=2)
        run = begin(tracker, target=restarted)
        assert tracker.running(PROCESS) == []
        assert tracker.running(_target.process_of(restarted)) == [run]

    def test_broken_runs_are_bounded(self, tracker, clock):
        for _ in range(200):
            tracker.finish(begin(tracker), ENDS.LOST)
        assert len(tracker.broken(PROCESS, seconds=1.0)) == 64
        clock.advance(_target_runs.RETENTION_SECONDS + 1)
        other = fixtures.target("i-2")
        tracker.finish(begin(tracker, target=other), ENDS.LOST)
        assert (
            tracker.broken(PROCESS, seconds=_target_runs.RETENTION_SECONDS)
            == []
        )

    @pytest.mark.parametrize(
        "end, status, is_success",
        [
            (ENDS.COMPLETE, 200, True),
            (ENDS.COMPLETE, 204, True),
            (ENDS.COMPLETE, 500, False),
            (ENDS.LOST, 200, False),
        ],
    )
    def test_success_requires_a_complete_answer(
        self, tracker, end, status, is_success
    ):
        run = begin(tracker)
        tracker.finish(run, end, status=status)
        assert run.is_success is is_success
