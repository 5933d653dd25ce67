"""The owner's decision on an admission request: grant, queue or reject.

Nothing in this module yields or does I/O, so each request is decided against
an exact count.
"""

from collections.abc import Callable
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.capacity import _context_reads
from topazlug.capacity import _slot_key
from topazlug.capacity import _startup_allowance
from topazlug.routing import _group_limits
from topazlug.routing import _group_load
from topazlug.routing import _ledger
from topazlug.routing import _outcome_ejection
from topazlug.routing import _owner_features
from topazlug.routing import _owner_queue
from topazlug.routing import _owner_replies
from topazlug.routing import _rank_admission
from topazlug.routing import _read_admission
from topazlug.targets import _targets

_log = _logs.logger("owner")


@final
class AdmissionControl:
    """Decides admission requests from the ledgers of an owner's replicas.

    Parameters
    ----------
    group_limits : GroupLimits
        Loads and limits of groups.
    replies : OwnerReplies
        Sends replies.
    queue : OwnerQueue
        Queues the requests that may wait.
    ejections : OutcomeEjections
        Replicas that are ejected as their requests fail.
    targets : TargetDirectory
        Replicas, and which of them are cold.
    startup_allowance : StartupAllowance
        Load allowed on a replica just after this owner has started.
    features : OwnerFeatures
        Optional decisions that are switched on.
    weight_of : callable
        Returns a team's weight.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        group_limits: _group_limits.GroupLimits,
        replies: _owner_replies.OwnerReplies,
        queue: _owner_queue.OwnerQueue,
        ejections: _outcome_ejection.OutcomeEjections,
        targets: _targets.TargetDirectory,
        startup_allowance: _startup_allowance.StartupAllowance,
        features: _owner_features.OwnerFeatures,
        weight_of: Callable[[_ids.TeamName], float],
        clock: _clock.Clock,
    ) -> None:
        self._group_limits = group_limits
        self._replies = replies
        self._queue = queue
        self._ejections = ejections
        self._targets = targets
        self._startup_allowance = startup_allowance
        self._features = features
        self._read_admission = _read_admission.ReadAdmission(
            replies=replies, features=features, clock=clock
        )
        self._rank_admission = _rank_admission.RankAdmission(
            group_limits=group_limits,
            replies=replies,
            features=features,
            weight_of=weight_of,
            clock=clock,
        )
        self._clock = clock

    @property
    def fairness_rejections(self) -> int:
        """Return the number of rejections for fairness between teams."""
        return self._rank_admission.fairness_rejections

    def decide(
        self,
        sender: _ids.DaemonId,
        ask: messages.AdmitAsk,
        ledger: _ledger.ReplicaLedger,
        reply: _owner_replies.Reply,
    ) -> None:
        """Grant, queue or reject an admission request.

        Parameters
        ----------
        sender : DaemonId
            Entry daemon.
        ask : AdmitAsk
            Admission request.
        ledger : ReplicaLedger
            Ledger of the requested replica.
        reply : callable
            Called once with the reply, now or later.
        """
        if self._reject_in_backoff(ledger, reply):
            return
        if self._reject_ejected(ledger, reply):
            return
        if not self._reject_cold(ask, ledger, reply):
            self._decide(sender, ask, ledger, reply)

    def _reject_in_backoff(
        self, ledger: _ledger.ReplicaLedger, reply: _owner_replies.Reply
    ) -> bool:
        """Reject the request if its replica is in backoff for all daemons.

        Returns
        -------
        bool
            Whether it was rejected.
        """
        remaining = ledger.backoff.remaining(now=self._clock.monotonic())
        if remaining <= 0:
            return False
        _log.info(
            "rejected at {replica}: in backoff for all daemons",
            replica=ledger.replica,
            retry_after=round(remaining, 3),
        )
        self._replies.send(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            retry_after=remaining,
            backoff=remaining,
        )
        return True

    def _reject_ejected(
        self, ledger: _ledger.ReplicaLedger, reply: _owner_replies.Reply
    ) -> bool:
        """Reject the request if its replica is ejected.

        Returns
        -------
        bool
            Whether it was rejected.
        """
        remaining = self._ejections.backoff_of(ledger)
        if remaining <= 0:
            return False
        _log.info(
            "rejected at {replica}: it is ejected",
            replica=ledger.replica,
            backoff=round(remaining, 3),
        )
        # Without a time to retry after: the caller may be sent to another
        # replica now. Entry daemons distinguish ejections by this from
        # backoffs that a replica requested.
        self._replies.send(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            backoff=remaining,
        )
        return True

    def _reject_cold(
        self,
        ask: messages.AdmitAsk,
        ledger: _ledger.ReplicaLedger,
        reply: _owner_replies.Reply,
    ) -> bool:
        """Reject the request if its replica is cold and at its tolerated rate.

        If all chats of a replica return in the first second after its
        start, it crashes, and its chats move to the next replica.

        Returns
        -------
        bool
            Whether it was rejected.
        """
        target = self._targets.target_by_replica[ledger.replica]
        if ask.cold and not self._targets.cold.is_cold(target):
            self._targets.cold.presume_cold([target])
        rate = self._tolerated_rate(ledger)
        if rate is None:
            return False
        if ledger.cold_rate.has_capacity(rate, now=self._clock.monotonic()):
            return False
        wait = ledger.cold_rate.wait(rate)
        _log.info(
            "rejected at {replica}: cold and at its tolerated rate",
            replica=ledger.replica,
            tolerated=rate,
            retry_after=round(wait, 3),
        )
        self._replies.send(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            retry_after=wait,
            cold=True,
        )
        return True

    def _tolerated_rate(self, ledger: _ledger.ReplicaLedger) -> float | None:
        target = self._targets.target_by_replica[ledger.replica]
        return self._targets.cold.max_request_rate(target)

    def _decide(
        self,
        sender: _ids.DaemonId,
        ask: messages.AdmitAsk,
        ledger: _ledger.ReplicaLedger,
        reply: _owner_replies.Reply,
    ) -> None:
        key = _slot_key.SlotKey(sender, _ids.AdmissionRequestId(ask.ask))
        entry = _ledger.LedgerEntry(
            weight=ask.weight,
            team=_ids.TeamName(ask.team),
            batch=ask.batch,
            chat=_ids.ChatHash(ask.chat),
            rank=ask.rank,
            max_pause=ask.max_pause,
            work=self._rank_admission.work_of(ledger, ask),
        )
        total = self._group_limits.total(ledger.group)
        if ask.total > total.load:
            total = total._replace(load=ask.total)
        limit = max(
            self._group_limits.limit_of(ledger, total),
            self._startup_allowance.limit(
                ledger.slots, now=self._clock.monotonic()
            ),
        )
        fit = ledger.check_capacity(
            weight=ask.weight,
            batch=ask.batch,
            limit=limit,
            now=self._clock.monotonic(),
            mean=total.mean,
        )
        is_brittle = ledger.brittle_limit.is_active(
            now=self._clock.monotonic()
        )
        if is_brittle and fit is _ledger.Fit.FULL:
            self._handle_full_brittle(ledger, key, entry, ask, reply)
            return
        if is_brittle and not ask.tokens:
            fit = _ledger.Fit.FREE
        if fit is _ledger.Fit.OVER_BOUND:
            fit = self._recheck_returning_chat(ledger, entry, fit)
        uses_margin = (
            fit is _ledger.Fit.OVER_BOUND
            and ledger.observed_load() + ask.weight
            <= limit + _group_load.LAG_MARGIN
            and self._read_admission.holds(ledger, ask)
        )
        if uses_margin and ask.accept_over_bound:
            fit = _ledger.Fit.FREE
        if ask.rank != _ledger.UNRANKED and (ask.tokens or not is_brittle):
            if self._rank_admission.reject(ledger, entry, ask, reply):
                return
            if fit is _ledger.Fit.FULL:
                fit = _ledger.Fit.FREE
        is_queued_ahead = ledger.has_queued_ahead(batch=ask.batch)
        if fit is _ledger.Fit.FREE and not is_queued_ahead:
            self._grant(ledger, key, entry, ask, reply)
            return
        if ask.wait <= 0:
            _log.info(
                "rejected at {replica} for {daemon}: load {load}, "
                "limit {limit}",
                replica=ledger.replica,
                daemon=sender,
                load=ledger.load,
                limit=limit,
                mean=round(total.mean, 2),
                slowness=round(self._group_limits.slowness_of(ledger), 2),
                home=ask.home,
                places_of_chat=ledger.placement_count(entry.chat),
                judgement=fit.name.lower(),
            )
            verdict = messages.Verdict.full
            if fit is _ledger.Fit.OVER_BOUND:
                verdict = messages.Verdict.over_bound
            self._replies.send(
                reply,
                verdict,
                load=ledger.load,
                cold=self._tolerated_rate(ledger) is not None,
                holds=uses_margin,
            )
            return
        # A request over the bound need not wait for a release: the bound
        # rises with the group's load.
        is_full = fit is _ledger.Fit.FULL
        expected = ledger.expected_wait(batch=entry.batch)
        if expected > ask.wait and (
            is_full or ask.wait <= _owner_queue.SHORT_WAIT_SECONDS
        ):
            self._queue.reject(ledger, expected, reply)
            return
        self._queue.enqueue(ledger, key, entry, ask.wait, reply)

    def _handle_full_brittle(
        self,
        ledger: _ledger.ReplicaLedger,
        key: _slot_key.SlotKey,
        entry: _ledger.LedgerEntry,
        ask: messages.AdmitAsk,
        reply: _owner_replies.Reply,
    ) -> None:
        """Queue a request for a brittle replica, or reject it."""
        closed_for = ledger.brittle_limit.closed_for(
            now=self._clock.monotonic()
        )
        expected = max(closed_for, ledger.expected_wait(batch=entry.batch))
        if expected <= ask.wait:
            self._queue.enqueue(ledger, key, entry, ask.wait, reply)
        else:
            self._queue.reject(ledger, expected, reply)

    def _grant(
        self,
        ledger: _ledger.ReplicaLedger,
        key: _slot_key.SlotKey,
        entry: _ledger.LedgerEntry,
        ask: messages.AdmitAsk,
        reply: _owner_replies.Reply,
    ) -> None:
        """Grant the request, unless its prompt is read by another request."""
        now = self._clock.monotonic()
        state = _context_reads.ReadState.KNOWN
        if ask.shared >= _context_reads.MIN_SHARED_TOKENS:
            state = ledger.context_reads.state(entry.chat, now=now)
        if state is _context_reads.ReadState.WAIT and ask.may_wait:
            self._replies.send(
                reply,
                messages.Verdict.reading,
                load=ledger.load,
                retry_after=ledger.context_reads.wait(entry.chat, now=now),
            )
            return
        if self._read_admission.delay(ledger, ask, state, reply):
            return
        if self._read_admission.redirect(ledger, ask, state, reply):
            return
        ledger.admit(key, entry)
        self._read_admission.record_granted(ledger, key, ask, state)
        if self._features.fair_shares:
            ledger.record_work(entry, prompt=ask.request, now=now)
        if self._tolerated_rate(ledger) is not None:
            ledger.cold_rate.record_admitted()
        ledger.reservations.remove(ask.request)
        is_first = state is _context_reads.ReadState.FIRST
        if is_first:
            ledger.context_reads.begin(entry.chat, key, now=now)
        else:
            ledger.context_reads.record_use(entry.chat, now=now)
        self._replies.send(
            reply, messages.Verdict.granted, load=ledger.load, reads=is_first
        )

    def _recheck_returning_chat(
        self,
        ledger: _ledger.ReplicaLedger,
        entry: _ledger.LedgerEntry,
        fit: _ledger.Fit,
    ) -> _ledger.Fit:
        """Return FREE if the only slot over the bound is the chat's own.

        If a chat's next turn arrives through another daemon, it can overtake
        the release of the previous turn. At low load, that turn alone
        reaches the bound, and the chat would be moved away from its context.
        The previous turn has ended, so the new one may take its slot. This
        applies at the home, at the replica that a chat was displaced to, and
        at the next replica of its ranking while the home is intermittently
        down.
        """
        if ledger.load < ledger.slots and ledger.holds_chat_once(entry.chat):
            return _ledger.Fit.FREE
        return fit
