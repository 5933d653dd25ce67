"""Writes notes as rows of the platform's store, however long it is away."""

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
# The store refuses calls that are too many and may be away for long. Others
# must know within seconds of its return, and daemons come back to it spread.
_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.5
# Rows that wait for the store; the newest count.
_MAX_PENDING = 256
# Of 100 that one call may hold.
_MAX_ROWS_PER_CALL = 90
# Where rows are too many, each daemon that writes finds the same ones. Of
# those of a large fleet that note one crash, a few drop them.
_REMOVE_PROBABILITY = 0.2

WriteRows = Callable[[list[_crash_records.CrashRecord], list[str]], None]


@final
class RecordWriter:
    """Writes notes until the store has taken them.

    Parameters
    ----------
    write : callable
        Writes notes and drops rows by their keys, in one call; raises
        StoreUnavailable or StoreAmbiguous. What was perhaps written is
        written again.
    notify : callable
        Gets notes that the store did not take at once.
    clock : Clock
        Time.
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
        """Write notes, and drop rows; see `Sharing`."""
        if random.random() < _REMOVE_PROBABILITY:
            self._removable = list(remove)
        for record in records:
            self._pending[_crash_records.record_key(record)] = record
            self._notified.discard(_crash_records.record_key(record))
        while len(self._pending) > _MAX_PENDING:
            key = next(iter(self._pending))
            del self._pending[key]
            _log.warning("{key} is not written: too many wait", key=key)
        self._changed.set()

    def run(self) -> None:
        """Write what waits, for ever."""
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
        """Write some rows; say whether the store has taken them."""
        batch = dict(list(self._pending.items())[:_MAX_ROWS_PER_CALL])
        try:
            self._write_rows(list(batch.values()), [])
        except (_errors.StoreUnavailable, _errors.StoreAmbiguous) as error:
            self._notify_of_pending(error)
            return False
        for key, record in batch.items():
            # It may wait again, with something newer, since the call began.
            if self._pending.get(key) is record:
                del self._pending[key]
            self._notified.discard(key)
        return True

    def _notify_of_pending(self, error: _errors.TopazlugError) -> None:
        """Tell other daemons, once, what the store did not take."""
        unsent = [
            record
            for key, record in self._pending.items()
            if key not in self._notified
        ]
        if not unsent:
            return
        _log.warning(
            "{n} notes of crashes are not written yet: {why}",
            n=len(unsent),
            why=error.message,
        )
        self._notified = set(self._pending)
        self._notify(unsent)

    def _remove_rows(self) -> None:
        """Drop rows that nobody counts; the next who writes tries again.

        Apart from what is written: another daemon may have dropped them, and
        a refusal of that must not keep notes from being written.
        """
        dropped, self._removable = self._removable[:_MAX_ROWS_PER_CALL], []
        if not dropped:
            return
        try:
            self._write_rows([], dropped)
        except (_errors.StoreUnavailable, _errors.StoreAmbiguous) as error:
            _log.info("old notes are not dropped: {why}", why=error.message)
