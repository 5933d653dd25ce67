"""Graceful stop: finishes the requests in progress before the daemon ends."""

from collections.abc import Callable
from typing import final

from topazlug import _clock
from topazlug.callers import _caller_server

# The load balancer checks readiness each second and removes a daemon after two
# failed checks. Until then it sends new callers, whose connections would be
# reset if the listener were closed.
_READINESS_PROPAGATION_SECONDS = 2.6
# The stop ends this long before the platform's limit, even with requests in
# progress.
_STOP_MARGIN_SECONDS = 0.4
_IDLE_SECONDS = 0.3
_POLL_SECONDS = 0.05


@final
class GracefulStop:
    """Closes a daemon's listener and waits until its last request has ended.

    The daemon reports that it is not ready but still accepts connections
    until the load balancer has removed it. Each answer closes its
    connection. The stop is complete when there has been no request and no
    connection for `_IDLE_SECONDS`.

    Parameters
    ----------
    callers : CallersServer
        The callers' listener.
    in_progress : callable
        Returns the number of requests whose answer has not ended.
    clock : Clock
        Clock of the daemon.
    """

    def __init__(
        self,
        *,
        callers: _caller_server.CallersServer,
        in_progress: Callable[[], int],
        clock: _clock.Clock,
    ) -> None:
        self._callers = callers
        self._in_progress = in_progress
        self._clock = clock

    def run(self, *, seconds: float) -> None:
        """Stop within this time, even if requests are still in progress."""
        end = self._clock.monotonic() + seconds - _STOP_MARGIN_SECONDS
        self._callers.stopping = True
        self._clock.sleep(_READINESS_PROPAGATION_SECONDS)
        self._callers.close_listener()
        self._callers.close_idle()
        self._wait_until_idle(end)

    def _wait_until_idle(self, end: float) -> None:
        idle_since: float | None = None
        while self._clock.monotonic() < end:
            now = self._clock.monotonic()
            self._callers.close_idle()
            if self._in_progress() or self._callers.connections:
                idle_since = None
            elif idle_since is None:
                idle_since = now
            elif now - idle_since >= _IDLE_SECONDS:
                return
            self._clock.sleep(_POLL_SECONDS)
