"""Graceful stop: finishes the requests in progress before the daemon ends."""

import itertools
from typing import final

from topazlug import _clock
from topazlug import _logs
from topazlug.callers import _caller_server
from topazlug.forwarding import _open_requests
from topazlug.forwarding import _stop_admission

_log = _logs.logger("daemon")
# The load balancer checks readiness each second and removes a daemon after two
# failed checks. Until then it sends new callers, whose connections would be
# reset if the listener were closed.
_READINESS_PROPAGATION_SECONDS = 2.6
# The stop ends this long before the platform's limit, even with requests in
# progress.
_STOP_MARGIN_SECONDS = 0.4
# Requests without an answer are given up this long before the end, so that
# callers are told.
_LAST_ANSWER_SECONDS = 0.1
_IDLE_SECONDS = 0.3
_POLL_SECONDS = 0.05
# Requests that are cut off and named in the log.
_MAX_LOGGED_REQUESTS = 50


@final
class GracefulStop:
    """Closes a daemon's listener and waits until its last request has ended.

    The daemon reports that it is not ready but still accepts connections
    until the load balancer has removed it. Each answer that begins closes its
    connection, and then each connection is closed once it is idle. A request
    that can't end in time is refused. The stop is complete when there has
    been no request and no connection for `_IDLE_SECONDS`.

    Parameters
    ----------
    callers : CallersServer
        The callers' listener.
    requests : OpenRequests
        Requests whose answer has not ended.
    admission : StopAdmission
        Decides which requests can end in time.
    clock : Clock
        Clock of the daemon.
    """

    def __init__(
        self,
        *,
        callers: _caller_server.CallersServer,
        requests: _open_requests.OpenRequests,
        admission: _stop_admission.StopAdmission,
        clock: _clock.Clock,
    ) -> None:
        self._callers = callers
        self._requests = requests
        self._admission = admission
        self._clock = clock

    def run(self, *, seconds: float) -> None:
        """Stop within this time, even if requests are still in progress."""
        began = self._clock.monotonic()
        schedule = _stop_admission.StopSchedule(
            unlisted_at=began + _READINESS_PROPAGATION_SECONDS,
            ends_at=began + seconds - _STOP_MARGIN_SECONDS,
        )
        self._callers.stopping = True
        self._admission.begin(schedule)
        self._wait_until_unlisted(schedule)
        self._callers.close_listener()
        self._callers.close_idle()
        if not self._wait_until_idle(schedule.ends_at - _LAST_ANSWER_SECONDS):
            self._requests.interrupt_unanswered()
            self._wait_until_idle(schedule.ends_at)
        self._log_end(began)

    def _wait_until_unlisted(
        self, schedule: _stop_admission.StopSchedule
    ) -> None:
        while (seconds := schedule.unlisted_at - self._clock.monotonic()) > 0:
            self._refuse_late()
            self._clock.sleep(min(_POLL_SECONDS, seconds))

    def _wait_until_idle(self, end: float) -> bool:
        """Return whether the daemon was idle for a while before this time."""
        idle_since: float | None = None
        while self._clock.monotonic() < end:
            now = self._clock.monotonic()
            self._refuse_late()
            self._callers.close_idle()
            if len(self._requests) or self._callers.connections:
                idle_since = None
            elif idle_since is None:
                idle_since = now
            elif now - idle_since >= _IDLE_SECONDS:
                return True
            self._clock.sleep(_POLL_SECONDS)
        return False

    def _refuse_late(self) -> None:
        """Refuse the requests that can't end any more if sent only now."""
        for request in self._requests:
            if request.is_unsent and not self._admission.can_end(request):
                self._requests.interrupt_unsent(request)

    def _log_end(self, began: float) -> None:
        """Log the end of the stop, and each request that it cuts off."""
        now = self._clock.monotonic()
        for request in itertools.islice(self._requests, _MAX_LOGGED_REQUESTS):
            _log.warning(
                "cut off by the end of the daemon",
                request_id=request.attempt,
                received_after=round(request.received_at - began, 3),
                age=round(now - request.received_at, 3),
            )
        _log.info(
            "stopped after {seconds:.3f} s, {n} requests cut off",
            seconds=round(now - began, 3),
            n=len(self._requests),
        )
