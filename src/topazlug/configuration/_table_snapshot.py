"""The operators' table at one revision, typed and indexed."""

import datetime
import enum
from typing import Any
from typing import Mapping
from typing import TypeAlias
from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import table
from topazlug.configuration import _table_errors
from topazlug.membership import _sharded_map

Row: TypeAlias = (
    table.TeamRow
    | table.ServiceRow
    | table.PoolRow
    | table.OperatorRow
    | table.DrainRow
)
_EMPTY: Any = _sharded_map.ShardedMap()


class TableName(enum.Enum):
    """Names of the tables that operators edit."""

    TEAMS = "teams"
    SERVICES = "services"
    POOLS = "pools"
    OPERATORS = "operators"
    DRAINS = "drains"


ROW_TYPE_BY_TABLE: Mapping[TableName, type[Row]] = {
    TableName.TEAMS: table.TeamRow,
    TableName.SERVICES: table.ServiceRow,
    TableName.POOLS: table.PoolRow,
    TableName.OPERATORS: table.OperatorRow,
    TableName.DRAINS: table.DrainRow,
}


def row_key(name: TableName, key: str) -> str:
    """Return a key that is unique across tables, such as ``teams/acme``."""
    return f"{name.value}/{key}"


def decode_row(name: TableName, key: str, value: Any) -> Row:
    """Validate a row's value and convert it to the row's type.

    Parameters
    ----------
    name : TableName
        Table that the row belongs to.
    key : str
        Key that the row is stored under.
    value : Any
        Columns of the row.

    Returns
    -------
    Row
        The typed row.

    Raises
    ------
    RowInvalid
        A column is unknown, missing, of another type or out of bounds, or
        the name is not the key.
    """
    try:
        row = msgspec.convert(value, ROW_TYPE_BY_TABLE[name])
    except msgspec.ValidationError as error:
        raise _table_errors.RowInvalid(
            f"{row_key(name, key)}: {error}"
        ) from error
    if row.name != key:
        raise _table_errors.RowInvalid(
            f"{row_key(name, key)}: the name column is {row.name!r}; it must"
            " equal the key"
        )
    return row


@final
class TableSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' table at one revision; immutable.

    Attributes
    ----------
    revision : Revision
        Revision of the table.
    row_versions_by_key : Mapping[str, int]
        Version of each row, by ``table/name``.
    team_by_key_hash : Mapping[str, TeamRow]
        Team of each API key's SHA-256, including expired keys; use
        `team_of_key` to look up valid keys only.
    pool_by_model : Mapping[str, PoolRow]
        Pool that serves a model.
    """

    revision: _ids.Revision
    teams_by_name: _sharded_map.ShardedMap[table.TeamRow] = _EMPTY
    services_by_name: _sharded_map.ShardedMap[table.ServiceRow] = _EMPTY
    pools_by_name: _sharded_map.ShardedMap[table.PoolRow] = _EMPTY
    operators_by_name: _sharded_map.ShardedMap[table.OperatorRow] = _EMPTY
    drains_by_name: _sharded_map.ShardedMap[table.DrainRow] = _EMPTY
    row_versions_by_key: _sharded_map.ShardedMap[int] = _EMPTY
    team_by_key_hash: _sharded_map.ShardedMap[table.TeamRow] = _EMPTY
    pool_by_model: Mapping[str, table.PoolRow] = {}

    def rows_by_name(self, name: TableName) -> Mapping[str, Row]:
        """Return one table's rows."""
        rows: Mapping[str, Row] = getattr(self, rows_field(name))
        return rows

    def version_of(self, name: TableName, key: str) -> int:
        """Return a row's version, 0 if there is no such row."""
        return self.row_versions_by_key.get(row_key(name, key), 0)

    def team_of_key(
        self, key_hash: str, *, now: datetime.datetime
    ) -> table.TeamRow | None:
        """Return the team of an API key, None if the key is not valid.

        Parameters
        ----------
        key_hash : str
            SHA-256 of the key in hexadecimal.
        now : datetime.datetime
            Wall-clock time that expiry is checked against.
        """
        team = self.team_by_key_hash.get(key_hash)
        if team is None:
            return None
        for key in team.keys:
            if key.hash == key_hash and not is_expired(key, now=now):
                return team
        return None


def is_expired(key: table.KeyRow, *, now: datetime.datetime) -> bool:
    """Return whether a key has expired or its expiry can't be parsed."""
    if not key.expires:
        return False
    try:
        expires = datetime.datetime.fromisoformat(key.expires)
    except ValueError:
        return True
    if expires.tzinfo is None:
        expires = expires.replace(tzinfo=datetime.timezone.utc)
    return expires <= now


def rows_field(name: TableName) -> str:
    """Return the snapshot's attribute that holds a table's rows."""
    return f"{name.value}_by_name"


def table_to_changes(snapshot: TableSnapshot) -> list[messages.RowChange]:
    """Return every row of a snapshot as a change, to send to peers."""
    return [
        messages.RowChange(
            revision=snapshot.revision,
            table=name.value,
            key=key,
            row_version=snapshot.version_of(name, key),
            value=msgspec.to_builtins(row),
        )
        for name in TableName
        for key, row in snapshot.rows_by_name(name).items()
    ]
