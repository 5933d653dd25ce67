"""Search for a slot through the owners of the replicas in a chat's ranking."""

from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.placement import _mechanisms
from topazlug.placement import _over_bound_reads
from topazlug.placement import _read_search
from topazlug.placement import _replica_view
from topazlug.placement import _view_admission
from topazlug.routing import _owner_client
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _targets

_log = _logs.logger("forwarding")
# Number of replicas whose owners are asked for one request. If the home is
# over its bound, the next replica in the ranking nearly always has free
# capacity. Each admission request to another zone delays the caller by some
# 2 ms.
_MAX_RANKED = 3
# Fraction of the latency objective to wait for an owner's reply, and the
# maximum: on a slow link the reply is queued behind whole bodies.
_REPLY_TIMEOUT_FRACTION = 0.15
_MAX_REPLY_TIMEOUT_SECONDS = 0.12
_REJECTION_VERDICTS = (messages.Verdict.full, messages.Verdict.over_bound)
# Verdicts with the load of the replica, in which the request is not counted.
_UNADMITTED_VERDICTS = (*_REJECTION_VERDICTS, messages.Verdict.stalls)
# The owner does not count the replica, or does not know it.
_UNKNOWN_VERDICTS = (messages.Verdict.not_owner, messages.Verdict.expired)


@final
class Full(Exception):
    """No replica whose owner was asked has free capacity.

    Attributes
    ----------
    home : ReplicaId
        Replica to reserve a slot on.
    seconds : float
        Time until that slot is due.
    """

    def __init__(self, home: _ids.ReplicaId, seconds: float) -> None:
        super().__init__()
        self.home = home
        self.seconds = seconds


