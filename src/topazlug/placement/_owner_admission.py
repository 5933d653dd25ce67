"""Places requests by the owners' counts, or by views if no owner replies.

Each replica's load is counted by one daemon, its owner. The others each
receive only a small part of the requests, and would assume that a full replica
is empty. The owner counts all of them. If the owner does not reply, the
request does not wait for another owner. This daemon's own view decides where
it is placed.
"""

from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.placement import _brittle_placement
from topazlug.placement import _context_locator
from topazlug.placement import _mechanisms
from topazlug.placement import _outcome_reporting
from topazlug.placement import _owner_search
from topazlug.placement import _replica_view
from topazlug.placement import _view_admission
from topazlug.routing import _owner_client
from topazlug.routing import _placement
from topazlug.targets import _targets

_log = _logs.logger("forwarding")
# Fraction of a request's latency objective that it may spend waiting here for
# free capacity; the rest is for the answer.
_MAX_WAIT_FRACTION = 0.4
# Minimum Retry-After; callers do not retry sooner.
_MIN_RETRY_AFTER_SECONDS = 0.2
# A response head that took more than this fraction of the latency objective
# is slow: the requests queued behind it will be late.
_SLOW_FRACTION = 0.5


@final
class OwnerOrViewAdmission:
    """Admits requests through owners, or by views if no owner replies.

    Parameters
    ----------
    view_admission : ViewAdmission
        Admits requests if no owner replies.
    targets : TargetDirectory
        Replicas that may get new work.
    views : ReplicaViews
        Load and health of replicas as seen by this daemon.
    clock : Clock
        Time.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    contexts : ContextLocator or None
        Knows whether a prompt's context can be copied; None if it never can.

    Attributes
    ----------
    owner_client : OwnerClient or None
        Sends admission requests to owners; None until this daemon has joined
        its fleet.
    brittle_placement : BrittlePlacement
        Places requests of groups whose replicas are brittle.
    outcome_reporting : OutcomeReporting
        Reports the outcomes of requests to owners.
    read_placements : ReadPlacements
        Counts the reads that would stall streams where asked first.
    over_bound_reads : OverBoundReads
        Counts the requests placed over the bound for their context.
    """

    def __init__(
        self,
        *,
        view_admission: _view_admission.ViewAdmission,
        targets: _targets.TargetDirectory,
        views: _replica_view.ReplicaViews,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
        contexts: _context_locator.ContextLocator | None = None,
    ) -> None:
        self._contexts = contexts
        self._clock = clock
        self._disabled = disabled
        self._view_admission = view_admission
        self._targets = targets
        self._views = views
        self._search = _owner_search.OwnerSearch(
            view_admission=view_admission,
            targets=targets,
            views=views,
            clock=clock,
            disabled=disabled,
        )
        self.brittle_placement = _brittle_placement.BrittlePlacement(
            view_admission=view_admission,
            targets=targets,
            views=views,
            clock=clock,
        )
        self.owner_client: _owner_client.OwnerClient | None = None
        self.outcome_reporting = _outcome_reporting.OutcomeReporting(
            is_enabled=_mechanisms.Mechanism.SHARED_OUTCOMES not in disabled
        )
        self.read_placements = self._search.read_placements
        self.over_bound_reads = self._search.over_bound_reads
        # Replicas whose last answer reported waiting requests.
        self._queueing_replicas: set[_ids.ReplicaId] = set()

    def admit(
        self, request: _placement.PlacementRequest
    ) -> _placement.Placement:
        """Choose a replica and hold a slot there.

        Raises
        ------
        NoTarget
            The group has no usable replica that was not tried.
        Overloaded
            No replica has free capacity for the request's rank.
        """
        owner_client = self.owner_client
        if owner_client is None:
            return self._view_admission.admit(request)
        tolerated = self._targets.brittle.tolerated_by(request.group)
        if tolerated is not None:
            request = msgspec.structs.replace(request, brittle=tolerated)
            if not request.keeps_context:
                return self.brittle_placement.admit(owner_client, request)
        if not request.keeps_context:
            return self._place_by_latency(owner_client, request)
        if _mechanisms.Mechanism.RANK_LIMITS in self._disabled:
            request = msgspec.structs.replace(request, rank=-1)
        if self._can_copy_context(request):
            request = msgspec.structs.replace(
                request, held_tokens=request.shared_tokens
            )
        placement = self._search_owners(owner_client, request)
        if placement is not None:
            return placement
        if tolerated is not None:
            return self.brittle_placement.hold_share(owner_client, request)
        return self._place_by_view(owner_client, request)

    def _can_copy_context(self, request: _placement.PlacementRequest) -> bool:
        return (
            self._contexts is not None
            and _mechanisms.Mechanism.COPIES not in self._disabled
            and self._contexts.is_held(request.chat, request.group)
        )

    def _place_by_latency(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
    ) -> _placement.Placement:
        """Place a request of a group whose replicas keep no context.

        Admission requests are sent only if all replicas are cold, as only
        the owners count the requests that a cold replica got in the last
        second.
        """
        if self._view_admission.warm(self._view_admission.candidates(request)):
            return self._view_admission.admit(request)
        placement = self._search_owners(owner_client, request)
        return (
            self._view_admission.admit(request)
            if placement is None
            else placement
        )

    def _place_by_view(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
    ) -> _placement.Placement:
        """Place a request without an owner's reply, and report it later.

        The next renewal reports the slot to the owner. Otherwise an owner
        that recovers would not count the requests that were placed meanwhile,
        and would admit as many again.
        """
        placement = self._view_admission.admit(request)
        placement.ask = owner_client.new_number()
        owner_client.held_placements.placement_by_ask[placement.ask] = (
            placement
        )
        return placement

    def _search_owners(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
    ) -> _placement.Placement | None:
        """Search among owners, again if a reserved slot is due soon enough.

        A slot is reserved for a rejected request. If it is due while the
        answer can still be on time, the request waits for it here instead
        of at its caller: that needs no new connection and does not use up
        the single retry that most callers make.
        """
        max_wait = request.latency_objective * _MAX_WAIT_FRACTION
        if _mechanisms.Mechanism.ADMISSION_WAIT in self._disabled:
            max_wait = 0.0
        try:
            return self._search.search(owner_client, request)
        except _owner_search.Full as full:
            if full.seconds > max_wait:
                raise self._rejection(owner_client, request, full) from full
            self._reserve(owner_client, request, full.home, full.seconds)
            self._clock.sleep(full.seconds)
        try:
            return self._search.search(owner_client, request)
        except _owner_search.Full as full:
            raise self._rejection(owner_client, request, full) from full

    def _rejection(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        full: _owner_search.Full,
    ) -> _errors.Overloaded:
        """Return the error for a request that no replica has capacity for.

        A slot is reserved for its retry only if that can still be on time:
        a slot given to a request that is late anyway is lost to one that is
        not.
        """
        seconds = max(_MIN_RETRY_AFTER_SECONDS, full.seconds)
        if seconds <= request.latency_objective:
            self._reserve(owner_client, request, full.home, seconds)
        return _errors.Overloaded(
            f"no replica of {request.group} has free capacity for rank "
            f"{request.rank}",
            retry_after=seconds,
        ).refused_by(_errors.Guard.CAPACITY, request.group)

    def _reserve(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        home: _ids.ReplicaId,
        seconds: float,
    ) -> None:
        if _mechanisms.Mechanism.RESERVATIONS not in self._disabled:
            owner_client.report_rejection(request, home, seconds=seconds)

    def handle_connection_failure(
        self, placement: _placement.Placement, *, timed_out: bool
    ) -> None:
        """Handle a failed connection to a replica.

        The replica may be restarting, which its entry in the platform's list
        shows only seconds later. Its owner is notified, as it must not admit
        all of the replica's chats at once after a restart.

        Parameters
        ----------
        placement : Placement
            Placement of the request that could not be sent.
        timed_out : bool
            Whether the connection timed out rather than being refused.
        """
        target = placement.target
        if timed_out and self._targets.reachability.record_timeout(target):
            _log.warning("zone {zone} is unreachable", zone=target.zone)
        self._targets.cold.presume_cold([target])
        if self.owner_client is not None:
            self.owner_client.report_connection_failure(
                placement.target.replica
            )

    def handle_response_head(
        self,
        placement: _placement.Placement,
        head: _placement.AnswerHead,
    ) -> None:
        """Report the head of a response to the replica's owner.

        It is reported if a context was read or requests wait on the replica,
        once after the last of them has left its queue, and whenever the
        replica reports its slowness, which its owner can't know otherwise.
        Responses to requests that were placed without the owner are reported
        too, as the owner could not apply its limits to these.

        Without the report that a context was read, other requests for the
        same context would wait for it until they are late.

        Parameters
        ----------
        placement : Placement
            Placement of the request that was answered.
        head : AnswerHead
            Head of the answer.
        """
        self.outcome_reporting.record_head(placement, head)
        if self.owner_client is None:
            return
        replica = placement.target.replica
        was_queueing = replica in self._queueing_replicas
        if head.waiting:
            self._queueing_replicas.add(replica)
        elif head.waiting is not None:
            self._queueing_replicas.discard(replica)
        if not (
            placement.reads_context
            or head.waiting
            or was_queueing
            or head.slowness is not None
        ):
            return
        report = messages.EngineWord(
            replica=replica,
            running=head.running or 0,
            waiting=head.waiting or 0,
            has_load=head.running is not None,
            slow=head.seconds
            > placement.request.latency_objective * _SLOW_FRACTION,
            read=placement.request.chat if placement.reads_context else 0,
            slowness=head.slowness or 0.0,
            seconds=head.seconds,
            ask=placement.ask,
        )
        placement.reads_context = False
        self.owner_client.report_response_head(replica, report)

    def release(self, placement: _placement.Placement) -> None:
        """Release a slot; further calls do nothing."""
        if placement.released:
            return
        self.outcome_reporting.prepare_release(placement)
        # Slots that no owner counts have numbers of their own, so a counted
        # slot may be held under the same number.
        if self.owner_client is not None:
            held = self.owner_client.held_placements.placement_by_ask
            if held.get(placement.ask) is placement:
                self.owner_client.held_placements.release(placement)
        self._view_admission.release(placement)
