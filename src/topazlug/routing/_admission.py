"""The entry role: admission of requests through the owners of replicas.

The entry daemon sends admission requests to the owners of the replicas in the
chat's ranking, one after the other. It connects to the chosen replica itself,
so no response is relayed by a second daemon.
"""

from collections.abc import Callable
import math
from typing import NamedTuple
from typing import final

import logbook

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.routing import _held_placements
from topazlug.routing import _no_usable_replica
from topazlug.routing import _owner
from topazlug.routing import _owner_client
from topazlug.routing import _ownership
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _target_report
from topazlug.targets import _targets

_log = logbook.Logger("admission")

# Maximum wait of a returning chat for the replica that holds its context.
# Recomputing the context takes longer. At 15 requests/s, a slot is released
# every 70 ms, so most of these waits succeed.
_CONTEXT_WAIT_SECONDS = 0.2
_MAX_REDIRECTS = 1
# How long a reply that a replica is full is reused for other requests.
_FULL_CACHE_SECONDS = 0.25
_NO_TARGET_RETRY_SECONDS = 1.0
_MAX_SEARCHES = 4
# After these verdicts another search, with updated ownership and targets, may
# find a slot.
_REPEATABLE_VERDICTS = (messages.Verdict.not_owner, messages.Verdict.expired)


class _Full(NamedTuple):
    """Load of a replica that was full, and expiry time of this record."""

    load: int
    until: float


class _Search:
    """State of one search for a replica."""

    def __init__(self, ranked: list[_ids.ReplicaId]) -> None:
        self.ranked = ranked
        self.requested: set[_ids.ReplicaId] = set()
        self.load_by_replica: dict[_ids.ReplicaId, int] = {}
        self.displaced_to: _ids.ReplicaId | None = None
        self.retry_after = 0.0
        self.placement: _placement.Placement | None = None
        self.should_retry = False
        self.has_stale_loads = False

    def record_rejection(
        self, replica: _ids.ReplicaId, reply: messages.AdmitReply
    ) -> None:
        self.retry_after = max(self.retry_after, reply.retry_after)
        self.load_by_replica[replica] = reply.load

    @property
    def least_loaded(self) -> _ids.ReplicaId | None:
        """Replica with the lowest reported load, None if none replied."""
        loads = self.load_by_replica
        return min(loads, key=loads.__getitem__) if loads else None

    def group_load(self, replicas: int) -> int:
        """Return the group's load if all its replicas' owners replied.

        The mean that owners use lags. In a burst, each owner still assumes
        that the replicas of others are idle, and all reject the request,
        although one replica must be below the true mean. Without this total,
        the request would wait for the next load report.

        Returns
        -------
        int
            Load units; 0 if a replica's load is missing or out of date.
        """
        if self.has_stale_loads or len(self.load_by_replica) < replicas:
            return 0
        return sum(self.load_by_replica.values())


