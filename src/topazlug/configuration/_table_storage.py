"""Layout of the operators' table in the platform's table service.

``meta/config`` holds the revision, ``history/<revision>`` the change that the
revision made, ``edits/<edit id>`` the revisions of an edit, and one table per
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
MAX_SCAN_ATTEMPTS = 5
_DIGEST_MASK = (1 << 64) - 1


@final
class Meta(msgspec.Struct, frozen=True, kw_only=True):
    """State of the whole table.

    Attributes
    ----------
    revision : int
        Revision of the last edit, 0 for a table that was never edited.
    digest : str
        Hexadecimal hash of all rows' versions, independent of their order;
        empty for a table that was first written by another program.
    row_version : int
        Version of the row ``meta/config`` itself, 0 if absent.
    """

    revision: int = 0
    digest: str = ""
    row_version: int = 0


NEW_META = Meta(digest="0")


@final
class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The change that one revision made.

    Attributes
    ----------
    value : dict or None
        The row's columns after the change, None if the row was removed.
    previous : dict or None
        The columns before the change, None if the row was added.
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
    """Return a revision's key in the history, padded to sort by number."""
    return f"{revision:012d}"


def digest_of(versions_by_key: Iterator[tuple[str, int]]) -> int:
    """Return the sum of row hashes, given ``table/name`` and versions."""
    total = 0
    for key, version in versions_by_key:
        total += row_digest(key, version)
    return total & _DIGEST_MASK


def row_digest(key: str, version: int) -> int:
    """Return a hash of a row's key and version; 0 for an absent row."""
    if not version:
        return 0
    return xxhash.xxh64_intdigest(f"{key}@{version}".encode())


def update_digest(meta: Meta, *, key: str, old: int, new: int) -> str:
    """Return the digest after the version of one row changed."""
    if not meta.digest:
        return ""
    total = int(meta.digest, 16) - row_digest(key, old) + row_digest(key, new)
    return f"{total & _DIGEST_MASK:x}"


def parse_meta(row: _table_client.Row | None) -> Meta:
    """Parse the row ``meta/config``.

    Raises
    ------
    TableInconsistent
        The row can't be decoded.
    """
    if row is None or row.value is None:
        return NEW_META
    try:
        meta = msgspec.convert(row.value, Meta)
    except msgspec.ValidationError as error:
        raise _table_errors.TableInconsistent(
            f"{META_TABLE}/{META_KEY} can't be decoded: {error}"
        ) from error
    return msgspec.structs.replace(meta, row_version=row.version)


def read_meta(store: _table_client.TableStore) -> Meta:
    """Read the state of the whole table.

    Raises
    ------
    StoreUnavailable
        The store does not answer.
    TableInconsistent
        The row can't be decoded.
    """
    return parse_meta(store.read(META_TABLE, META_KEY))


def read_history(
    store: _table_client.TableStore, *, after: int, limit: int = HISTORY_PAGE
) -> list[HistoryEntry]:
    """Read the entries that follow a revision, in order.

    Raises
    ------
    StoreUnavailable
        The store does not answer.
    TableInconsistent
        An entry can't be decoded.
    """
    start = history_key(max(after, 0))
    page = store.scan(HISTORY_TABLE, after=start, limit=limit)
    try:
        return [msgspec.convert(row.value, HistoryEntry) for row in page.rows]
    except msgspec.ValidationError as error:
        raise _table_errors.TableInconsistent(
            f"{HISTORY_TABLE} entry after {after} can't be decoded: {error}"
        ) from error


def entry_to_change(entry: HistoryEntry) -> messages.RowChange:
    """Return an entry as a change, to apply it or send it to peers."""
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
    """Read all rows of the table at one revision.

    Returns
    -------
    Meta
        State of the table that the rows belong to.
    list of RowChange
        All rows.

    Raises
    ------
    StoreUnavailable
        The store does not answer.
    TableInconsistent
        The rows read were of different revisions in each of
        `MAX_SCAN_ATTEMPTS` attempts.
    """
    for _ in range(MAX_SCAN_ATTEMPTS):
        before = read_meta(store)
        rows = [
            row
            for name in _table_snapshot.TableName
            for row in _scan(store, name.value)
        ]
        if read_meta(store) == before and _is_consistent(before, rows):
            return before, [
                _row_to_change(row, before.revision) for row in rows
            ]
    raise _table_errors.TableInconsistent(
        f"the table changed, or replicas of the store differed, in each of"
        f" {MAX_SCAN_ATTEMPTS} reads; it is read again at the next poll"
    )


def _is_consistent(meta: Meta, rows: Sequence[_table_client.Row]) -> bool:
    # A lagging replica of the store may serve some pages although the
    # revision read before and after them is the newest. Rows would then stay
    # missing or outdated permanently, since later changes concern other rows.
    # The digest in meta/config covers exactly the rows of this revision.
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


def _row_to_change(
    row: _table_client.Row, revision: int
) -> messages.RowChange:
    return messages.RowChange(
        revision=revision,
        table=row.table,
        key=row.key,
        row_version=row.version,
        value=row.value,
    )
