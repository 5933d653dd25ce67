"""One request on its way from a caller to a replica."""

from typing import Any
from typing import final

import msgspec

from topazlug import _ids
from topazlug.forwarding import _table
from topazlug.forwarding import _wire
from topazlug.routing import _placement
from topazlug.routing import _ranking


@final
class ForwardedCall(msgspec.Struct, kw_only=True):
    """One request of a caller.

    Attributes
    ----------
    method, target : str
        As the caller sent them; the target with its query.
    head : CallHead
        What its fields say.
    body : bytes
        Whole body.
    route : Route
        The route that it took.
    team : Team or None
        Who calls.
    group : GroupName
        Service that runs it.
    rank : int
        Its place among all that the table knows, 0 first.
    chat : ChatHash
        Hash of the last shared part of its prompt.
    started_at, deadline : float
        Monotonic seconds.
    socket : socket or None
        The caller's connection.
    fingerprint : Fingerprint
        The same for all repeats of this request, whoever sends them on.
    """

    method: str
    target: str
    head: _wire.CallHead
    body: bytes
    route: _table.Route
    team: _table.Team | None
    group: _ids.GroupName
    rank: int
    chat: _ids.ChatHash
    started_at: float
    deadline: float
    socket: Any
    fingerprint: _ids.Fingerprint

    @property
    def team_name(self) -> _ids.TeamName:
        """Give the team's name, empty where no key is asked for."""
        return self.team.name if self.team else _ids.TeamName("")

    def placement_request(
        self,
        *,
        excluded: frozenset[_ids.ReplicaId] = frozenset(),
        is_resumed: bool = False,
    ) -> _placement.PlacementRequest:
        """Give what is asked of the admission.

        Parameters
        ----------
        excluded : frozenset of ReplicaId
            Replicas that failed the request already.
        is_resumed : bool
            Whether its caller has part of the answer: turned away now, that
            part would be lost as well, so no limit by rank holds it up.
        """
        return _placement.PlacementRequest(
            group=self.group,
            chat=self.chat,
            team=self.team_name,
            batch=False,
            weight=1,
            deadline=self.deadline,
            excluded=excluded,
            keeps_context=self.route.has_context,
            rank=-1 if is_resumed else self.rank,
            prompt=prompt_of(self.head),
            shared_tokens=sum(part.tokens for part in self.head.parts[:-1]),
            latency_objective=self.route.latency_objective,
        )


def prompt_of(head: _wire.CallHead) -> int:
    """Hash a whole prompt; 0 if there is none."""
    if not head.parts:
        return 0
    return _ranking.chat_hash(head.model, *(part.id for part in head.parts))


def chat_of(head: _wire.CallHead) -> _ids.ChatHash:
    """Hash what the request's context is kept under.

    The last part of a prompt belongs to this request or its session; the
    one before it is the longest that others share.
    """
    if not head.parts:
        return _ranking.chat_hash(head.attempt)
    shared_part = head.parts[-2] if len(head.parts) > 1 else head.parts[-1]
    return _ranking.chat_hash(head.model, shared_part.id)
