"""Which availability zones this daemon has a way to.

Load pattern: two zones can't reach each other, or one is dark, and a third of
all replicas takes no connection. Each of them costs a request the whole time
that a connection may take, again and again; found out one by one, for seconds
every third request comes late. So silence of two replicas of a zone, with no
answer of any other between, is taken for that of the zone.
"""

from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _target

# Replicas of one zone whose silence is the zone's.
_SILENT_REPLICAS = 2
# A zone is left alone for so long, then tried with the next requests; one more
# silence leaves it alone for twice as long.
_FIRST_SECONDS = 1.0
_LONGEST_SECONDS = 4.0


class _Zone:
    def __init__(self) -> None:
        self.silent: set[_ids.ReplicaId] = set()
        self.seconds = 0.0
        self.closed_until = 0.0


@final
class ZoneReachability:
    """Zones that take connections of this daemon.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._zone_by_name: dict[str, _Zone] = {}

    def note_answer(self, target: _target.Target) -> None:
        """Note that a replica has answered."""
        self._zone_by_name.pop(target.zone, None)

    def note_timeout(self, target: _target.Target) -> bool:
        """Note that a replica did not take a connection, nor refuse it.

        Returns
        -------
        bool
            Whether its zone is left alone from now on.
        """
        zone = self._zone_by_name.setdefault(target.zone, _Zone())
        now = self._clock.monotonic()
        if now < zone.closed_until:
            return False
        zone.silent.add(target.replica)
        if not zone.seconds and len(zone.silent) < _SILENT_REPLICAS:
            return False
        zone.seconds = min(
            _LONGEST_SECONDS, max(_FIRST_SECONDS, 2 * zone.seconds)
        )
        zone.closed_until = now + zone.seconds
        return True

    def is_reachable(self, name: str) -> bool:
        """Say whether a zone may be tried."""
        zone = self._zone_by_name.get(name)
        return zone is None or self._clock.monotonic() >= zone.closed_until
