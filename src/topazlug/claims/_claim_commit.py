"""Group commit of rows of the table of claims.

The table service takes several hundred transactions a second, however many
rows each writes. So while one transaction of this daemon is under way, the
writes that arrive wait, and go together in the next.
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
MAX_WAITING = 1024
MIN_INTERVAL = 0.03
MAX_INTERVAL = 1.0
RETRY_AFTER = 1.0
_SLOWER: Final = 2.0
_FASTER: Final = 0.9

_LOG = logbook.Logger("topazlug.claims")


@final
class RowWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A claim to write, provided that its row is at `version`."""

    key: str
    version: int
    row: _claim_rows.ClaimRow


@final
class Written(msgspec.Struct, frozen=True, kw_only=True):
    """The write took effect; the row is at `version`."""

    version: int


@final
class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The write had no effect and never will: the row is `current`."""

    current: _table_client.Row


WriteResult = Written | Refused


class _Stage(enum.Enum):
    WAITING = enum.auto()
    SENT = enum.auto()
    CANCELLED = enum.auto()


@final
class Ticket:
    """A write on its way.

    Parameters
    ----------
    write : RowWrite
        What is to be written.
    """

    def __init__(self, write: RowWrite) -> None:
        self.write = write
        self.stage = _Stage.WAITING
        self._result = event.AsyncResult()

    def cancel(self) -> bool:
        """Take the write back; False if it has been sent already."""
        if self.stage is _Stage.SENT:
            return False
        self.stage = _Stage.CANCELLED
        return True

    def result(self, timeout: float | None = None) -> WriteResult | None:
        """Wait for the result; None if `timeout` seconds pass first.

        Raises
        ------
        StoreUnavailable
            The write certainly had no effect.
        StoreAmbiguous
            It may have had one, or may still have one.
        """
        self._result.wait(timeout=timeout)
        if not self._result.ready():
            return None
        return self._result.get()

    def set(self, result: WriteResult) -> None:
        """Say what became of the write."""
        self._result.set(result)

    def fail(self, error: _errors.TopazlugError) -> None:
        """Say why nothing certain, or certainly nothing, became of it."""
        self._result.set_exception(error)


@final
class _Pace:
    """Time between transactions; grows while the store refuses.

    Without it each daemon would send as fast as the store answers, and a
    few daemons with one claim each would use up the write rate of all: seen
    as 429 while the batches are nearly empty.
    """

    def __init__(self, *, clock: _clock.Clock, min_interval: float) -> None:
        self._clock = clock
        self._min_interval = min_interval
        self._interval = min_interval
        self._last = clock.monotonic() - min_interval

    def wait(self) -> None:
        """Sleep until the next transaction may go, and count it."""
        wait = self._last + self._interval - self._clock.monotonic()
        if wait > 0.0:
            self._clock.sleep(wait)
        self._last = self._clock.monotonic()

    def taken(self) -> None:
        faster = self._interval * _FASTER
        self._interval = max(faster, self._min_interval)

    def refused(self) -> None:
        slower = max(self._interval, MIN_INTERVAL) * _SLOWER
        self._interval = min(slower, MAX_INTERVAL)


@final
class GroupCommitter:
    """Writes rows of claims in batches, one transaction at a time.

    Parameters
    ----------
    store : TableStore
        The table service.
    clock : Clock
        Paces the transactions.
    max_batch : int
        Most rows of one transaction.
    max_waiting : int
        Most claims that wait; writes that end a claim pass this bound.
    min_interval : float
        Least seconds between the starts of two transactions.
    """

    def __init__(
        self,
        *,
        store: _table_client.TableStore,
        clock: _clock.Clock,
        max_batch: int = MAX_BATCH,
        max_waiting: int = MAX_WAITING,
        min_interval: float = MIN_INTERVAL,
    ) -> None:
        self._store = store
        self._pace = _Pace(clock=clock, min_interval=min_interval)
        self._max_batch = max_batch
        self._max_waiting = max_waiting
        self._waiting: collections.deque[Ticket] = collections.deque()
        self._worker: gevent.Greenlet | None = None

    def submit(self, write: RowWrite, *, ends_claim: bool = False) -> Ticket:
        """Put a write in line.

        Raises
        ------
        StoreUnavailable
            The line is full; nothing was written.
        """
        if not ends_claim and len(self._waiting) >= self._max_waiting:
            raise _errors.StoreUnavailable(
                f"{len(self._waiting)} claims wait for the table service",
                retry_after=RETRY_AFTER,
            )
        ticket = Ticket(write)
        self._waiting.append(ticket)
        if self._worker is None or self._worker.ready():
            self._worker = gevent.spawn(self._run)
        return ticket

    def _run(self) -> None:
        while self._waiting:
            self._pace.wait()
            batch = self._take()
            if batch:
                self._commit(batch)

    def _take(self) -> list[Ticket]:
        ticket_by_key: dict[str, Ticket] = {}
        later: collections.deque[Ticket] = collections.deque()
        while self._waiting and len(ticket_by_key) < self._max_batch:
            ticket = self._waiting.popleft()
            if ticket.stage is _Stage.CANCELLED:
                continue
            # Two writes of one row can't be told apart by versions within
            # one transaction: both would be said to have been written. The
            # second goes in a later one and meets the first there.
            if ticket.write.key in ticket_by_key:
                later.append(ticket)
                continue
            ticket_by_key[ticket.write.key] = ticket
        self._waiting.extendleft(reversed(later))
        return list(ticket_by_key.values())

    def _commit(self, batch: list[Ticket]) -> None:
        for ticket in batch:
            ticket.stage = _Stage.SENT
        try:
            versions = self._transact(batch)
        except _table_client.TransactionConflict as conflict:
            self._pace.taken()
            self._answer_conflicts(batch, conflict.failed)
        except _errors.StoreUnavailable as error:
            self._pace.refused()
            _fail(batch, error)
        except _errors.StoreAmbiguous as error:
            self._settle_all(batch, error)
        except Exception as error:
            # A fault of the client that nobody foresaw. Left alone it would
            # end this greenlet with the batch unanswered: claims hang until
            # their deadlines, ends of claims for ever.
            _LOG.exception("batch of {} claims failed", len(batch))
            self._settle_all(batch, _errors.StoreAmbiguous(repr(error)))
        else:
            self._pace.taken()
            self._answer_written(batch, versions)

    def _transact(self, batch: Iterable[Ticket]) -> dict[str, int]:
        writes = [ticket.write for ticket in batch]
        return self._store.transact(
            conditions=[_condition(write) for write in writes],
            puts=[_put(write) for write in writes],
        )

    def _answer_written(
        self, batch: list[Ticket], versions: dict[str, int]
    ) -> None:
        for ticket in batch:
            name = f"{_claim_rows.TABLE}/{ticket.write.key}"
            if name in versions:
                ticket.set(Written(version=versions[name]))
            else:
                error = _errors.StoreAmbiguous(f"no version given for {name}")
                gevent.spawn(self._settle, ticket, error)

    def _answer_conflicts(
        self, batch: list[Ticket], failed: list[_table_client.Row]
    ) -> None:
        current_by_key = {row.key: row for row in failed}
        left = [
            ticket
            for ticket in batch
            if ticket.write.key not in current_by_key
        ]
        if len(left) == len(batch):
            why = "the table service refused a batch and named none of it"
            _fail(
                batch, _errors.StoreUnavailable(why, retry_after=RETRY_AFTER)
            )
            return
        for ticket in batch:
            current = current_by_key.get(ticket.write.key)
            if current is not None:
                ticket.set(Refused(current=current))
        self._put_back(left)

    def _put_back(self, left: list[Ticket]) -> None:
        for ticket in left:
            ticket.stage = _Stage.WAITING
        self._waiting.extendleft(reversed(left))

    def _settle_all(
        self, batch: list[Ticket], error: _errors.StoreAmbiguous
    ) -> None:
        # Side by side and beside the line: a store that is slow to answer
        # reads would otherwise hold up every later claim.
        for ticket in batch:
            gevent.spawn(self._settle, ticket, error)

    # The answer to a write was lost. Taken for a failure, the caller would
    # be told not-run while the row says claimed; taken for a success, a
    # claim that another holds would send a second time. The row itself
    # tells, as only its own attempt writes an attempt's id.
    def _settle(self, ticket: Ticket, error: _errors.StoreAmbiguous) -> None:
        write = ticket.write
        try:
            current = self._store.read(_claim_rows.TABLE, write.key)
        except _errors.StoreUnavailable:
            ticket.fail(error)
            return
        # The row is as it was before: the write may be lost, or may only
        # be late and land after this read. Nobody can tell, so nobody is
        # told that it had no effect.
        if current is None or current.version <= write.version:
            ticket.fail(error)
        elif _wrote(write, current):
            ticket.set(Written(version=current.version))
        else:
            ticket.set(Refused(current=current))


def _condition(write: RowWrite) -> _table_client.Condition:
    return _table_client.Condition(
        table=_claim_rows.TABLE, key=write.key, version=write.version
    )


def _put(write: RowWrite) -> _table_client.Put:
    return _table_client.Put(
        table=_claim_rows.TABLE,
        key=write.key,
        value=_claim_rows.value_of(write.row),
    )


def _wrote(write: RowWrite, current: _table_client.Row) -> bool:
    row = _claim_rows.row_of(current.value)
    if row is None:
        return False
    same_attempt = row.attempt == write.row.attempt
    return same_attempt and row.state is write.row.state


def _fail(batch: Iterable[Ticket], error: _errors.StoreUnavailable) -> None:
    for ticket in batch:
        ticket.fail(error)
