"""Wait for the end of the requests in progress before a daemon stops."""

from collections.abc import Callable
import math

from topazlug import _clock

_POLL_SECONDS = 0.05
_IDLE_SECONDS = 1.0


def wait_until_idle(
    in_progress: Callable[[], int],
    *,
    seconds: float,
    clock: _clock.Clock,
    idle_seconds: float = _IDLE_SECONDS,
) -> None:
    """Wait until no request has been in progress for a while.

    Parameters
    ----------
    in_progress : callable
        Returns the number of requests in progress.
    seconds : float
        Maximum time to wait.
    clock : Clock
        Source of time.
    idle_seconds : float
        Seconds without a request after which the wait ends.
    """
    # Polls are counted, not seconds: after a pause of the process the seconds
    # have passed, but requests that arrived meanwhile have not been read.
    max_idle_polls = math.ceil(idle_seconds / _POLL_SECONDS)
    deadline = clock.monotonic() + seconds
    idle_polls = 0
    while idle_polls < max_idle_polls and clock.monotonic() < deadline:
        clock.sleep(_POLL_SECONDS)
        idle_polls = 0 if in_progress() else idle_polls + 1
