"""Backoffs that a replica has asked several daemons for.

Load pattern: a replica rejects requests for seconds and asks each daemon that
it answers for a backoff. A daemon sees only a small part of the requests, so
each of 70 daemons would have a request rejected before it backs off, and
another one after each backoff.

A backoff that only one daemon was asked for may concern that daemon. One that
several daemons were asked for concerns the replica, unless it serves most of
its requests: a replica that is slightly over its limit rejects a few, and
would idle if all daemons backed off.
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
    """Backoffs that a replica has asked daemons for."""

    def __init__(self) -> None:
        self._until_by_daemon: dict[_ids.DaemonId, float] = {}
        self._admitted = 0
        self._rejected = 0

    def record(
        self, daemon: _ids.DaemonId, *, seconds: float, now: float
    ) -> None:
        """Record that a daemon was asked for a backoff.

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
            # The rejected request had been admitted before.
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
        """Return the seconds for which no daemon should send it a request."""
        if self._rejected < _MIN_REJECTED_FRACTION * self._admitted:
            return 0.0
        ends = sorted(self._until_by_daemon.values(), reverse=True)
        if len(ends) < _MIN_DAEMONS:
            return 0.0
        return max(0.0, ends[_MIN_DAEMONS - 1] - now)
