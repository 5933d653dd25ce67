"""Placement requests, placements and the admission interface."""

from typing import Protocol
from typing import final

import msgspec

from topazlug import _ids
from topazlug.targets import _targets


class PlacementRequest(msgspec.Struct, frozen=True):
    """A request for slots on one replica of a group.

    Attributes
    ----------
    group : GroupName
        Pool or service.
    chat : ChatHash
        Hash of the chat, or of the call if it belongs to no chat.
    team : TeamName
        Team of the caller.
    batch : bool
        Whether it is batch work.
    weight : int
        Slots that the request occupies, also called load units.
    deadline : float
        Monotonic time in seconds at which the caller stops waiting.
    excluded : frozenset of ReplicaId
        Replicas on which this request has already failed.
    returning : bool
        Whether the chat has a context on the replica of its previous turn.
    keeps_context : bool
        Whether replicas keep context between requests. If not, all
        replicas are equally suitable.
    rank : int
        Urgency, 0 is the most urgent; -1 for work that is not subject to
        limits by rank.
    prompt : int
        Hash of the whole prompt, 0 if there is none. Identifies the request
        when the caller sends it again.
    shared_tokens : int
        Length in tokens of the prompt prefix that is shared with other
        requests.
    latency_objective : float
        Seconds until the first byte of a response that is on time. Also the
        maximum wait while another request reads the same context.
    prompt_tokens : int
        Length of the whole prompt in tokens, 0 if unknown.
    output_tokens : int
        Maximum number of tokens to generate, 0 if unknown.
    max_pause : float
        Longest pause in seconds between two events for which a stream is on
        time, 0 if unknown.
    brittle : int or None
        Rejections within a second that replicas of the group tolerate; None
        if they are not brittle.
    held_tokens : int
        Shared tokens that a replica is known to hold, so that any replica
        has them or can copy them.
    version : SoftwareVersion or None
        Version that began the stream, which only its replicas may continue;
        None for a new request.
    begins_stream : bool
        Whether it begins a stream that its caller can take up again.
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
    prompt_tokens: int = 0
    output_tokens: int = 0
    max_pause: float = 0.0
    held_tokens: int = 0
    brittle: int | None = None
    version: _ids.SoftwareVersion | None = None
    begins_stream: bool = False


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of a replica's answer shows of the replica.

    Attributes
    ----------
    seconds : float
        Seconds from sending the request to the head.
    running, waiting : int or None
        Requests that the replica reports as running and as waiting; None if
        it does not report its load.
    slowness : float or None
        How long work takes there at this moment, relative to its usual time;
        None if it does not report that.
    """

    seconds: float
    running: int | None = None
    waiting: int | None = None
    slowness: float | None = None


@final
class Placement:
    """A replica chosen for a request, with the slots held there.

    The holder must release it when the request has ended.

    Attributes
    ----------
    target : Target
        Replica to send the request to.
    ask : AdmissionRequestId
        Number of the admission request, under which the owner counts it.
    owner : DaemonId or None
        Daemon that counts it; None if it was placed without an owner.
    request : PlacementRequest
        Request that it was made for.
    home : bool
        Whether the replica is first in the chat's ranking.
    reads_context : bool
        Whether its request is the first to read the chat's context there.
    is_counted : bool
        Whether its owner was told of it, by a grant or a renewal.
    failed : bool
        Whether its request failed on the replica.
    is_outcome_unknown : bool
        Whether its request did not run, or ended before its outcome was
        known. It then counts neither as a success nor as a failure.
    is_rejected : bool
        Whether the replica rejected its request without running it.
    is_failure_reported : bool
        Whether its failure was reported before the request ended.
    released : bool
        Whether it was released.
    """

    def __init__(
        self,
        *,
        target: _targets.Target,
        ask: _ids.AdmissionRequestId,
        owner: _ids.DaemonId | None,
        request: PlacementRequest,
        home: bool,
        reads_context: bool = False,
        is_counted: bool = False,
    ) -> None:
        self.is_counted = is_counted
        self.failed = False
        self.is_outcome_unknown = False
        self.is_rejected = False
        self.is_failure_reported = False
        self.reads_context = reads_context
        self.target = target
        self.ask = ask
        self.owner = owner
        self.request = request
        self.home = home
        self.released = False

    @property
    def has_unreported_failure(self) -> bool:
        """Return whether a failure is to be reported with the release."""
        return self.failed and not self.is_failure_reported


class Admission(Protocol):
    """Admission of requests, implemented by each routing policy."""

    def admit(self, request: PlacementRequest) -> Placement:
        """Choose a replica and hold slots on it.

        Raises
        ------
        Overloaded
            No slot is free, nor expected to be before the deadline.
        NoTarget
            The group has no usable replica.
        """

    def release(self, placement: Placement) -> None:
        """Release the slots of a placement."""
