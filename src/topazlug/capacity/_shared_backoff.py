"""How long a replica wants no request of anybody, as several daemons heard.

Load pattern: a replica turns requests away for seconds and asks each daemon
that it answers for a backoff. A daemon sees a sliver of the requests, so each
of 70 would have one turned away before it knows, again after each backoff.

What one daemon alone was asked for may be about that daemon. What several were
asked for is about the replica, unless it serves most of what it gets: one that
is a little over its limit turns a few away, and would idle if all kept off.
"""

from typing import final

from topazlug import _ids

# Daemons that must be in a backoff at the same time.
_LEAST_DAEMONS = 2
# Part of the requests let in since the first of these backoffs that must have
# been turned away.
_LEAST_PART = 0.5


@final
class SharedBackoff:
    """Backoffs that a replica has asked daemons for."""

    def __init__(self) -> None:
        self._until_by_daemon: dict[_ids.DaemonId, float] = {}
        self._let_in = 0
        self._turned_away = 0

    def note(
        self, daemon: _ids.DaemonId, *, seconds: float, now: float
    ) -> None:
        """Note that a daemon was asked for one.

        Parameters
        ----------
        daemon : DaemonId
            Whom the replica has turned away.
        seconds : float
            For how long it wants nothing of it.
        now : float
            Monotonic seconds.
        """
        self._forget_ended(now)
        if not self._until_by_daemon:
            # The one that was turned away had been let in before.
            self._let_in = 1
            self._turned_away = 0
        self._turned_away += 1
        self._until_by_daemon[daemon] = now + seconds

    def _forget_ended(self, now: float) -> None:
        self._until_by_daemon = {
            daemon: until
            for daemon, until in self._until_by_daemon.items()
            if until > now
        }

    def note_admitted(self) -> None:
        """Note that a request may go to the replica."""
        if self._until_by_daemon:
            self._let_in += 1

    def remaining(self, *, now: float) -> float:
        """Give the seconds for which nobody should send it a request."""
        if self._turned_away < _LEAST_PART * self._let_in:
            return 0.0
        ends = sorted(self._until_by_daemon.values(), reverse=True)
        if len(ends) < _LEAST_DAEMONS:
            return 0.0
        return max(0.0, ends[_LEAST_DAEMONS - 1] - now)
