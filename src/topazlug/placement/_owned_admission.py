"""Places requests by the owners' exact counts, else by own views.

Each replica's load is counted by one daemon, its owner. A daemon that sees a
sliver of the requests would take a full replica for an empty one; the owner
sees all of them. Where the owner says nothing, the request does not wait for
another one: this daemon's own view decides.
"""

from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.placement import _mechanisms
from topazlug.placement import _owner_search
from topazlug.placement import _replica_view
from topazlug.placement import _view_admission
from topazlug.routing import _owner_asks
from topazlug.routing import _place
from topazlug.targets import _targets

_log = _logs.logger("forwarding")
# A request waits here for room for this part of the time within which its
# answer is on time; the rest is for the answer.
_WAIT_PART = 0.4
# A caller that is told to come back does not come sooner.
_SOONEST_RETURN_SECONDS = 0.2
# A head that took more than this part of the time within which it is on time
# is slow: what comes behind it will be late.
_SLOW_PART = 0.5


@final
class OwnedAdmission:
    """Finds places with the owners' word.

    Parameters
    ----------
    alone : ViewAdmission
        Decides without owners.
    targets : TargetDirectory
        Which replicas may get new work.
    views : ReplicaViews
        Their load and health as seen here.
    clock : Clock
        Time.
    without : frozenset of Mechanism
        What is switched off.

    Attributes
    ----------
    asks : OwnerAsks or None
        How owners are asked; None until this daemon has joined its fleet.
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
        self._clock = clock
        self._without = without
        self._alone = alone
        self._targets = targets
        self._views = views
        self._search = _owner_search.OwnerSearch(
            alone=alone,
            targets=targets,
            views=views,
            clock=clock,
            without=without,
        )
        self.asks: _owner_asks.OwnerAsks | None = None
        # Replicas whose last answer told that work waits there.
        self._queueing: set[_ids.ReplicaId] = set()

    def admit(self, request: _place.PlaceRequest) -> _place.Place:
        """Find a place.

        Raises
        ------
        NoTarget
            The group has no usable replica that was not tried.
        Overloaded
            No replica has room for the request's rank.
        """
        asks = self.asks
        if asks is None:
            return self._alone.admit(request)
        if not request.keeps_context:
            return self._by_latency(asks, request)
        if _mechanisms.Mechanism.RANK_LIMITS in self._without:
            request = msgspec.structs.replace(request, rank=-1)
        place = self._ask_in_time(asks, request)
        return self._by_view(asks, request) if place is None else place

    def _by_latency(
        self, asks: _owner_asks.OwnerAsks, request: _place.PlaceRequest
    ) -> _place.Place:
        """Find a place where any replica does as well.

        Only if all of them have just started their owners are asked: they
        alone know what a cold replica has got in the last second.
        """
        if self._alone.warm(self._alone.candidates(request)):
            return self._alone.admit(request)
        place = self._ask_in_time(asks, request)
        return self._alone.admit(request) if place is None else place

    def _by_view(
        self, asks: _owner_asks.OwnerAsks, request: _place.PlaceRequest
    ) -> _place.Place:
        """Find a place without an owner's word, and tell it afterwards.

        An owner that comes back would else take the replica for emptier
        than it is, by all that was placed meanwhile, and let in as much
        again. The next renewal tells it.
        """
        place = self._alone.admit(request)
        place.ask = asks.new_number()
        asks.holdings.place_by_ask[place.ask] = place
        return place

    def _ask_in_time(
        self, asks: _owner_asks.OwnerAsks, request: _place.PlaceRequest
    ) -> _place.Place | None:
        """Ask owners, and once more if room is due while it may be on time.

        A place is kept for who was turned away. If that is due soon enough
        for the answer to be on time, the request waits for it here instead
        of at its caller: that costs no new connection and not the one
        repeat that most callers make.
        """
        longest = request.context_wait * _WAIT_PART
        if _mechanisms.Mechanism.WAITING in self._without:
            longest = 0.0
        try:
            return self._search.search(asks, request)
        except _owner_search.Full as full:
            if full.seconds > longest:
                raise self._turned_away(asks, request, full) from full
            self._keep_place(asks, request, full.home, full.seconds)
            self._clock.sleep(full.seconds)
        try:
            return self._search.search(asks, request)
        except _owner_search.Full as full:
            raise self._turned_away(asks, request, full) from full

    def _turned_away(
        self,
        asks: _owner_asks.OwnerAsks,
        request: _place.PlaceRequest,
        full: _owner_search.Full,
    ) -> _errors.Overloaded:
        """Give the answer to a request that no replica has room for.

        A place is kept for its return only if that can still be on time: a
        place that goes to who is late anyway is lost to one who is not.
        """
        seconds = max(_SOONEST_RETURN_SECONDS, full.seconds)
        if seconds <= request.context_wait:
            self._keep_place(asks, request, full.home, seconds)
        return _errors.Overloaded(
            f"no replica of {request.group} has room for rank {request.rank}",
            retry_after=seconds,
        )

    def _keep_place(
        self,
        asks: _owner_asks.OwnerAsks,
        request: _place.PlaceRequest,
        home: _ids.ReplicaId,
        seconds: float,
    ) -> None:
        if _mechanisms.Mechanism.KEPT_PLACES not in self._without:
            asks.note_turned_away(request, home, seconds=seconds)

    def note_unreached(self, place: _place.Place, *, is_silent: bool) -> None:
        """Note that a replica took no connection.

        It may be about to start again, and its entry tells of that seconds
        later; its owner must not send it all of its chats at once.

        Parameters
        ----------
        place : Place
            Where it was to run.
        is_silent : bool
            Whether the connection was not refused either.
        """
        target = place.target
        if is_silent and self._targets.reachability.record_timeout(target):
            _log.warning("zone {zone} is not reached", zone=target.zone)
        self._targets.cold.presume_cold([target])
        if self.asks is not None:
            self.asks.tell_unreached(place.target.replica)

    def note_head(
        self, place: _place.Place, running: int, waiting: int, seconds: float
    ) -> None:
        """Tell the replica's owner what the head of an answer said.

        Told is what the owner needs: that a context was read, that work
        waits on the replica, and once that none does any more. It is told of
        places that were found without it too: those are the ones that it
        could not keep within the limits.

        Parameters
        ----------
        place : Place
            Where the answer comes from.
        running, waiting : int
            Requests that the replica says it runs, and that wait there.
        seconds : float
            Time that the head took.
        """
        if self.asks is None:
            return
        replica = place.target.replica
        was_queueing = replica in self._queueing
        if waiting:
            self._queueing.add(replica)
        else:
            self._queueing.discard(replica)
        if not (place.reads_context or waiting or was_queueing):
            return
        word = messages.EngineWord(
            replica=replica,
            running=running,
            waiting=waiting,
            slow=seconds > place.request.context_wait * _SLOW_PART,
            read=place.request.chat if place.reads_context else 0,
        )
        place.reads_context = False
        self.asks.tell(replica, word)

    def release(self, place: _place.Place) -> None:
        """Give a place back; a second time does nothing."""
        if place.released:
            return
        # Numbers of places that no owner counts are of another series.
        if self.asks is not None:
            held = self.asks.holdings.place_by_ask
            if held.get(place.ask) is place:
                self.asks.holdings.release(place)
        self._alone.release(place)
