"""What the entry daemon asks for, and what it gets."""

from typing import Protocol
from typing import final

import msgspec

from topazlug import _ids
from topazlug.targets import _targets


class PlacementRequest(msgspec.Struct, frozen=True):
    """One request that needs a place on a replica.

    Attributes
    ----------
    group : GroupName
        Pool or service.
    chat : ChatHash
        Hash of the chat, or of the call where there is no chat.
    team : TeamName
        Who calls.
    batch : bool
        Whether it is batch work.
    weight : int
        Load units.
    deadline : float
        Monotonic seconds at which the caller gives up.
    excluded : frozenset of ReplicaId
        Replicas that failed this request already.
    returning : bool
        Whether the chat has context on the replica it was on last.
    keeps_context : bool
        Whether replicas keep context at all; without, any does as well.
    rank : int
        Its place among all ranks, 0 first; -1 for work that is not held to
        a limit by rank.
    prompt : int
        Hash of the whole prompt, 0 if there is none: the same when a caller
        comes back with it.
    shared_tokens : int
        Tokens of the prompt that other requests share.
    latency_objective : float
        Seconds that it may wait while another request reads its context.
    """

    group: _ids.GroupName
    chat: _ids.ChatHash
    team: _ids.TeamName
    batch: bool
    weight: int
    deadline: float
    excluded: frozenset[_ids.ReplicaId] = frozenset()
    returning: bool = False
    keeps_context: bool = True
    rank: int = -1
    prompt: int = 0
    shared_tokens: int = 0
    latency_objective: float = 0.0


@final
class Placement:
    """A place in use on a replica; it must be released once.

    Attributes
    ----------
    target : Target
        Where the request may go.
    ask : AskNumber
        Number under which the owner counts it.
    owner : DaemonId or None
        Who counts it; None while nobody does.
    home : bool
        Whether the replica is where the chat hashes to.
    reads_context : bool
        Whether its request is the first to read the chat's context there.
    """

    def __init__(
        self,
        *,
        target: _targets.Target,
        ask: _ids.AskNumber,
        owner: _ids.DaemonId | None,
        request: PlacementRequest,
        home: bool,
        reads_context: bool = False,
    ) -> None:
        self.reads_context = reads_context
        self.target = target
        self.ask = ask
        self.owner = owner
        self.request = request
        self.home = home
        self.released = False


class Admission(Protocol):
    """What finds a place, whatever the policy."""

    def admit(self, request: PlacementRequest) -> Placement:
        """Find a place.

        Raises
        ------
        Overloaded
            None is free and none will be before the deadline.
        NoTarget
            The group has no usable replica.
        """

    def release(self, placement: Placement) -> None:
        """Give a place back."""
