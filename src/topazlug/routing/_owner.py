"""The owner role: counts the load of owned replicas and admits requests.

One greenlet per peer connection calls into this module. Nothing in it yields,
so each admission request is decided against an exact count.
"""

from collections.abc import Mapping
import math
from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.capacity import _prompt_reads
from topazlug.capacity import _slot_key
from topazlug.capacity import _slow_limits
from topazlug.capacity import _startup_allowance
from topazlug.routing import _admission_control
from topazlug.routing import _context_recoveries
from topazlug.routing import _displaced_chats
from topazlug.routing import _group_limits
from topazlug.routing import _ledger
from topazlug.routing import _outcome_ejection
from topazlug.routing import _owner_features
from topazlug.routing import _owner_queue
from topazlug.routing import _owner_replies
from topazlug.routing import _ownership
from topazlug.targets import _targets

_log = _logs.logger("owner")

# Time that entry daemons have to renew their placements with a new owner.
UNCERTAIN_SECONDS = 2.5


class GroupRules(Protocol):
    """Settings of groups and teams from the table."""

    def bound_of(self, group: _ids.GroupName) -> float:
        """Return the maximum load of a replica as a multiple of the mean."""

    def allowance_of(self, group: _ids.GroupName) -> int:
        """Return the load units allowed on top of that multiple."""

    def slots_of(self, group: _ids.GroupName) -> int:
        """Return the slots of one replica."""

    def batch_reserve_of(self, group: _ids.GroupName) -> float:
        """Return the fraction of the slots reserved from batch work."""

    def weight_of(self, team: _ids.TeamName) -> float:
        """Return a team's weight in the fair queue."""


