"""Writes crash records to the store, retrying through outages."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import final

from gevent import event

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug.crashes import _crash_records

_log = _logs.logger("crashes")
# The store rejects calls above its rate limit, and outages may be long. Other
# daemons need the records within seconds of its recovery. The backoff is
# random so that daemons do not all retry at once.
_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.5
# Maximum number of records that wait to be written. If there are more, the
# oldest are discarded.
_MAX_PENDING = 256
# The store allows 100 rows in a call.
_MAX_ROWS_PER_CALL = 90
# If there are too many rows, each daemon that writes finds the same obsolete
# ones. In a large fleet many daemons record one crash, so it is enough if a
# few of them remove these rows.
_REMOVE_PROBABILITY = 0.2

WriteRows = Callable[[list[_crash_records.CrashRecord], list[str]], None]


@final
class RecordWriter:
    """Writes crash records, retrying until the store accepts them.

    Parameters
    ----------
    write : callable
        Writes records and removes rows by their keys, in one call; raises
        StoreUnavailable or StoreAmbiguous. Records are written again if it
        is uncertain whether the call succeeded.
    notify : callable
        Called with records that the store did not accept at once.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        write: WriteRows,
        notify: Callable[[list[_crash_records.CrashRecord]], None],
        clock: _clock.Clock,
    ) -> None:
        self._write_rows = write
        self._notify = notify
        self._clock = clock
        self._pending: dict[str, _crash_records.CrashRecord] = {}
        self._removable: list[str] = []
        self._notified: set[str] = set()
        self._changed = event.Event()

    def publish(
        self,
        records: Sequence[_crash_records.CrashRecord],
        *,
        remove: Sequence[str] = (),
    ) -> None:
        """Write records and remove rows; see `RecordPublisher`."""
        if random.random() < _REMOVE_PROBABILITY:
            self._removable = list(remove)
        for record in records:
            self._pending[_crash_records.record_key(record)] = record
            self._notified.discard(_crash_records.record_key(record))
        while len(self._pending) > _MAX_PENDING:
            key = next(iter(self._pending))
            del self._pending[key]
            _log.warning(
                "discarding crash record {key}: too many are pending", key=key
            )
        self._changed.set()

    def run(self) -> None:
        """Write pending records, forever."""
        pause = _INITIAL_BACKOFF_SECONDS
        while True:
            if not self._pending:
                self._changed.clear()
                self._changed.wait()
            if self._write():
                pause = _INITIAL_BACKOFF_SECONDS
                self._remove_rows()
                continue
            self._clock.sleep(random.uniform(pause / 2, pause))
            pause = min(_MAX_BACKOFF_SECONDS, 2 * pause)

    def _write(self) -> bool:
        """Write a batch of rows; return whether the store accepted it."""
        batch = dict(list(self._pending.items())[:_MAX_ROWS_PER_CALL])
        try:
            self._write_rows(list(batch.values()), [])
        except (_errors.StoreUnavailable, _errors.StoreAmbiguous) as error:
            self._notify_of_pending(error)
            return False
        for key, record in batch.items():
            # A newer record may have replaced it during the call.
            if self._pending.get(key) is record:
                del self._pending[key]
            self._notified.discard(key)
        return True

    def _notify_of_pending(self, error: _errors.TopazlugError) -> None:
        """Notify other daemons once of records that are not written yet."""
        unsent = [
            record
            for key, record in self._pending.items()
            if key not in self._notified
        ]
        if not unsent:
            return
        _log.warning(
            "writing {n} crash records failed, retrying: {why}",
            n=len(unsent),
            why=error.message,
        )
        self._notified = set(self._pending)
        self._notify(unsent)

    def _remove_rows(self) -> None:
        """Remove obsolete rows; if it fails, a later write tries again.

        This is a call of its own. Another daemon may have removed the rows
        already, and the store's rejection must not prevent the writing of
        records.
        """
        removed, self._removable = self._removable[:_MAX_ROWS_PER_CALL], []
        if not removed:
            return
        try:
            self._write_rows([], removed)
        except (_errors.StoreUnavailable, _errors.StoreAmbiguous) as error:
            _log.info(
                "removing obsolete crash records failed: {why}",
                why=error.message,
            )
