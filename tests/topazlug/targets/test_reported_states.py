"""What targets say of themselves, and for how long it counts."""

import logbook
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.targets import _reported_states
from topazlug.targets import _target_report

LEAVES = _target_report.TargetReport(leaving=True)
TARGET = fixtures.target("i-1")
NEXT_START = fixtures.target("i-1", incarnation=2)
OTHER = fixtures.target("i-2")


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def reported(clock):
    return _reported_states.ReportedStates(clock=clock)


def wants(seconds):
    return _target_report.TargetReport(backoff=seconds)


class TestLeaving:
    def test_counts_for_the_start_that_said_it(self, reported):
        assert reported.note(TARGET, LEAVES)
        assert reported.is_leaving(TARGET)
        assert not reported.is_leaving(OTHER)
        assert not reported.is_leaving(NEXT_START)

    def test_does_not_end_with_time_or_with_another_answer(
        self, reported, clock
    ):
        reported.note(TARGET, LEAVES)
        clock.advance(3600.0)
        reported.note(TARGET, _target_report.EMPTY_REPORT)
        assert reported.is_leaving(TARGET)

    def test_is_news_once(self, reported):
        reported.note(TARGET, LEAVES)
        with logbook.TestHandler() as logs:
            assert not reported.note(TARGET, LEAVES)
        assert not logs.records


class TestBackoff:
    def test_lasts_as_long_as_was_asked_for(self, reported, clock):
        assert reported.note(TARGET, wants(3.0))
        clock.advance(2.9)
        assert reported.remaining_backoff(TARGET) == pytest.approx(0.1)
        clock.advance(0.1)
        assert reported.remaining_backoff(TARGET) == 0.0

    def test_counts_for_the_start_that_asked(self, reported):
        reported.note(TARGET, wants(3.0))
        assert reported.remaining_backoff(OTHER) == 0.0
        assert reported.remaining_backoff(NEXT_START) == 0.0

    def test_is_never_shortened(self, reported, clock):
        reported.note(TARGET, wants(3.0))
        clock.advance(1.0)
        assert not reported.note(TARGET, wants(0.5))
        assert not reported.note(TARGET, _target_report.EMPTY_REPORT)
        assert reported.remaining_backoff(TARGET) == pytest.approx(2.0)

    def test_is_prolonged(self, reported, clock):
        reported.note(TARGET, wants(3.0))
        clock.advance(1.0)
        assert reported.note(TARGET, wants(3.0))
        assert reported.remaining_backoff(TARGET) == pytest.approx(3.0)


class TestMemory:
    def test_forgets_the_starts_that_were_quiet_longest(
        self, reported, monkeypatch
    ):
        monkeypatch.setattr(_reported_states, "_MOST_STARTS", 2)
        for name in ("i-1", "i-2", "i-3"):
            reported.note(fixtures.target(name), LEAVES)
        assert not reported.is_leaving(fixtures.target("i-1"))
        assert reported.is_leaving(fixtures.target("i-3"))
