"""Which replica reads a prompt if it stalls streams at the first one asked."""

from typing import final

from topazlug import _ids
from topazlug import _logs
from topazlug.routing import _placement

_log = _logs.logger("forwarding")


@final
class StallingReplicas:
    """Replicas where one request's prompt would stall streams.

    Attributes
    ----------
    stall_by_replica : dict
        Seconds of delay that their owners replied, in the order asked.
    """

    def __init__(self) -> None:
        self.stall_by_replica: dict[_ids.ReplicaId, float] = {}
        self._remaining: set[_ids.ReplicaId] = set()

    def add(self, replica: _ids.ReplicaId, stall: float) -> None:
        """Add a replica whose owner replied that the read would stall."""
        self.stall_by_replica[replica] = stall
        self._remaining.add(replica)

    @property
    def is_empty(self) -> bool:
        """Return whether no replica remains to be asked again."""
        return not self._remaining

    def pop_least(self) -> _ids.ReplicaId:
        """Remove and return the replica with the least delay.

        Of several that are equal, the first in the chat's ranking.
        """
        replica = min(
            (
                name
                for name in self.stall_by_replica
                if name in self._remaining
            ),
            key=self.stall_by_replica.__getitem__,
        )
        self._remaining.remove(replica)
        return replica


@final
class ReadPlacements:
    """Counts and logs the reads that would stall streams where asked first.

    Attributes
    ----------
    moved_count : int
        Reads placed on another replica than the first that they would have
        delayed streams on.
    stalling_count : int
        Reads granted although they delay streams, as no replica that was
        asked was better.
    """

    def __init__(self) -> None:
        self.moved_count = 0
        self.stalling_count = 0

    def record(
        self, placement: _placement.Placement, stalling: StallingReplicas
    ) -> None:
        """Record the placement of a request, unless no replica stalled."""
        if not stalling.stall_by_replica:
            return
        replica = placement.target.replica
        first = next(iter(stalling.stall_by_replica))
        stall = stalling.stall_by_replica.get(replica, 0.0)
        self.moved_count += replica != first
        self.stalling_count += replica in stalling.stall_by_replica
        _log.info(
            "prompt of {tokens} tokens read at {replica} with {stall} s of "
            "delays, at {first} with {first_stall} s",
            tokens=placement.request.prompt_tokens,
            held=placement.request.held_tokens,
            replica=replica,
            stall=round(stall, 3),
            first=first,
            first_stall=round(stalling.stall_by_replica[first], 3),
            asked=len(stalling.stall_by_replica),
            home=placement.home,
        )
