"""Decides which requests a stopping daemon still sends to replicas."""

from typing import NamedTuple
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug.forwarding import _answer_durations
from topazlug.forwarding import _open_requests

# Callers that come back after this time find the connection closed, and the
# load balancer sends them to another daemon.
_MIN_RETRY_AFTER_SECONDS = 0.05
# Part of the time until its deadline that an answer may take of which nothing
# is known. Callers wait for longer than answers usually take.
_UNKNOWN_PART = 0.6


class StopSchedule(NamedTuple):
    """Moments of a graceful stop, in monotonic seconds.

    Attributes
    ----------
    unlisted_at : float
        The load balancer sends no more callers.
    ends_at : float
        The daemon ends, even if requests are in progress.
    """

    unlisted_at: float
    ends_at: float


@final
class StopAdmission:
    """Decides whether an answer can end before a stopping daemon does.

    A caller whose answer is cut off has lost its request, and may not repeat
    it unless the request is idempotent. One that is refused at once can send
    it to another daemon.

    Parameters
    ----------
    durations : AnswerDurations
        Expects how long answers take.
    clock : Clock
        Clock of the daemon.
    """

    def __init__(
        self,
        *,
        durations: _answer_durations.AnswerDurations,
        clock: _clock.Clock,
    ) -> None:
        self._durations = durations
        self._clock = clock
        self._schedule: StopSchedule | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the stop has begun."""
        return self._schedule is not None

    def begin(self, schedule: StopSchedule) -> None:
        """Refuse requests from now on whose answers can't end in time."""
        self._schedule = schedule

    def check(self, request: _open_requests.OpenRequest) -> None:
        """Check a request before it is sent to a replica.

        Raises
        ------
        DaemonStopping
            Its answer may not end before the daemon does.
        """
        if not self.can_end(request):
            raise self.refusal(request)

    def can_end(
        self, request: _open_requests.OpenRequest, *, elapsed: float = 0.0
    ) -> bool:
        """Return whether an answer is expected to end before the daemon.

        Parameters
        ----------
        request : OpenRequest
            The request.
        elapsed : float
            Seconds of its answer that have passed.
        """
        if self._schedule is None:
            return True
        now = self._clock.monotonic()
        seconds = max(0.0, self._seconds_needed(request, now) - elapsed)
        return now + seconds <= self._schedule.ends_at

    def _seconds_needed(
        self, request: _open_requests.OpenRequest, now: float
    ) -> float:
        """Return the seconds that an answer may take, until its deadline."""
        if request.deadline is None or request.kind is None:
            return 0.0
        expected = self._durations.expected(request.kind)
        if expected is None:
            allowed = request.deadline - request.received_at
            expected = _UNKNOWN_PART * allowed
        return min(expected, max(0.0, request.deadline - now))

    def refusal(
        self, request: _open_requests.OpenRequest
    ) -> _errors.DaemonStopping:
        """Return the error for a request that is refused.

        Until the load balancer has removed this daemon, a caller that comes
        back may reach it again.
        """
        assert self._schedule is not None
        now = self._clock.monotonic()
        left = self._schedule.ends_at - now
        needed = self._seconds_needed(request, now)
        retry_after = None
        if request.outcome is _errors.Outcome.NOT_RUN:
            retry_after = max(
                _MIN_RETRY_AFTER_SECONDS, self._schedule.unlisted_at - now
            )
        return _errors.DaemonStopping(
            f"this daemon stops within {left:.1f} s, and the answer may take "
            f"{needed:.1f} s",
            outcome=request.outcome,
            retry_after=retry_after,
        )
