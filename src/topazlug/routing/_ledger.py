"""What one replica carries, as its owner counts it.

A place is one request that was let in and has not ended. The owner's count
is exact while all entry daemons ask the same owner; it is soft state that
entry daemons renew, so nothing of it has to last.
"""

import collections
from collections.abc import Callable
import enum
import math
from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _cold_rate
from topazlug.capacity import _context_reads
from topazlug.capacity import _place_key
from topazlug.capacity import _rank_room
from topazlug.capacity import _returns
from topazlug.capacity import _shared_backoff
from topazlug.limits import _fair_queue

_INTERVAL_SMOOTHING = 0.1
_BATCH_TURN_INTERVAL = 8
_REPORTS_KEPT = 3
# Work that is not held to a limit by rank.
UNRANKED = -1


class LedgerEntry(msgspec.Struct, gc=False):
    """One place in use."""

    weight: int
    team: _ids.TeamName
    batch: bool
    chat: _ids.ChatHash = _ids.ChatHash(0)
    rank: int = UNRANKED


class QueuedRequest(msgspec.Struct):
    """One ask in the queue."""

    key: _place_key.PlaceKey
    entry: LedgerEntry
    deadline: float
    grant: Callable[[], None]
    reject: Callable[[messages.Verdict], None]


class Fit(enum.Enum):
    """What a ledger says to one more place."""

    FREE = enum.auto()
    OVER_BOUND = enum.auto()
    FULL = enum.auto()


