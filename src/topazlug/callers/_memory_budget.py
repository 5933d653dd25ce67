"""Bounds what all callers together make a daemon hold.

The budget covers bodies, unread answers and the kernel's queues of callers'
connections. While there is room, a holder only adds to a sum. Without room it
waits for others to release theirs, and does not read on meanwhile. If nobody
does, those who hold most without moving give way.
"""

from __future__ import annotations

import enum
from typing import Protocol
from typing import final

import gevent
from gevent import event

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs

_log = _logs.logger("callers")
DEFAULT_MEMORY_BYTES = 300_000_000
# Part of the process's memory that callers may fill, and what is left to the
# process itself at the least.
_BUDGET_PART = 1 / 3
_OWN_BYTES = 128_000_000
_MIN_BUDGET_BYTES = 8_000_000
# Room beside a body of the maximum.
_SPARE_BYTES = 1_000_000
# Part of the memory that the connections themselves may take, and what one of
# them takes while its request is read: a greenlet, buffers and the head.
_CONNECTIONS_PART = 0.3
_CONNECTION_BYTES = 45_000
# Requests up to this size may also use the reserve.
SMALL_BYTES = 65536
_RESERVE_PART = 0.25
# Nobody who holds less gives way.
_PROTECTED_BYTES = 16384
# A holder moves if it sends or receives `_MOVE_BYTES` in `_STILL_SECONDS`.
_MOVE_BYTES = 16384
_STILL_SECONDS = 0.5
# Time without room after which one that waits for it gives way. Callers try
# another daemon if a request is not read within a third of their deadline.
_ROOM_SECONDS = 0.25
_RELIEF_INTERVAL_SECONDS = 0.05
# Long requests that wait for room before further ones are refused.
_MAX_WAITING = 128
_RETRY_AFTER_SECONDS = 0.5


class Stage(enum.Enum):
    """What a holder does.

    Attributes
    ----------
    READING
        Its request is being read.
    SERVING
        Its request is complete, and has no answer yet.
    ANSWERING
        Its answer waits for the caller to read it.
    """

    READING = "reading"
    SERVING = "serving"
    ANSWERING = "answering"


class Owner(Protocol):
    """The connection that a holding belongs to."""

    def give_way(self, error: _errors.MemoryBudgetExceeded) -> None:
        """Release the holding soon, from the event loop."""


