"""Assignment of replicas to the daemons that own them.

Each replica ranks the usable daemons by rendezvous hashing, and the first one
owns it. The assignment is updated incrementally: a full ranking of 6,100
replicas over 880 daemons takes 5.4 million hashes. A daemon that joins takes
one hash per replica, and when one leaves, only its replicas are ranked again.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple
from typing import final

from topazlug import _ids
from topazlug.routing import _ranking


class Transfer(NamedTuple):
    """A change of one replica's owner."""

    replica: _ids.ReplicaId
    before: _ids.DaemonId | None
    after: _ids.DaemonId | None


class _ScoredOwner(NamedTuple):
    daemon: _ids.DaemonId | None
    score: int


_NO_OWNER = _ScoredOwner(None, -1)


def _seed(replica: _ids.ReplicaId) -> int:
    return _ranking.chat_hash("owner", replica)


@final
class Ownership:
    """Owner of each replica, from the membership known to this daemon."""

    def __init__(self) -> None:
        self._daemons: set[_ids.DaemonId] = set()
        # Parallel lists. At the start of a daemon, 5.4 million scores are
        # computed over them; with names encoded in advance that takes half
        # the time.
        self._names: list[_ids.DaemonId] = []
        self._encoded_names: list[bytes] = []
        self._owner_by_replica: dict[_ids.ReplicaId, _ScoredOwner] = {}
        self._seed_by_replica: dict[_ids.ReplicaId, int] = {}
        self._callbacks: list[Callable[[list[Transfer]], None]] = []

    def on_transfer(self, callback: Callable[[list[Transfer]], None]) -> None:
        """Register a callback that is called with each list of changes."""
        self._callbacks.append(callback)

    def owner_of(self, replica: _ids.ReplicaId) -> _ids.DaemonId | None:
        """Return the replica's owner, None if no daemon is usable."""
        return self._owner_by_replica.get(replica, _NO_OWNER).daemon

    def owned_by(self, daemon: _ids.DaemonId) -> list[_ids.ReplicaId]:
        """Return the replicas that a daemon owns."""
        return [
            replica
            for replica, owner in self._owner_by_replica.items()
            if owner.daemon == daemon
        ]

    def update(
        self,
        *,
        daemons: Iterable[_ids.DaemonId],
        replicas: Iterable[_ids.ReplicaId],
    ) -> list[Transfer]:
        """Assign owners for a new set of daemons and replicas.

        Parameters
        ----------
        daemons : iterable of DaemonId
            Usable daemons.
        replicas : iterable of ReplicaId
            Known replicas.

        Returns
        -------
        list of Transfer
            Changes of owners; the callbacks receive the same list.
        """
        usable = set(daemons)
        self._names = sorted(usable)
        self._encoded_names = [name.encode() for name in self._names]
        known = set(replicas)
        transfers = self._remove_replicas(set(self._owner_by_replica) - known)
        transfers += self._remove_daemons(self._daemons - usable)
        transfers += self._add_daemons(usable - self._daemons)
        transfers += self._add_replicas(known - set(self._owner_by_replica))
        if transfers:
            for callback in self._callbacks:
                callback(transfers)
        return transfers

    def _remove_replicas(self, removed: set[_ids.ReplicaId]) -> list[Transfer]:
        transfers = []
        for replica in removed:
            owner = self._owner_by_replica.pop(replica)
            del self._seed_by_replica[replica]
            transfers.append(Transfer(replica, owner.daemon, None))
        return transfers

    def _remove_daemons(self, removed: set[_ids.DaemonId]) -> list[Transfer]:
        self._daemons -= removed
        if not removed:
            return []
        transfers = []
        for replica, owner in self._owner_by_replica.items():
            if owner.daemon not in removed:
                continue
            after = self._highest_scored(replica)
            self._owner_by_replica[replica] = after
            transfers.append(Transfer(replica, owner.daemon, after.daemon))
        return transfers

    def _add_daemons(self, new: set[_ids.DaemonId]) -> list[Transfer]:
        self._daemons |= new
        transfers = []
        for daemon in new:
            name = daemon.encode()
            for replica, owner in self._owner_by_replica.items():
                seed = self._seed_by_replica[replica]
                score = _ranking.score(name, seed)
                if score <= owner.score:
                    continue
                self._owner_by_replica[replica] = _ScoredOwner(daemon, score)
                transfers.append(Transfer(replica, owner.daemon, daemon))
        return transfers

    def _add_replicas(self, new: set[_ids.ReplicaId]) -> list[Transfer]:
        transfers = []
        for replica in new:
            self._seed_by_replica[replica] = _seed(replica)
            owner = self._highest_scored(replica)
            self._owner_by_replica[replica] = owner
            transfers.append(Transfer(replica, None, owner.daemon))
        return transfers

    def _highest_scored(self, replica: _ids.ReplicaId) -> _ScoredOwner:
        if not self._names:
            return _NO_OWNER
        seed = self._seed_by_replica[replica]
        scores = [_ranking.score(name, seed) for name in self._encoded_names]
        best = max(scores)
        return _ScoredOwner(self._names[scores.index(best)], best)
