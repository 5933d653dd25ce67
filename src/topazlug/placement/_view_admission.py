"""Places requests by what this daemon knows by itself.

A request with context goes to its chat's home while the home stays within
the bound, as consistent hashing with bounded loads does; one without goes
where it is likely to be answered first.
"""

import itertools
from typing import final

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.placement import _replica_view
from topazlug.routing import _no_target
from topazlug.routing import _place
from topazlug.routing import _ranking
from topazlug.targets import _targets

_log = _logs.logger("forwarding")
# A replica may hold this multiple of its group's mean load plus the margin.
# The bound that must not be passed is 2 times the mean plus 3; the rest
# covers what reports of other daemons' requests lag behind.
_BOUND = 1.5
_MARGIN = 2.0
# A replica of which no latency is known is taken to be as fast as this.
_UNKNOWN_LATENCY = 0.02
_NO_TARGET_SECONDS = 0.3
# A view is some seconds old in part; it must show more than all slots taken
# before a request is refused by it alone.
_FULL = 1.25


@final
class ViewAdmission:
    """Finds places without a word to other daemons.

    Parameters
    ----------
    targets : TargetDirectory
        Which replicas may get new work.
    views : ReplicaViews
        Their load and health as seen here.
    """

    def __init__(
        self,
        *,
        targets: _targets.TargetDirectory,
        views: _replica_view.ReplicaViews,
    ) -> None:
        self._targets = targets
        self._views = views
        self._numbers = itertools.count(1)
        self._turns = itertools.count()

    def admit(self, request: _place.PlaceRequest) -> _place.Place:
        """Find a place.

        Raises
        ------
        NoTarget
            The group has no usable replica that was not tried.
        Overloaded
            All replicas seem full.
        """
        candidates = self._without_cold(request, self.candidates(request))
        if request.keeps_context:
            chosen, home = self._by_context(request, candidates)
        else:
            chosen, home = self._soonest(candidates), False
        _log.info(
            "placed at {replica}: load {load:.1f}, mean {mean:.1f}",
            replica=chosen,
            load=round(self._views.of(chosen).load, 2),
            mean=round(self._mean(candidates), 2),
            home=home,
            candidates=len(candidates),
            report_age=self._views.of(chosen).report_age,
        )
        target = self._targets.target_by_replica[chosen]
        self._views.of_start(target).in_flight += 1
        return _place.Place(
            target=target,
            ask=_ids.AskNumber(next(self._numbers)),
            owner=None,
            request=request,
            home=home,
        )

    def candidates(self, request: _place.PlaceRequest) -> list[_ids.ReplicaId]:
        """Give the replicas that may take a request.

        Raises
        ------
        NoTarget
            There is none.
        Overloaded
            All there are want nothing for a while.
        """
        usable = [
            replica
            for replica in self._targets.usable(request.group)
            if replica not in request.excluded
        ]
        if not usable:
            raise _no_target.none_usable(
                self._targets, request, retry_after=_NO_TARGET_SECONDS
            )
        return self._views.sound(self._reachable(usable))

    def _reachable(self, usable: list[_ids.ReplicaId]) -> list[_ids.ReplicaId]:
        """Leave out zones that this daemon has no way to, unless all are."""
        zone_of = self._targets.target_by_replica
        found = [
            one
            for one in usable
            if self._targets.reachability.is_reachable(zone_of[one].zone)
        ]
        return found or usable

    def is_cold(self, replica: _ids.ReplicaId) -> bool:
        """Say whether a replica has just started."""
        target = self._targets.target_by_replica.get(replica)
        return target is not None and self._targets.cold.is_cold(target)

    def warm(self, candidates: list[_ids.ReplicaId]) -> list[_ids.ReplicaId]:
        """Give the candidates that have not just started."""
        return [one for one in candidates if not self.is_cold(one)]

    def _without_cold(
        self, request: _place.PlaceRequest, candidates: list[_ids.ReplicaId]
    ) -> list[_ids.ReplicaId]:
        """Leave out replicas that have just started.

        They stand a few requests a second of all daemons together, and only
        their owners know how many they got.
        """
        found = self.warm(candidates)
        if not found:
            raise _errors.Overloaded(
                f"all replicas of {request.group} have just started",
                retry_after=_NO_TARGET_SECONDS,
            )
        return found

    def _by_context(
        self,
        request: _place.PlaceRequest,
        candidates: list[_ids.ReplicaId],
    ) -> tuple[_ids.ReplicaId, bool]:
        home = _ranking.first(candidates, request.chat)
        candidates = self._with_room(request, candidates)
        loads = self._loads(candidates)
        least = min(candidates, key=loads.__getitem__)
        self._check_room(request, least, loads[least])
        bound = _BOUND * sum(loads.values()) / len(loads) + _MARGIN
        ranked = _ranking.rank(candidates, request.chat, count=len(candidates))
        for name in ranked:
            replica = _ids.ReplicaId(name)
            if loads[replica] + 1 <= bound:
                return replica, name == home
        return least, False

    def _with_room(
        self, request: _place.PlaceRequest, candidates: list[_ids.ReplicaId]
    ) -> list[_ids.ReplicaId]:
        """Leave out replicas whose owners have just had no room."""
        if request.rank < 0:
            return candidates
        found = [
            one
            for one in candidates
            if not self._views.of(one).is_full(request.rank)
        ]
        if not found:
            raise _errors.Overloaded(
                f"no replica of {request.group} has room for rank "
                f"{request.rank}",
                retry_after=_NO_TARGET_SECONDS,
            )
        return found

    def _loads(
        self, candidates: list[_ids.ReplicaId]
    ) -> dict[_ids.ReplicaId, float]:
        """Give loads; a replica of which nothing is known has the mean.

        Taken for empty it would be everybody's least loaded one.
        """
        views = {one: self._views.of(one) for one in candidates}
        known = [view.load for view in views.values() if view.is_known]
        mean = sum(known) / len(known) if known else 0.0
        return {
            one: view.load if view.is_known else max(view.load, mean)
            for one, view in views.items()
        }

    def _check_room(
        self,
        request: _place.PlaceRequest,
        replica: _ids.ReplicaId,
        load: float,
    ) -> None:
        """Refuse what even the least loaded replica has no slot for.

        While no owner says a word, each daemon would go on sending all that
        comes to replicas that are full, until their queues refuse it.
        """
        slots = self._targets.target_by_replica[replica].slots
        if request.rank < 0 or not slots or load < slots * _FULL:
            return
        raise _errors.Overloaded(
            f"all replicas of {request.group} seem full: the least loaded "
            f"holds {load:.0f}",
            retry_after=_NO_TARGET_SECONDS,
        )

    def _mean(self, candidates: list[_ids.ReplicaId]) -> float:
        total = sum(self._views.of(one).load for one in candidates)
        return total / len(candidates)

    def _soonest(self, candidates: list[_ids.ReplicaId]) -> _ids.ReplicaId:
        """Give the replica with the least expected time to an answer."""

        def expected(replica: _ids.ReplicaId) -> float:
            view = self._views.of(replica)
            latency = max(view.latency, _UNKNOWN_LATENCY)
            return latency * (view.load + 1.0)

        best = min(map(expected, candidates))
        # Daemons that see the same reports must not all choose the same.
        near = [one for one in candidates if expected(one) <= 1.25 * best]
        return near[next(self._turns) % len(near)]

    def release(self, place: _place.Place) -> None:
        """Give a place back; a second time does nothing."""
        if place.released:
            return
        place.released = True
        self._views.of_start(place.target).in_flight -= 1
