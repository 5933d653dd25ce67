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
from topazlug.routing import _holdings
from topazlug.routing import _owner
from topazlug.routing import _ownership
from topazlug.routing import _place
from topazlug.targets import _target_report
from topazlug.targets import _targets

_log = _logs.logger("admission")
_SILENT_SECONDS = 1.0
_FIRST_SILENT_SECONDS = 0.1
# A caller comes back after a third of the time that it has left at most; the
# rest is for the time that its answer takes to reach it.
LONGEST_RETURN_PART = 0.3


class OwnerAnswer(NamedTuple):
    """What an owner said to one ask."""

    ask: _ids.AskNumber
    owner: _ids.DaemonId
    reply: messages.AdmitReply


@final
class OwnerAsks:
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
    holdings : Holdings
        Places that this daemon holds of owners.
    passed_over : int
        Asks that got no word of an owner.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        owner: _owner.Owner,
        ownership: _ownership.Ownership,
        links: _holdings.Links,
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
        self._silent_until: dict[_ids.DaemonId, float] = {}
        self._silences: dict[_ids.DaemonId, int] = {}
        self.holdings = _holdings.Holdings(
            daemon=daemon,
            owner=owner,
            ownership=ownership,
            links=links,
            clock=clock,
        )
        self.passed_over = 0

    def new_number(self) -> _ids.AskNumber:
        """Give the number of a new ask."""
        return _ids.AskNumber(next(self._numbers))

    def ask(
        self,
        request: _place.PlaceRequest,
        replica: _ids.ReplicaId,
        *,
        home: bool,
        wait: float = 0.0,
        total: int = 0,
        may_wait: bool = False,
        patience: float = 0.0,
        cold: bool = False,
    ) -> OwnerAnswer | None:
        """Ask a replica's owner for a place.

        Parameters
        ----------
        request : PlaceRequest
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
        patience : float
            Seconds that this request can wait for the owner's word, if that
            is longer than the usual timeout.
        cold : bool
            Whether the replica has just started, as this daemon sees it.

        Returns
        -------
        OwnerAnswer or None
            None if there is no owner, or no word of it.
        """
        owner = self._ownership.owner_of(replica)
        if owner is None:
            return None
        now = self._clock.monotonic()
        if now < self._silent_until.get(owner, 0.0):
            self.passed_over += 1
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
            longest=max(0.0, request.deadline - now) * LONGEST_RETURN_PART,
            shared=request.shared_tokens,
            may_wait=may_wait,
            cold=cold,
        )
        self.holdings.pending_by_ask[ask] = owner
        try:
            timeout = max(self._timeout, patience) + wait
            reply = self._exchange(owner, message, timeout)
        except BaseException:
            # The caller left while its ask waited: a turn that comes later
            # would be granted to nobody and its slot lost.
            self.holdings.send_release(owner, ask)
            raise
        finally:
            del self.holdings.pending_by_ask[ask]
        if reply is None:
            self._pass_over(owner, ask, since=now, waited=wait > 0)
            return None
        self._silences.pop(owner, None)
        return OwnerAnswer(ask, owner, reply)

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

    def _pass_over(
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
        self.passed_over += 1
        if not waited and not self._links.heard_since(owner, since):
            silences = self._silences.get(owner, 0)
            self._silences[owner] = silences + 1
            pause = _FIRST_SILENT_SECONDS * 2 ** min(silences, 8)
            pause = min(pause, _SILENT_SECONDS)
            self._silent_until[owner] = self._clock.monotonic() + pause
            _log.info(
                "no word of {owner}, it is passed over for {seconds} s",
                owner=owner,
                seconds=pause,
                silences=silences + 1,
            )
        self.holdings.send_release(owner, ask)

    def tell(self, replica: _ids.ReplicaId, word: messages.EngineWord) -> None:
        """Tell a replica's owner what the head of an answer said."""
        owner = self._ownership.owner_of(replica)
        if owner == self._daemon:
            self._owner.take_word(word)
        elif owner is not None:
            self.holdings.send(owner, word)

    def tell_unreached(self, replica: _ids.ReplicaId) -> None:
        """Tell a replica's owner that it took no connection."""
        owner = self._ownership.owner_of(replica)
        note = messages.Unreached(replica=replica)
        if owner == self._daemon:
            self._owner.note_unreached(note)
        elif owner is not None:
            self.holdings.send(owner, note)

    def tell_backoff(
        self, target: _targets.Target, word: _target_report.TargetReport
    ) -> None:
        """Tell a target's owner that it has asked this daemon for a backoff.

        Parameters
        ----------
        target : Target
            Who asks.
        word : TargetReport
            What it says of itself.
        """
        owner = self._ownership.owner_of(target.replica)
        if word.backoff <= 0 or owner is None:
            return
        note = messages.Backoff(
            replica=target.replica,
            incarnation=target.incarnation,
            seconds=word.backoff,
        )
        if owner == self._daemon:
            self._owner.note_backoff(self._daemon, note)
        else:
            self.holdings.send(owner, note)

    def note_turned_away(
        self,
        request: _place.PlaceRequest,
        home: _ids.ReplicaId,
        *,
        seconds: float,
    ) -> None:
        """Tell the home's owner that a request may come back in a while."""
        note = messages.TurnedAway(
            replica=home,
            request=request.prompt,
            rank=request.rank,
            seconds=seconds,
        )
        owner = self._ownership.owner_of(home)
        if owner == self._daemon:
            self._owner.note_turned_away(note)
        elif owner is not None:
            self.holdings.send(owner, note)

    def note_displacement(
        self,
        place: _place.Place,
        *,
        home: _ids.ReplicaId,
        seat: _ids.ReplicaId | None,
    ) -> None:
        """Tell the home's owner where its chat went.

        Only a chat that moved is told: one that is at home, or still at
        the seat that the owner remembers, costs no message.

        Parameters
        ----------
        place : Place
            Where it is now.
        home : ReplicaId
            First of its rank.
        seat : ReplicaId or None
            The seat that the owner remembered.
        """
        replica = place.target.replica
        unmoved = replica == seat or (place.home and not seat)
        if unmoved or place.request.excluded:
            return
        owner = self._ownership.owner_of(home)
        note = messages.Displaced(
            group=place.request.group,
            home=home,
            chat=place.request.chat,
            replica="" if place.home else replica,
        )
        if owner == self._daemon:
            self._owner.displaced.note(note)
        elif owner is not None:
            self.holdings.send(owner, note)