@final
class Holding:
    """What one connection makes the daemon hold.

    Parameters
    ----------
    budget : MemoryBudget
        Budget of the daemon.
    owner : Owner
        The connection.

    Attributes
    ----------
    size : int
        Bytes of its request and its answer.
    queued : int
        Bytes in the kernel's queues of the connection.
    stage : Stage
        What the connection does.
    moved_at : float
        Monotonic seconds at which it last moved, or began its stage.
    has_moved : bool
        Whether it has moved in its stage.
    """

    __slots__ = (
        "_budget",
        "_owner",
        "_unmoved",
        "has_moved",
        "is_evicted",
        "is_waiting",
        "moved_at",
        "queued",
        "size",
        "stage",
    )

    def __init__(self, budget: MemoryBudget, owner: Owner) -> None:
        self._budget = budget
        self._owner: Owner | None = owner
        self._unmoved = 0
        self.size = 0
        self.queued = 0
        self.stage = Stage.READING
        self.moved_at = 0.0
        self.has_moved = False
        self.is_waiting = False
        self.is_evicted = False

    def grow(self, size: int, *, is_small: bool = False) -> None:
        """Hold more bytes once there is room for them.

        Parameters
        ----------
        size : int
            Number of bytes.
        is_small : bool
            Whether the request may use the reserve for small ones.

        Raises
        ------
        MemoryBudgetExceeded
            This holding has to give way.
        """
        if self._budget.has_room(size, is_small=is_small):
            self.add(size)
        else:
            self._budget.wait_for_room(self, size, is_small=is_small)

    def try_grow(self, size: int) -> bool:
        """Hold more bytes if there is room for them at once."""
        is_small = self.size + size <= SMALL_BYTES
        if not self._budget.has_room(size, is_small=is_small):
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Hold more bytes, which the daemon has already."""
        self.size += size
        self._budget.add(self, size)

    def record_progress(self, size: int) -> None:
        """Record that bytes were received or sent."""
        self._unmoved += size
        if self._unmoved >= _MOVE_BYTES:
            self.begin(self.stage)
            self.has_moved = True

    def begin(self, stage: Stage) -> None:
        """Begin a stage."""
        self.stage = stage
        self.has_moved = False
        self._unmoved = 0
        self.moved_at = self._budget.now()

    def is_moving(self) -> bool:
        """Return whether it has moved in its stage, and just now."""
        unmoved = self._budget.now() - self.moved_at
        return self.has_moved and unmoved < _STILL_SECONDS

    def release(self, size: int | None = None) -> None:
        """Hold fewer bytes, none if no size is given."""
        if size is None:
            size = self.size
            self.is_evicted = False
        if size:
            self.size -= size
            self._budget.remove(self, size)

    def set_queued(self, size: int) -> None:
        """Set what the kernel holds for the connection."""
        change, self.queued = size - self.queued, size
        if change > 0:
            self._budget.add(self, change)
        elif change < 0:
            self._budget.remove(self, -change)

    def close(self) -> None:
        """Release everything, as the connection ends."""
        self.set_queued(0)
        self.release()
        self._budget.forget(self)
        self._owner = None

    @property
    def weight(self) -> int:
        """Return the bytes that are released if it gives way."""
        if self.stage is Stage.SERVING:
            return self.queued
        return self.size + self.queued

    def is_still(self, now: float) -> bool:
        """Return whether it holds much and does not move."""
        return (
            self.weight > _PROTECTED_BYTES
            and not self.is_waiting
            and now - self.moved_at >= _STILL_SECONDS
        )

    def evict(self, error: _errors.MemoryBudgetExceeded) -> None:
        """Have its connection release it."""
        self.is_evicted = True
        if self._owner is not None:
            self._owner.give_way(error)


@final
class _Waiter:
    """A holding that waits for room."""

    def __init__(
        self, holding: Holding, size: int, *, is_small: bool, began_at: float
    ) -> None:
        self.holding = holding
        self.size = size
        self.is_small = is_small
        self.began_at = began_at
        self.granted = event.Event()


@final
class MemoryBudget:
    """The bytes that all callers of a daemon may make it hold.

    Parameters
    ----------
    memory_bytes : float
        Memory of the process.
    clock : Clock
        Source of time.

    Attributes
    ----------
    limit : int
        Bytes that they may hold.
    held : int
        Bytes that they hold.
    evicted : int
        Number of holdings that had to give way.
    """

    def __init__(
        self, *, memory_bytes: float, clock: _clock.Clock | None = None
    ) -> None:
        self._clock = clock or _clock.SystemClock()
        self.limit = budget_of(memory_bytes)
        self.held = 0
        self.evicted = 0
        # Holdings that may have to give way.
        self._large: dict[Holding, None] = {}
        self._small_waiters: dict[_Waiter, None] = {}
        self._large_waiters: dict[_Waiter, None] = {}
        self._is_relieving = False

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def raise_limit(self, max_body_bytes: int) -> None:
        """Leave room for a body of the maximum at the least."""
        self.limit = max(self.limit, max_body_bytes + _SPARE_BYTES)

    def has_room(self, size: int, *, is_small: bool) -> bool:
        """Return whether a holding may grow by a size at once."""
        limit: float = self.limit
        if is_small:
            limit += _RESERVE_PART * limit
        return self.held + size <= limit

    def add(self, holding: Holding, size: int) -> None:
        """Count bytes that a holding has grown by."""
        self.held += size
        if holding.size + holding.queued > _PROTECTED_BYTES:
            self._large[holding] = None
            if self.held > self.limit:
                self._relieve()

    def remove(self, holding: Holding, size: int) -> None:
        """Count bytes that a holding has released."""
        self.held -= size
        if holding.size + holding.queued <= _PROTECTED_BYTES:
            self.forget(holding)
        self._grant(self._small_waiters)
        self._grant(self._large_waiters)

    def forget(self, holding: Holding) -> None:
        """Remove a holding from those that may have to give way."""
        self._large.pop(holding, None)
        holding.is_evicted = False

    def wait_for_room(
        self, holding: Holding, size: int, *, is_small: bool
    ) -> None:
        """Let a holding grow once there is room.

        Raises
        ------
        MemoryBudgetExceeded
            The holding has to give way.
        """
        waiter = _Waiter(holding, size, is_small=is_small, began_at=self.now())
        waiters = self._small_waiters if is_small else self._large_waiters
        if not is_small and len(waiters) >= _MAX_WAITING:
            raise self._error(holding)
        waiters[waiter] = None
        holding.is_waiting = True
        self._relieve()
        try:
            waiter.granted.wait()
        finally:
            waiters.pop(waiter, None)
            holding.is_waiting = False
            # The time for which the daemon did not read does not count.
            holding.begin(holding.stage)

    def _grant(self, waiters: dict[_Waiter, None]) -> None:
        """Let those grow that have waited longest, while there is room."""
        while waiters:
            waiter = next(iter(waiters))
            if not self.has_room(waiter.size, is_small=waiter.is_small):
                return
            del waiters[waiter]
            waiter.holding.add(waiter.size)
            waiter.granted.set()

    def _relieve(self) -> None:
        """Have holdings give way until all that wait have room."""
        if not self._is_relieving:
            self._is_relieving = True
            gevent.spawn(self._relieve_until_calm)

    def _relieve_until_calm(self) -> None:
        try:
            while self._waiters() or self.held > self.limit:
                self.evict_where_needed()
                gevent.sleep(_RELIEF_INTERVAL_SECONDS)
        finally:
            self._is_relieving = False

    def _waiters(self) -> list[_Waiter]:
        return [*self._small_waiters, *self._large_waiters]

    def evict_where_needed(self) -> None:
        """Have those give way that hold most and don't move."""
        now = self.now()
        needed = self.held - self.limit
        needed += sum(waiter.size for waiter in self._waiters())
        needed -= sum(one.weight for one in self._large if one.is_evicted)
        still = [
            one
            for one in self._large
            if not one.is_evicted and one.is_still(now)
        ]
        still.sort(key=lambda one: one.weight, reverse=True)
        for holding in still + self._late_waiters(now):
            if needed <= 0:
                return
            needed -= holding.weight
            self._evict(holding, now)

    def _late_waiters(self, now: float) -> list[Holding]:
        """Return those that have waited too long, the largest first."""
        late = [
            waiter.holding
            for waiter in self._waiters()
            if now - waiter.began_at >= _ROOM_SECONDS
            and not waiter.holding.is_evicted
        ]
        return sorted(late, key=lambda one: one.weight, reverse=True)

    def _error(self, holding: Holding) -> _errors.MemoryBudgetExceeded:
        return _errors.MemoryBudgetExceeded(
            f"callers hold {self.held} of {self.limit} bytes of this daemon's"
            f" memory, {holding.weight} of them for this request",
            retry_after=_RETRY_AFTER_SECONDS,
        )

    def _evict(self, holding: Holding, now: float) -> None:
        self.evicted += 1
        error = self._error(holding)
        _log.warning(
            "a connection gives way: {why}",
            why=error.message,
            stage=holding.stage.value,
            waits_for_room=holding.is_waiting,
            unmoved_for=round(now - holding.moved_at, 3),
        )
        holding.evict(error)


def max_connections(configured: int, memory_bytes: float) -> int:
    """Return the number of connections that a process has memory for."""
    available = _CONNECTIONS_PART * (memory_bytes or DEFAULT_MEMORY_BYTES)
    return min(configured, int(available / _CONNECTION_BYTES))


def may_buffer(holding: Holding | None, size: int) -> bool:
    """Return whether a part of an answer may be held, and count it if so.

    Parameters
    ----------
    holding : Holding or None
        What the caller's connection holds; None if it is not counted.
    size : int
        Bytes of the part.
    """
    return holding is None or holding.try_grow(size)


def budget_of(memory_bytes: float) -> int:
    """Return the budget of a process with this much memory."""
    available = memory_bytes or DEFAULT_MEMORY_BYTES
    return int(
        max(
            _MIN_BUDGET_BYTES,
            min(_BUDGET_PART * available, available - _OWN_BYTES),
        )
    )
