"""Requests that wait while the daemon stops."""

import types

import gevent
from gevent import event
import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _clock
from topazlug.forwarding import _answer_durations
from topazlug.forwarding import _graceful_stop
from topazlug.forwarding import _open_requests
from topazlug.forwarding import _stop_admission

CLOCK = _clock.SystemClock()
KIND = _answer_durations.AnswerKind("plan", fixtures.GROUP, 0)
PHASE = _open_requests.Phase
# What the stop is given, and when its end begins.
STOP_SECONDS = 1.4
END_SECONDS = 0.9
# What an answer is expected to take.
ANSWER_SECONDS = 0.6


class Stop:
    """A stop beside requests that wait without an end."""

    def __init__(self):
        durations = _answer_durations.AnswerDurations()
        durations.record(
            KIND, until_begin=ANSWER_SECONDS / 1.2, whole=ANSWER_SECONDS / 1.2
        )
        self.requests = _open_requests.OpenRequests(clock=CLOCK)
        self._stop = _graceful_stop.GracefulStop(
            callers=types.SimpleNamespace(
                close_listener=lambda: None,
                close_idle=lambda: None,
                connections=0,
            ),
            requests=self.requests,
            admission=_stop_admission.StopAdmission(
                durations=durations, clock=CLOCK
            ),
            clock=CLOCK,
        )
        self.interrupted_after = {}
        self._began = 0.0

    def _serve(self, phase):
        request = self.requests.begin(is_delegated=False)
        request.kind = KIND
        request.deadline = CLOCK.monotonic() + 60.0
        request.phase = phase
        try:
            event.Event().wait()
        except _open_requests.Interrupted:
            self.interrupted_after[phase] = CLOCK.monotonic() - self._began
        finally:
            self.requests.end(request)

    def run(self, *phases):
        """Stop beside one request in each of these phases."""
        waiting = [gevent.spawn(self._serve, phase) for phase in phases]
        gevent.sleep(0)
        self._began = CLOCK.monotonic()
        with gevent.Timeout(10):
            self._stop.run(seconds=STOP_SECONDS)
        assert CLOCK.monotonic() - self._began < STOP_SECONDS
        gevent.killall(waiting)


@pytest.fixture
def stop(monkeypatch):
    monkeypatch.setattr(_graceful_stop, "_READINESS_PROPAGATION_SECONDS", 0.1)
    return Stop()


class TestWaitingRequests:
    @pytest.mark.parametrize("phase", [PHASE.READING, PHASE.WAITING])
    def test_are_refused_once_they_cannot_end(self, stop, phase):
        """They waited until the daemon ended, which cut them off."""
        stop.run(phase)
        after = stop.interrupted_after[phase]
        latest = END_SECONDS + 0.1 - ANSWER_SECONDS
        assert latest <= after < latest + 0.2

    def test_sent_ones_are_waited_for(self, stop):
        """A request that is running must have all of the time."""
        stop.run(PHASE.SENT)
        assert stop.interrupted_after[PHASE.SENT] >= END_SECONDS

    def test_answer_that_has_begun_is_not_interrupted(self, stop):
        """An error must not follow the beginning of an answer."""
        stop.run(PHASE.ANSWERING)
        assert not stop.interrupted_after

    def test_request_sent_meanwhile_is_not_refused(self, stop):
        """It was refused as "not run" while a replica ran it."""
        request = stop.requests.begin(is_delegated=False)
        request.greenlet = types.SimpleNamespace(
            throw=lambda error: pytest.fail("interrupted")
        )
        stop.requests.interrupt_unsent(request)
        request.phase = PHASE.SENT
        gevent.sleep(0.01)
        stop.requests.end(request)
