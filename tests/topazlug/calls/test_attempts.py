"""Tests of retries, and of a request's outcome after several attempts."""

import pytest

from tests.topazlug import routing_fixtures as fixtures
from topazlug import _clock
from topazlug import _errors
from topazlug.calls import _attempts
from topazlug.calls import _retry_budget
from topazlug.targets import _target_client

NOT_RUN = _errors.Outcome.NOT_RUN
UNKNOWN = _errors.Outcome.UNKNOWN


def rejected():
    return _errors.TargetRefused("the target refused", retry_after=1.0)


def broken():
    return _errors.TargetTruncated("broke", outcome=UNKNOWN)


def connect_failed():
    return _target_client.ConnectFailed("no connection")


class Runner:
    """Runs attempts that fail in a given order, then succeed."""

    def __init__(self, replicas=6, ratio=1.0):
        self.entry = fixtures.Entry(
            "d1",
            targets=[fixtures.target(f"r{n}") for n in range(replicas)],
            daemons=["d1"],
            clock=_clock.SystemClock(),
            links=fixtures.NoLinks(),
        )
        self.budget = _retry_budget.RetryBudget(ratio=ratio)
        self.replicas = []
        self.retried = []

    def run(self, *failures, repeatable):
        remaining = list(failures)

        def attempt(placement):
            self.replicas.append(placement.target.replica)
            if remaining:
                raise remaining.pop(0)
            self.entry.admission.release(placement)
            return "answer"

        attempts = _attempts.Attempts(
            admission=self.entry.admission,
            targets=self.entry.targets,
            budget=self.budget,
            clock=_clock.SystemClock(),
            count_retry=self.retried.append,
        )
        request = fixtures.placement_request(deadline=1e12)
        try:
            return attempts.run(request, attempt, repeatable=repeatable)
        finally:
            assert not self.entry.admission.held_placements.placement_by_ask
            assert len(set(self.replicas)) == len(self.replicas)


class TestRun:
    @pytest.mark.parametrize("repeatable", [True, False])
    @pytest.mark.parametrize("failure", [rejected, connect_failed])
    def test_request_that_did_not_run_is_repeated(self, failure, repeatable):
        runner = Runner()
        assert runner.run(failure(), repeatable=repeatable) == "answer"
        assert len(runner.replicas) == 2
        assert len(runner.retried) == 1

    def test_unknown_outcome_is_repeated_only_if_idempotent(self):
        assert Runner().run(broken(), repeatable=True) == "answer"
        runner = Runner()
        with pytest.raises(_errors.TargetTruncated):
            runner.run(broken(), repeatable=False)
        assert len(runner.replicas) == 1
        assert not runner.retried

    @pytest.mark.parametrize(
        "failures, outcome",
        [
            ([rejected, rejected, rejected, rejected], NOT_RUN),
            ([connect_failed, rejected, connect_failed, rejected], NOT_RUN),
            ([broken, rejected, rejected, rejected], UNKNOWN),
            ([rejected, broken, rejected, connect_failed], UNKNOWN),
        ],
    )
    def test_one_unknown_attempt_makes_the_outcome_unknown(
        self, failures, outcome
    ):
        """The outcome must not be "not run" if one attempt may have run.

        One attempt broke and its retries were rejected. Only the last failure
        determined the outcome.
        """
        made = [failure() for failure in failures]
        with pytest.raises(_errors.RequestError) as caught:
            Runner().run(*made, repeatable=True)
        assert caught.value.outcome is outcome

    @pytest.mark.parametrize("first", [broken, rejected, connect_failed])
    def test_retry_without_a_replica_raises_the_earlier_failure(self, first):
        failure = first()
        with pytest.raises(_errors.RequestError) as caught:
            Runner(replicas=1).run(failure, repeatable=True)
        if isinstance(failure, _errors.RequestError):
            assert caught.value is failure
        else:
            assert caught.value.code is _errors.Code.NO_TARGET

    def test_no_retry_after_the_deadline(self):
        runner = Runner()
        late = _errors.DeadlineExceeded("late", outcome=UNKNOWN)
        with pytest.raises(_errors.DeadlineExceeded):
            runner.run(late, repeatable=True)
        assert len(runner.replicas) == 1

    def test_retries_stop_with_the_budget(self):
        runner = Runner(ratio=0.0)
        for _ in range(3):
            runner.replicas.clear()
            runner.run(broken(), repeatable=True)
        runner.replicas.clear()
        with pytest.raises(_errors.TargetTruncated):
            runner.run(broken(), repeatable=True)

    def test_internal_error_releases_the_placement(self):
        with pytest.raises(ZeroDivisionError):
            Runner().run(ZeroDivisionError(), repeatable=True)

    def test_unreachable_target_is_avoided(self):
        runner = Runner()
        runner.run(connect_failed(), repeatable=False)
        assert not runner.entry.targets.is_usable(runner.replicas[0])
