"""Places requests by the owners' exact counts, else by own views.

Each replica's load is counted by one daemon, its owner. A daemon that sees a
sliver of the requests would take a full replica for an empty one; the owner
sees all of them. Where the owner says nothing, the request does not wait for
another one: this daemon's own view decides.
"""

from typing import final

from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
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
_REFUSALS = (messages.Verdict.full, messages.Verdict.over_bound)


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
    ) -> None:
        self._alone = alone
        self._targets = targets
        self._views = views
        self.asks: _owner_asks.OwnerAsks | None = None

    def admit(self, request: _place.PlaceRequest) -> _place.Place:
        """Find a place.

        Raises
        ------
        NoTarget
            The group has no usable replica that was not tried.
        """
        asks = self.asks
        if asks is None or not request.keeps_context:
            return self._alone.admit(request)
        place = self._ask(asks, request)
        return self._alone.admit(request) if place is None else place

    def _ask(
        self, asks: _owner_asks.OwnerAsks, request: _place.PlaceRequest
    ) -> _place.Place | None:
        """Ask owners in the order of the rank; None if none gave a word."""
        candidates = self._alone.candidates(request)
        ranked = [
            _ids.ReplicaId(name)
            for name in _ranking.rank(
                candidates, request.chat, count=_MOST_ASKS
            )
        ]
        home = ranked[0]
        seat: _ids.ReplicaId | None = None
        wanted = list(ranked)
        refusals: dict[_ids.ReplicaId, _owner_asks.OwnerAnswer] = {}
        while wanted:
            replica = wanted.pop(0)
            answer = asks.ask(
                request, replica, home=replica == home and seat is None
            )
            if answer is None:
                return None
            verdict = answer.reply.verdict
            if verdict is messages.Verdict.granted:
                place = self._take(asks, request, replica, answer, home)
                if place is not None:
                    asks.note_displacement(place, home=home, seat=seat)
                return place
            if verdict is messages.Verdict.elsewhere:
                seat = _ids.ReplicaId(answer.reply.replica)
                others = [one for one in ranked if one != seat]
                wanted = [seat, *others] if seat in candidates else others
            elif verdict in _REFUSALS:
                refusals[replica] = answer
            else:
                return None
        return self._least(asks, request, refusals, home)

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
        if not refusals:
            return None
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
        )
        asks.holdings.place_by_ask[place.ask] = place
        return place

    def release(self, place: _place.Place) -> None:
        """Give a place back; a second time does nothing."""
        if place.released:
            return
        # Numbers of places that no owner counts are of another series.
        if self.asks is not None and place.owner is not None:
            self.asks.holdings.release(place)
        self._alone.release(place)
