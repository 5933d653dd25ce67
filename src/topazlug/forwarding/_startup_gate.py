"""Lets the first requests wait for what a starting daemon reads first."""

from typing import final

from gevent import event

from topazlug import _clock

# A daemon that starts has its table and its replicas 20 to 30 ms after it
# listens. Ten times that covers a busy instance; whoever comes later, or finds
# the store away, is answered at once.
_STARTUP_SECONDS = 0.3


@final
class StartupGate:
    """Holds requests up while the daemon has only just started.

    After all daemons were killed, the callers' connections come back before
    the first table does. Refused, they would come back half a second later,
    past the objective of most routes; their one retry would be spent.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._closes_at = clock.monotonic() + _STARTUP_SECONDS
        self._opened = event.Event()

    def open(self) -> None:
        """Let all through from now on."""
        self._opened.set()

    def wait(self) -> None:
        """Wait until the daemon can serve, or has had its time to start."""
        remaining_seconds = self._closes_at - self._clock.monotonic()
        if remaining_seconds > 0:
            self._opened.wait(remaining_seconds)
