"""Crash records in the table service, which daemons read once a minute.

A daemon sends its records to other daemons at once. It also writes them to
the table, for daemons that start later or could not be reached.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug.crashes import _crash_records
from topazlug.crashes import _record_distributor
from topazlug.crashes import _record_writer
from topazlug.store import _table_client

_log = _logs.logger("crashes")
# 880 daemons together read the table fifteen times a second, out of some two
# thousand reads a second that the service handles.
_READ_INTERVAL_SECONDS = 60.0
# Interval after a failed read. It is short because a daemon that starts needs
# the records before callers reach it.
_RETRY_SECONDS = 1.0
_PAGE_ROWS = 500


@final
class RecordSync:
    """Distributes and writes crash records, and reads those of others.

    Parameters
    ----------
    store : TableStore
        The table service.
    distributor : RecordDistributor
        Sends records to other daemons.
    on_records : callable
        Called with all records of the table after each read.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        store: _table_client.TableStore,
        distributor: _record_distributor.RecordDistributor,
        on_records: Callable[[list[_crash_records.CrashRecord]], None],
        clock: _clock.Clock,
    ) -> None:
        self._store = store
        self._distributor = distributor
        self._on_records = on_records
        self._clock = clock
        self._writer = _record_writer.RecordWriter(
            write=self._write, notify=_discard_pending, clock=clock
        )

    def publish(
        self,
        records: Sequence[_crash_records.CrashRecord],
        *,
        remove: Sequence[str] = (),
    ) -> None:
        """Send and write records; see `RecordPublisher`."""
        self._distributor.send(records)
        self._writer.publish(records, remove=remove)

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks to run for the lifetime of the daemon."""
        return [self._writer.run, self._read_forever]

    def _write(
        self, records: list[_crash_records.CrashRecord], removed: list[str]
    ) -> None:
        self._store.transact(
            conditions=[],
            puts=[
                _table_client.Put(
                    table=_crash_records.TABLE,
                    key=_crash_records.record_key(record),
                    value=msgspec.to_builtins(record),
                )
                for record in records
            ],
            deletes=[
                _table_client.Delete(table=_crash_records.TABLE, key=key)
                for key in removed
            ],
        )

    def _read_forever(self) -> None:
        while True:
            pause = random.uniform(0.8, 1.2) * _READ_INTERVAL_SECONDS
            try:
                self._on_records(self.read())
            except _errors.StoreUnavailable as error:
                _log.info(
                    "reading the crash records failed: {why}",
                    why=error.message,
                )
                pause = _RETRY_SECONDS
            self._clock.sleep(pause)

    def read(self) -> list[_crash_records.CrashRecord]:
        """Return all records of the table.

        Raises
        ------
        StoreUnavailable
            The table can't be read now.
        """
        records: list[_crash_records.CrashRecord] = []
        after = ""
        while True:
            page = self._store.scan(
                _crash_records.TABLE, after=after, limit=_PAGE_ROWS
            )
            for row in page.rows:
                record = _parse_row(row)
                if record is not None:
                    records.append(record)
            if not page.more or not page.rows:
                return records
            after = page.rows[-1].key


def _parse_row(row: _table_client.Row) -> _crash_records.CrashRecord | None:
    try:
        return _crash_records.decode(row.key, msgspec.json.encode(row.value))
    except ValueError as error:
        _log.error(
            "skipping invalid crash record {key}: {why}",
            key=row.key,
            why=str(error),
        )
        return None


def _discard_pending(records: Sequence[_crash_records.CrashRecord]) -> None:
    """Do nothing: `publish` has sent pending records already."""
