"""Client of replica owners: admission requests and reports.

An owner that does not reply in time is skipped for a short period. Meanwhile
the caller decides how to place requests without that owner.
"""

import itertools
from typing import NamedTuple
from typing import final

from gevent import event

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.routing import _held_placements
from topazlug.routing import _owner
from topazlug.routing import _ownership
from topazlug.routing import _placement
from topazlug.targets import _target_report
from topazlug.targets import _targets

_log = _logs.logger("admission")
_MAX_SKIP_SECONDS = 1.0
_INITIAL_SKIP_SECONDS = 0.1
# A rejected caller is asked to retry within this fraction of the time until
# its deadline. The rest is for the response to the retry.
MAX_RETRY_DELAY_FRACTION = 0.3


class OwnerReply(NamedTuple):
    """An owner's reply to one admission request."""

    ask: _ids.AdmissionRequestId
    owner: _ids.DaemonId
    reply: messages.AdmitReply


@final
class OwnerClient:
    """Sends admission requests and reports to the owners of replicas.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : Owner
        This daemon's owner role.
    ownership : Ownership
        Owners of all replicas.
    links : Links
        Connections to peers.
    timeout : float
        Maximum wait in seconds for an owner's reply, excluding the time in
        its queue.
    clock : Clock
        Source of time.

    Attributes
    ----------
    held_placements : HeldPlacements
        Placements that this daemon holds with owners.
    unanswered_count : int
        Admission requests that got no reply, or were not sent because the
        owner is skipped.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        owner: _owner.Owner,
        ownership: _ownership.Ownership,
        links: _held_placements.Links,
        timeout: float,
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._owner = owner
        self._ownership = ownership
        self._links = links
        self._timeout = timeout
        self._clock = clock
        self._numbers = itertools.count(1)
        self._skip_until: dict[_ids.DaemonId, float] = {}
        self._consecutive_timeouts: dict[_ids.DaemonId, int] = {}
        self.held_placements = _held_placements.HeldPlacements(
            daemon=daemon,
            owner=owner,
            ownership=ownership,
            links=links,
            clock=clock,
        )
        self.unanswered_count = 0

    def new_number(self) -> _ids.AdmissionRequestId:
        """Return the number for a new admission request."""
        return _ids.AdmissionRequestId(next(self._numbers))

    def request_admission(
        self,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        *,
        home: bool,
        wait: float = 0.0,
        total: int = 0,
        may_wait: bool = False,
        min_timeout: float = 0.0,
        cold: bool = False,
        accept_stall: bool = False,
        accept_over_bound: bool = False,
    ) -> OwnerReply | None:
        """Send an admission request to a replica's owner.

        Parameters
        ----------
        request : PlacementRequest
            Request to place.
        replica : ReplicaId
            Replica to admit it to.
        home : bool
            Whether the owner may name the replica that the chat was
            displaced to instead.
        wait : float
            Maximum time in seconds in the owner's queue.
        total : int
            Load of the whole group if it is known, else 0.
        may_wait : bool
            Whether the owner may reply that the context is being read.
        min_timeout : float
            Lower limit of the timeout in seconds, for requests that can
            wait longer for a reply.
        cold : bool
            Whether this daemon considers the replica cold.
        accept_stall : bool
            Whether the owner must not reply that reading the prompt would
            stall running streams.
        accept_over_bound : bool
            Whether to use the margin of the bound if the replica holds the
            context.

        Returns
        -------
        OwnerReply or None
            None if there is no owner, or it did not reply or is skipped.
        """
        owner = self._ownership.owner_of(replica)
        if owner is None:
            return None
        now = self._clock.monotonic()
        if now < self._skip_until.get(owner, 0.0):
            self.unanswered_count += 1
            return None
        ask = self.new_number()
        message = messages.AdmitAsk(
            ask=ask,
            group=request.group,
            replica=replica,
            chat=request.chat,
            team=request.team,
            batch=request.batch,
            weight=request.weight,
            home=home,
            wait=wait,
            total=total,
            rank=request.rank,
            request=request.prompt,
            longest=max(0.0, request.deadline - now)
            * MAX_RETRY_DELAY_FRACTION,
            shared=request.shared_tokens,
            may_wait=may_wait,
            cold=cold,
            tokens=request.prompt_tokens if request.keeps_context else 0,
            output_tokens=request.output_tokens,
            max_pause=request.max_pause,
            accept_stall=accept_stall,
            accept_over_bound=accept_over_bound,
            objective=request.latency_objective,
            held=request.held_tokens,
            brittle=-1 if request.brittle is None else request.brittle,
        )
        self.held_placements.pending_by_ask[ask] = owner
        try:
            timeout = max(self._timeout, min_timeout) + wait
            reply = self._exchange(owner, message, timeout)
        except BaseException:
            # The caller disconnected while its request was queued. Without
            # the release, a later grant would leak the slot.
            self.held_placements.release_unused(owner, ask, replica)
            raise
        finally:
            del self.held_placements.pending_by_ask[ask]
        if reply is None:
            self._skip_owner(owner, ask, replica, since=now, waited=wait > 0)
            return None
        self._consecutive_timeouts.pop(owner, None)
        return OwnerReply(ask, owner, reply)

    def _exchange(
        self, owner: _ids.DaemonId, message: messages.AdmitAsk, timeout: float
    ) -> messages.AdmitReply | None:
        if owner == self._daemon:
            result = event.AsyncResult()
            self._owner.handle_admission_request(
                self._daemon, message, result.set
            )
            result.wait(timeout=timeout)
            if not result.ready():
                return None
            own_reply: messages.AdmitReply = result.get()
            return own_reply
        try:
            reply = self._links.call(owner, message, timeout=timeout)
        except _errors.PeerUnreachable:
            return None
        if isinstance(reply, messages.AdmitReply):
            return reply
        return None

    def _skip_owner(
        self,
        owner: _ids.DaemonId,
        ask: _ids.AdmissionRequestId,
        replica: _ids.ReplicaId,
        *,
        since: float,
        waited: bool,
    ) -> None:
        """Skip an owner that did not reply, for longer after each timeout.

        A frozen owner accepts bytes and never replies. If each request
        waited for it, every caller whose home it owns would lose the whole
        timeout. The first period is short, since a single slow reply must
        not move all chats of the owner's replicas away from their context
        for a second.

        An owner that sent any message since the request is not skipped: its
        reply is late because the connection is saturated. If such replies
        counted as timeouts, most requests would be placed without an owner
        when the load is highest.
        """
        self.unanswered_count += 1
        if not waited and not self._links.received_since(owner, since):
            timeouts = self._consecutive_timeouts.get(owner, 0)
            self._consecutive_timeouts[owner] = timeouts + 1
            skip_seconds = _INITIAL_SKIP_SECONDS * 2 ** min(timeouts, 8)
            skip_seconds = min(skip_seconds, _MAX_SKIP_SECONDS)
            self._skip_until[owner] = self._clock.monotonic() + skip_seconds
            _log.info(
                "no reply from owner {owner}, skipping it for {seconds} s",
                owner=owner,
                seconds=skip_seconds,
                silences=timeouts + 1,
            )
        self.held_placements.release_unused(owner, ask, replica)

    def report_response_head(
        self, replica: _ids.ReplicaId, head: messages.EngineWord
    ) -> None:
        """Send the load from a response head to the replica's owner."""
        owner = self._ownership.owner_of(replica)
        if owner == self._daemon:
            self._owner.record_response_head(self._daemon, head)
        elif owner is not None:
            self.held_placements.send(owner, head)

    def report_connection_failure(self, replica: _ids.ReplicaId) -> None:
        """Report a failed connection to the replica's owner."""
        owner = self._ownership.owner_of(replica)
        message = messages.Unreached(replica=replica)
        if owner == self._daemon:
            self._owner.record_connection_failure(message)
        elif owner is not None:
            self.held_placements.send(owner, message)

    def report_backoff(
        self, target: _targets.Target, status: _target_report.TargetReport
    ) -> None:
        """Notify a target's owner of a backoff that the target requested.

        Parameters
        ----------
        target : Target
            Target that requested it of this daemon.
        status : TargetReport
            Status that the target reported.
        """
        owner = self._ownership.owner_of(target.replica)
        if status.backoff <= 0 or owner is None:
            return
        message = messages.Backoff(
            replica=target.replica,
            incarnation=target.incarnation,
            seconds=status.backoff,
        )
        if owner == self._daemon:
            self._owner.record_backoff(self._daemon, message)
        else:
            self.held_placements.send(owner, message)

    def report_rejection(
        self,
        request: _placement.PlacementRequest,
        home: _ids.ReplicaId,
        *,
        seconds: float,
    ) -> None:
        """Report to the home's owner that a rejected request may be resent."""
        message = messages.TurnedAway(
            replica=home,
            request=request.prompt,
            rank=request.rank,
            seconds=seconds,
        )
        owner = self._ownership.owner_of(home)
        if owner == self._daemon:
            self._owner.record_rejection(message)
        elif owner is not None:
            self.held_placements.send(owner, message)

    def report_outcomes(self, message: messages.Outcomes) -> None:
        """Report outcomes that a replica's owner does not count."""
        owner = self._ownership.owner_of(_ids.ReplicaId(message.replica))
        if owner == self._daemon:
            self._owner.record_outcomes(self._daemon, message)
        elif owner is not None:
            self.held_placements.send(owner, message)

    def report_displacement(
        self,
        placement: _placement.Placement,
        *,
        home: _ids.ReplicaId,
        displaced_to: _ids.ReplicaId | None,
    ) -> None:
        """Report to the home's owner which replica a chat was placed on.

        Nothing is sent if the chat is at its home, or on the replica that
        the owner has recorded.

        Parameters
        ----------
        placement : Placement
            Current placement of the chat.
        home : ReplicaId
            First replica in the chat's ranking.
        displaced_to : ReplicaId or None
            Replica that the owner has recorded.
        """
        replica = placement.target.replica
        is_unmoved = replica == displaced_to or (
            placement.home and not displaced_to
        )
        if is_unmoved or placement.request.excluded:
            return
        owner = self._ownership.owner_of(home)
        message = messages.Displaced(
            group=placement.request.group,
            home=home,
            chat=placement.request.chat,
            replica="" if placement.home else replica,
        )
        if owner == self._daemon:
            self._owner.displaced.record(message)
        elif owner is not None:
            self.held_placements.send(owner, message)
