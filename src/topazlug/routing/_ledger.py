"""The load of one replica, counted by its owner.

The ledger has an entry for each request that was admitted and has not ended.
The count is exact while all entry daemons use the same owner. It is soft state
that entry daemons renew, so it need not be stored.
"""

import collections
from collections.abc import Callable
import enum
import math
from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _brittle_limit
from topazlug.capacity import _cold_rate
from topazlug.capacity import _context_reads
from topazlug.capacity import _context_recovery
from topazlug.capacity import _outcome_counts
from topazlug.capacity import _prompt_reads
from topazlug.capacity import _rank_limits
from topazlug.capacity import _replica_speed
from topazlug.capacity import _reservations
from topazlug.capacity import _shared_backoff
from topazlug.capacity import _slot_key
from topazlug.capacity import _slow_limits
from topazlug.capacity import _team_shares
from topazlug.limits import _fair_queue

_INTERVAL_SMOOTHING = 0.1
# Every eighth grant from the queues goes to batch work.
_BATCH_TURN_INTERVAL = 8
_MAX_REPORTS = 3
# Rank of work that is not subject to limits by rank.
UNRANKED = -1


class LedgerEntry(msgspec.Struct, gc=False):
    """Slots held by one admitted request."""

    weight: int
    team: _ids.TeamName
    batch: bool
    chat: _ids.ChatHash = _ids.ChatHash(0)
    rank: int = UNRANKED
    max_pause: float = 0.0
    work: float = 0.0


class QueuedRequest(msgspec.Struct):
    """One admission request in the queue."""

    key: _slot_key.SlotKey
    entry: LedgerEntry
    deadline: float
    grant: Callable[[], None]
    reject: Callable[[messages.Verdict], None]


class Fit(enum.Enum):
    """Whether one more request fits on a replica."""

    FREE = enum.auto()
    OVER_BOUND = enum.auto()
    FULL = enum.auto()


