"""Availability zones that this daemon can connect to.

When a zone is down, or the network between two zones is, a third of all
replicas accept no connection, and each request sent to one of them waits for
the whole connect timeout. If these replicas were detected one at a time, every
third request would be late for seconds. So two replicas of a zone that time
out, with no answer from the zone in between, make the whole zone unreachable.
"""

from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _target

# Replicas of a zone that must time out before the zone counts as unreachable.
_MIN_TIMED_OUT_REPLICAS = 2
# After its backoff a zone is tried with the next requests. One more timeout
# doubles the backoff.
_MIN_BACKOFF_SECONDS = 1.0
_MAX_BACKOFF_SECONDS = 4.0


class _Zone:
    def __init__(self) -> None:
        self.timed_out: set[_ids.ReplicaId] = set()
        self.backoff = 0.0
        self.unreachable_until = 0.0


@final
class ZoneReachability:
    """Tracks which zones accept connections from this daemon.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._zone_by_name: dict[str, _Zone] = {}

    def record_answer(self, target: _target.Target) -> None:
        """Record that a replica has answered: its zone is reachable."""
        self._zone_by_name.pop(target.zone, None)

    def record_timeout(self, target: _target.Target) -> bool:
        """Record that a connection to a replica timed out.

        Returns
        -------
        bool
            Whether this made its zone unreachable.
        """
        zone = self._zone_by_name.setdefault(target.zone, _Zone())
        now = self._clock.monotonic()
        if now < zone.unreachable_until:
            return False
        zone.timed_out.add(target.replica)
        if not zone.backoff and len(zone.timed_out) < _MIN_TIMED_OUT_REPLICAS:
            return False
        zone.backoff = min(
            _MAX_BACKOFF_SECONDS, max(_MIN_BACKOFF_SECONDS, 2 * zone.backoff)
        )
        zone.unreachable_until = now + zone.backoff
        return True

    def is_reachable(self, name: str) -> bool:
        """Return whether requests may be sent to a zone."""
        zone = self._zone_by_name.get(name)
        return (
            zone is None or self._clock.monotonic() >= zone.unreachable_until
        )
