"""Which requests a stopping daemon still sends to replicas."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug.forwarding import _answer_durations
from topazlug.forwarding import _open_requests
from topazlug.forwarding import _stop_admission

KIND = _answer_durations.AnswerKind("plan", fixtures.GROUP, 0)
STOP = _stop_admission.StopSchedule(unlisted_at=2.6, ends_at=7.6)
SECONDS = 2.0


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def durations():
    made = _answer_durations.AnswerDurations()
    made.record(KIND, until_begin=SECONDS, whole=SECONDS)
    return made


@pytest.fixture
def admission(durations, clock):
    return _stop_admission.StopAdmission(durations=durations, clock=clock)


@pytest.fixture
def admission_of_new_daemon(clock):
    """Return one that knows no durations."""
    return _stop_admission.StopAdmission(
        durations=_answer_durations.AnswerDurations(), clock=clock
    )


def request(**changes):
    return _open_requests.OpenRequest(
        **{"kind": KIND, "deadline": 60.0, **changes}
    )


class TestCheck:
    def test_all_are_sent_while_the_daemon_runs(self, admission):
        admission.check(request())

    def test_request_that_can_end_is_sent(self, admission, clock):
        admission.begin(STOP)
        clock.advance(5.0)
        admission.check(request())

    def test_request_that_cannot_end_is_refused(self, admission, clock):
        admission.begin(STOP)
        clock.advance(5.5)
        with pytest.raises(_errors.DaemonStopping) as raised:
            admission.check(request())
        assert raised.value.outcome is _errors.Outcome.NOT_RUN
        assert raised.value.status == 503

    def test_deadline_before_the_end(self, admission, clock):
        """It ends by its deadline, also if others take longer."""
        admission.begin(STOP)
        clock.advance(7.0)
        admission.check(request(deadline=7.5))

    @pytest.mark.parametrize("now", [0.0, 2.0])
    def test_unknown_duration_is_a_part_of_the_time(
        self, admission_of_new_daemon, clock, now
    ):
        """A daemon refused the first request of each kind for nothing."""
        admission = admission_of_new_daemon
        admission.begin(STOP)
        clock.advance(now)
        left = STOP.ends_at - now
        can_end = request(received_at=now, deadline=now + left / 0.61)
        admission.check(can_end)
        with pytest.raises(_errors.DaemonStopping):
            admission.check(
                request(received_at=now, deadline=now + left / 0.59)
            )

    def test_unknown_duration_of_a_request_that_waits(
        self, admission_of_new_daemon, clock
    ):
        """Its answer takes no less time because it has waited."""
        admission_of_new_daemon.begin(STOP)
        waiting = request(received_at=0.0, deadline=10.0)
        admission_of_new_daemon.check(waiting)
        clock.advance(1.7)
        with pytest.raises(_errors.DaemonStopping):
            admission_of_new_daemon.check(waiting)

    def test_rest_of_an_answer(self, admission, clock):
        """A stream that broke near its end was not resumed."""
        admission.begin(STOP)
        clock.advance(6.5)
        assert not admission.can_end(request())
        assert admission.can_end(request(), elapsed=1.5)


class TestRetryAfter:
    @pytest.mark.parametrize("now", [0.0, 1.0, 2.0])
    def test_lasts_until_the_daemon_is_unlisted(self, admission, clock, now):
        """Callers were sent to the same daemon, and refused again."""
        admission.begin(STOP)
        clock.advance(now)
        assert now + admission.refusal(request()).retry_after >= 2.6

    def test_is_short_afterwards(self, admission, clock):
        admission.begin(STOP)
        clock.advance(3.0)
        assert 0 < admission.refusal(request()).retry_after <= 0.1

    def test_is_none_for_a_request_that_may_have_run(self, admission):
        """A caller would have repeated a request that may run only once."""
        admission.begin(STOP)
        sent = request(outcome=_errors.Outcome.UNKNOWN)
        refusal = admission.refusal(sent)
        assert refusal.retry_after is None
        assert refusal.outcome is _errors.Outcome.UNKNOWN


class TestOpenRequest:
    @pytest.mark.parametrize(
        ("error", "outcome"),
        [
            (_errors.TargetRefused("full"), _errors.Outcome.NOT_RUN),
            (
                _errors.TargetFailed("reset", outcome=_errors.Outcome.UNKNOWN),
                _errors.Outcome.UNKNOWN,
            ),
            (KeyError("caller left"), _errors.Outcome.UNKNOWN),
        ],
    )
    def test_outcome_after_a_failure(self, error, outcome):
        """A refusal said "not run" of a request that may have run."""
        sent = request()
        with pytest.raises(type(error)), sent.being_sent():
            assert sent.outcome is _errors.Outcome.UNKNOWN
            raise error
        assert sent.outcome is outcome

    def test_outcome_stays_unknown(self):
        sent = request(outcome=_errors.Outcome.UNKNOWN)
        with pytest.raises(_errors.TargetRefused), sent.being_sent():
            raise _errors.TargetRefused("full")
        assert sent.outcome is _errors.Outcome.UNKNOWN
