"""The owner's decision by rank and team: is there capacity for a request.

Ranks have limits on each replica. Where teams compete for too little capacity,
requests of one rank share it fairly between their teams.
"""

from collections.abc import Callable
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.capacity import _context_reads
from topazlug.capacity import _slow_limits
from topazlug.capacity import _team_shares
from topazlug.routing import _group_limits
from topazlug.routing import _ledger
from topazlug.routing import _owner_features
from topazlug.routing import _owner_replies

_log = _logs.logger("owner")


@final
class RankAdmission:
    """Rejects requests for whose rank or team a replica has no capacity.

    Parameters
    ----------
    group_limits : GroupLimits
        Loads and limits of groups.
    replies : OwnerReplies
        Sends replies.
    features : OwnerFeatures
        Optional decisions that are switched on.
    weight_of : callable
        Returns a team's weight.
    clock : Clock
        Source of time.

    Attributes
    ----------
    fairness_rejections : int
        Requests rejected because their team was ahead of others.
    """

    def __init__(
        self,
        *,
        group_limits: _group_limits.GroupLimits,
        replies: _owner_replies.OwnerReplies,
        features: _owner_features.OwnerFeatures,
        weight_of: Callable[[_ids.TeamName], float],
        clock: _clock.Clock,
    ) -> None:
        self._group_limits = group_limits
        self._replies = replies
        self._features = features
        self._weight_of = weight_of
        self._clock = clock
        self.fairness_rejections = 0

    def work_of(
        self, ledger: _ledger.ReplicaLedger, ask: messages.AdmitAsk
    ) -> float:
        """Return the work that the request causes there, 0 if unknown."""
        shared = ask.shared
        if shared >= _context_reads.MIN_SHARED_TOKENS:
            state = ledger.context_reads.state(
                _ids.ChatHash(ask.chat), now=self._clock.monotonic()
            )
            if state is _context_reads.ReadState.FIRST:
                shared = 0
        return _team_shares.work_of(
            unread_tokens=ask.tokens - shared, output_tokens=ask.output_tokens
        )

    def reject(
        self,
        ledger: _ledger.ReplicaLedger,
        entry: _ledger.LedgerEntry,
        ask: messages.AdmitAsk,
        reply: _owner_replies.Reply,
    ) -> bool:
        """Reject the request if there is no capacity for its rank or team.

        Returns
        -------
        bool
            Whether it was rejected.
        """
        if self._features.fair_shares:
            return self._reject_by_share(ledger, entry, ask, reply)
        if self._has_capacity(ledger, ask):
            return False
        self._reject_by_rank(
            ledger, ask, reply, retry_after=self._retry_after(ledger, ask)
        )
        return True

    def _has_capacity(
        self,
        ledger: _ledger.ReplicaLedger,
        ask: messages.AdmitAsk,
        *,
        kept_slots: int = 0,
    ) -> bool:
        now = self._clock.monotonic()
        ledger.rank_limits.record_request(ask.rank, now=now)
        load = ledger.observed_load()
        is_due = ledger.reservations.is_due(ask.request, now=now)
        reserved = ledger.reservations.reserved(
            ask.rank, now=now, is_due=is_due
        )
        # A retry that is due was promised its slot.
        if not is_due:
            reserved += kept_slots
        return ledger.rank_limits.has_capacity(
            ask.rank,
            load=load,
            reserved=reserved,
            is_due=is_due,
            slowness=self._group_limits.slowness_of(ledger),
            now=now,
        )

    def _reject_by_share(
        self,
        ledger: _ledger.ReplicaLedger,
        entry: _ledger.LedgerEntry,
        ask: messages.AdmitAsk,
        reply: _owner_replies.Reply,
    ) -> bool:
        """Reject the request by its rank, or if its team is ahead of others.

        Returns
        -------
        bool
            Whether it was rejected.
        """
        now = self._clock.monotonic()
        demand = _team_shares.Demand(
            team=entry.team,
            rank=entry.rank,
            work=entry.work,
            prompt=ask.request,
            weight=self._weight_of(entry.team),
        )
        shares = ledger.team_shares
        shares.record_request(demand, now=now)
        standing = shares.compare(
            demand, limit=ledger.rank_limits.limit, now=now
        )
        if self._has_capacity(ledger, ask, kept_slots=standing.kept_slots):
            return False
        is_for_fairness = self._has_capacity(ledger, ask)
        retry_after = shares.reject(
            demand,
            standing,
            min_delay=self._retry_after(ledger, ask),
            max_delay=ask.longest,
            is_for_fairness=is_for_fairness,
            now=now,
        )
        if not is_for_fairness:
            self._reject_by_rank(ledger, ask, reply, retry_after=retry_after)
            return True
        self.fairness_rejections += 1
        _log.info(
            "rejected at {replica} for fairness: team {team} has {recent:.0f} "
            "tokens of recent work, the least of those that wait {least:.0f}",
            replica=ledger.replica,
            team=entry.team,
            recent=standing.recent,
            least=standing.least,
            share=round(standing.share, 3),
            rank=ask.rank,
            load=ledger.load,
            limit=ledger.rank_limits.limit,
            kept=standing.kept_slots,
            retry_after=round(retry_after, 3),
        )
        self._replies.send(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            retry_after=retry_after,
        )
        return True

    def _retry_after(
        self, ledger: _ledger.ReplicaLedger, ask: messages.AdmitAsk
    ) -> float:
        return ledger.reservations.retry_after(
            ask.rank,
            interval=ledger.release_interval,
            max_delay=ask.longest,
            now=self._clock.monotonic(),
        )

    def _reject_by_rank(
        self,
        ledger: _ledger.ReplicaLedger,
        ask: messages.AdmitAsk,
        reply: _owner_replies.Reply,
        *,
        retry_after: float,
    ) -> None:
        slowness = self._group_limits.slowness_of(ledger)
        _log.info(
            "rejected at {replica} for rank {rank}: load {load}, "
            "limit {limit}",
            replica=ledger.replica,
            rank=ask.rank,
            load=ledger.load,
            limit=_slow_limits.divide(ledger.rank_limits.limit, slowness),
            slowness=round(slowness, 2),
            home=ask.home,
            retry_after=round(retry_after, 3),
        )
        self._replies.send(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            retry_after=retry_after,
        )
