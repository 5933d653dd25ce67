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
        self.heads = _awaited_heads.AwaitedHeads(
            views=self.views, report_late=self.late.append, clock=self.clock
        )
        self.placement = types.SimpleNamespace(
            target=TARGET,
            failed=False,
            request=types.SimpleNamespace(latency_objective=0.3),
        )

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
        rig.wait(0.61)
        assert rig.late == [rig.placement]

    def test_answer_may_take_twice_the_objective(self, rig):
        rig.wait(0.59)
        assert not rig.late

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
