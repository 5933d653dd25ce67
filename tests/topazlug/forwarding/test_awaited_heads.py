"""Requests that wait for the head of an answer."""

import types

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug.forwarding import _awaited_heads
from topazlug.forwarding import _failures
from topazlug.placement import _replica_view

TARGET = fixtures.target("i-0")


class Rig:
    def __init__(self):
        self.clock = claim_fakes.FakeClock()
        self.views = _replica_view.ReplicaViews(clock=self.clock)
        self.late = []
        self.is_cold = False
        self.is_reported = True
        self.is_cut_off = False
        self.heads = _awaited_heads.AwaitedHeads(
            views=self.views,
            report_late=self.report,
            is_cold=lambda target: self.is_cold,
            is_cut_off=lambda target, since: self.is_cut_off,
            clock=self.clock,
        )
        self.placement = types.SimpleNamespace(
            target=TARGET,
            failed=False,
            is_outcome_unknown=False,
            request=types.SimpleNamespace(latency_objective=0.3),
        )

    def report(self, placement):
        self.late.append(placement)
        return self.is_reported

    def wait(self, seconds):
        with self.heads.waiting(self.placement):
            self.clock.advance(seconds)
            self.heads.check()
            self.heads.check()


@pytest.fixture
def rig():
    return Rig()


class TestAwaitedHeads:
    def test_request_without_an_answer_is_reported_once(self, rig):
        """Requests to a replica that hangs failed only at their deadline."""
        rig.views.of(TARGET.replica).record_latency(0.1)
        rig.wait(0.61)
        assert rig.late == [rig.placement]

    def test_late_answer_of_a_cut_off_daemon_is_not_reported(self, rig):
        """Daemons that reached nothing had sound replicas ejected for all."""
        rig.is_cut_off = True
        rig.views.of(TARGET.replica).record_latency(0.1)
        rig.wait(0.61)
        assert not rig.late

    def test_answer_may_take_twice_the_objective(self, rig):
        rig.views.of(TARGET.replica).record_latency(0.1)
        rig.wait(0.59)
        assert not rig.late

    @pytest.mark.parametrize("is_cold", [False, True])
    def test_replica_that_has_just_started(self, rig, is_cold):
        """The first requests to a healthy replica were reported as failed."""
        if is_cold:
            rig.views.of(TARGET.replica).record_latency(0.1)
            rig.is_cold = True
        rig.wait(1.19)
        assert not rig.late
        rig.wait(1.21)
        assert rig.late

    def test_replica_that_reports_to_be_slow(self, rig):
        view = rig.views.of(TARGET.replica)
        view.record_latency(0.1)
        for _ in range(30):
            view.record_slowness(2.5)
            rig.clock.advance(0.1)
        rig.wait(1.4)
        assert not rig.late
        view.record_slowness(2.5)
        rig.wait(1.6)
        assert rig.late

    @pytest.mark.parametrize("is_reported", [False, True])
    def test_log_line_only_with_a_report(self, rig, monkeypatch, is_reported):
        """Logs changed in deployments without the mechanism."""
        lines = []
        monkeypatch.setattr(
            _awaited_heads._log,
            "info",
            lambda message, **fields: lines.append(message),
        )
        rig.is_reported = is_reported
        rig.wait(1.21)
        assert len(lines) == is_reported

    def test_usual_latency_counts(self, rig):
        """A service that is slow as a whole was reported as failing."""
        rig.views.of(TARGET.replica).record_latency(0.5)
        rig.wait(1.9)
        assert not rig.late
        rig.wait(2.1)
        assert rig.late

    def test_answered_request_is_not_reported(self, rig):
        rig.wait(0.1)
        rig.clock.advance(5.0)
        rig.heads.check()
        assert not rig.late

    def test_request_without_an_objective_is_not_watched(self, rig):
        rig.placement.request.latency_objective = 0.0
        rig.wait(60.0)
        assert not rig.late


class TestFailures:
    @pytest.mark.parametrize(
        ("error", "failed"),
        [
            (_errors.TargetFailed("reset"), True),
            (_errors.TargetTruncated("stream broke"), True),
            (_errors.TargetSilent("no answer"), True),
            (_errors.TargetRefused("not run"), False),
            (_errors.DeadlineExceeded("too late"), False),
        ],
    )
    def test_errors_that_are_the_replicas(self, rig, error, failed):
        """Rejections and short deadlines made replicas seem to fail."""
        _failures.record(rig.placement, error)
        assert rig.placement.failed is failed
        assert rig.placement.is_outcome_unknown is not failed
