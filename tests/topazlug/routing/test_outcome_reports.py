"""Reports of outcomes that no owner counts."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.routing import _outcome_reports

TARGET = fixtures.target("i-0")


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def reports(clock, sent):
    return _outcome_reports.OutcomeReports(send=sent.append, clock=clock)


class TestOutcomeReports:
    def test_first_failure_is_sent_at_once(self, reports, sent):
        reports.record(TARGET, failed=True)
        assert [(m.failed, m.ended) for m in sent] == [(1, 1)]

    def test_failures_are_sent_together(self, reports, sent, clock):
        """A daemon sent one message for each of many failures."""
        for _ in range(5):
            reports.record(TARGET, failed=True)
        assert len(sent) == 1
        clock.advance(0.11)
        reports.send_due()
        assert (sent[1].failed, sent[1].ended) == (4, 4)

    def test_successes_are_sent_every_second(self, reports, sent, clock):
        for _ in range(15):
            reports.record(TARGET, failed=False)
            clock.advance(0.125)
            reports.send_due()
        assert [(m.failed, m.ended) for m in sent] == [(0, 1), (0, 7)]

    def test_successes_are_sent_with_a_failure(self, reports, sent, clock):
        """Successes came late, so few failures seemed to be most."""
        for _ in range(2):
            reports.record(TARGET, failed=False)
        clock.advance(0.5)
        reports.record(TARGET, failed=True)
        assert [(m.failed, m.ended) for m in sent] == [(0, 1), (1, 2)]

    def test_outcomes_of_a_restarted_replica(self, reports, sent, clock):
        """Failures of an ended process counted against the new one."""
        reports.record(TARGET, failed=True)
        reports.record(TARGET, failed=True)
        new = fixtures.target("i-0", incarnation=2)
        reports.record(new, failed=False)
        clock.advance(1.1)
        reports.send_due()
        assert [(m.incarnation, m.failed) for m in sent] == [(1, 1), (2, 0)]
