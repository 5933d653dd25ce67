"""Asks owners for a place, one replica of a chat's rank after the other."""

from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.placement import _view_admission
from topazlug.routing import _owner_asks
from topazlug.routing import _place
from topazlug.routing import _ranking
from topazlug.targets import _targets

_log = _logs.logger("forwarding")
# Owners asked for one request. Past the bound the next of the rank nearly
# always has room; each ask between zones costs the caller some 2 ms.
_MOST_ASKS = 3
# So much of the time within which an answer is on time may pass until an
# owner's word comes: on a slow link it waits behind whole bodies.
_WORD_PART = 0.15
_LONGEST_WORD_SECONDS = 0.12
_REFUSALS = (messages.Verdict.full, messages.Verdict.over_bound)


@final
class Full(Exception):
    """No replica that was asked has room.

    Attributes
    ----------
    home : ReplicaId
        Whose owner keeps a place for later.
    seconds : float
        When that place is due.
    """

    def __init__(self, home: _ids.ReplicaId, seconds: float) -> None:
        super().__init__()
        self.home = home
        self.seconds = seconds


@final
class OwnerSearch:
    """Asks owners in the order of a chat's rank.

    Parameters
    ----------
    alone : ViewAdmission
        Says which replicas may be asked for.
    targets : TargetDirectory
        Which replicas may get new work.
    views : ReplicaViews
        Get what owners say.
    clock : Clock
        Time.
    without : frozenset of Mechanism
        What is switched off.
    """

    def __init__(
        self,
        *,
        alone: _view_admission.ViewAdmission,
        targets: _targets.TargetDirectory,
        views: _replica_view.ReplicaViews,
        clock: _clock.Clock,
        without: _mechanisms.Without = _mechanisms.NONE,
    ) -> None:
        self._alone = alone
        self._targets = targets
        self._views = views
        self._clock = clock
        self._without = without

    @property
    def _forgets_displaced(self) -> bool:
        return _mechanisms.Mechanism.DISPLACED in self._without

    def search(
        self, asks: _owner_asks.OwnerAsks, request: _place.PlaceRequest
    ) -> _place.Place | None:
        """Ask owners in the order of the rank; None if none gave a word."""
        candidates = self._alone.candidates(request)
        ranked = _ranked(candidates, request, count=_MOST_ASKS)
        ranked += self._warm_ones(candidates, request, ranked)
        home = ranked[0]
        seat: _ids.ReplicaId | None = None
        wanted = list(ranked)
        refusals: dict[_ids.ReplicaId, _owner_asks.OwnerAnswer] = {}
        while wanted:
            replica = wanted.pop(0)
            answer = self._ask_one(
                asks, request, replica, home=replica == home and seat is None
            )
            if answer is None:
                return None
            verdict = answer.reply.verdict
            if answer.reply.backoff > 0:
                others = _next_of_rank(candidates, request, ranked)
                ranked += others
                wanted += others
            elif verdict is messages.Verdict.granted:
                place = self._take(asks, request, replica, answer, home)
                if place is not None and not self._forgets_displaced:
                    asks.note_displacement(place, home=home, seat=seat)
                return place
            elif verdict is messages.Verdict.elsewhere:
                seat = _ids.ReplicaId(answer.reply.replica)
                others = [one for one in ranked if one != seat]
                wanted = [seat, *others] if seat in candidates else others
            elif verdict in _REFUSALS:
                refusals[replica] = answer
            else:
                return None
        if not refusals:
            # All have asked for a backoff.
            return None
        kept_at = home if home in refusals else next(iter(refusals))
        return self._refused(asks, request, refusals, kept_at)

    def _warm_ones(
        self,
        candidates: list[_ids.ReplicaId],
        request: _place.PlaceRequest,
        ranked: list[_ids.ReplicaId],
    ) -> list[_ids.ReplicaId]:
        """Give whom to ask besides, where those asked have just started.

        After a zone's return most of a chat's rank may be cold and have no
        room, while the other zones have.
        """
        warm = self._alone.warm(candidates)
        if len(warm) == len(candidates) or not set(ranked) - set(warm):
            return []
        found = _ranked(warm, request, count=_MOST_ASKS)
        return [one for one in found if one not in ranked]

    def _ask_one(
        self,
        asks: _owner_asks.OwnerAsks,
        request: _place.PlaceRequest,
        replica: _ids.ReplicaId,
        *,
        home: bool,
    ) -> _owner_asks.OwnerAnswer | None:
        """Ask one owner, again while the request's context is being read.

        Whoever does not wait reads the same prompt once more, beside the
        first. Who has waited for as long as it may goes ahead.
        """
        started = self._clock.monotonic()
        longest = request.context_wait
        if _mechanisms.Mechanism.CONTEXT_READS in self._without:
            longest = 0.0
        while True:
            left = longest - (self._clock.monotonic() - started)
            answer = asks.ask(
                request,
                replica,
                home=home,
                may_wait=left > 0,
                patience=min(
                    _LONGEST_WORD_SECONDS, request.context_wait * _WORD_PART
                ),
                cold=self._alone.is_cold(replica),
            )
            if answer is None:
                return None
            self._note_word(request, replica, answer.reply)
            if answer.reply.verdict is not messages.Verdict.reading:
                return answer
            self._clock.sleep(min(left, answer.reply.retry_after))

    def _note_word(
        self,
        request: _place.PlaceRequest,
        replica: _ids.ReplicaId,
        reply: messages.AdmitReply,
    ) -> None:
        """Keep what an owner said, for when none says a word.

        This daemon sees a sliver of the requests: of the places that it took
        by its own view at four times the load, half were on replicas of
        which it knew nothing, and those were full.
        """
        if reply.backoff > 0:
            self._targets.apply_peer_backoff(replica, reply.backoff)
            return
        view = self._views.of(replica)
        if reply.verdict is messages.Verdict.granted:
            view.note_report(reply.load - 1)
        elif reply.verdict in _REFUSALS:
            view.note_report(reply.load)
        is_full = reply.verdict is messages.Verdict.full
        if is_full and request.rank >= 0 and not reply.cold:
            view.note_full(request.rank)

    def _refused(
        self,
        asks: _owner_asks.OwnerAsks,
        request: _place.PlaceRequest,
        refusals: dict[_ids.ReplicaId, _owner_asks.OwnerAnswer],
        home: _ids.ReplicaId,
    ) -> _place.Place | None:
        """Do without an owner's leave, or turn the request away.

        What is only over a bound goes to the least loaded. What no replica
        has room for is turned away at once: it would wait on a replica until
        its deadline, and keep others waiting.
        """
        is_over = messages.Verdict.over_bound
        bounded = {
            replica: answer
            for replica, answer in refusals.items()
            if not answer.reply.cold
            and (answer.reply.verdict is is_over or request.rank < 0)
        }
        if bounded:
            return self._least(asks, request, bounded, home)
        if home not in refusals:
            return None
        raise Full(home, refusals[home].reply.retry_after)

    def _least(
        self,
        asks: _owner_asks.OwnerAsks,
        request: _place.PlaceRequest,
        refusals: dict[_ids.ReplicaId, _owner_asks.OwnerAnswer],
        home: _ids.ReplicaId,
    ) -> _place.Place | None:
        """Take the least loaded of those that have no room.

        Replicas queue by rank what they can't run yet, better than requests
        could wait here. The owner counts it from the next renewal on.
        """
        replica = min(refusals, key=lambda one: refusals[one].reply.load)
        answer = refusals[replica]._replace(ask=asks.new_number())
        return self._take(asks, request, replica, answer, home)

    def _take(
        self,
        asks: _owner_asks.OwnerAsks,
        request: _place.PlaceRequest,
        replica: _ids.ReplicaId,
        answer: _owner_asks.OwnerAnswer,
        home: _ids.ReplicaId,
    ) -> _place.Place | None:
        """Take a place; None if the replica has left meanwhile.

        While owners were asked the list may have changed. The place would
        be taken on a replica that is leaving or gone, and with a fault here
        its owner would count it for as long as this daemon lives.
        """
        if not self._targets.is_usable(replica):
            asks.holdings.send_release(answer.owner, answer.ask)
            return None
        _log.info(
            "placed at {replica}: its owner {owner} counts {load}",
            replica=replica,
            owner=answer.owner,
            load=answer.reply.load,
            verdict=answer.reply.verdict.value,
            home=replica == home,
        )
        target = self._targets.target_by_replica[replica]
        self._views.of_start(target).in_flight += 1
        place = _place.Place(
            target=target,
            ask=answer.ask,
            owner=answer.owner,
            request=request,
            home=replica == home,
            reads_context=answer.reply.reads,
        )
        asks.holdings.place_by_ask[place.ask] = place
        return place


def _ranked(
    candidates: list[_ids.ReplicaId],
    request: _place.PlaceRequest,
    *,
    count: int,
) -> list[_ids.ReplicaId]:
    """Give the first replicas of a chat's rank."""
    names = _ranking.rank(candidates, request.chat, count=count)
    return [_ids.ReplicaId(name) for name in names]


def _next_of_rank(
    candidates: list[_ids.ReplicaId],
    request: _place.PlaceRequest,
    asked: list[_ids.ReplicaId],
) -> list[_ids.ReplicaId]:
    """Give whom to ask in place of one that wants nothing, if any."""
    count = min(len(candidates), len(asked) + 1)
    found = _ranked(candidates, request, count=count)
    return [one for one in found if one not in asked][:1]
