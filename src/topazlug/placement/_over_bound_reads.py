"""Which requests use the margin of the bound where their context is held.

Load pattern: demand rises faster than the mean load that bounds replicas. A
chat's replica is at its bound, and the others would read the prompt with a
stall of their streams. Its owner leaves a margin for the lag of the mean, and
grants such a request out of it, so that the request is counted at once.
"""

from collections.abc import Mapping
from typing import final

from topazlug import _ids
from topazlug import _logs
from topazlug.placement import _read_search
from topazlug.routing import _owner_client
from topazlug.routing import _placement

_log = _logs.logger("forwarding")


@final
class OverBoundReads:
    """Requests of this daemon that were granted out of the margin.

    Parameters
    ----------
    is_enabled : bool
        Whether any request may use the margin.

    Attributes
    ----------
    count : int
        Requests that were granted.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self.count = 0

    def holder(
        self,
        rejections: Mapping[_ids.ReplicaId, _owner_client.OwnerReply],
        *,
        home: _ids.ReplicaId,
        displaced_to: _ids.ReplicaId | None,
    ) -> _ids.ReplicaId | None:
        """Return the replica whose margin to use, None if there is none.

        Parameters
        ----------
        rejections : mapping
            Replies of the owners that rejected the request, by replica.
        home : ReplicaId
            The first replica in its chat's ranking.
        displaced_to : ReplicaId or None
            Replica that its chat was displaced to.
        """
        if not self._is_enabled:
            return None
        for replica in (displaced_to, home):
            if replica is None or replica not in rejections:
                continue
            reply = rejections[replica].reply
            if reply.holds and not reply.cold:
                return replica
        return None

    def record(
        self,
        placement: _placement.Placement,
        stalling: _read_search.StallingReplicas,
    ) -> None:
        """Record a request that was granted, and the stalls elsewhere."""
        self.count += 1
        _log.info(
            "placed at {replica} within the margin of its bound: it holds the "
            "context, which others would read with {stall} s of delays",
            replica=placement.target.replica,
            stall=round(min(stalling.stall_by_replica.values()), 3),
        )
