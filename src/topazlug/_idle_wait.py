"""Wait for the end of the requests in progress before a daemon stops."""

from collections.abc import Callable

from topazlug import _clock

_POLL_SECONDS = 0.05
# Together one second. Polls are counted, not seconds: after a pause of the
# process the seconds have passed, but requests that arrived meanwhile have
# not been read.
_IDLE_POLLS = 20


def wait_until_idle(
    in_progress: Callable[[], int], *, seconds: float, clock: _clock.Clock
) -> None:
    """Wait until no request has been in progress for a second.

    Parameters
    ----------
    in_progress : callable
        Returns the number of requests in progress.
    seconds : float
        Maximum time to wait.
    clock : Clock
        Source of time.
    """
    deadline = clock.monotonic() + seconds
    idle_polls = 0
    while idle_polls < _IDLE_POLLS and clock.monotonic() < deadline:
        clock.sleep(_POLL_SECONDS)
        idle_polls = 0 if in_progress() else idle_polls + 1
