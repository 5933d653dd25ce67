"""Metrics of forwarded requests, by team."""

from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import table
from topazlug.forwarding import _answer_durations
from topazlug.forwarding import _call
from topazlug.routing import _placement
from topazlug.telemetry import _guard_refusals
from topazlug.telemetry import _metrics

# The platform has numeric priorities instead of the two request classes, but
# the metrics are labelled with a class.
_CLASS = table.RequestClass.interactive
_SERVER_ERROR = 500


@final
class CallMetrics:
    """Records counts and durations of forwarded calls.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    durations : AnswerDurations
        Learns how long answers take.
    clock : Clock
        Clock of the daemon.
    """

    def __init__(
        self,
        *,
        metrics: _metrics.Metrics,
        durations: _answer_durations.AnswerDurations,
        clock: _clock.Clock,
    ) -> None:
        self._metrics = metrics
        self._durations = durations
        self._clock = clock
        self._guard_refusals = _guard_refusals.GuardRefusals(
            metrics=metrics, clock=clock
        )

    def record_first_byte(self, call: _call.ForwardedCall) -> None:
        """Record the time to the first byte of a call's answer."""
        now = self._clock.monotonic()
        call.open_request.answered_at = now
        self._metrics.observe_first_token(
            call.team_name, _CLASS, now - call.started_at
        )

    def record_pause(self, call: _call.ForwardedCall, seconds: float) -> None:
        """Record the time between two parts of a stream."""
        self._metrics.observe_between_tokens(call.team_name, _CLASS, seconds)

    def record_sent(self, call: _call.ForwardedCall) -> None:
        """Record the time until a call is sent to its first replica."""
        self._metrics.observe_queueing(
            call.team_name, _CLASS, self._clock.monotonic() - call.started_at
        )

    def record_retry(self, request: _placement.PlacementRequest) -> None:
        """Count an attempt at another replica."""
        self._metrics.count_retry(request.team, _CLASS)

    def record_answer(self, call: _call.ForwardedCall, status: int) -> None:
        """Record a complete answer of a replica."""
        code = None
        if status >= _SERVER_ERROR:
            code = _errors.Code.TARGET_FAILED
        else:
            self._record_duration(call)
        self._metrics.count_request(
            call.team_name, _CLASS, code, _errors.Outcome.RAN
        )
        self._metrics.observe_request_duration(
            call.team_name, _CLASS, self._clock.monotonic() - call.started_at
        )

    def _record_duration(self, call: _call.ForwardedCall) -> None:
        request = call.open_request
        # A caller that takes a stream up gets a part of its tokens only.
        if (
            request.kind is None
            or request.answered_at is None
            or call.takes_stream_up
        ):
            return
        self._durations.record(
            request.kind,
            until_begin=request.answered_at - call.started_at,
            whole=self._clock.monotonic() - call.started_at,
        )

    def record_broken_stream(
        self, call: _call.ForwardedCall, error: _errors.RequestError
    ) -> None:
        """Count a stream that ended early."""
        self._metrics.count_request(
            call.team_name, _CLASS, error.code, error.outcome
        )

    def record_failure(
        self, team: _ids.TeamName, error: _errors.TopazlugError
    ) -> None:
        """Count a call that failed without an answer of a replica."""
        outcome = _errors.Outcome.UNKNOWN
        if isinstance(error, _errors.RequestError):
            outcome = error.outcome
            self._guard_refusals.record(error)
        self._metrics.count_request(team, _CLASS, error.code, outcome)
        if outcome is _errors.Outcome.NOT_RUN:
            self._metrics.count_rejection(team, _CLASS, error.code)
