"""Group commit of rows of the claims table.

The table service handles several hundred transactions a second, however many
rows each one writes. So writes that arrive while a transaction of this daemon
is in progress are queued and written together in the next one.
"""

import collections
from collections.abc import Iterable
import enum
from typing import Final
from typing import final

import gevent
from gevent import event
import logbook
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug.claims import _claim_rows
from topazlug.store import _table_client

MAX_BATCH = 64
MAX_QUEUED = 1024
MIN_INTERVAL_SECONDS = 0.03
MAX_INTERVAL_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
_SLOWDOWN_FACTOR: Final = 2.0
_SPEEDUP_FACTOR: Final = 0.9

_LOG = logbook.Logger("topazlug.claims")


@final
class RowWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A claim to write on condition that its row is at `version`."""

    key: str
    version: int
    row: _claim_rows.ClaimRow


@final
class Written(msgspec.Struct, frozen=True, kw_only=True):
    """The write took effect; the row is at `version`."""

    version: int


@final
class Rejected(msgspec.Struct, frozen=True, kw_only=True):
    """The write had no effect and never will; `current` is the row."""

    current: _table_client.Row


WriteResult = Written | Rejected


class _WriteStage(enum.Enum):
    QUEUED = enum.auto()
    SENT = enum.auto()
    CANCELLED = enum.auto()


@final
class PendingWrite:
    """A submitted write and its future result.

    Parameters
    ----------
    write : RowWrite
        The write.
    """

    def __init__(self, write: RowWrite) -> None:
        self.write = write
        self.stage = _WriteStage.QUEUED
        self._result = event.AsyncResult()

    def cancel(self) -> bool:
        """Cancel the write; return False if it has been sent already."""
        if self.stage is _WriteStage.SENT:
            return False
        self.stage = _WriteStage.CANCELLED
        return True

    def result(self, timeout: float | None = None) -> WriteResult | None:
        """Return the result; None if `timeout` seconds pass first.

        Raises
        ------
        StoreUnavailable
            The write had no effect.
        StoreAmbiguous
            The write may have had an effect, or may still have one.
        """
        self._result.wait(timeout=timeout)
        if not self._result.ready():
            return None
        return self._result.get()

    def set_result(self, result: WriteResult) -> None:
        """Complete the write with its result."""
        self._result.set(result)

    def set_error(self, error: _errors.TopazlugError) -> None:
        """Complete the write with the error that `result` raises."""
        self._result.set_exception(error)


@final
class _Pacer:
    """The interval between transactions; grows while the store rejects them.

    Without it each daemon would send as fast as the store responds, and a
    few daemons with one claim each would exhaust the write rate of the
    fleet: the store responds with 429 although batches are nearly empty.
    """

    def __init__(self, *, clock: _clock.Clock, min_interval: float) -> None:
        self._clock = clock
        self._min_interval = min_interval
        self._interval = min_interval
        self._last = clock.monotonic() - min_interval

    def wait(self) -> None:
        """Sleep until the next transaction is due, and record its start."""
        wait = self._last + self._interval - self._clock.monotonic()
        if wait > 0.0:
            self._clock.sleep(wait)
        self._last = self._clock.monotonic()

    def speed_up(self) -> None:
        interval = self._interval * _SPEEDUP_FACTOR
        self._interval = max(interval, self._min_interval)

    def slow_down(self) -> None:
        interval = max(self._interval, MIN_INTERVAL_SECONDS) * _SLOWDOWN_FACTOR
        self._interval = min(interval, MAX_INTERVAL_SECONDS)


@final
class GroupCommitter:
    """Writes rows of claims in batches, one transaction at a time.

    Parameters
    ----------
    store : TableStore
        The table service.
    clock : Clock
        Times the transactions.
    max_batch : int
        Maximum number of rows in one transaction.
    max_queued : int
        Maximum length of the queue; writes that end a claim are exempt.
    min_interval : float
        Minimum seconds between the starts of two transactions.
    """

    def __init__(
        self,
        *,
        store: _table_client.TableStore,
        clock: _clock.Clock,
        max_batch: int = MAX_BATCH,
        max_queued: int = MAX_QUEUED,
        min_interval: float = MIN_INTERVAL_SECONDS,
    ) -> None:
        self._store = store
        self._pacer = _Pacer(clock=clock, min_interval=min_interval)
        self._max_batch = max_batch
        self._max_queued = max_queued
        self._queue: collections.deque[PendingWrite] = collections.deque()
        self._worker: gevent.Greenlet | None = None

    def submit(
        self, write: RowWrite, *, ends_claim: bool = False
    ) -> PendingWrite:
        """Queue a write.

        Raises
        ------
        StoreUnavailable
            The queue is full; nothing was written.
        """
        if not ends_claim and len(self._queue) >= self._max_queued:
            raise _errors.StoreUnavailable(
                f"{len(self._queue)} claims are waiting for the table service",
                retry_after=RETRY_AFTER_SECONDS,
            )
        pending_write = PendingWrite(write)
        self._queue.append(pending_write)
        if self._worker is None or self._worker.ready():
            self._worker = gevent.spawn(self._run)
        return pending_write

    def _run(self) -> None:
        while self._queue:
            self._pacer.wait()
            batch = self._next_batch()
            if batch:
                self._commit(batch)

    def _next_batch(self) -> list[PendingWrite]:
        write_by_key: dict[str, PendingWrite] = {}
        deferred: collections.deque[PendingWrite] = collections.deque()
        while self._queue and len(write_by_key) < self._max_batch:
            pending_write = self._queue.popleft()
            if pending_write.stage is _WriteStage.CANCELLED:
                continue
            # Within one transaction, versions can't distinguish two writes of
            # the same row: both would be reported as written. The second is
            # deferred to a later transaction and conflicts with the first.
            if pending_write.write.key in write_by_key:
                deferred.append(pending_write)
                continue
            write_by_key[pending_write.write.key] = pending_write
        self._queue.extendleft(reversed(deferred))
        return list(write_by_key.values())

    def _commit(self, batch: list[PendingWrite]) -> None:
        for pending_write in batch:
            pending_write.stage = _WriteStage.SENT
        try:
            versions = self._transact(batch)
        except _table_client.TransactionConflict as conflict:
            self._pacer.speed_up()
            self._complete_conflicts(batch, conflict.failed)
        except _errors.StoreUnavailable as error:
            self._pacer.slow_down()
            _fail_all(batch, error)
        except _errors.StoreAmbiguous as error:
            self._resolve_all(batch, error)
        except Exception as error:
            # An unexpected error in the client must not end this greenlet
            # with the batch incomplete: claims would block until their
            # deadlines, and ends of claims forever.
            _LOG.exception(
                "unexpected error while writing a batch of {} claims",
                len(batch),
            )
            self._resolve_all(batch, _errors.StoreAmbiguous(repr(error)))
        else:
            self._pacer.speed_up()
            self._complete_written(batch, versions)

    def _transact(self, batch: Iterable[PendingWrite]) -> dict[str, int]:
        writes = [pending_write.write for pending_write in batch]
        return self._store.transact(
            conditions=[_condition(write) for write in writes],
            puts=[_put(write) for write in writes],
        )

    def _complete_written(
        self, batch: list[PendingWrite], versions: dict[str, int]
    ) -> None:
        for pending_write in batch:
            name = f"{_claim_rows.TABLE}/{pending_write.write.key}"
            if name in versions:
                pending_write.set_result(Written(version=versions[name]))
            else:
                error = _errors.StoreAmbiguous(
                    f"table service returned no version for {name}"
                )
                gevent.spawn(self._resolve, pending_write, error)

    def _complete_conflicts(
        self, batch: list[PendingWrite], failed: list[_table_client.Row]
    ) -> None:
        current_by_key = {row.key: row for row in failed}
        unaffected = [
            pending_write
            for pending_write in batch
            if pending_write.write.key not in current_by_key
        ]
        if len(unaffected) == len(batch):
            why = "table service rejected a batch without naming a row of it"
            _fail_all(
                batch,
                _errors.StoreUnavailable(why, retry_after=RETRY_AFTER_SECONDS),
            )
            return
        for pending_write in batch:
            current = current_by_key.get(pending_write.write.key)
            if current is not None:
                pending_write.set_result(Rejected(current=current))
        self._requeue(unaffected)

    def _requeue(self, unaffected: list[PendingWrite]) -> None:
        for pending_write in unaffected:
            pending_write.stage = _WriteStage.QUEUED
        self._queue.extendleft(reversed(unaffected))

    def _resolve_all(
        self, batch: list[PendingWrite], error: _errors.StoreAmbiguous
    ) -> None:
        # Each in a greenlet of its own, as slow reads of the store would
        # otherwise delay all later claims.
        for pending_write in batch:
            gevent.spawn(self._resolve, pending_write, error)

    # The response to a write was lost. If this were regarded as a failure, the
    # outcome for the caller would be not-run although the row may be claimed.
    # If it were regarded as a success, a request that another attempt has
    # claimed might be sent a second time. So the row is read: it shows which
    # attempt wrote it, as each attempt writes only its own id.
    def _resolve(
        self, pending_write: PendingWrite, error: _errors.StoreAmbiguous
    ) -> None:
        write = pending_write.write
        try:
            current = self._store.read(_claim_rows.TABLE, write.key)
        except _errors.StoreUnavailable:
            pending_write.set_error(error)
            return
        # If the row is unchanged, the write may be lost, or may be delayed and
        # take effect after this read. It must not be reported as ineffective.
        if current is None or current.version <= write.version:
            pending_write.set_error(error)
        elif _wrote(write, current):
            pending_write.set_result(Written(version=current.version))
        else:
            pending_write.set_result(Rejected(current=current))


def _condition(write: RowWrite) -> _table_client.Condition:
    return _table_client.Condition(
        table=_claim_rows.TABLE, key=write.key, version=write.version
    )


def _put(write: RowWrite) -> _table_client.Put:
    return _table_client.Put(
        table=_claim_rows.TABLE,
        key=write.key,
        value=_claim_rows.row_value(write.row),
    )


def _wrote(write: RowWrite, current: _table_client.Row) -> bool:
    row = _claim_rows.parse_row(current.value)
    if row is None:
        return False
    is_same_attempt = row.attempt == write.row.attempt
    return is_same_attempt and row.state is write.row.state


def _fail_all(
    batch: Iterable[PendingWrite], error: _errors.StoreUnavailable
) -> None:
    for pending_write in batch:
        pending_write.set_error(error)
