"""The platform's list of replicas, kept intact across a loss of the store."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
from typing import final

import gevent

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.fleet import _copy_state
from topazlug.targets import _targets

_log = _logs.logger("replicas")
# Running replicas renew entries that expired while the store was unreachable
# within two seconds of its recovery.
_GRACE_SECONDS = 2.0
# A replica may have left while only this daemon was disconnected. The daemon
# stops sending requests to it this long before the limit by which it must
# have applied all accepted changes.
_MARGIN_SECONDS = 0.5
# Ended incarnations kept for each replica. Entries are only seconds late, and
# no replica restarts more often than this within that time.
_MAX_ENDED_INCARNATIONS = 8
# Replica ids whose first sighting is kept, including those that are gone.
_MAX_FIRST_SEEN = 20000


@final
class ReplicaList:
    """Keeps entries that expired in a store outage until they may be renewed.

    While the store is unreachable replicas can't renew their entries, and all
    may expire. When it recovers its list would then be empty, and every
    request would be rejected although all replicas are running.

    Parameters
    ----------
    on_change : callable
        Called with all targets after each change.
    unreachable : float
        Seconds after the loss of the store during which a daemon may still
        send requests to replicas that have left.
    clock : Clock
        Time.

    Attributes
    ----------
    source_state : callable
        Returns how up to date the copy is that the list is read from.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[list[_targets.Target]], None],
        unreachable: float,
        clock: _clock.Clock,
    ) -> None:
        self.source_state: Callable[[], _copy_state.CopyState]
        self.source_state = _copy_state.CopyState
        self._on_change = on_change
        self._clock = clock
        self._max_disconnected = unreachable - _MARGIN_SECONDS
        self._listed: dict[_ids.ReplicaId, _targets.Target] = {}
        self._expired: dict[_ids.ReplicaId, _targets.Target] = {}
        self._grace_until = 0.0
        self._timer: gevent.Greenlet | None = None
        # Number of the list in which a replica first appeared, in that order.
        self._first_seen_by_replica: collections.OrderedDict[
            _ids.ReplicaId, int
        ]
        self._first_seen_by_replica = collections.OrderedDict()
        self._list_numbers = itertools.count(1)
        self._superseded: frozenset[_ids.ReplicaId] = frozenset()
        self._ended_incarnations_by_replica: dict[
            _ids.ReplicaId, collections.deque[int]
        ] = {}

    def handle_store_reconnected(self, seconds_since_failure: float) -> None:
        """Start the grace period when the store is reachable again.

        Parameters
        ----------
        seconds_since_failure : float
            Seconds since the start of the last call to the store that failed.
            The store may have been reachable again for this long.
        """
        seconds = min(
            _GRACE_SECONDS, self._max_disconnected - seconds_since_failure
        )
        self._grace_until = self._clock.monotonic() + seconds

    def update(self, targets: Iterable[_targets.Target]) -> None:
        """Apply the store's current list."""
        fresh = {target.replica: self._newest(target) for target in targets}
        now = self._clock.monotonic()
        if now < self._grace_until:
            self._keep_expired(fresh, self._grace_until - now)
        for replica in fresh:
            self._expired.pop(replica, None)
        fresh = self._without_superseded(fresh)
        self._listed = fresh
        for replica in (
            self._ended_incarnations_by_replica.keys() - fresh.keys()
        ):
            del self._ended_incarnations_by_replica[replica]
        self._notify()

    def _newest(self, target: _targets.Target) -> _targets.Target:
        """Return the entry, or the listed one if an ended process wrote it.

        A write by the old process of a restarted replica may reach the store
        after the first write of the new process. It would bring back the
        address, drain state and load of a process that is gone.
        """
        held = self._listed.get(target.replica)
        if held is None or held.incarnation == target.incarnation:
            return target
        ended = self._ended_incarnations_by_replica.setdefault(
            target.replica, collections.deque(maxlen=_MAX_ENDED_INCARNATIONS)
        )
        if target.incarnation in ended:
            return held
        ended.append(held.incarnation)
        return target

    def _without_superseded(
        self, fresh: dict[_ids.ReplicaId, _targets.Target]
    ) -> dict[_ids.ReplicaId, _targets.Target]:
        """Return the entries whose address no later replica has taken over.

        A replica that crashed while disconnected and restarted has a new id
        at its old address. The last heartbeat of the old process may reach
        the store after that. Its entry then stays for seconds, and the new
        process rejects each request that is addressed to the old id.
        """
        self._record_first_seen(fresh)
        newest_by_address: dict[tuple[str, int], int] = {}
        for replica, target in fresh.items():
            address = (target.host, target.port)
            newest = newest_by_address.get(address, 0)
            newest_by_address[address] = max(newest, self._first_seen(replica))
        # Replicas first seen in the same list are all kept, as their order
        # is unknown.
        kept = {
            replica
            for replica, target in fresh.items()
            if self._first_seen(replica)
            == newest_by_address[(target.host, target.port)]
        }
        for replica in fresh.keys() - kept - self._superseded:
            _log.info(
                "{replica} is ignored: a later replica has its address",
                replica=replica,
            )
        self._superseded = frozenset(fresh.keys() - kept)
        return {
            replica: fresh[replica] for replica in fresh if replica in kept
        }

    def _record_first_seen(self, replicas: Iterable[_ids.ReplicaId]) -> None:
        list_number = next(self._list_numbers)
        for replica in replicas:
            self._first_seen_by_replica.setdefault(replica, list_number)
        while len(self._first_seen_by_replica) > _MAX_FIRST_SEEN:
            self._first_seen_by_replica.popitem(last=False)

    def _first_seen(self, replica: _ids.ReplicaId) -> int:
        return self._first_seen_by_replica.get(replica, 0)

    def _keep_expired(
        self, fresh: dict[_ids.ReplicaId, _targets.Target], seconds: float
    ) -> None:
        for replica, target in self._listed.items():
            if replica not in fresh and not target.leaving:
                self._expired[replica] = target
        if self._expired and self._timer is None:
            self._timer = gevent.spawn_later(seconds, self._end_grace)

    def _end_grace(self) -> None:
        self._timer = None
        if not self._expired:
            return
        _log.info(
            "{n} replicas did not renew their entries after the store outage",
            n=len(self._expired),
            replicas=sorted(self._expired),
        )
        self._expired.clear()
        self._notify()

    def _notify(self) -> None:
        self._on_change([*self._listed.values(), *self._expired.values()])


def log_changes(
    before: Mapping[_ids.ReplicaId, _targets.Target],
    listed: list[_targets.Target],
) -> None:
    """Log which replicas joined, are leaving or have gone."""
    fresh = {target.replica: target for target in listed}
    joined = sorted(fresh.keys() - before.keys())
    gone = sorted(before.keys() - fresh.keys())
    leaving = sorted(
        replica
        for replica, target in fresh.items()
        if target.leaving
        and (replica not in before or not before[replica].leaving)
    )
    if joined or gone or leaving:
        _log.info(
            "{n} replicas listed",
            n=len(fresh),
            joined=joined,
            leaving=leaving,
            gone=gone,
        )
