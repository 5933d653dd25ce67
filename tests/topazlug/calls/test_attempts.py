"""What is known of a request after several attempts."""

import pytest

from tests.topazlug import routing_fixtures as fixtures
from topazlug import _clock
from topazlug import _errors
from topazlug.calls import _attempts
from topazlug.calls import _retry_budget
from topazlug.targets import _target_client

NOT_RUN = _errors.Outcome.NOT_RUN
UNKNOWN = _errors.Outcome.UNKNOWN


def refused():
    return _errors.TargetRefused("the target refused", retry_after=1.0)


def broken():
    return _errors.TargetTruncated("broke", outcome=UNKNOWN)


def unconnected():
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
        self.tried = []
        self.retried = []

    def run(self, *failures, repeatable):
        left = list(failures)

        def attempt(place):
            self.tried.append(place.target.replica)
            if left:
                raise left.pop(0)
            self.entry.admission.release(place)
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
            assert len(set(self.tried)) == len(self.tried)


class TestRun:
    @pytest.mark.parametrize("repeatable", [True, False])
    @pytest.mark.parametrize("failure", [refused, unconnected])
    def test_what_did_not_run_is_repeated(self, failure, repeatable):
        runner = Runner()
        assert runner.run(failure(), repeatable=repeatable) == "answer"
        assert len(runner.tried) == 2
        assert len(runner.retried) == 1

    def test_unknown_is_repeated_only_if_idempotent(self):
        assert Runner().run(broken(), repeatable=True) == "answer"
        runner = Runner()
        with pytest.raises(_errors.TargetTruncated):
            runner.run(broken(), repeatable=False)
        assert len(runner.tried) == 1
        assert not runner.retried

    @pytest.mark.parametrize(
        "failures, outcome",
        [
            ([refused, refused, refused, refused], NOT_RUN),
            ([unconnected, refused, unconnected, refused], NOT_RUN),
            ([broken, refused, refused, refused], UNKNOWN),
            ([refused, broken, refused, unconnected], UNKNOWN),
        ],
    )
    def test_one_unknown_attempt_makes_it_unknown(self, failures, outcome):
        """Symptom: a caller is told not-run though its request ran.

        Sequence: one attempt breaks, the repeats are refused. Cause: the
        last failure was taken for the whole.
        """
        made = [failure() for failure in failures]
        with pytest.raises(_errors.RequestError) as caught:
            Runner().run(*made, repeatable=True)
        assert caught.value.outcome is outcome

    @pytest.mark.parametrize("first", [broken, refused, unconnected])
    def test_no_place_for_a_repeat_tells_what_broke(self, first):
        failure = first()
        with pytest.raises(_errors.RequestError) as caught:
            Runner(replicas=1).run(failure, repeatable=True)
        if isinstance(failure, _errors.RequestError):
            assert caught.value is failure
        else:
            assert caught.value.code is _errors.Code.NO_TARGET

    def test_passed_deadline_is_not_repeated(self):
        runner = Runner()
        late = _errors.DeadlineExceeded("late", outcome=UNKNOWN)
        with pytest.raises(_errors.DeadlineExceeded):
            runner.run(late, repeatable=True)
        assert len(runner.tried) == 1

    def test_retries_stop_with_the_budget(self):
        runner = Runner(ratio=0.0)
        for _ in range(3):
            runner.tried.clear()
            runner.run(broken(), repeatable=True)
        runner.tried.clear()
        with pytest.raises(_errors.TargetTruncated):
            runner.run(broken(), repeatable=True)

    def test_fault_of_ours_gives_the_place_back(self):
        with pytest.raises(ZeroDivisionError):
            Runner().run(ZeroDivisionError(), repeatable=True)

    def test_unreachable_target_is_avoided(self):
        runner = Runner()
        runner.run(unconnected(), repeatable=False)
        assert not runner.entry.targets.is_usable(runner.tried[0])
