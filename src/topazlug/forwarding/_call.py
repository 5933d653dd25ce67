"""One request that is forwarded from a caller to a replica."""

from collections.abc import Sequence
from typing import Any
from typing import final

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.callers import _memory_budget
from topazlug.crashes import _fingerprint
from topazlug.forwarding import _open_requests
from topazlug.forwarding import _table
from topazlug.forwarding import _wire
from topazlug.routing import _placement
from topazlug.routing import _ranking


@final
class Progress(msgspec.Struct):
    """What this daemon has done for a request so far.

    Attributes
    ----------
    placed : int
        Replicas that were chosen for it.
    sent : int
        Replicas that it was sent to.
    replica : ReplicaId
        The last of them, empty if there is none.
    is_counted : bool
        Whether it has been counted for the retry budget.
    outcome : Outcome
        Whether it may have run.
    """

    placed: int = 0
    sent: int = 0
    replica: _ids.ReplicaId = _ids.ReplicaId("")
    is_counted: bool = False
    outcome: _errors.Outcome = _errors.Outcome.NOT_RUN


@final
class ForwardedCall(msgspec.Struct, kw_only=True):
    """One request of a caller.

    Attributes
    ----------
    method, target : str
        As the caller sent them; the target with its query.
    head : CallHead
        Decoded header fields.
    body : bytes
        Complete body.
    route : Route
        Route that matches the request.
    team : Team or None
        Team of the caller; None if the request has no known API key and
        needs none.
    group : GroupName
        Service that runs it.
    rank : int
        Rank by priority (`RoutingTable.rank_of`), 0 first.
    chat : ChatHash
        Hash under which replicas keep its context (`chat_of`).
    started_at, deadline : float
        Monotonic seconds.
    socket : socket or None
        The caller's connection.
    fingerprint : Fingerprint
        Identical for all repeats of this request at any daemon.
    fields : sequence of (str, str)
        Header fields as the caller sent them.
    delegation : DelegatedCall or None
        What another daemon, which has the request from the caller, left of
        its attempts; None if this daemon has it from the caller.
    version : SoftwareVersion or None
        Version that began its stream; None if no event has been relayed.
    open_request : OpenRequest
        How far it has come.
    holding : Holding or None
        What its connection makes the daemon hold; None if it isn't counted.
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
    fields: Sequence[_wire.Field]
    delegation: messages.DelegatedCall | None = None
    version: _ids.SoftwareVersion | None = None
    open_request: _open_requests.OpenRequest = msgspec.field(
        default_factory=_open_requests.OpenRequest
    )
    holding: _memory_budget.Holding | None = None

    @property
    def takes_stream_up(self) -> bool:
        """Return whether the caller has received part of the stream."""
        if self.route.kind is not _table.RequestKind.STREAM:
            return False
        return bool(self.head.resumes) or self.head.resume_after is not None

    @property
    def stream_attempt(self) -> _ids.RequestId:
        """Return the attempt that brings the first event of the stream."""
        return self.head.resumes or self.head.attempt

    @property
    def attempt(self) -> str:
        """Return what identifies the caller's attempt at this daemon."""
        return f"{self.head.attempt} {self.started_at}"

    @property
    def part_fingerprints(self) -> tuple[_ids.Fingerprint, ...]:
        """Return the prompt parts that it may share with other requests."""
        return _fingerprint.part_fingerprints(
            self.group, [part.id for part in self.head.parts]
        )

    @property
    def max_replicas(self) -> int:
        """Return the maximum number of replicas it may be sent to."""
        if self.delegation is None:
            return self.route.max_replicas
        return min(self.route.max_replicas, self.delegation.replicas)

    @property
    def team_name(self) -> _ids.TeamName:
        """Return the team's name, empty if the request has no team."""
        return self.team.name if self.team else _ids.TeamName("")

    def placement_request(
        self,
        *,
        excluded: frozenset[_ids.ReplicaId] = frozenset(),
        is_resumed: bool = False,
    ) -> _placement.PlacementRequest:
        """Return the placement request of this call.

        Parameters
        ----------
        excluded : frozenset of ReplicaId
            Replicas that have already failed the request.
        is_resumed : bool
            Whether its caller has received part of the answer. If such a
            request were rejected, that part would be lost as well, so rank
            limits do not apply to it.
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
            prompt_tokens=sum(part.tokens for part in self.head.parts),
            output_tokens=self.head.output_tokens,
            max_pause=self.route.max_pause,
            version=self.version,
            begins_stream=self.route.resumable and self.version is None,
        )


def prompt_of(head: _wire.CallHead) -> int:
    """Return the hash of the whole prompt, 0 if there is none."""
    if not head.parts:
        return 0
    return _ranking.chat_hash(head.model, *(part.id for part in head.parts))


def chat_of(head: _wire.CallHead) -> _ids.ChatHash:
    """Return the hash under which replicas keep the request's context.

    The last part of a prompt belongs to this request or its session alone.
    The prompt up to the part before it is the longest that other requests
    share.
    """
    if not head.parts:
        return _ranking.chat_hash(head.attempt)
    shared_part = head.parts[-2] if len(head.parts) > 1 else head.parts[-1]
    return _ranking.chat_hash(head.model, shared_part.id)
