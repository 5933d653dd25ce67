"""How the operators' table lies in the platform's table service.

``meta/config`` holds the revision, ``history/<revision>`` what each revision
changed, ``edits/<edit id>`` which revisions an edit became, and one table per
kind of row the rows themselves. An edit writes all of them in one
transaction.
"""

from typing import Any
from typing import Iterator
from typing import Sequence
from typing import final

import msgspec
import xxhash

from topazlug._generated import messages
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot
from topazlug.store import _table_client

META_TABLE = "meta"
META_KEY = "config"
HISTORY_TABLE = "history"
EDITS_TABLE = "edits"
HISTORY_PAGE = 500
SCAN_TRIES = 5
_DIGEST_MASK = (1 << 64) - 1


@final
class Meta(msgspec.Struct, frozen=True, kw_only=True):
    """State of the whole table.

    Attributes
    ----------
    revision : int
        Revision of the last edit, 0 for a table never edited.
    digest : str
        Order-free hash of all rows' versions in hexadecimal; empty for a
        table that was first written by another program.
    row_version : int
        Version of the row ``meta/config`` itself, 0 when absent.
    """

    revision: int = 0
    digest: str = ""
    row_version: int = 0


NEW_META = Meta(digest="0")


@final
class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What one revision changed.

    Attributes
    ----------
    value : dict or None
        The row's columns afterwards, None when the row was removed.
    previous : dict or None
        The columns before, None when there was no row.
    """

    revision: int
    table: str
    key: str
    value: dict[str, Any] | None
    row_version: int
    who: str
    when: str
    what: str
    why: str
    edit_id: str
    previous: dict[str, Any] | None = None


def history_key(revision: int) -> str:
    """Give the key of a revision's entry; keys sort as revisions do."""
    return f"{revision:012d}"


def digest_of(versions_by_key: Iterator[tuple[str, int]]) -> int:
    """Sum the hashes of rows, given by ``table/name`` with versions."""
    total = 0
    for key, version in versions_by_key:
        total += row_digest(key, version)
    return total & _DIGEST_MASK


def row_digest(key: str, version: int) -> int:
    """Hash one row's name and version; 0 for an absent row."""
    if not version:
        return 0
    return xxhash.xxh64_intdigest(f"{key}@{version}".encode())


def changed_digest(meta: Meta, *, key: str, old: int, new: int) -> str:
    """Give the digest after one row went from one version to another."""
    if not meta.digest:
        return ""
    total = int(meta.digest, 16) - row_digest(key, old) + row_digest(key, new)
    return f"{total & _DIGEST_MASK:x}"


def meta_of(row: _table_client.Row | None) -> Meta:
    """Read the row ``meta/config``.

    Raises
    ------
    TableInconsistent
        The row is not what this program writes.
    """
    if row is None or row.value is None:
        return NEW_META
    try:
        meta = msgspec.convert(row.value, Meta)
    except msgspec.ValidationError as error:
        raise _table_errors.TableInconsistent(
            f"{META_TABLE}/{META_KEY} can't be read: {error}"
        ) from error
    return msgspec.structs.replace(meta, row_version=row.version)


def read_meta(store: _table_client.TableStore) -> Meta:
    """Read the state of the whole table.

    Raises
    ------
    StoreUnavailable
        The store does not answer.
    TableInconsistent
        The row is not what this program writes.
    """
    return meta_of(store.read(META_TABLE, META_KEY))


def read_history(
    store: _table_client.TableStore, *, after: int, limit: int = HISTORY_PAGE
) -> list[HistoryEntry]:
    """Read the entries that follow a revision, in order.

    Raises
    ------
    StoreUnavailable
        The store does not answer.
    TableInconsistent
        An entry is not what this program writes.
    """
    start = history_key(max(after, 0))
    page = store.scan(HISTORY_TABLE, after=start, limit=limit)
    try:
        return [msgspec.convert(row.value, HistoryEntry) for row in page.rows]
    except msgspec.ValidationError as error:
        raise _table_errors.TableInconsistent(
            f"an entry of {HISTORY_TABLE} after {after} can't be read: {error}"
        ) from error


def as_change(entry: HistoryEntry) -> messages.RowChange:
    """Give an entry in the form that peers exchange."""
    return messages.RowChange(
        revision=entry.revision,
        table=entry.table,
        key=entry.key,
        row_version=entry.row_version,
        value=entry.value,
    )


def read_full_table(
    store: _table_client.TableStore,
) -> tuple[Meta, list[messages.RowChange]]:
    """Read every row of one revision.

    Returns
    -------
    Meta
        The revision that the rows show.
    list of RowChange
        All rows.

    Raises
    ------
    StoreUnavailable
        The store does not answer.
    TableInconsistent
        The rows were of no one revision in any of `SCAN_TRIES` tries.
    """
    for _ in range(SCAN_TRIES):
        before = read_meta(store)
        rows = [
            row
            for name in _table_snapshot.TableName
            for row in _scan(store, name.value)
        ]
        if read_meta(store) == before and _is_whole(before, rows):
            return before, [_as_change(row, before.revision) for row in rows]
    raise _table_errors.TableInconsistent(
        f"the table changed, or replicas of the store differed, in"
        f" {SCAN_TRIES} reads; it is read again at the next poll"
    )


def _is_whole(meta: Meta, rows: Sequence[_table_client.Row]) -> bool:
    # A replica of the store that lags may answer some pages although the
    # revision read before and after them is the newest: rows would be
    # missing or old, for good, since later changes touch other rows. The
    # digest in meta/config is that of exactly this revision's rows.
    if not meta.digest:
        return True
    versions = ((f"{row.table}/{row.key}", row.version) for row in rows)
    return digest_of(versions) == int(meta.digest, 16)


def _scan(
    store: _table_client.TableStore, table: str
) -> Iterator[_table_client.Row]:
    after = ""
    while True:
        page = store.scan(table, after=after)
        yield from page.rows
        if not page.more or not page.rows:
            return
        after = page.rows[-1].key


def _as_change(row: _table_client.Row, revision: int) -> messages.RowChange:
    return messages.RowChange(
        revision=revision,
        table=row.table,
        key=row.key,
        row_version=row.version,
        value=row.value,
    )
