"""Blocked requests as operators see them, straight from the table."""

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.crashes import _crash_records
from topazlug.fleet import _row_reader
from topazlug.fleet import _table_source


def blocked(
    store: _table_source.TableSource, *, clock: _clock.Clock
) -> list[_crash_records.Block]:
    """Give the blocks in force, the oldest first.

    Raises
    ------
    StoreUnavailable
        The table can't be read now.
    """
    reader = _row_reader.RowReader(
        name=_crash_records.TABLE, decode=_crash_records.decode, clock=clock
    )
    rows = store.rows(_crash_records.TABLE).rows
    blocks = [
        record
        for record in reader.read({row.key: row.data for row in rows})
        if isinstance(record, _crash_records.Block)
        and not record.released
        and clock.now() - record.at < _crash_records.RETENTION
    ]
    return sorted(blocks, key=lambda block: block.at)


def release(
    store: _table_source.TableStore,
    fingerprint: _ids.Fingerprint,
    *,
    clock: _clock.Clock,
) -> None:
    """Let a blocked request run again.

    Raises
    ------
    NotBlocked
        It is not blocked.
    StoreUnavailable
        The table can't be read or written now.
    """
    for block in blocked(store, clock=clock):
        if block.fingerprint == fingerprint:
            record = _crash_records.released_block(block, now=clock.now())
            row = _table_source.Row(
                _crash_records.record_key(record),
                _crash_records.encode(record),
            )
            store.write(_crash_records.TABLE, [row])
            return
    raise _errors.NotBlocked(f"no request {fingerprint!r} is blocked")
