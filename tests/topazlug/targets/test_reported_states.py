"""Tests of the states that targets report, and for how long they apply."""

import logbook
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.targets import _reported_states
from topazlug.targets import _target_report

LEAVING = _target_report.TargetReport(leaving=True)
TARGET = fixtures.target("i-1")
RESTARTED = fixtures.target("i-1", incarnation=2)
OTHER = fixtures.target("i-2")


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def reported(clock):
    return _reported_states.ReportedStates(clock=clock)


def backoff(seconds):
    return _target_report.TargetReport(backoff=seconds)


class TestLeaving:
    def test_applies_only_to_the_reporting_process(self, reported):
        assert reported.record(TARGET, LEAVING)
        assert reported.is_leaving(TARGET)
        assert not reported.is_leaving(OTHER)
        assert not reported.is_leaving(RESTARTED)

    def test_does_not_expire_and_is_not_revoked(self, reported, clock):
        reported.record(TARGET, LEAVING)
        clock.advance(3600.0)
        reported.record(TARGET, _target_report.EMPTY_REPORT)
        assert reported.is_leaving(TARGET)

    def test_repeated_report_is_no_change(self, reported):
        reported.record(TARGET, LEAVING)
        with logbook.TestHandler() as logs:
            assert not reported.record(TARGET, LEAVING)
        assert not logs.records


class TestBackoff:
    def test_lasts_for_the_requested_time(self, reported, clock):
        assert reported.record(TARGET, backoff(3.0))
        clock.advance(2.9)
        assert reported.remaining_backoff(TARGET) == pytest.approx(0.1)
        clock.advance(0.1)
        assert reported.remaining_backoff(TARGET) == 0.0

    def test_applies_only_to_the_requesting_process(self, reported):
        reported.record(TARGET, backoff(3.0))
        assert reported.remaining_backoff(OTHER) == 0.0
        assert reported.remaining_backoff(RESTARTED) == 0.0

    def test_is_never_shortened(self, reported, clock):
        reported.record(TARGET, backoff(3.0))
        clock.advance(1.0)
        assert not reported.record(TARGET, backoff(0.5))
        assert not reported.record(TARGET, _target_report.EMPTY_REPORT)
        assert reported.remaining_backoff(TARGET) == pytest.approx(2.0)

    def test_is_extended(self, reported, clock):
        reported.record(TARGET, backoff(3.0))
        clock.advance(1.0)
        assert reported.record(TARGET, backoff(3.0))
        assert reported.remaining_backoff(TARGET) == pytest.approx(3.0)


class TestEviction:
    def test_least_recently_changed_processes_are_evicted(
        self, reported, monkeypatch
    ):
        monkeypatch.setattr(_reported_states, "_MAX_PROCESSES", 2)
        for name in ("i-1", "i-2", "i-3"):
            reported.record(fixtures.target(name), LEAVING)
        assert not reported.is_leaving(fixtures.target("i-1"))
        assert reported.is_leaving(fixtures.target("i-3"))
