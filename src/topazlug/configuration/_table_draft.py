"""Builds the next snapshot of the table from the previous one."""

import functools
from typing import Any
from typing import Mapping
from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import table
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot
from topazlug.membership import _sharded_map


@final
class TableDraft:
    """A mutable copy of a snapshot, which copies only what it changes."""

    def __init__(self, base: _table_snapshot.TableSnapshot) -> None:
        self._base = base
        self._map_by_field: dict[str, _sharded_map.ShardedMapDraft[Any]] = {}

    def writable_map(self, field: str) -> _sharded_map.ShardedMapDraft[Any]:
        """Return a writable copy of one of the snapshot's maps."""
        if field not in self._map_by_field:
            self._map_by_field[field] = getattr(self._base, field).draft()
        return self._map_by_field[field]

    def _put(
        self,
        name: _table_snapshot.TableName,
        row: _table_snapshot.Row,
        version: int,
    ) -> None:
        self._remove(name, row.name)
        self.writable_map(_table_snapshot.rows_field(name)).put(row.name, row)
        versions_by_key = self.writable_map("row_versions_by_key")
        versions_by_key.put(_table_snapshot.row_key(name, row.name), version)
        _index(row, self)

    def _remove(self, name: _table_snapshot.TableName, key: str) -> None:
        old = self.writable_map(_table_snapshot.rows_field(name)).remove(key)
        self.writable_map("row_versions_by_key").remove(
            _table_snapshot.row_key(name, key)
        )
        if old is not None:
            _unindex(old, self)

    def apply(self, change: messages.RowChange) -> None:
        """Apply the change or removal of one row.

        Raises
        ------
        RowInvalid
            The row can't be decoded; the draft is unchanged.
        """
        name = _parse_table_name(change)
        if not isinstance(change.value, dict):
            self._remove(name, change.key)
            return
        row = _table_snapshot.decode_row(name, change.key, change.value)
        self._put(name, row, change.row_version)

    def build_snapshot(self, revision: int) -> _table_snapshot.TableSnapshot:
        """Return the snapshot; the draft must not be used afterwards."""
        fields: dict[str, Any] = {
            field: draft.finished()
            for field, draft in self._map_by_field.items()
        }
        if (
            _table_snapshot.rows_field(_table_snapshot.TableName.POOLS)
            in fields
        ):
            fields["pool_by_model"] = _pool_by_model(fields["pools_by_name"])
        return msgspec.structs.replace(
            self._base, revision=_ids.Revision(revision), **fields
        )


def _pool_by_model(
    pools_by_name: Mapping[str, table.PoolRow],
) -> Mapping[str, table.PoolRow]:
    """Return pools by model; of two with one model, the first by name."""
    pool_by_model: dict[str, table.PoolRow] = {}
    for name in sorted(pools_by_name):
        pool = pools_by_name[name]
        pool_by_model.setdefault(pool.model, pool)
    return pool_by_model


def _parse_table_name(change: messages.RowChange) -> _table_snapshot.TableName:
    try:
        return _table_snapshot.TableName(change.table)
    except ValueError as error:
        raise _table_errors.RowInvalid(
            f"{change.table}/{change.key}: unknown table, written by a newer"
            " version; update this daemon"
        ) from error


@functools.singledispatch
def _index(row: _table_snapshot.Row, draft: TableDraft) -> None:
    """Add a row to the indexes."""


@functools.singledispatch
def _unindex(row: _table_snapshot.Row, draft: TableDraft) -> None:
    """Remove a row from the indexes."""


@_index.register
def _index_team(row: table.TeamRow, draft: TableDraft) -> None:
    team_by_key_hash = draft.writable_map("team_by_key_hash")
    for key in row.keys:
        # Two teams may list the same key. If the second took it over, the
        # first team's requests would be counted for the second. The first
        # team keeps the key, and the checks reject the second team's row.
        if team_by_key_hash.get(key.hash) is None:
            team_by_key_hash.put(key.hash, row)


@_unindex.register
def _unindex_team(row: table.TeamRow, draft: TableDraft) -> None:
    team_by_key_hash = draft.writable_map("team_by_key_hash")
    for key in row.keys:
        owner = team_by_key_hash.get(key.hash)
        if owner is not None and owner.name == row.name:
            team_by_key_hash.remove(key.hash)
