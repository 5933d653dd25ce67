"""Places requests of groups whose replicas are brittle.

Load pattern: more work arrives than the replicas can run. Otherwise requests
of a group without context are placed by each daemon's own view, and what is
too much waits on the replicas or is rejected by them. A brittle replica
crashes of that. So each request needs a slot that its owner counts, waits for
one at the owner for a moment, and is rejected before it reaches a replica.
"""

from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.placement import _replica_view
from topazlug.placement import _view_admission
from topazlug.routing import _owner_client
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _targets

_log = _logs.logger("forwarding")
# Replicas whose owners are asked for one request.
_MAX_RANKED = 3
# Part of the latency objective that a request may wait for a slot.
_WAIT_FRACTION = 0.4
# Part of the time until the deadline that it may wait at most.
_MAX_WAIT_FRACTION = 0.25
_MIN_RETRY_AFTER_SECONDS = 0.2
# Longer than owners are waited for elsewhere: without a reply the request may
# be rejected, as too many would crash the replica.
_OWNER_TIMEOUT_SECONDS = 0.1
# While no owner replies, a daemon holds its even share of the slots only.
_MIN_SHARE = 1


@final
class BrittlePlacement:
    """Places requests on brittle replicas.

    Parameters
    ----------
    view_admission : ViewAdmission
        Lists the candidate replicas.
    targets : TargetDirectory
        Replicas that may get new work.
    views : ReplicaViews
        Load of replicas as seen by this daemon.
    clock : Clock
        Time.

    Attributes
    ----------
    daemons : int
        Number of daemons of the fleet.
    """

    def __init__(
        self,
        *,
        view_admission: _view_admission.ViewAdmission,
        targets: _targets.TargetDirectory,
        views: _replica_view.ReplicaViews,
        clock: _clock.Clock,
    ) -> None:
        self._view_admission = view_admission
        self._targets = targets
        self._views = views
        self._clock = clock
        self.daemons = 1

    def admit(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
    ) -> _placement.Placement:
        """Hold a slot that an owner has granted.

        Raises
        ------
        NoTarget
            The group has no usable replica that was not tried.
        Overloaded
            No slot is free, nor will be in time.
        """
        ranked = self._ranked(request)
        wait_by_replica: dict[_ids.ReplicaId, float] = {}
        for replica in ranked:
            answer = owner_client.request_admission(
                request,
                replica,
                home=False,
                min_timeout=_OWNER_TIMEOUT_SECONDS,
            )
            if answer is None:
                continue
            self._views.of(replica).record_report(answer.reply.load)
            if answer.reply.verdict is messages.Verdict.granted:
                return self._hold(owner_client, request, replica, answer)
            wait_by_replica[replica] = answer.reply.retry_after
        if not wait_by_replica:
            return self.hold_share(owner_client, request)
        return self._wait(owner_client, request, wait_by_replica)

    def _ranked(
        self, request: _placement.PlacementRequest
    ) -> list[_ids.ReplicaId]:
        """Return the replicas whose owners are asked."""
        candidates = self._view_admission.candidates(request)
        count = min(_MAX_RANKED, len(candidates))
        names = _ranking.rank(candidates, request.chat, count=count)
        return [_ids.ReplicaId(name) for name in names]

    def _wait(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        wait_by_replica: dict[_ids.ReplicaId, float],
    ) -> _placement.Placement:
        """Wait at the owner whose replica is expected to be free first."""
        replica = min(wait_by_replica, key=wait_by_replica.__getitem__)
        expected = wait_by_replica[replica]
        max_wait = min(
            _WAIT_FRACTION * request.latency_objective,
            _MAX_WAIT_FRACTION * (request.deadline - self._clock.monotonic()),
        )
        if expected < max_wait:
            answer = owner_client.request_admission(
                request, replica, home=False, wait=max_wait
            )
            if answer is not None:
                if answer.reply.verdict is messages.Verdict.granted:
                    return self._hold(owner_client, request, replica, answer)
                expected = answer.reply.retry_after
        raise _full_error(request, expected)

    def _hold(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        answer: _owner_client.OwnerReply,
    ) -> _placement.Placement:
        """Hold a granted slot, unless the replica has left meanwhile."""
        if not self._view_admission.may_use(request, replica):
            owner_client.held_placements.send_release(answer.owner, answer.ask)
            raise _full_error(request, _MIN_RETRY_AFTER_SECONDS)
        _log.info(
            "placed at {replica}, which is brittle: its owner {owner} counts "
            "{load}",
            replica=replica,
            version=self._targets.target_by_replica[replica].version,
            owner=answer.owner,
            load=answer.reply.load,
        )
        return self._place(
            owner_client, request, replica, answer.ask, answer.owner
        )

    def hold_share(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
    ) -> _placement.Placement:
        """Hold a slot without a reply of an owner, within the own share.

        An owner that has replied lately goes on granting all slots to others,
        so nothing is held until the load that it reported is out of date.

        Raises
        ------
        NoTarget
            The group has no usable replica that was not tried.
        Overloaded
            This daemon holds its share of the slots already.
        """
        for replica in self._ranked(request):
            slots = self._targets.target_by_replica[replica].slots
            share = max(_MIN_SHARE, slots // self.daemons)
            view = self._views.of(replica)
            if view.in_flight < share and not view.has_current_report:
                ask = owner_client.new_number()
                return self._place(owner_client, request, replica, ask, None)
        raise _full_error(request, _MIN_RETRY_AFTER_SECONDS)

    def _place(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        ask: _ids.AdmissionRequestId,
        owner: _ids.DaemonId | None,
    ) -> _placement.Placement:
        target = self._targets.target_by_replica[replica]
        self._views.of_incarnation(target).in_flight += 1
        placement = _placement.Placement(
            target=target,
            ask=ask,
            owner=owner,
            request=request,
            home=False,
            is_counted=owner is not None,
        )
        owner_client.held_placements.placement_by_ask[ask] = placement
        return placement


def _full_error(
    request: _placement.PlacementRequest, expected: float
) -> _errors.Overloaded:
    return _errors.Overloaded(
        f"no slot is free on {request.group}, whose replicas are brittle",
        retry_after=max(_MIN_RETRY_AFTER_SECONDS, expected),
    ).refused_by(_errors.Guard.BRITTLE, request.group)
