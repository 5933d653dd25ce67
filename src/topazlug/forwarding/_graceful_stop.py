"""A planned stop, which cuts off nothing that is in progress."""

from collections.abc import Callable
from typing import final

from topazlug import _clock
from topazlug.callers import _caller_server

# A balancer asks each second and takes a daemon out after two misses; until
# then new callers come, and a closed listener would reset them.
_READINESS_PROPAGATION_SECONDS = 2.6
# Time before the platform's own limit at which a stop ends all the same.
_STOP_MARGIN_SECONDS = 0.4
_IDLE_SECONDS = 0.3
_POLL_SECONDS = 0.05


@final
class GracefulStop:
    """Ends a daemon's listener when its last request has ended.

    The daemon says that it is not ready and still serves whoever comes,
    until the balancer sends nobody any more; each answer closes its
    connection. When all requests have ended it goes.

    Parameters
    ----------
    callers : CallersServer
        Its listener.
    in_progress : callable
        Gives the requests that were read and not answered whole.
    clock : Clock
        Time.
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
        """Stop within so many seconds, whatever is in progress then."""
        end = self._clock.monotonic() + seconds - _STOP_MARGIN_SECONDS
        self._callers.stopping = True
        self._clock.sleep(_READINESS_PROPAGATION_SECONDS)
        self._callers.stop_accepting()
        while accepted := self._callers.do_read():
            self._callers.do_handle(*accepted)
        self._callers.close()
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
