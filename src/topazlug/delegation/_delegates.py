"""Which daemon serves the requests of one that reaches no replica.

Load pattern: some daemons, or most of them, are cut off from all replicas for
seconds, and all their requests move to the others at once. Each daemon
chooses on its own, so the choices must spread evenly over the daemons that
still reach replicas, and must find these without a list of them.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
import random
from typing import final

from topazlug import _clock
from topazlug import _ids

# A daemon that declined or could not be reached is left out for this long,
# and for twice as long after each further time.
_MIN_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 2.0
# For how long a daemon that has served a request is preferred to others after
# one of them has declined.
_KNOWN_SECONDS = 5.0
# After this many failures in a row, over several requests, no daemon is
# tried for a while: none seems to reach a replica.
_MAX_CONSECUTIVE_FAILURES = 24


class _State:
    def __init__(self) -> None:
        self.in_progress = 0
        self.backoff = 0.0
        self.served_at = -math.inf
        self.unusable_until = 0.0


@final
class Delegates:
    """The daemons that may serve requests of this one.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._state_by_daemon: dict[_ids.DaemonId, _State] = {}
        self._failures = 0
        self._exhausted_until = 0.0

    def choose(
        self,
        daemons: Collection[_ids.DaemonId],
        *,
        excluded: Iterable[_ids.DaemonId] = (),
    ) -> _ids.DaemonId | None:
        """Return the daemon to send the next request to.

        Of two that are drawn at random, it is the one with fewer requests of
        this daemon in progress.

        Parameters
        ----------
        daemons : collection of DaemonId
            All other daemons.
        excluded : iterable of DaemonId
            Those that this request was sent to.

        Returns
        -------
        DaemonId or None
            None if none is usable now.
        """
        now = self._clock.monotonic()
        if now < self._exhausted_until:
            return None
        self._forget_former(daemons)
        left_out = set(excluded)
        usable = [
            daemon
            for daemon in daemons
            if daemon not in left_out and now >= self._unusable_until(daemon)
        ]
        if not usable:
            return None
        if left_out:
            # The next daemon should not decline too.
            usable = [one for one in usable if self._has_served(one)] or usable
        drawn = random.sample(usable, min(2, len(usable)))
        return min(drawn, key=lambda one: self._state(one).in_progress)

    def _has_served(self, daemon: _ids.DaemonId) -> bool:
        state = self._state_by_daemon.get(daemon)
        since = self._clock.monotonic() - _KNOWN_SECONDS
        return state is not None and state.served_at > since

    def _unusable_until(self, daemon: _ids.DaemonId) -> float:
        state = self._state_by_daemon.get(daemon)
        return 0.0 if state is None else state.unusable_until

    def _forget_former(self, daemons: Collection[_ids.DaemonId]) -> None:
        if len(self._state_by_daemon) <= len(daemons):
            return
        for daemon in self._state_by_daemon.keys() - set(daemons):
            if not self._state_by_daemon[daemon].in_progress:
                del self._state_by_daemon[daemon]

    def begin(self, daemon: _ids.DaemonId) -> None:
        """Record that a request is sent to a daemon."""
        self._state(daemon).in_progress += 1

    def end(self, daemon: _ids.DaemonId) -> None:
        """Record that a request sent to a daemon has ended."""
        self._state(daemon).in_progress -= 1

    def record_served(self, daemon: _ids.DaemonId) -> None:
        """Record that a daemon has answered a request."""
        state = self._state(daemon)
        state.backoff = 0.0
        state.served_at = self._clock.monotonic()
        self._failures = 0

    def record_failure(self, daemon: _ids.DaemonId) -> None:
        """Record that a daemon declined a request or was unreachable."""
        now = self._clock.monotonic()
        state = self._state(daemon)
        state.backoff = min(
            _MAX_BACKOFF_SECONDS, max(_MIN_BACKOFF_SECONDS, 2 * state.backoff)
        )
        state.unusable_until = now + state.backoff
        self._failures += 1
        if self._failures >= _MAX_CONSECUTIVE_FAILURES:
            self._failures = 0
            self._exhausted_until = now + _MIN_BACKOFF_SECONDS

    def seconds_until_usable(self, daemons: Iterable[_ids.DaemonId]) -> float:
        """Return the time until a daemon may be tried again."""
        now = self._clock.monotonic()
        ends = [self._unusable_until(daemon) for daemon in daemons]
        earliest = min(ends, default=now + _MIN_BACKOFF_SECONDS)
        return max(0.0, earliest - now, self._exhausted_until - now)

    def _state(self, daemon: _ids.DaemonId) -> _State:
        return self._state_by_daemon.setdefault(daemon, _State())