@final
class OwnersAdmission:
    """Admits requests through the owners of replicas.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : Owner
        This daemon's owner role.
    ownership : Ownership
        Owners of all replicas.
    targets : TargetDirectory
        Replicas and their health.
    links : Links
        Connections to peers.
    routing : RoutingSettings
        Number of candidates and owner timeout.
    clock : Clock
        Source of time.
    fleet_size : callable
        Returns the number of usable daemons.

    Attributes
    ----------
    held_placements : HeldPlacements
        Placements that this daemon holds with owners.
    admitted_without_owner : int
        Requests admitted while no owner replied.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        owner: _owner.Owner,
        ownership: _ownership.Ownership,
        targets: _targets.TargetDirectory,
        links: _held_placements.Links,
        routing: _settings_types.RoutingSettings,
        clock: _clock.Clock,
        fleet_size: Callable[[], int],
    ) -> None:
        self._targets = targets
        self._routing = routing
        self._clock = clock
        self._fleet_size = fleet_size
        self._client = _owner_client.OwnerClient(
            daemon=daemon,
            owner=owner,
            ownership=ownership,
            links=links,
            timeout=routing.owner_timeout,
            clock=clock,
        )
        self.held_placements = self._client.held_placements
        self._full_by_replica: dict[_ids.ReplicaId, _Full] = {}
        self.admitted_without_owner = 0

    def admit(
        self, request: _placement.PlacementRequest
    ) -> _placement.Placement:
        """Choose a replica through the owners in the chat's ranking.

        Raises
        ------
        Overloaded
            No slot is free, nor expected to be before the deadline.
        DeadlineExceeded
            The deadline passed during the search.
        NoTarget
            The group has no usable replica.
        """
        for _ in range(_MAX_SEARCHES):
            search = self._search(request)
            if search.placement is not None:
                self.held_placements.placement_by_ask[search.placement.ask] = (
                    search.placement
                )
                self._client.report_displacement(
                    search.placement,
                    home=search.ranked[0],
                    displaced_to=search.displaced_to,
                )
                return search.placement
            if not search.should_retry:
                break
        raise _errors.Overloaded(
            f"no slot is free on {request.group}",
            retry_after=max(0.5, search.retry_after),
        ).refused_by(_errors.Guard.CAPACITY, request.group)

    def _search(self, request: _placement.PlacementRequest) -> _Search:
        """Search once, in the current ranking of the chat."""
        ranked = self._rank(request)
        if not ranked:
            raise _no_usable_replica.no_usable_replica_error(
                self._targets, request, retry_after=_NO_TARGET_RETRY_SECONDS
            )
        search = _Search(ranked)
        search.placement = self._try_ranked(request, search)
        if search.placement is None:
            search.placement = self._wait_in_queue(request, search)
        if search.placement is None and search.least_loaded is None:
            search.placement = self._admit_without_owner(request, ranked)
        return search

    def _rank(
        self, request: _placement.PlacementRequest
    ) -> list[_ids.ReplicaId]:
        usable = self._targets.usable(request.group)
        candidates = [name for name in usable if name not in request.excluded]
        count = max(self._routing.candidates, min(len(candidates), 8))
        best = _ranking.rank(candidates, request.chat, count=count)
        return [_ids.ReplicaId(name) for name in best]

    def _try_ranked(
        self, request: _placement.PlacementRequest, search: _Search
    ) -> _placement.Placement | None:
        for replica in search.ranked:
            if self._clock.monotonic() > request.deadline:
                raise _errors.DeadlineExceeded(
                    "no slot was free before the deadline"
                )
            placement = self._try_replica(request, search, replica)
            if placement is not None:
                return placement
        return None

    def _try_replica(
        self,
        request: _placement.PlacementRequest,
        search: _Search,
        replica: _ids.ReplicaId,
        *,
        redirects: int = _MAX_REDIRECTS,
    ) -> _placement.Placement | None:
        if replica in search.requested:
            return None
        if replica != search.ranked[0] and self._is_known_full(replica):
            search.load_by_replica[replica] = self._full_by_replica[
                replica
            ].load
            search.has_stale_loads = True
            return None
        is_home = replica == search.ranked[0]
        has_context = replica == (search.displaced_to or search.ranked[0])
        owner_reply = self._client.request_admission(
            request,
            replica,
            home=is_home and redirects > 0,
            wait=(
                _CONTEXT_WAIT_SECONDS
                if request.returning and has_context
                else 0.0
            ),
        )
        if owner_reply is None:
            return None
        ask, owner, reply = owner_reply
        if reply.verdict is messages.Verdict.elsewhere:
            displaced_to = _ids.ReplicaId(reply.replica)
            search.displaced_to = displaced_to
            placement = None
            if displaced_to not in request.excluded:
                placement = self._try_replica(
                    request, search, displaced_to, redirects=0
                )
            if placement is not None:
                return placement
            # The replica that the chat was displaced to did not admit it.
            # Try the home again, without a redirect.
            return self._try_replica(request, search, replica, redirects=0)
        search.requested.add(replica)
        if reply.backoff > 0:
            self._targets.apply_peer_backoff(replica, reply.backoff)
            search.retry_after = max(search.retry_after, reply.backoff)
            return None
        if reply.verdict is messages.Verdict.granted:
            return self._new_placement(
                request, replica, ask, owner, home=is_home
            )
        if reply.verdict in (
            messages.Verdict.full,
            messages.Verdict.over_bound,
        ):
            search.record_rejection(replica, reply)
        if reply.verdict is messages.Verdict.full:
            until = self._clock.monotonic() + _FULL_CACHE_SECONDS
            self._full_by_replica[replica] = _Full(reply.load, until)
        return None

    def _is_known_full(self, replica: _ids.ReplicaId) -> bool:
        """Return whether a replica was full within `_FULL_CACHE_SECONDS`.

        Otherwise, under overload, each request would be sent to every owner
        and rejected. That would be five times the messages while there are
        most requests. A slot that is released meanwhile is granted to a
        request in the replica's queue.
        """
        full = self._full_by_replica.get(replica)
        return full is not None and self._clock.monotonic() < full.until

    def _wait_in_queue(
        self, request: _placement.PlacementRequest, search: _Search
    ) -> _placement.Placement | None:
        """Wait in the queue of the replica with the lowest load."""
        replica = search.least_loaded
        if replica is None:
            return None
        wait = request.deadline - self._clock.monotonic()
        if wait <= 0:
            raise _errors.DeadlineExceeded(
                "no slot was free before the deadline"
            )
        replicas = len(self._targets.in_service(request.group))
        owner_reply = self._client.request_admission(
            request,
            replica,
            home=False,
            wait=wait,
            total=search.group_load(replicas),
        )
        if owner_reply is None:
            # The owner stopped responding while the request was queued. There
            # is time left, and another owner may have free slots.
            self._prepare_retry(request, search, replica)
            return None
        ask, owner, reply = owner_reply
        if reply.verdict is messages.Verdict.granted:
            is_home = replica == search.ranked[0]
            placement = self._new_placement(
                request, replica, ask, owner, home=is_home
            )
            search.should_retry = placement is None
            return placement
        if reply.verdict in _REPEATABLE_VERDICTS:
            self._prepare_retry(request, search, replica)
        search.record_rejection(replica, reply)
        return None

    def _prepare_retry(
        self,
        request: _placement.PlacementRequest,
        search: _Search,
        replica: _ids.ReplicaId,
    ) -> None:
        """Search again, without the record that the replica is full.

        With this record, each search would choose the replica's queue again.
        While daemons disagree on its owner, as after a network partition,
        all searches would end there within milliseconds, and the request
        would be rejected although there are free slots.
        """
        search.should_retry = True
        if self._clock.monotonic() < request.deadline:
            self._full_by_replica.pop(replica, None)

    def _admit_without_owner(
        self,
        request: _placement.PlacementRequest,
        ranked: list[_ids.ReplicaId],
    ) -> _placement.Placement | None:
        """Admit without an owner, within this daemon's share of the slots.

        If no owner is reachable, as in a partition between zones, the
        alternative is to reject everything. The shares of all daemons add up
        to about the slots of the replica, so engines aren't overloaded.
        """
        held = self.held_placements.load_by_replica()
        for replica in ranked:
            target = self._targets.target_by_replica.get(replica)
            if target is None:
                continue
            share = math.ceil(target.slots / max(1, self._fleet_size()))
            if held.get(replica, 0) >= share:
                continue
            self.admitted_without_owner += 1
            ask = self._client.new_number()
            home = replica == ranked[0]
            return self._new_placement(request, replica, ask, None, home=home)
        return None

    def _new_placement(
        self,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        ask: _ids.AdmissionRequestId,
        owner: _ids.DaemonId | None,
        *,
        home: bool,
    ) -> _placement.Placement | None:
        target = self._targets.target_by_replica.get(replica)
        # Meanwhile the replica may have been removed, be leaving, or have
        # requested a backoff.
        if target is None or self._targets.reported.is_unavailable(target):
            if owner is not None:
                self.held_placements.release_unused(owner, ask, replica)
            return None
        return _placement.Placement(
            target=target, ask=ask, owner=owner, request=request, home=home
        )

    def report_backoff(
        self, target: _targets.Target, status: _target_report.TargetReport
    ) -> None:
        """Notify a target's owner of a backoff that the target requested."""
        self._client.report_backoff(target, status)

    def release(self, placement: _placement.Placement) -> None:
        """Release a placement; does nothing if it was released before."""
        self.held_placements.release(placement)
