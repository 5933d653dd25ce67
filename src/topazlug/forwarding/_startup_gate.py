"""Delays requests until a starting daemon has its table and replicas."""

from typing import final

from gevent import event

from topazlug import _clock

# A starting daemon has its table and its list of replicas 20 to 30 ms after it
# begins to listen. Ten times that covers a busy instance. After that time
# requests are answered immediately, also if the store is unavailable.
_STARTUP_SECONDS = 0.3


@final
class StartupGate:
    """Delays requests while the daemon starts.

    After all daemons were killed, callers reconnect before the daemons have
    their first table. If their requests were rejected, the callers would
    retry half a second later, past the latency objective of most routes, and
    would have used their one retry.

    Parameters
    ----------
    clock : Clock
        Clock of the daemon.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._opens_at = clock.monotonic() + _STARTUP_SECONDS
        self._opened = event.Event()

    def open(self) -> None:
        """Stop delaying requests."""
        self._opened.set()

    def wait(self) -> None:
        """Wait until `open` is called or the start-up time has passed."""
        remaining_seconds = self._opens_at - self._clock.monotonic()
        if remaining_seconds > 0:
            self._opened.wait(remaining_seconds)
