"""Places requests by this daemon's own view of the replicas.

A request with context goes to its chat's home while the home is within the
bound (consistent hashing with bounded loads); one without context goes to the
replica with the shortest expected time to an answer.
"""

import itertools
from typing import final

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.placement import _replica_view
from topazlug.routing import _no_usable_replica
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _targets
from topazlug.versions import _group_versions

_log = _logs.logger("forwarding")
# A replica may hold this multiple of its group's mean load plus the margin.
# The limit that must not be exceeded is 2 times the mean plus 3; the
# difference covers the delay of reports of other daemons' requests.
_BOUND_FACTOR = 1.5
_MARGIN = 2.0
# Assumed latency of a replica that has no measured one.
_DEFAULT_LATENCY_SECONDS = 0.02
_RETRY_AFTER_SECONDS = 0.3
# A view is partly some seconds old. It must show a load of this multiple of
# the slots before a request is rejected based on it alone.
_FULL_FACTOR = 1.25


@final
class ViewAdmission:
    """Places requests without messages to other daemons.

    Parameters
    ----------
    targets : TargetDirectory
        Replicas that may get new work.
    views : ReplicaViews
        Load and health of replicas as seen by this daemon.
    versions : GroupVersions or None
        Software versions of each group; None to place new streams at all.
    """

    def __init__(
        self,
        *,
        targets: _targets.TargetDirectory,
        views: _replica_view.ReplicaViews,
        versions: _group_versions.GroupVersions | None = None,
    ) -> None:
        self._versions = versions
        self._targets = targets
        self._views = views
        self._numbers = itertools.count(1)
        self._round_robin = itertools.count()

    def admit(
        self, request: _placement.PlacementRequest
    ) -> _placement.Placement:
        """Choose a replica and hold a slot there.

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
            chosen, home = self._fastest(candidates), False
        target = self._targets.target_by_replica[chosen]
        _log.info(
            "placed at {replica}: load {load:.1f}, mean {mean:.1f}",
            replica=chosen,
            version=target.version,
            load=round(self._views.of(chosen).load, 2),
            mean=round(self._mean(candidates), 2),
            home=home,
            candidates=len(candidates),
            report_age=self._views.of(chosen).report_age,
        )
        self._views.of_incarnation(target).in_flight += 1
        return _placement.Placement(
            target=target,
            ask=_ids.AdmissionRequestId(next(self._numbers)),
            owner=None,
            request=request,
            home=home,
        )

    def candidates(
        self, request: _placement.PlacementRequest
    ) -> list[_ids.ReplicaId]:
        """Return the replicas that may take a request.

        Raises
        ------
        NoTarget
            There is none.
        Overloaded
            All replicas are in backoff.
        """
        usable = self._of_version(
            request,
            [
                replica
                for replica in self._targets.usable(request.group)
                if replica not in request.excluded
            ],
        )
        if not usable:
            raise _no_usable_replica.no_usable_replica_error(
                self._targets, request, retry_after=_RETRY_AFTER_SECONDS
            )
        targets = self._targets.target_by_replica
        found = self._targets.ejected.without_ejected(
            targets[replica] for replica in self._reachable(usable)
        )
        return self._views.healthy(found)

    def may_use(
        self, request: _placement.PlacementRequest, replica: _ids.ReplicaId
    ) -> bool:
        """Return whether a replica that was chosen may still be used.

        It may have left, or another version may have taken its place.
        """
        if not self._targets.is_usable(replica):
            return False
        if request.version is None:
            return True
        version = self._targets.target_by_replica[replica].version
        return version == request.version

    def _of_version(
        self,
        request: _placement.PlacementRequest,
        usable: list[_ids.ReplicaId],
    ) -> list[_ids.ReplicaId]:
        """Return the replicas whose software version may get a request."""
        targets = self._targets.target_by_replica
        if request.version is not None:
            return [
                replica
                for replica in usable
                if targets[replica].version == request.version
            ]
        if self._versions is None or not request.begins_stream:
            return usable
        found = self._versions.settled(
            request.group, [targets[replica] for replica in usable]
        )
        return [target.replica for target in found]

    def _reachable(self, usable: list[_ids.ReplicaId]) -> list[_ids.ReplicaId]:
        """Exclude replicas in unreachable zones, unless no other is left."""
        targets = self._targets.target_by_replica
        found = [
            replica
            for replica in usable
            if self._targets.reachability.is_reachable(targets[replica].zone)
        ]
        return found or usable

    def is_cold(self, replica: _ids.ReplicaId) -> bool:
        """Return whether a replica has just started."""
        target = self._targets.target_by_replica.get(replica)
        return target is not None and self._targets.cold.is_cold(target)

    def warm(self, candidates: list[_ids.ReplicaId]) -> list[_ids.ReplicaId]:
        """Return the candidates that have not just started."""
        return [replica for replica in candidates if not self.is_cold(replica)]

    def _without_cold(
        self,
        request: _placement.PlacementRequest,
        candidates: list[_ids.ReplicaId],
    ) -> list[_ids.ReplicaId]:
        """Exclude replicas that have just started.

        They tolerate only a few requests a second from all daemons together,
        and only their owners count how many they got.
        """
        found = self.warm(candidates)
        if not found:
            raise _errors.Overloaded(
                f"all replicas of {request.group} have just started",
                retry_after=_RETRY_AFTER_SECONDS,
            ).refused_by(_errors.Guard.COLD, request.group)
        return found

    def _by_context(
        self,
        request: _placement.PlacementRequest,
        candidates: list[_ids.ReplicaId],
    ) -> tuple[_ids.ReplicaId, bool]:
        home = _ranking.first(candidates, request.chat)
        candidates = self._with_capacity(request, candidates)
        loads = self._loads(candidates)
        least = min(candidates, key=loads.__getitem__)
        self._check_capacity(request, least, loads[least])
        bound = _BOUND_FACTOR * sum(loads.values()) / len(loads)
        ranked = _ranking.rank(candidates, request.chat, count=len(candidates))
        for name in ranked:
            replica = _ids.ReplicaId(name)
            slowness = self._views.of(replica).slowness
            if loads[replica] + 1 <= bound / slowness + _MARGIN:
                return replica, name == home
        return least, False

    def _with_capacity(
        self,
        request: _placement.PlacementRequest,
        candidates: list[_ids.ReplicaId],
    ) -> list[_ids.ReplicaId]:
        """Exclude replicas whose owners have just rejected the rank."""
        if request.rank < 0:
            return candidates
        found = [
            replica
            for replica in candidates
            if not self._views.of(replica).is_full(request.rank)
        ]
        if not found:
            raise _errors.Overloaded(
                f"no replica of {request.group} has free capacity for rank "
                f"{request.rank}",
                retry_after=_RETRY_AFTER_SECONDS,
            ).refused_by(_errors.Guard.CAPACITY, request.group)
        return found

    def _loads(
        self, candidates: list[_ids.ReplicaId]
    ) -> dict[_ids.ReplicaId, float]:
        """Return the loads; at least the mean if there is no current report.

        Otherwise it would be the least loaded replica for every daemon.
        """
        views = {replica: self._views.of(replica) for replica in candidates}
        known = [
            view.load for view in views.values() if view.has_current_report
        ]
        mean = sum(known) / len(known) if known else 0.0
        return {
            replica: (
                view.load if view.has_current_report else max(view.load, mean)
            )
            for replica, view in views.items()
        }

    def _check_capacity(
        self,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        load: float,
    ) -> None:
        """Reject a request if even the least loaded replica has no free slot.

        Without this check, while no owner replies, each daemon would go on
        sending all its requests to full replicas until their queues reject
        them.
        """
        slots = self._targets.target_by_replica[replica].slots
        if request.rank < 0 or not slots or load < slots * _FULL_FACTOR:
            return
        raise _errors.Overloaded(
            f"all replicas of {request.group} seem full: the least loaded "
            f"holds {load:.0f} requests",
            retry_after=_RETRY_AFTER_SECONDS,
        ).refused_by(_errors.Guard.CAPACITY, request.group)

    def _mean(self, candidates: list[_ids.ReplicaId]) -> float:
        total = sum(self._views.of(replica).load for replica in candidates)
        return total / len(candidates)

    def _fastest(self, candidates: list[_ids.ReplicaId]) -> _ids.ReplicaId:
        """Return a replica with about the least expected time to an answer."""

        def expected_seconds(replica: _ids.ReplicaId) -> float:
            view = self._views.of(replica)
            latency = max(view.latency, _DEFAULT_LATENCY_SECONDS)
            return latency * (view.load + 1.0)

        best = min(map(expected_seconds, candidates))
        # Daemons with the same reports must not all choose the same replica.
        near = [
            replica
            for replica in candidates
            if expected_seconds(replica) <= 1.25 * best
        ]
        return near[next(self._round_robin) % len(near)]

    def release(self, placement: _placement.Placement) -> None:
        """Release a slot; further calls do nothing."""
        if placement.released:
            return
        placement.released = True
        self._views.of_incarnation(placement.target).in_flight -= 1
