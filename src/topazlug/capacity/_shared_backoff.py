"""Backoffs that a replica has requested from several daemons.

Load pattern: a replica rejects requests for seconds, and each rejection
requests a backoff from the daemon that sent the request. Without sharing, each
of 70 daemons would have a request rejected before it backs off, and another
one after each backoff, as each gets only a small part of the requests.

If only one daemon is in backoff, the cause may be that daemon. If several are,
the backoff applies to all daemons, unless the replica serves most of its
requests: one that is slightly over its limit rejects a few, and would idle if
all daemons backed off.
"""

from typing import final

from topazlug import _ids

# Daemons that must be in a backoff at the same time.
_MIN_DAEMONS = 2
# Minimum fraction of the requests admitted since the first of these backoffs
# that must have been rejected.
_MIN_REJECTED_FRACTION = 0.5


@final
class SharedBackoff:
    """Backoffs that one replica has requested, by daemon."""

    def __init__(self) -> None:
        self._until_by_daemon: dict[_ids.DaemonId, float] = {}
        self._admitted = 0
        self._rejected = 0

    def record(
        self, daemon: _ids.DaemonId, *, seconds: float, now: float
    ) -> None:
        """Record that the replica requested a backoff from a daemon.

        Parameters
        ----------
        daemon : DaemonId
            The daemon whose request was rejected.
        seconds : float
            How long the daemon is to send no requests.
        now : float
            Monotonic seconds.
        """
        self._remove_expired(now)
        if not self._until_by_daemon:
            # The rejected request itself was admitted before.
            self._admitted = 1
            self._rejected = 0
        self._rejected += 1
        self._until_by_daemon[daemon] = now + seconds

    def _remove_expired(self, now: float) -> None:
        self._until_by_daemon = {
            daemon: until
            for daemon, until in self._until_by_daemon.items()
            if until > now
        }

    def record_admitted(self) -> None:
        """Count a request that was admitted to the replica."""
        if self._until_by_daemon:
            self._admitted += 1

    def remaining(self, *, now: float) -> float:
        """Return the remaining seconds of the backoff for all daemons."""
        if self._rejected < _MIN_REJECTED_FRACTION * self._admitted:
            return 0.0
        ends = sorted(self._until_by_daemon.values(), reverse=True)
        if len(ends) < _MIN_DAEMONS:
            return 0.0
        return max(0.0, ends[_MIN_DAEMONS - 1] - now)
