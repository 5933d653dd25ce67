"""Lists and releases blocked requests in the platform's store."""

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.crashes import _crash_records
from topazlug.fleet import _row_reader
from topazlug.fleet import _table_source
from topazlug.versions import _version_records


def blocks_in_force(
    store: _table_source.TableSource, *, clock: _clock.Clock
) -> list[_crash_records.Block]:
    """Return the blocks in force, oldest first.

    Raises
    ------
    StoreUnavailable
        The table could not be read.
    """
    reader = _row_reader.RowReader(
        name=_crash_records.TABLE, decode=_crash_records.decode, clock=clock
    )
    rows = store.rows(_crash_records.TABLE).rows
    _, crashes = _version_records.split_rows(
        {row.key: row.data for row in rows}
    )
    blocks = [
        record
        for record in reader.read(crashes)
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
    """Unblock a request.

    Raises
    ------
    NotBlocked
        No block with this fingerprint is in force.
    StoreUnavailable
        The table could not be read or written.
    """
    for block in blocks_in_force(store, clock=clock):
        if fingerprint in block.members:
            record = _crash_records.released_block(block, now=clock.now())
            row = _table_source.Row(
                _crash_records.record_key(record),
                _crash_records.encode(record),
            )
            store.write(_crash_records.TABLE, [row])
            return
    raise _errors.NotBlocked(f"no request {fingerprint!r} is blocked")