@final
class OwnerSearch:
    """Sends admission requests to owners in the order of a chat's ranking.

    Parameters
    ----------
    view_admission : ViewAdmission
        Lists the candidate replicas.
    targets : TargetDirectory
        Replicas that may get new work.
    views : ReplicaViews
        Updated with the load in owners' replies.
    clock : Clock
        Time.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.

    Attributes
    ----------
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
    ) -> None:
        self._view_admission = view_admission
        self._targets = targets
        self._views = views
        self._clock = clock
        self._disabled = disabled
        self.read_placements = _read_search.ReadPlacements()
        mechanism = _mechanisms.Mechanism.CONTEXT_RECOVERY
        self.over_bound_reads = _over_bound_reads.OverBoundReads(
            is_enabled=mechanism not in disabled
        )

    @property
    def _displacement_disabled(self) -> bool:
        return _mechanisms.Mechanism.DISPLACEMENT in self._disabled

    def search(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
    ) -> _placement.Placement | None:
        """Send admission requests in the order of the chat's ranking.

        Returns
        -------
        Placement or None
            None if an owner does not reply, replies that it does not own the
            replica or can't use it, if the granted replica has left
            meanwhile, or if all replicas are in backoff. The caller then
            places the request by its own views.

        Raises
        ------
        Full
            No replica whose owner was asked has free capacity.
        """
        candidates = self._view_admission.candidates(request)
        ranked = _ranked(candidates, request, count=_MAX_RANKED)
        ranked += self._warm_alternatives(candidates, request, ranked)
        home = ranked[0]
        displaced_to: _ids.ReplicaId | None = None
        pending = list(ranked)
        rejections: dict[_ids.ReplicaId, _owner_client.OwnerReply] = {}
        stalling = _read_search.StallingReplicas()
        accept_stall = _mechanisms.Mechanism.PROMPT_READS in self._disabled
        accept_over_bound = False
        while pending or not stalling.is_empty:
            if not pending:
                holder = None
                if not accept_over_bound:
                    holder = self.over_bound_reads.holder(
                        rejections, home=home, displaced_to=displaced_to
                    )
                accept_over_bound = holder is not None
                accept_stall = holder is None
                pending = [holder or stalling.pop_least()]
            replica = pending.pop(0)
            answer = self._request_admission(
                owner_client,
                request,
                replica,
                home=replica == home and displaced_to is None,
                accept_stall=accept_stall,
                accept_over_bound=accept_over_bound,
            )
            if answer is None or answer.reply.verdict in _UNKNOWN_VERDICTS:
                if accept_stall or stalling.is_empty:
                    return None
                # Better one stalled read than a slot that no owner counts.
                pending.clear()
                continue
            verdict = answer.reply.verdict
            if verdict is messages.Verdict.stalls:
                stalling.add(replica, answer.reply.stall)
                if len(stalling.stall_by_replica) >= _MAX_RANKED:
                    pending.clear()
            elif answer.reply.backoff > 0:
                others = _next_ranked(candidates, request, ranked)
                ranked += others
                pending += others
            elif verdict is messages.Verdict.granted:
                placement = self._hold_slot(
                    owner_client, request, replica, answer, home
                )
                if placement is not None and not self._displacement_disabled:
                    owner_client.report_displacement(
                        placement, home=home, displaced_to=displaced_to
                    )
                if placement is not None and accept_over_bound:
                    self.over_bound_reads.record(placement, stalling)
                elif placement is not None:
                    self.read_placements.record(placement, stalling)
                return placement
            elif verdict is messages.Verdict.elsewhere:
                displaced_to = _ids.ReplicaId(answer.reply.replica)
                others = [other for other in ranked if other != displaced_to]
                pending = (
                    [displaced_to, *others]
                    if displaced_to in candidates
                    else others
                )
            elif verdict in _REJECTION_VERDICTS:
                rejections[replica] = answer
            else:
                return None
        if not rejections:
            # All replicas whose owners were asked are in backoff.
            return None
        reserved_at = home if home in rejections else next(iter(rejections))
        return self._resolve_rejections(
            owner_client, request, rejections, reserved_at
        )

    def _warm_alternatives(
        self,
        candidates: list[_ids.ReplicaId],
        request: _placement.PlacementRequest,
        ranked: list[_ids.ReplicaId],
    ) -> list[_ids.ReplicaId]:
        """Return warm replicas to ask as well if some of the ranked are cold.

        After a zone has recovered, most replicas at the top of a chat's
        ranking may be cold and have no free capacity, while replicas in
        other zones have.
        """
        warm = self._view_admission.warm(candidates)
        if len(warm) == len(candidates) or not set(ranked) - set(warm):
            return []
        found = _ranked(warm, request, count=_MAX_RANKED)
        return [replica for replica in found if replica not in ranked]

    def _request_admission(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        *,
        home: bool,
        accept_stall: bool,
        accept_over_bound: bool = False,
    ) -> _owner_client.OwnerReply | None:
        """Ask one owner, again while another request reads the same context.

        Without this wait, the engine would read the same prompt a second
        time in parallel. After the maximum wait the request proceeds anyway.
        """
        started = self._clock.monotonic()
        max_wait = request.latency_objective
        if _mechanisms.Mechanism.CONTEXT_READS in self._disabled:
            max_wait = 0.0
        while True:
            remaining = max_wait - (self._clock.monotonic() - started)
            answer = owner_client.request_admission(
                request,
                replica,
                home=home,
                may_wait=remaining > 0,
                min_timeout=min(
                    _MAX_REPLY_TIMEOUT_SECONDS,
                    request.latency_objective * _REPLY_TIMEOUT_FRACTION,
                ),
                cold=self._view_admission.is_cold(replica),
                accept_stall=accept_stall,
                accept_over_bound=accept_over_bound,
            )
            if answer is None:
                return None
            self._record_reply(request, replica, answer.reply)
            if answer.reply.verdict is not messages.Verdict.reading:
                return answer
            self._clock.sleep(min(remaining, answer.reply.retry_after))

    def _record_reply(
        self,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        reply: messages.AdmitReply,
    ) -> None:
        """Record an owner's reply for decisions that are made without one.

        This daemon gets only a small part of the requests. At four times the
        usual load, half of the requests that it placed by its own view went
        to replicas that it had no report of, and those were full.
        """
        if reply.backoff > 0:
            self._record_backoff(replica, reply)
            return
        view = self._views.of(replica)
        if reply.verdict is messages.Verdict.granted:
            view.record_report(reply.load - 1)
        elif reply.verdict in _UNADMITTED_VERDICTS:
            view.record_report(reply.load)
        is_full = reply.verdict is messages.Verdict.full
        if is_full and request.rank >= 0 and not reply.cold:
            view.record_full(request.rank)

    def _record_backoff(
        self, replica: _ids.ReplicaId, reply: messages.AdmitReply
    ) -> None:
        """Record a backoff, or an ejection if there is no time to retry.

        The replica itself requested the former. An ejected one may still get
        a request that no other replica can take.
        """
        target = self._targets.target_by_replica.get(replica)
        if reply.retry_after > 0:
            self._targets.apply_peer_backoff(replica, reply.backoff)
        elif target is not None:
            self._targets.ejected.record(target, reply.backoff)

    def _resolve_rejections(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        rejections: dict[_ids.ReplicaId, _owner_client.OwnerReply],
        home: _ids.ReplicaId,
    ) -> _placement.Placement | None:
        """Place a request that all owners rejected, or reject it.

        A request that is only over a bound goes to the least loaded replica.
        One that no replica has free capacity for is rejected at once: it
        would wait on a replica until its deadline, and delay others. A brittle
        replica gets nothing that its owner does not count.
        """
        is_over = messages.Verdict.over_bound
        placeable = {
            replica: answer
            for replica, answer in rejections.items()
            if not answer.reply.cold
            and request.brittle is None
            and (answer.reply.verdict is is_over or request.rank < 0)
        }
        if placeable:
            return self._place_on_least_loaded(
                owner_client, request, placeable, home
            )
        if home not in rejections:
            return None
        raise Full(home, rejections[home].reply.retry_after)

    def _place_on_least_loaded(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        rejections: dict[_ids.ReplicaId, _owner_client.OwnerReply],
        home: _ids.ReplicaId,
    ) -> _placement.Placement | None:
        """Hold a slot on the least loaded of the replicas that rejected.

        Replicas queue requests by rank, which works better than letting them
        wait here. The owner counts the slot from the next renewal on.
        """
        replica = min(rejections, key=lambda name: rejections[name].reply.load)
        answer = rejections[replica]._replace(ask=owner_client.new_number())
        return self._hold_slot(owner_client, request, replica, answer, home)

    def _hold_slot(
        self,
        owner_client: _owner_client.OwnerClient,
        request: _placement.PlacementRequest,
        replica: _ids.ReplicaId,
        answer: _owner_client.OwnerReply,
        home: _ids.ReplicaId,
    ) -> _placement.Placement | None:
        """Hold a slot; return None if the replica has left meanwhile.

        The list of replicas may have changed before the owner's reply. Without
        this check, the request would go to a replica that is leaving or gone.
        An error raised here for a replica that is gone would leave the slot
        counted by the owner for as long as this daemon runs.
        """
        if not self._view_admission.may_use(request, replica):
            owner_client.held_placements.send_release(answer.owner, answer.ask)
            return None
        target = self._targets.target_by_replica[replica]
        _log.info(
            "placed at {replica}: its owner {owner} counts {load}",
            replica=replica,
            version=target.version,
            owner=answer.owner,
            load=answer.reply.load,
            verdict=answer.reply.verdict.value,
            home=replica == home,
        )
        self._views.of_incarnation(target).in_flight += 1
        placement = _placement.Placement(
            target=target,
            ask=answer.ask,
            owner=answer.owner,
            request=request,
            home=replica == home,
            reads_context=answer.reply.reads,
            is_counted=answer.reply.verdict is messages.Verdict.granted,
        )
        owner_client.held_placements.placement_by_ask[placement.ask] = (
            placement
        )
        return placement


def _ranked(
    candidates: list[_ids.ReplicaId],
    request: _placement.PlacementRequest,
    *,
    count: int,
) -> list[_ids.ReplicaId]:
    """Return the first replicas of a chat's ranking."""
    names = _ranking.rank(candidates, request.chat, count=count)
    return [_ids.ReplicaId(name) for name in names]


def _next_ranked(
    candidates: list[_ids.ReplicaId],
    request: _placement.PlacementRequest,
    asked: list[_ids.ReplicaId],
) -> list[_ids.ReplicaId]:
    """Return the next replica to ask in place of one in backoff, if any."""
    count = min(len(candidates), len(asked) + 1)
    found = _ranked(candidates, request, count=count)
    return [replica for replica in found if replica not in asked][:1]
