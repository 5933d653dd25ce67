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
from topazlug.capacity import _rank_limits
from topazlug.capacity import _reservations
from topazlug.capacity import _shared_backoff
from topazlug.capacity import _slot_key
from topazlug.limits import _fair_queue

_INTERVAL_SMOOTHING = 0.1
_BATCH_TURN = 8
_REPORTS_KEPT = 3
# Work that is not held to a limit by rank.
UNRANKED = -1


class Held(msgspec.Struct, gc=False):
    """One place in use."""

    weight: int
    team: _ids.TeamName
    batch: bool
    chat: _ids.ChatHash = _ids.ChatHash(0)
    rank: int = UNRANKED


class Waiting(msgspec.Struct):
    """One ask in the queue."""

    key: _slot_key.SlotKey
    held: Held
    deadline: float
    grant: Callable[[], None]
    refuse: Callable[[messages.Verdict], None]


class Judgement(enum.Enum):
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
        self.careful_until = 0.0
        self.reads = _context_reads.ContextReads()
        self.room = _rank_limits.RankLimits(slots=slots)
        self.cold = _cold_rate.ColdRateLimiter()
        self.returns = _reservations.Reservations()
        self.backoff = _shared_backoff.SharedBackoff()
        self.held_by_key: dict[_slot_key.SlotKey, Held] = {}
        self.waiting_by_key: dict[_slot_key.SlotKey, Waiting] = {}
        self._interactive = _fair_queue.FairQueue[Waiting](
            capacity=queue_capacity
        )
        self._batch = _fair_queue.FairQueue[Waiting](capacity=queue_capacity)
        self._since_batch = 0
        self._release_interval = 0.0
        self._last_release: float | None = None
        self._reports: collections.deque[int] = collections.deque(
            maxlen=_REPORTS_KEPT
        )
        # Highest load since the last report.
        self._peak = 0
        self._counts: collections.deque[int] = collections.deque(
            maxlen=_REPORTS_KEPT
        )

    def judge(
        self, *, weight: int, batch: bool, limit: int, now: float, mean: float
    ) -> Judgement:
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
            return Judgement.FULL
        if batch and self.batch_load + weight > self.batch_slots:
            return Judgement.FULL
        if load + weight > limit:
            return Judgement.OVER_BOUND
        return Judgement.FREE

    def effective_load(self, *, now: float, mean: float) -> int:
        """Give the load to reckon with, in load units.

        A new owner, or one that was paused, does not know yet what entry
        daemons hold: its count is too low and it would admit over the
        bound. Until they had time to renew, the engine's own report counts
        when it is higher, and the group's mean when there is no report.
        """
        if now < self.careful_until:
            guess = self._reports[-1] if self._reports else math.ceil(mean)
            return max(self.load, guess)
        return self.seen_load()

    def seen_load(self) -> int:
        """Give the load, with what another owner admits here counted in."""
        return self.load + self._foreign_load()

    def demand(self) -> int:
        """Give the load with what waits counted in.

        The group's mean is taken over this. In a burst onto an idle group
        all asks are over a bound taken from what runs, and it would rise by
        one place a report; what waits is about to run somewhere.
        """
        return self.seen_load() + len(self.waiting_by_key)

    def _foreign_load(self) -> int:
        """Load that the engine keeps reporting beyond what is counted.

        While daemons disagree on the owner, another one admits too. Reports
        lag: places that they count may have been given back when they are
        taken. So only what every recent report shows beyond all that was
        held since the report before it is taken for real.
        """
        if len(self._reports) < _REPORTS_KEPT:
            return 0
        return max(0, min(self._reports) - max(self._counts))

    def take_report(self, running: int) -> None:
        """Note the engine's own lagging figure."""
        self._reports.append(running)
        self._counts.append(self._peak)
        self._peak = self.load

    def forget_reports(self) -> None:
        """Drop figures that say nothing of now."""
        self._reports.clear()
        self._counts.clear()

    def hold(self, key: _slot_key.SlotKey, held: Held) -> None:
        """Count a place; a repeated one is counted once."""
        if key in self.held_by_key:
            return
        self.held_by_key[key] = held
        self.load += held.weight
        self.room.note_held(held.rank)
        self._peak = max(self._peak, self.load)
        if held.batch:
            self.batch_load += held.weight

    def let_in(self, key: _slot_key.SlotKey, held: Held) -> None:
        """Count a place that an ask gets now."""
        self.hold(key, held)
        self.backoff.note_admitted()

    def holds_chat(self, chat: _ids.ChatHash) -> bool:
        """Say whether exactly one place is this chat's.

        Only one is overlooked: a caller that sends many turns of one chat
        at once must not get past the bound with them.
        """
        return self.places_of(chat) == 1

    def places_of(self, chat: _ids.ChatHash) -> int:
        """Give how many places are a chat's."""
        return sum(held.chat == chat for held in self.held_by_key.values())

    def release(self, key: _slot_key.SlotKey, *, now: float) -> bool:
        """Free a place, or take its ask out of the queue.

        Returns
        -------
        bool
            Whether a place was freed.
        """
        waiting = self.waiting_by_key.pop(key, None)
        if waiting is not None:
            self._queue_of(waiting).remove(waiting)
        held = self.held_by_key.pop(key, None)
        if held is None:
            return False
        self.load -= held.weight
        self.room.note_released(held.rank)
        if held.batch:
            self.batch_load -= held.weight
        self.reads.note_ended(key)
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

    def lapse(self, waiting: Waiting) -> bool:
        """Take an ask out of the queue, if it still waits there."""
        if self.waiting_by_key.get(waiting.key) is not waiting:
            return False
        del self.waiting_by_key[waiting.key]
        return self._queue_of(waiting).remove(waiting)

    def expected_wait(self, *, batch: bool) -> float:
        """Give the seconds that an ask queued now would wait."""
        ahead = len(self._interactive)
        if batch:
            ahead += len(self._batch)
        return (ahead + 1) * self._release_interval

    def has_ahead(self, *, batch: bool) -> bool:
        """Say whether a queued ask has a better claim to a free slot.

        Interactive work does not stand behind queued batch work: that may
        wait only because of the reserve, with slots free.
        """
        return bool(len(self._interactive) or (batch and len(self._batch)))

    def enqueue(self, waiting: Waiting, *, team_weight: float) -> None:
        """Let an ask wait for its turn; the one that gives way is refused."""
        self.waiting_by_key[waiting.key] = waiting
        evicted = self._queue_of(waiting).push(
            waiting, team=waiting.held.team, weight=team_weight
        )
        if evicted is None:
            return
        del self.waiting_by_key[evicted.key]
        evicted.refuse(messages.Verdict.full)

    def pump(self, *, limit: int, now: float, mean: float) -> None:
        """Grant queued asks while there is room."""
        while self.waiting_by_key:
            queue = self._next_queue(limit=limit, now=now, mean=mean)
            if queue is None:
                return
            waiting = queue.pop()
            if waiting is None:
                return
            del self.waiting_by_key[waiting.key]
            if waiting.deadline < now:
                waiting.refuse(messages.Verdict.full)
                continue
            self.let_in(waiting.key, waiting.held)
            waiting.grant()

    def _next_queue(
        self, *, limit: int, now: float, mean: float
    ) -> _fair_queue.FairQueue[Waiting] | None:
        """Choose the class whose turn it is.

        Interactive work goes first, but every eighth turn is batch work's:
        under steady interactive overload an audit would otherwise never
        run, which its caller would notice as silence.
        """
        batch_fits = self._fits(batch=True, limit=limit, now=now, mean=mean)
        batch_waits = len(self._batch) > 0 and batch_fits
        due = self._since_batch >= _BATCH_TURN - 1
        if batch_waits and (due or not len(self._interactive)):
            self._since_batch = 0
            return self._batch
        if not len(self._interactive):
            return None
        if not self._fits(batch=False, limit=limit, now=now, mean=mean):
            return None
        self._since_batch += 1
        return self._interactive

    def _fits(
        self, *, batch: bool, limit: int, now: float, mean: float
    ) -> bool:
        verdict = self.judge(
            weight=1, batch=batch, limit=limit, now=now, mean=mean
        )
        return verdict is Judgement.FREE

    def _queue_of(self, waiting: Waiting) -> _fair_queue.FairQueue[Waiting]:
        return self._batch if waiting.held.batch else self._interactive

    def refuse_all(self, verdict: messages.Verdict) -> None:
        """Send everybody in the queue away, to look for another place."""
        for queue in (self._interactive, self._batch):
            for waiting in queue.drain():
                waiting.refuse(verdict)
        self.waiting_by_key.clear()

    def keep_only(
        self,
        daemon: _ids.DaemonId,
        held: dict[_ids.AskNumber, messages.HeldPlace],
        pending: set[_ids.AskNumber],
        *,
        now: float,
    ) -> None:
        """Make the places of one entry daemon what it says they are."""
        for key in [k for k in self.held_by_key if k.daemon == daemon]:
            if key.ask not in held and key.ask not in pending:
                self.release(key, now=now)
        for ask, place in held.items():
            self.hold(
                _slot_key.SlotKey(daemon, ask),
                Held(
                    weight=place.weight,
                    team=_ids.TeamName(place.team),
                    batch=place.batch,
                    rank=place.rank,
                ),
            )

    def drop_daemon(self, daemon: _ids.DaemonId, *, now: float) -> None:
        """Free all that a dead daemon held."""
        self.keep_only(daemon, {}, set(), now=now)
        for key in [k for k in self.waiting_by_key if k.daemon == daemon]:
            self.release(key, now=now)