@final
class Owner:
    """Load counts and admission of the replicas that this daemon owns.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    ownership : Ownership
        Owners of all replicas.
    targets : TargetDirectory
        Replicas and their health.
    rules : GroupRules
        Bounds of groups and weights of teams.
    routing : RoutingSettings
        Queue and displacement capacities.
    clock : Clock
        Source of time.
    startup_fraction : float
        Fraction of a replica's slots that is admitted regardless of the
        mean load just after this daemon has started.
    features : OwnerFeatures
        Optional decisions that are switched on.

    Attributes
    ----------
    ledger_by_replica : dict
        Ledgers of the owned replicas.
    group_limits : GroupLimits
        Loads and limits of the groups that they belong to.
    ejections : OutcomeEjections
        Counts outcomes and ejects replicas that fail.
    displaced : DisplacedChats
        Chats displaced from the owned replicas.
    recoveries : ContextRecoveries
        Recoveries of their contexts after a change of owners.
    count_by_verdict : dict
        Number of replies sent, by verdict.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        ownership: _ownership.Ownership,
        targets: _targets.TargetDirectory,
        rules: GroupRules,
        routing: _settings_types.RoutingSettings,
        clock: _clock.Clock,
        startup_fraction: float = 0.0,
        features: _owner_features.OwnerFeatures = (
            _owner_features.DEFAULT_FEATURES
        ),
    ) -> None:
        self._daemon = daemon
        self._ownership = ownership
        self._targets = targets
        self._rules = rules
        self._routing = routing
        self._clock = clock
        self._features = features
        self.ledger_by_replica: dict[_ids.ReplicaId, _ledger.ReplicaLedger] = (
            {}
        )
        self.group_limits = _group_limits.GroupLimits(
            ledger_by_replica=self.ledger_by_replica,
            targets=targets,
            bounds=rules,
            clock=clock,
            features=features,
        )
        self.ejections = _outcome_ejection.OutcomeEjections(
            group_limits=self.group_limits,
            targets=targets,
            features=features,
            clock=clock,
        )
        self.displaced = _displaced_chats.DisplacedChats(
            capacity=routing.displaced_capacity
        )
        self.recoveries = _context_recoveries.ContextRecoveries(
            ledger_by_replica=self.ledger_by_replica,
            displaced=self.displaced,
            features=features,
            clock=clock,
        )
        self._replies = _owner_replies.OwnerReplies()
        self.count_by_verdict = self._replies.count_by_verdict
        self._queue = _owner_queue.OwnerQueue(
            group_limits=self.group_limits,
            replies=self._replies,
            targets=targets,
            weight_of=rules.weight_of,
            clock=clock,
        )
        self._admission_control = _admission_control.AdmissionControl(
            group_limits=self.group_limits,
            replies=self._replies,
            queue=self._queue,
            ejections=self.ejections,
            targets=targets,
            startup_allowance=_startup_allowance.StartupAllowance(
                fraction=startup_fraction, started_at=clock.monotonic()
            ),
            features=features,
            weight_of=rules.weight_of,
            clock=clock,
        )
        self._last_received_at: dict[_ids.DaemonId, float] = {}

    def handle_admission_request(
        self,
        sender: _ids.DaemonId,
        ask: messages.AdmitAsk,
        reply: _owner_replies.Reply,
    ) -> None:
        """Reply to an admission request, at once or from the queue.

        Parameters
        ----------
        sender : DaemonId
            Entry daemon.
        ask : AdmitAsk
            Admission request.
        reply : callable
            Called once with the reply, now or later.
        """
        self._last_received_at[sender] = self._clock.monotonic()
        replica = _ids.ReplicaId(ask.replica)
        if self._ownership.owner_of(replica) != self._daemon:
            self._replies.send(reply, messages.Verdict.not_owner)
            return
        ledger = self._get_or_open_ledger(replica)
        if ledger is None or not self._targets.is_in_service(replica):
            self._replies.send(reply, messages.Verdict.expired)
            return
        if ask.brittle >= 0:
            ledger.brittle_limit.record_brittle(
                ask.brittle, now=self._clock.monotonic()
            )
        if ask.tokens:
            self.recoveries.handle_prompt(ledger.group)
        if ask.home and self._redirect_displaced(ask, reply):
            return
        self._admission_control.decide(sender, ask, ledger, reply)

    def _redirect_displaced(
        self, ask: messages.AdmitAsk, reply: _owner_replies.Reply
    ) -> bool:
        displaced_to = self.displaced.find(
            _ids.ChatHash(ask.chat), home=_ids.ReplicaId(ask.replica)
        )
        if displaced_to is None or displaced_to == ask.replica:
            return False
        if not self._targets.is_in_service(displaced_to):
            return False
        self._replies.send(
            reply, messages.Verdict.elsewhere, replica=displaced_to
        )
        return True

    def record_connection_failure(self, message: messages.Unreached) -> None:
        """Treat a replica as cold after a failed connection to it."""
        target = self._targets.target_by_replica.get(
            _ids.ReplicaId(message.replica)
        )
        if target is not None:
            self._targets.cold.presume_cold([target])

    def record_backoff(
        self, sender: _ids.DaemonId, message: messages.Backoff
    ) -> None:
        """Record that a replica requested a backoff from a daemon."""
        ledger = self.ledger_by_replica.get(_ids.ReplicaId(message.replica))
        if ledger is not None and ledger.incarnation == message.incarnation:
            ledger.backoff.record(
                sender, seconds=message.seconds, now=self._clock.monotonic()
            )

    def record_rejection(self, message: messages.TurnedAway) -> None:
        """Reserve a slot for a rejected request that may be sent again."""
        ledger = self.ledger_by_replica.get(_ids.ReplicaId(message.replica))
        if ledger is None or not message.request:
            return
        now = self._clock.monotonic()
        if self._features.fair_shares and not ledger.team_shares.may_reserve(
            message.request, seconds=message.seconds, now=now
        ):
            return
        ledger.reservations.add(
            message.request, message.rank, seconds=message.seconds, now=now
        )

    def record_response_head(
        self, sender: _ids.DaemonId, head: messages.EngineWord
    ) -> None:
        """Apply the load, slowness and finished reads of a response head."""
        ledger = self.ledger_by_replica.get(_ids.ReplicaId(head.replica))
        if ledger is None:
            return
        now = self._clock.monotonic()
        if head.has_load:
            ledger.rank_limits.handle_report(
                head.running, head.waiting, slow=head.slow, now=now
            )
        if head.slowness > 0:
            ledger.speed.record(head.slowness, now=now)
            self.recoveries.handle_slowness(ledger)
            self._update_slow_phase(ledger)
        if head.ask:
            ledger.prompt_reads.record_head(
                _slot_key.SlotKey(sender, _ids.AdmissionRequestId(head.ask)),
                seconds=head.seconds,
                slowness=ledger.speed.current(now=now),
                now=now,
            )
        if head.read:
            ledger.context_reads.record_read(_ids.ChatHash(head.read), now=now)

    def _update_slow_phase(self, ledger: _ledger.ReplicaLedger) -> None:
        slowness = self.group_limits.slowness_of(ledger)
        change = ledger.slow_phase.update(
            slowness, now=self._clock.monotonic()
        )
        if change is _slow_limits.PhaseChange.BEGAN:
            _log.info(
                "{replica} is slow: its limits are divided by {slowness:.1f}",
                replica=ledger.replica,
                slowness=round(slowness, 2),
                load=ledger.load,
            )
        elif change is _slow_limits.PhaseChange.ENDED:
            _log.info(
                "{replica} is no longer slow: its limits are restored",
                replica=ledger.replica,
                slowness=round(slowness, 2),
                load=ledger.load,
            )

    def slowness_by_replica(self) -> dict[_ids.ReplicaId, float]:
        """Return what the limits of each owned replica are divided by."""
        return {
            replica: self.group_limits.slowness_of(ledger)
            for replica, ledger in self.ledger_by_replica.items()
        }

    def release(
        self,
        sender: _ids.DaemonId,
        message: messages.Release,
    ) -> None:
        """Release placements and queued requests of an entry daemon.

        Requests in `failed` have failed on their replica. Those that are not
        in `asks` have not ended yet. The outcome of those in `unknown` is
        not counted.
        """
        uncounted = set(message.unknown)
        rejected = set(message.rejected)
        now = self._clock.monotonic()
        for ask in message.failed:
            key = _slot_key.SlotKey(sender, _ids.AdmissionRequestId(ask))
            ledger = self._find_ledger(key)
            if ledger is not None:
                self.ejections.record_failure(ledger, key)
        for ask in message.asks:
            key = _slot_key.SlotKey(sender, _ids.AdmissionRequestId(ask))
            ledger = self._find_ledger(key)
            if ledger is None:
                continue
            if ask not in uncounted:
                self.ejections.record_end(ledger, key)
            if ask in rejected:
                ledger.brittle_limit.record_rejection(ledger.slots, now=now)
            ledger.release(key, now=now)
            self._queue.grant_queued(ledger)

    def record_outcomes(
        self, sender: _ids.DaemonId, message: messages.Outcomes
    ) -> None:
        """Count outcomes of requests that were placed without an owner."""
        self.ejections.record_outcomes(
            self.ledger_by_replica.get(_ids.ReplicaId(message.replica)),
            sender,
            message,
        )

    def _find_ledger(
        self, key: _slot_key.SlotKey
    ) -> _ledger.ReplicaLedger | None:
        for ledger in self.ledger_by_replica.values():
            if key in ledger.entry_by_key or key in ledger.queued_by_key:
                return ledger
        return None

    def renew(self, sender: _ids.DaemonId, renew: messages.Renew) -> None:
        """Replace the counts of one entry daemon by its full list.

        Without renewals, a release that is lost with its connection would
        leave the placement counted forever. The counted load would stay too
        high, until the replica rejects all requests.
        """
        now = self._clock.monotonic()
        self._last_received_at[sender] = now
        pending = {_ids.AdmissionRequestId(ask) for ask in renew.pending}
        held: dict[
            _ids.ReplicaId, dict[_ids.AdmissionRequestId, messages.HeldPlace]
        ] = {}
        for placement in renew.held:
            replica = _ids.ReplicaId(placement.replica)
            by_ask = held.setdefault(replica, {})
            by_ask[_ids.AdmissionRequestId(placement.ask)] = placement
        for replica in held:
            if self._ownership.owner_of(replica) == self._daemon:
                self._get_or_open_ledger(replica)
        for replica, ledger in self.ledger_by_replica.items():
            ledger.reconcile(sender, held.get(replica, {}), pending, now=now)
            self._queue.grant_queued(ledger)

    def refresh_slots(self) -> None:
        """Update the slots from the table and the list of replicas."""
        for replica, ledger in self.ledger_by_replica.items():
            target = self._targets.target_by_replica.get(replica)
            if target is None:
                continue
            ledger.slots, ledger.batch_slots = self._slots_of(target)
            self._queue.grant_queued(ledger)

    def _slots_of(self, target: _targets.Target) -> tuple[int, int]:
        """Return a replica's slots, and how many batch work may use."""
        slots = self._rules.slots_of(target.group)
        if target.slots:
            slots = min(slots, target.slots)
        reserve = self._rules.batch_reserve_of(target.group)
        return slots, max(1, math.floor(slots * (1 - reserve)))

    def drop_unresponsive(self, *, max_silence: float) -> None:
        """Release the placements of daemons that have stopped renewing.

        A daemon that lost power releases nothing. Unless membership reports
        it dead, its placements would count until it returns, and raise the
        mean load and with it the limit of every replica.

        Parameters
        ----------
        max_silence : float
            Seconds since the last message; must exceed the interval between
            two renewals.
        """
        now = self._clock.monotonic()
        for daemon, received_at in list(self._last_received_at.items()):
            if now - received_at <= max_silence or daemon == self._daemon:
                continue
            del self._last_received_at[daemon]
            _log.info(
                "released placements of {daemon}: no message for "
                "{seconds:.1f} s",
                daemon=daemon,
                seconds=now - received_at,
            )
            self.drop_daemon(daemon)

    def drop_daemon(self, daemon: _ids.DaemonId) -> None:
        """Release all placements and queued requests of a dead daemon."""
        now = self._clock.monotonic()
        for ledger in self.ledger_by_replica.values():
            ledger.drop_daemon(daemon, now=now)
            self._queue.grant_queued(ledger)

    def apply_transfers(
        self, transfers: list[_ownership.Transfer]
    ) -> Mapping[_ids.DaemonId, list[messages.Displaced]]:
        """Open ledgers of gained replicas and close those of lost ones.

        Returns
        -------
        mapping
            Displaced chats to send, by new owner.
        """
        lost: dict[_ids.ReplicaId, _ids.DaemonId | None] = {}
        for change in transfers:
            if change.after == self._daemon:
                self._get_or_open_ledger(change.replica)
            elif change.before == self._daemon:
                lost[change.replica] = change.after
        for replica in lost:
            ledger = self.ledger_by_replica.pop(replica, None)
            if ledger is not None:
                ledger.reject_all(messages.Verdict.not_owner)
        handover: dict[_ids.DaemonId, list[messages.Displaced]] = {}
        for home, entries in self.displaced.remove_by_home(set(lost)).items():
            after = lost[home]
            if after is not None:
                handover.setdefault(after, []).extend(entries)
        return handover

    def reset_restarted_replicas(self) -> None:
        """Open new ledgers for replicas that restarted under the same id.

        The new process runs none of the counted requests and holds no
        context. The old count would keep requests away from an idle
        replica, and displaced chats would return to a replica that has lost
        their context.
        """
        for replica, ledger in list(self.ledger_by_replica.items()):
            target = self._targets.target_by_replica.get(replica)
            if target is None or target.incarnation == ledger.incarnation:
                continue
            ledger.reject_all(messages.Verdict.expired)
            new_ledger = self._open_ledger(target)
            # Nothing is held on the new process yet, so the count is exact.
            new_ledger.uncertain_until = 0.0
            self.ledger_by_replica[replica] = new_ledger
        self.displaced.remove_restarted(self._targets.target_by_replica)

    def mark_counts_uncertain(self) -> None:
        """Treat all counts as uncertain, after a pause of this process."""
        until = self._clock.monotonic() + UNCERTAIN_SECONDS
        for ledger in self.ledger_by_replica.values():
            ledger.uncertain_until = until
            ledger.clear_reports()

    def record_engine_report(
        self, replica: _ids.ReplicaId, running: int
    ) -> None:
        """Record an engine's report of its running requests."""
        ledger = self.ledger_by_replica.get(replica)
        if ledger is not None:
            ledger.add_engine_report(running)

    def apply_summary(
        self, summary: messages.LoadSummary, report: messages.LoadReport
    ) -> None:
        """Apply a collector's reply, and grant queued requests that fit."""
        group = _ids.GroupName(summary.group)
        self.group_limits.apply_summary(summary, report)
        self.ejections.handle_summary(group)
        for ledger in self.group_limits.ledgers_of(group):
            self._queue.grant_queued(ledger)

    @property
    def fairness_rejections(self) -> int:
        """Return the number of rejections for fairness between teams."""
        return self._admission_control.fairness_rejections

    def queued_count(self) -> int:
        """Return the number of requests in this owner's queues."""
        ledgers = self.ledger_by_replica.values()
        return sum(len(ledger.queued_by_key) for ledger in ledgers)

    def _get_or_open_ledger(
        self, replica: _ids.ReplicaId
    ) -> _ledger.ReplicaLedger | None:
        ledger = self.ledger_by_replica.get(replica)
        if ledger is not None:
            return ledger
        target = self._targets.target_by_replica.get(replica)
        if target is None:
            return None
        ledger = self._open_ledger(target)
        self.ledger_by_replica[replica] = ledger
        return ledger

    def _open_ledger(self, target: _targets.Target) -> _ledger.ReplicaLedger:
        slots, batch_slots = self._slots_of(target)
        ledger = _ledger.ReplicaLedger(
            replica=target.replica,
            group=target.group,
            slots=slots,
            batch_slots=batch_slots,
            queue_capacity=self._routing.queue_per_replica,
            incarnation=target.incarnation,
            read_rate=self._learnt_read_rate(target.group),
        )
        ledger.uncertain_until = self._clock.monotonic() + UNCERTAIN_SECONDS
        self.recoveries.open(ledger, target)
        _log.info("opened ledger of {replica}", replica=target.replica)
        return ledger

    def _learnt_read_rate(self, group: _ids.GroupName) -> float:
        """Return the median rate at which a group's replicas read prompts."""
        rates = sorted(
            ledger.prompt_reads.rate
            for ledger in self.group_limits.ledgers_of(group)
            if ledger.prompt_reads.is_rate_learnt
        )
        return rates[len(rates) // 2] if rates else _prompt_reads.DEFAULT_RATE
