"""Which requests are placed over the bound where their context is held.

Load pattern: demand rises faster than the mean load that bounds replicas. A
chat's replica is over its bound, and the others would read the prompt with a
stall of their streams.
"""

from collections.abc import Mapping
from typing import final

from topazlug import _ids
from topazlug import _logs
from topazlug.routing import _owner_client

_log = _logs.logger("forwarding")
# At most 3 in 100 requests may reach a replica over its bound. The rest of
# that share is left to requests that are placed without an owner's count.
_REQUESTS_PER_PLACEMENT = 50


@final
class OverBoundReads:
    """Requests of this daemon that were placed over the bound.

    Parameters
    ----------
    is_enabled : bool
        Whether any request may be placed over the bound for its context.

    Attributes
    ----------
    count : int
        Requests that were placed.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self.count = 0
        # Requests since the last one that was placed.
        self._requests_by_group: dict[_ids.GroupName, int] = {}

    def record_request(self, group: _ids.GroupName) -> None:
        """Count one request of a group, before it is placed."""
        requests = self._requests_by_group.get(group, 0) + 1
        self._requests_by_group[group] = min(_REQUESTS_PER_PLACEMENT, requests)

    def holder(
        self,
        group: _ids.GroupName,
        rejections: Mapping[_ids.ReplicaId, _owner_client.OwnerReply],
        *,
        home: _ids.ReplicaId,
        displaced_to: _ids.ReplicaId | None,
    ) -> _ids.ReplicaId | None:
        """Return the replica to place a request on over the bound.

        Parameters
        ----------
        group : GroupName
            The request's group.
        rejections : mapping
            Replies of the owners that rejected it, by replica.
        home : ReplicaId
            The first replica in its chat's ranking.
        displaced_to : ReplicaId or None
            Replica that its chat was displaced to.

        Returns
        -------
        ReplicaId or None
            None if neither is known to hold the context, or if too many
            requests were placed over the bound.
        """
        requests = self._requests_by_group.get(group, 0)
        if not self._is_enabled or requests < _REQUESTS_PER_PLACEMENT:
            return None
        for replica in (displaced_to, home):
            if replica is None or replica not in rejections:
                continue
            reply = rejections[replica].reply
            if reply.holds and not reply.cold:
                return replica
        return None

    def record_placement(
        self, group: _ids.GroupName, replica: _ids.ReplicaId, stall: float
    ) -> None:
        """Record a request that was placed over the bound.

        Parameters
        ----------
        group : GroupName
            The request's group.
        replica : ReplicaId
            The replica that holds its context.
        stall : float
            Seconds of delay that the read elsewhere would have caused.
        """
        self._requests_by_group[group] = 0
        self.count += 1
        _log.info(
            "placed at {replica} over its bound: it holds the context, which "
            "others would read with {stall} s of delays",
            replica=replica,
            stall=round(stall, 3),
        )
