"""What a forwarding daemon counts, by team."""

from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import table
from topazlug.forwarding import _call
from topazlug.routing import _placement
from topazlug.telemetry import _metrics

# The platform ranks requests by a number, not by two classes.
_CLASS = table.RequestClass.interactive
_SERVER_ERROR = 500


@final
class Measures:
    """Counts requests and times of forwarded calls.

    Parameters
    ----------
    metrics : Metrics
        Where they are counted.
    clock : Clock
        Time.
    """

    def __init__(
        self, *, metrics: _metrics.Metrics, clock: _clock.Clock
    ) -> None:
        self._metrics = metrics
        self._clock = clock

    def first_byte(self, call: _call.ForwardedCall) -> None:
        """Note that a call's answer has begun."""
        self._metrics.observe_first_token(
            call.team_name, _CLASS, self._clock.monotonic() - call.started
        )

    def pause(self, call: _call.ForwardedCall, seconds: float) -> None:
        """Note the time between two parts of a stream."""
        self._metrics.observe_between_tokens(call.team_name, _CLASS, seconds)

    def sent(self, call: _call.ForwardedCall) -> None:
        """Note that a call goes to its first replica."""
        self._metrics.observe_queueing(
            call.team_name, _CLASS, self._clock.monotonic() - call.started
        )

    def retried(self, request: _placement.PlacementRequest) -> None:
        """Note that another replica is tried."""
        self._metrics.count_retry(request.team, _CLASS)

    def answered(self, call: _call.ForwardedCall, status: int) -> None:
        """Note a whole answer of a replica."""
        code = None
        if status >= _SERVER_ERROR:
            code = _errors.Code.TARGET_FAILED
        self._metrics.count_request(
            call.team_name, _CLASS, code, _errors.Outcome.RAN
        )
        self._metrics.observe_request_duration(
            call.team_name, _CLASS, self._clock.monotonic() - call.started
        )

    def broke(
        self, call: _call.ForwardedCall, error: _errors.RequestError
    ) -> None:
        """Note a stream that was cut off."""
        self._metrics.count_request(
            call.team_name, _CLASS, error.code, error.outcome
        )

    def refused(
        self, team: _ids.TeamName, error: _errors.TopazlugError
    ) -> None:
        """Note a call that got no answer of a replica."""
        outcome = _errors.Outcome.UNKNOWN
        if isinstance(error, _errors.RequestError):
            outcome = error.outcome
        self._metrics.count_request(team, _CLASS, error.code, outcome)
        if outcome is _errors.Outcome.NOT_RUN:
            self._metrics.count_rejection(team, _CLASS, error.code)