@final
class ReplicaLedger:
    """Admitted and queued requests of one replica.

    Parameters
    ----------
    replica : ReplicaId
        The replica.
    group : GroupName
        Its pool or service.
    slots : int
        Load units that the replica can run concurrently.
    batch_slots : int
        Slots that batch work may use.
    queue_capacity : int
        Maximum number of queued requests, for each request class.
    incarnation : int
        Incarnation of the replica's process.
    read_rate : float
        Prompt tokens that it reads a second, until that is measured.

    Attributes
    ----------
    load : int
        Load units held by admitted requests.
    batch_load : int
        Load units of these that batch work holds.
    uncertain_until : float
        Monotonic time until which the count may be too low.
    entry_by_key : dict
        Admitted requests.
    queued_by_key : dict
        Queued requests.
    """

    def __init__(
        self,
        *,
        replica: _ids.ReplicaId,
        group: _ids.GroupName,
        slots: int,
        batch_slots: int,
        queue_capacity: int,
        incarnation: int = 1,
        read_rate: float = _prompt_reads.DEFAULT_RATE,
    ) -> None:
        self.replica = replica
        self.incarnation = incarnation
        self.group = group
        self.slots = slots
        self.batch_slots = batch_slots
        self.load = 0
        self.batch_load = 0
        self.uncertain_until = 0.0
        self.context_reads = _context_reads.ContextReads()
        self.context_recovery = _context_recovery.ContextRecovery()
        self.prompt_reads = _prompt_reads.PromptReads(rate=read_rate)
        self.rank_limits = _rank_limits.RankLimits(slots=slots)
        self.cold_rate = _cold_rate.ColdRateLimiter()
        self.reservations = _reservations.Reservations()
        self.brittle_limit = _brittle_limit.BrittleLimit()
        self.backoff = _shared_backoff.SharedBackoff()
        self.speed = _replica_speed.ReplicaSpeed()
        self.slow_phase = _slow_limits.SlowPhase()
        self.team_shares = _team_shares.TeamShares()
        self.outcomes = _outcome_counts.OutcomeCounts()
        self.entry_by_key: dict[_slot_key.SlotKey, LedgerEntry] = {}
        self.queued_by_key: dict[_slot_key.SlotKey, QueuedRequest] = {}
        self._interactive = _fair_queue.FairQueue[QueuedRequest](
            capacity=queue_capacity
        )
        self._batch = _fair_queue.FairQueue[QueuedRequest](
            capacity=queue_capacity
        )
        self._turns_since_batch = 0
        self._release_interval = 0.0
        self._last_release: float | None = None
        self._reports: collections.deque[int] = collections.deque(
            maxlen=_MAX_REPORTS
        )
        # Highest load since the last report.
        self._peak_load = 0
        self._peak_loads: collections.deque[int] = collections.deque(
            maxlen=_MAX_REPORTS
        )

    def check_capacity(
        self, *, weight: int, batch: bool, limit: int, now: float, mean: float
    ) -> Fit:
        """Return whether one more request fits.

        Parameters
        ----------
        weight : int
            Load units of the request.
        batch : bool
            Whether it is batch work.
        limit : int
            Maximum load that the group's bound allows on this replica.
        now : float
            Monotonic seconds.
        mean : float
            Mean load of the group's replicas.

        Returns
        -------
        Fit
            FREE, OVER_BOUND, or FULL if no slot is free for it.
        """
        load = self.effective_load(now=now, mean=mean)
        if self.brittle_limit.is_active(now=now):
            if load + weight > self.brittle_limit.limit(self.slots, now=now):
                return Fit.FULL
        elif load + weight > self.slots and self.load:
            return Fit.FULL
        if batch and self.batch_load + weight > self.batch_slots:
            return Fit.FULL
        if load + weight > limit:
            return Fit.OVER_BOUND
        return Fit.FREE

    def effective_load(self, *, now: float, mean: float) -> int:
        """Return the load to use for admission, in load units.

        The count of a new owner, or of one that was paused, lacks what entry
        daemons hold and have not renewed yet, so it would admit over the
        bound. Until they have had time to renew, the engine's last report is
        used if it is higher, and the group's mean if there is no report.
        """
        if now < self.uncertain_until:
            estimate = self._reports[-1] if self._reports else math.ceil(mean)
            return max(self.load, estimate)
        return self.observed_load()

    def observed_load(self) -> int:
        """Return the load including what other owners have admitted."""
        return self.load + self._load_of_other_owners()

    def demand(self) -> int:
        """Return the load including queued requests.

        The group's mean is computed from it. If the mean counted running
        requests only, all requests of a burst on an idle group would be over
        the bound, which would rise by one slot per load report. Queued
        requests will soon run on some replica.
        """
        return self.observed_load() + len(self.queued_by_key)

    def _load_of_other_owners(self) -> int:
        """Return the load that the engine reports beyond the count here.

        While daemons disagree on the owner, another one admits requests too.
        Reports lag: requests in them may have been released when the report
        is recorded. So only the amount by which the lowest recent report
        exceeds the highest load counted over the same period is returned.
        """
        if len(self._reports) < _MAX_REPORTS:
            return 0
        return max(0, min(self._reports) - max(self._peak_loads))

    def add_engine_report(self, running: int) -> None:
        """Record the engine's own count of running requests, which lags."""
        self._reports.append(running)
        self._peak_loads.append(self._peak_load)
        self._peak_load = self.load

    def clear_reports(self) -> None:
        """Remove reports that are out of date after a pause."""
        self._reports.clear()
        self._peak_loads.clear()

    def hold(self, key: _slot_key.SlotKey, entry: LedgerEntry) -> None:
        """Count a request; does nothing if its key is counted already."""
        if key in self.entry_by_key:
            return
        self.entry_by_key[key] = entry
        self.load += entry.weight
        self.rank_limits.add_held(entry.rank)
        self._peak_load = max(self._peak_load, self.load)
        if entry.batch:
            self.batch_load += entry.weight

    def admit(self, key: _slot_key.SlotKey, entry: LedgerEntry) -> None:
        """Count a request that is granted now."""
        self._remove_earlier(key)
        self.hold(key, entry)
        self.backoff.record_admitted()
        self.outcomes.record_admitted(key)

    def record_work(
        self, entry: LedgerEntry, *, prompt: int = 0, now: float
    ) -> None:
        """Count the work of a request for its team, if it has a rank."""
        if entry.rank != UNRANKED:
            demand = _team_shares.Demand(
                entry.team, entry.rank, entry.work, prompt
            )
            self.team_shares.record_admitted(demand, now=now)

    def holds_chat_once(self, chat: _ids.ChatHash) -> bool:
        """Return whether exactly one admitted request is this chat's.

        Only one is exempt from the bound, so that a caller can't exceed the
        bound with many concurrent turns of one chat.
        """
        return self.placement_count(chat) == 1

    def placement_count(self, chat: _ids.ChatHash) -> int:
        """Return the number of a chat's admitted requests."""
        return sum(entry.chat == chat for entry in self.entry_by_key.values())

    def release(self, key: _slot_key.SlotKey, *, now: float) -> bool:
        """Release an admitted request, or remove a queued one.

        Returns
        -------
        bool
            Whether slots were released.
        """
        self._remove_from_queue(key)
        if not self._remove_entry(key):
            return False
        self._record_release(now)
        return True

    def _remove_from_queue(self, key: _slot_key.SlotKey) -> None:
        queued = self.queued_by_key.pop(key, None)
        if queued is not None:
            self._queue_of(queued).remove(queued)

    def _remove_entry(self, key: _slot_key.SlotKey) -> bool:
        """Stop counting an admitted request; return whether it was counted."""
        entry = self.entry_by_key.pop(key, None)
        if entry is None:
            return False
        self.load -= entry.weight
        self.rank_limits.remove_held(entry.rank)
        if entry.batch:
            self.batch_load -= entry.weight
        self.context_reads.record_end(key)
        self.prompt_reads.record_end(key)
        self.outcomes.forget(key)
        return True

    def _remove_earlier(self, key: _slot_key.SlotKey) -> None:
        """Remove what an earlier process of a daemon has under a key.

        A restarted daemon keeps its id and numbers its requests from 1 again.
        Until its first renewal, requests of its previous process are counted
        and queued, and a new request may have the key of one of them.
        """
        self._remove_from_queue(key)
        self._remove_entry(key)

    def _record_release(self, now: float) -> None:
        """Update the moving average of the time between two releases.

        Idle periods are excluded. Otherwise the expected wait of the first
        request after one would be minutes.
        """
        if self._last_release is not None:
            gap = now - self._last_release
            change = gap - self._release_interval
            self._release_interval += _INTERVAL_SMOOTHING * change
        self._last_release = now if self.load else None

    @property
    def release_interval(self) -> float:
        """Return the average seconds between releases, 0 if unknown."""
        return self._release_interval

    def remove_queued(self, queued: QueuedRequest) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        if self.queued_by_key.get(queued.key) is not queued:
            return False
        del self.queued_by_key[queued.key]
        return self._queue_of(queued).remove(queued)

    def expected_wait(self, *, batch: bool) -> float:
        """Return the seconds that a request queued now would wait."""
        ahead = len(self._interactive)
        if batch:
            ahead += len(self._batch)
        return (ahead + 1) * self._release_interval

    def has_queued_ahead(self, *, batch: bool) -> bool:
        """Return whether a queued request precedes a new one.

        Interactive work does not wait behind queued batch work. The latter may
        be queued while slots are free, as batch work may not use all slots.
        """
        return bool(len(self._interactive) or (batch and len(self._batch)))

    def enqueue(self, queued: QueuedRequest, *, team_weight: float) -> None:
        """Add a request to its queue; reject the one that is evicted."""
        self._remove_earlier(queued.key)
        self.queued_by_key[queued.key] = queued
        evicted = self._queue_of(queued).push(
            queued, team=queued.entry.team, weight=team_weight
        )
        if evicted is None:
            return
        del self.queued_by_key[evicted.key]
        evicted.reject(messages.Verdict.full)

    def grant_queued(self, *, limit: int, now: float, mean: float) -> None:
        """Grant queued requests while they fit."""
        while self.queued_by_key:
            queue = self._next_queue(limit=limit, now=now, mean=mean)
            if queue is None:
                return
            queued = queue.pop()
            if queued is None:
                return
            del self.queued_by_key[queued.key]
            if queued.deadline < now:
                queued.reject(messages.Verdict.full)
                continue
            self.admit(queued.key, queued.entry)
            queued.grant()

    def _next_queue(
        self, *, limit: int, now: float, mean: float
    ) -> _fair_queue.FairQueue[QueuedRequest] | None:
        """Return the queue to grant from next, None if nothing fits.

        Interactive work precedes batch work, but every eighth grant goes to
        batch work. Otherwise it would never run under steady interactive
        overload, and its callers would get no response.
        """
        batch_fits = self._fits(batch=True, limit=limit, now=now, mean=mean)
        batch_waits = len(self._batch) > 0 and batch_fits
        batch_is_due = self._turns_since_batch >= _BATCH_TURN_INTERVAL - 1
        if batch_waits and (batch_is_due or not len(self._interactive)):
            self._turns_since_batch = 0
            return self._batch
        if not len(self._interactive):
            return None
        if not self._fits(batch=False, limit=limit, now=now, mean=mean):
            return None
        self._turns_since_batch += 1
        return self._interactive

    def _fits(
        self, *, batch: bool, limit: int, now: float, mean: float
    ) -> bool:
        fit = self.check_capacity(
            weight=1, batch=batch, limit=limit, now=now, mean=mean
        )
        return fit is Fit.FREE

    def _queue_of(
        self, queued: QueuedRequest
    ) -> _fair_queue.FairQueue[QueuedRequest]:
        return self._batch if queued.entry.batch else self._interactive

    def reject_all(self, verdict: messages.Verdict) -> None:
        """Reject all queued requests, to be placed on other replicas."""
        for queue in (self._interactive, self._batch):
            for queued in queue.drain():
                queued.reject(verdict)
        self.queued_by_key.clear()

    def reconcile(
        self,
        daemon: _ids.DaemonId,
        held_by_ask: dict[_ids.AdmissionRequestId, messages.HeldPlace],
        pending: set[_ids.AdmissionRequestId],
        *,
        now: float,
    ) -> None:
        """Replace the entries of one entry daemon by its full list."""
        for key in [k for k in self.entry_by_key if k.daemon == daemon]:
            if key.ask not in held_by_ask and key.ask not in pending:
                self.release(key, now=now)
        for ask, placement in held_by_ask.items():
            key = _slot_key.SlotKey(daemon, ask)
            entry = LedgerEntry(
                weight=placement.weight,
                team=_ids.TeamName(placement.team),
                batch=placement.batch,
                rank=placement.rank,
                work=placement.work,
            )
            if key not in self.entry_by_key:
                self.record_work(entry, now=now)
            self.hold(key, entry)

    def drop_daemon(self, daemon: _ids.DaemonId, *, now: float) -> None:
        """Release all admitted and reject all queued requests of a daemon.

        A daemon that is assumed dead may run, as after a network partition
        or a pause. Without a reply, its requests would wait until their
        deadlines.
        """
        self.reconcile(daemon, {}, set(), now=now)
        for queued in list(self.queued_by_key.values()):
            if queued.key.daemon == daemon and self.remove_queued(queued):
                queued.reject(messages.Verdict.expired)
