"""Asking owners for places, and what is owed to them afterwards.

An owner that says nothing is passed over for a moment: whoever asks decides
what to do without its word.
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
from topazlug.targets import _target_word
from topazlug.targets import _targets

_log = _logs.logger("admission")
_MAX_SKIP_SECONDS = 1.0
_INITIAL_SKIP_SECONDS = 0.1
# A caller comes back after a third of the time that it has left at most; the
# rest is for the time that its answer takes to reach it.
MAX_RETURN_FRACTION = 0.3


class OwnerReply(NamedTuple):
    """What an owner said to one ask."""

    ask: _ids.AskNumber
    owner: _ids.DaemonId
    reply: messages.AdmitReply


@final
class OwnerClient:
    """Asks owners, each for one place on one replica.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : Owner
        This daemon's own ledgers.
    ownership : Ownership
        Who owns what.
    links : Links
        Streams to peers.
    timeout : float
        Longest wait in seconds for an owner's word.
    clock : Clock
        Time.

    Attributes
    ----------
    held_placements : Holdings
        Places that this daemon holds of owners.
    unanswered_count : int
        Asks that got no word of an owner.
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

    def new_number(self) -> _ids.AskNumber:
        """Give the number of a new ask."""
        return _ids.AskNumber(next(self._numbers))

    def ask(
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
    ) -> OwnerReply | None:
        """Ask a replica's owner for a place.

        Parameters
        ----------
        request : PlacementRequest
            What needs a place.
        replica : ReplicaId
            Where.
        home : bool
            Whether the owner may name the chat's displaced seat instead.
        wait : float
            Seconds that the ask may wait in the owner's queue.
        total : int
            Load of the whole group if it is known, else 0.
        may_wait : bool
            Whether the owner may answer that the context is being read.
        min_timeout : float
            Seconds that this request can wait for the owner's word, if that
            is longer than the usual timeout.
        cold : bool
            Whether the replica has just started, as this daemon sees it.

        Returns
        -------
        OwnerReply or None
            None if there is no owner, or no word of it.
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
            longest=max(0.0, request.deadline - now) * MAX_RETURN_FRACTION,
            shared=request.shared_tokens,
            may_wait=may_wait,
            cold=cold,
        )
        self.held_placements.pending_by_ask[ask] = owner
        try:
            timeout = max(self._timeout, min_timeout) + wait
            reply = self._exchange(owner, message, timeout)
        except BaseException:
            # The caller left while its ask waited: a turn that comes later
            # would be granted to nobody and its slot lost.
            self.held_placements.send_release(owner, ask)
            raise
        finally:
            del self.held_placements.pending_by_ask[ask]
        if reply is None:
            self._skip_owner(owner, ask, since=now, waited=wait > 0)
            return None
        self._consecutive_timeouts.pop(owner, None)
        return OwnerReply(ask, owner, reply)

    def _exchange(
        self, owner: _ids.DaemonId, message: messages.AdmitAsk, timeout: float
    ) -> messages.AdmitReply | None:
        if owner == self._daemon:
            result = event.AsyncResult()
            self._owner.ask(self._daemon, message, result.set)
            result.wait(timeout=timeout)
            if not result.ready():
                return None
            reply: messages.AdmitReply = result.get()
            return reply
        try:
            answer = self._links.call(owner, message, timeout=timeout)
        except _errors.PeerUnreachable:
            return None
        if isinstance(answer, messages.AdmitReply):
            return answer
        return None

    def _skip_owner(
        self,
        owner: _ids.DaemonId,
        ask: _ids.AskNumber,
        *,
        since: float,
        waited: bool,
    ) -> None:
        """Leave an owner that did not answer alone for a moment.

        A frozen owner takes bytes and says nothing. If each request waited
        for it in turn, every caller whose home it owns would lose the whole
        timeout; after a silence the others go straight on, for longer each
        time. One slow answer alone must not send all chats of the owner's
        replicas away from their context for a second. Nor must answers that
        are late because a link is full: an owner of which anything was heard
        meanwhile is alive. With each late word taken for silence, most
        requests are placed without one while load is at its worst.
        """
        self.unanswered_count += 1
        if not waited and not self._links.heard_since(owner, since):
            timeouts = self._consecutive_timeouts.get(owner, 0)
            self._consecutive_timeouts[owner] = timeouts + 1
            skip_seconds = _INITIAL_SKIP_SECONDS * 2 ** min(timeouts, 8)
            skip_seconds = min(skip_seconds, _MAX_SKIP_SECONDS)
            self._skip_until[owner] = self._clock.monotonic() + skip_seconds
            _log.info(
                "no word of {owner}, it is passed over for {seconds} s",
                owner=owner,
                seconds=skip_seconds,
                silences=timeouts + 1,
            )
        self.held_placements.send_release(owner, ask)

    def report_response_head(
        self, replica: _ids.ReplicaId, head: messages.EngineWord
    ) -> None:
        """Tell a replica's owner what the head of an answer said."""
        owner = self._ownership.owner_of(replica)
        if owner == self._daemon:
            self._owner.record_response_head(head)
        elif owner is not None:
            self.held_placements.send(owner, head)

    def report_unreached(self, replica: _ids.ReplicaId) -> None:
        """Tell a replica's owner that it took no connection."""
        owner = self._ownership.owner_of(replica)
        message = messages.Unreached(replica=replica)
        if owner == self._daemon:
            self._owner.record_unreached(message)
        elif owner is not None:
            self.held_placements.send(owner, message)

    def report_backoff(
        self, target: _targets.Target, head: _target_word.TargetWord
    ) -> None:
        """Tell a target's owner that it has asked this daemon for a backoff.

        Parameters
        ----------
        target : Target
            Who asks.
        head : TargetWord
            What it says of itself.
        """
        owner = self._ownership.owner_of(target.replica)
        if head.backoff <= 0 or owner is None:
            return
        message = messages.Backoff(
            replica=target.replica,
            incarnation=target.incarnation,
            seconds=head.backoff,
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
        """Tell the home's owner that a request may come back in a while."""
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

    def report_displacement(
        self,
        placement: _placement.Placement,
        *,
        home: _ids.ReplicaId,
        displaced_to: _ids.ReplicaId | None,
    ) -> None:
        """Tell the home's owner where its chat went.

        Only a chat that moved is told: one that is at home, or still at
        the seat that the owner remembers, costs no message.

        Parameters
        ----------
        placement : Place
            Where it is now.
        home : ReplicaId
            First of its rank.
        displaced_to : ReplicaId or None
            The seat that the owner remembered.
        """
        replica = placement.target.replica
        unmoved = replica == displaced_to or (
            placement.home and not displaced_to
        )
        if unmoved or placement.request.excluded:
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
