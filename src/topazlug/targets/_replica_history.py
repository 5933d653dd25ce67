"""Which replica processes ran before the current list of replicas.

A process that has just joined the list holds no context. One that was listed
before, or that is on the first list that a daemon reads, may hold many.
"""

from collections.abc import Mapping
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _targets

# A replica may leave the list while the network is cut and come back with its
# contexts. After this time they are too old to be used.
_MAX_ABSENCE_SECONDS = 60.0


class _Seen(msgspec.Struct, frozen=True):
    incarnation: int
    at: float


@final
class ReplicaHistory:
    """Replica processes on the lists read so far.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._seen_by_replica: dict[_ids.ReplicaId, _Seen] = {}
        self._last_list: Mapping[_ids.ReplicaId, _targets.Target] = {}

    def ran_before(self, target: _targets.Target) -> bool:
        """Return whether a process ran before the current list was read.

        All processes on the first list count as running before it.
        """
        if not self._last_list:
            return True
        seen = self._seen_by_replica.get(target.replica)
        return seen is not None and seen.incarnation == target.incarnation

    def record_list(
        self, target_by_replica: Mapping[_ids.ReplicaId, _targets.Target]
    ) -> None:
        """Record the current list, after what is new on it was handled.

        Parameters
        ----------
        target_by_replica : mapping
            The list; a new object for each list.
        """
        if target_by_replica is self._last_list or not target_by_replica:
            return
        now = self._clock.monotonic()
        for replica in self._last_list:
            seen = self._seen_by_replica[replica]
            self._seen_by_replica[replica] = _Seen(seen.incarnation, now)
        for replica, target in target_by_replica.items():
            self._seen_by_replica[replica] = _Seen(target.incarnation, now)
        for replica, seen in list(self._seen_by_replica.items()):
            if now - seen.at > _MAX_ABSENCE_SECONDS:
                del self._seen_by_replica[replica]
        self._last_list = target_by_replica