@final
class ReplicaLedger:
    """Places of one replica.

    Parameters
    ----------
    replica : ReplicaId
        The replica.
    group : GroupName
        Its pool or service.
    slots : int
        Load units that the replica runs at once.
    batch_slots : int
        How many of them batch work may take.
    queue_capacity : int
        Asks that may wait, for each request class.
    incarnation : int
        The start of the replica that this is of.
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
        self.rank_limits = _rank_room.RankRoom(slots=slots)
        self.cold_rate = _cold_rate.ColdRate()
        self.reservations = _returns.Returns()
        self.backoff = _shared_backoff.SharedBackoff()
        self.entry_by_key: dict[_place_key.PlaceKey, LedgerEntry] = {}
        self.queued_by_key: dict[_place_key.PlaceKey, QueuedRequest] = {}
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
            maxlen=_REPORTS_KEPT
        )
        # Highest load since the last report.
        self._peak_load = 0
        self._peak_loads: collections.deque[int] = collections.deque(
            maxlen=_REPORTS_KEPT
        )

    def check_capacity(
        self, *, weight: int, batch: bool, limit: int, now: float, mean: float
    ) -> Fit:
        """Say whether one more place fits.

        Parameters
        ----------
        weight : int
            Load units of the place.
        batch : bool
            Whether it is batch work.
        limit : int
            Load that the bound allows on this replica.
        now : float
            Monotonic seconds.
        mean : float
            Mean load of the group's replicas.

        Returns
        -------
        Judgement
            Free, over the bound, or without a free slot.
        """
        load = self.effective_load(now=now, mean=mean)
        if load + weight > self.slots and self.load:
            return Fit.FULL
        if batch and self.batch_load + weight > self.batch_slots:
            return Fit.FULL
        if load + weight > limit:
            return Fit.OVER_BOUND
        return Fit.FREE

    def effective_load(self, *, now: float, mean: float) -> int:
        """Give the load to reckon with, in load units.

        A new owner, or one that was paused, does not know yet what entry
        daemons hold: its count is too low and it would admit over the
        bound. Until they had time to renew, the engine's own report counts
        when it is higher, and the group's mean when there is no report.
        """
        if now < self.uncertain_until:
            guess = self._reports[-1] if self._reports else math.ceil(mean)
            return max(self.load, guess)
        return self.observed_load()

    def observed_load(self) -> int:
        """Give the load, with what another owner admits here counted in."""
        return self.load + self._load_of_other_owners()

    def demand(self) -> int:
        """Give the load with what waits counted in.

        The group's mean is taken over this. In a burst onto an idle group
        all asks are over a bound taken from what runs, and it would rise by
        one place a report; what waits is about to run somewhere.
        """
        return self.observed_load() + len(self.queued_by_key)

    def _load_of_other_owners(self) -> int:
        """Load that the engine keeps reporting beyond what is counted.

        While daemons disagree on the owner, another one admits too. Reports
        lag: places that they count may have been given back when they are
        taken. So only what every recent report shows beyond all that was
        held since the report before it is taken for real.
        """
        if len(self._reports) < _REPORTS_KEPT:
            return 0
        return max(0, min(self._reports) - max(self._peak_loads))

    def add_engine_report(self, running: int) -> None:
        """Note the engine's own lagging figure."""
        self._reports.append(running)
        self._peak_loads.append(self._peak_load)
        self._peak_load = self.load

    def clear_reports(self) -> None:
        """Drop figures that say nothing of now."""
        self._reports.clear()
        self._peak_loads.clear()

    def hold(self, key: _place_key.PlaceKey, entry: LedgerEntry) -> None:
        """Count a place; a repeated one is counted once."""
        if key in self.entry_by_key:
            return
        self.entry_by_key[key] = entry
        self.load += entry.weight
        self.rank_limits.note_held(entry.rank)
        self._peak_load = max(self._peak_load, self.load)
        if entry.batch:
            self.batch_load += entry.weight

    def admit(self, key: _place_key.PlaceKey, entry: LedgerEntry) -> None:
        """Count a place that an ask gets now."""
        self.hold(key, entry)
        self.backoff.note_let_in()

    def holds_chat_once(self, chat: _ids.ChatHash) -> bool:
        """Say whether exactly one place is this chat's.

        Only one is overlooked: a caller that sends many turns of one chat
        at once must not get past the bound with them.
        """
        return self.placement_count(chat) == 1

    def placement_count(self, chat: _ids.ChatHash) -> int:
        """Give how many places are a chat's."""
        return sum(entry.chat == chat for entry in self.entry_by_key.values())

    def release(self, key: _place_key.PlaceKey, *, now: float) -> bool:
        """Free a place, or take its ask out of the queue.

        Returns
        -------
        bool
            Whether a place was freed.
        """
        queued = self.queued_by_key.pop(key, None)
        if queued is not None:
            self._queue_of(queued).remove(queued)
        entry = self.entry_by_key.pop(key, None)
        if entry is None:
            return False
        self.load -= entry.weight
        self.rank_limits.note_released(entry.rank)
        if entry.batch:
            self.batch_load -= entry.weight
        self.context_reads.note_ended(key)
        self._note_release(now)
        return True

    def _note_release(self, now: float) -> None:
        """Keep a smoothed time between two releases.

        An idle spell is left out: counted, it would make the first call
        after it look as if it had to wait for minutes.
        """
        if self._last_release is not None:
            gap = now - self._last_release
            change = gap - self._release_interval
            self._release_interval += _INTERVAL_SMOOTHING * change
        self._last_release = now if self.load else None

    @property
    def release_interval(self) -> float:
        """Give the smoothed seconds between two releases, 0 unknown."""
        return self._release_interval

    def remove_queued(self, queued: QueuedRequest) -> bool:
        """Take an ask out of the queue, if it still waits there."""
        if self.queued_by_key.get(queued.key) is not queued:
            return False
        del self.queued_by_key[queued.key]
        return self._queue_of(queued).remove(queued)

    def expected_wait(self, *, batch: bool) -> float:
        """Give the seconds that an ask queued now would wait."""
        ahead = len(self._interactive)
        if batch:
            ahead += len(self._batch)
        return (ahead + 1) * self._release_interval

    def has_queued_ahead(self, *, batch: bool) -> bool:
        """Say whether a queued ask has a better claim to a free slot.

        Interactive work does not stand behind queued batch work: that may
        wait only because of the reserve, with slots free.
        """
        return bool(len(self._interactive) or (batch and len(self._batch)))

    def enqueue(self, queued: QueuedRequest, *, team_weight: float) -> None:
        """Let an ask wait for its turn; the one that gives way is refused."""
        self.queued_by_key[queued.key] = queued
        evicted = self._queue_of(queued).push(
            queued, team=queued.entry.team, weight=team_weight
        )
        if evicted is None:
            return
        del self.queued_by_key[evicted.key]
        evicted.reject(messages.Verdict.full)

    def grant_queued(self, *, limit: int, now: float, mean: float) -> None:
        """Grant queued asks while there is room."""
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
        """Choose the class whose turn it is.

        Interactive work goes first, but every eighth turn is batch work's:
        under steady interactive overload an audit would otherwise never
        run, which its caller would notice as silence.
        """
        batch_fits = self._fits(batch=True, limit=limit, now=now, mean=mean)
        batch_waits = len(self._batch) > 0 and batch_fits
        due = self._turns_since_batch >= _BATCH_TURN_INTERVAL - 1
        if batch_waits and (due or not len(self._interactive)):
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
        verdict = self.check_capacity(
            weight=1, batch=batch, limit=limit, now=now, mean=mean
        )
        return verdict is Fit.FREE

    def _queue_of(
        self, queued: QueuedRequest
    ) -> _fair_queue.FairQueue[QueuedRequest]:
        return self._batch if queued.entry.batch else self._interactive

    def reject_all(self, verdict: messages.Verdict) -> None:
        """Send everybody in the queue away, to look for another place."""
        for queue in (self._interactive, self._batch):
            for queued in queue.drain():
                queued.reject(verdict)
        self.queued_by_key.clear()

    def reconcile(
        self,
        daemon: _ids.DaemonId,
        entry: dict[_ids.AskNumber, messages.HeldPlace],
        pending: set[_ids.AskNumber],
        *,
        now: float,
    ) -> None:
        """Make the places of one entry daemon what it says they are."""
        for key in [k for k in self.entry_by_key if k.daemon == daemon]:
            if key.ask not in entry and key.ask not in pending:
                self.release(key, now=now)
        for ask, placement in entry.items():
            self.hold(
                _place_key.PlaceKey(daemon, ask),
                LedgerEntry(
                    weight=placement.weight,
                    team=_ids.TeamName(placement.team),
                    batch=placement.batch,
                    rank=placement.rank,
                ),
            )

    def drop_daemon(self, daemon: _ids.DaemonId, *, now: float) -> None:
        """Free all that a dead daemon held."""
        self.reconcile(daemon, {}, set(), now=now)
        for key in [k for k in self.queued_by_key if k.daemon == daemon]:
            self.release(key, now=now)
