"""The difference between the operators' table and a document of it."""

import enum
from typing import Any
from typing import Iterator
from typing import Sequence
from typing import final

import msgspec

from topazlug._generated import messages
from topazlug._generated import table
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_checks
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot

_TABLES = _table_snapshot.TableName
# Referenced rows are added before the rows that reference them. Removals go
# in the reverse order.
PUT_ORDER = (
    _TABLES.POOLS,
    _TABLES.SERVICES,
    _TABLES.TEAMS,
    _TABLES.OPERATORS,
    _TABLES.DRAINS,
)
KEPT_WHEN_ABSENT = frozenset((_TABLES.OPERATORS, _TABLES.DRAINS))


class DifferenceKind(enum.Enum):
    """Kinds of changes that an import makes to a row."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@final
class Cell(msgspec.Struct, frozen=True, kw_only=True):
    """One column's value before and after."""

    column: str
    before: Any
    after: Any


@final
class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """The change that an import makes to one row."""

    kind: DifferenceKind
    table: str
    key: str
    cells: list[Cell] = []


@final
class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """The result of comparing a document with the table.

    Attributes
    ----------
    edits : list of RowEdit
        Edits that turn the table into the document, ordered so that no row
        ever references a missing one.
    """

    differences: list[Difference]
    findings: list[_table_checks.Finding]
    edits: list[_edit_plan.RowEdit]


def compare(
    document: table.TableDocument,
    *,
    snapshot: _table_snapshot.TableSnapshot,
    remove_absent: bool,
    with_keys: bool,
) -> Comparison:
    """Compare a document with the table.

    Parameters
    ----------
    document : TableDocument
        The desired rows.
    snapshot : TableSnapshot
        The table in force.
    remove_absent : bool
        Whether to remove teams, services and pools that the document lacks.
        An import never removes operators and drains.
    with_keys : bool
        Whether to import the teams' keys. Otherwise, teams keep the keys that
        they have in the table, so that an old document does not restore a
        revoked key.

    Raises
    ------
    RowInvalid
        The document has two rows of the same name.
    """
    edits = []
    for name in PUT_ORDER:
        rows = _rows(document, name)
        edits += list(_puts(name, rows, snapshot, with_keys=with_keys))
    if remove_absent:
        for name in reversed(PUT_ORDER):
            edits += list(_removals(name, document, snapshot))
    changes = _edits_to_changes(edits, snapshot)
    return Comparison(
        differences=[_difference(edit, snapshot) for edit in edits],
        findings=_edit_plan.findings_of(changes, before=snapshot),
        edits=edits,
    )


def _rows(
    document: table.TableDocument, name: _TABLES
) -> Sequence[_table_snapshot.Row]:
    rows: Sequence[_table_snapshot.Row] = getattr(document, name.value)
    seen = set()
    for row in rows:
        if row.name in seen:
            raise _table_errors.RowInvalid(
                f"{name.value}/{row.name} appears twice; remove one"
            )
        seen.add(row.name)
    return rows


def _puts(
    name: _TABLES,
    rows: Sequence[_table_snapshot.Row],
    snapshot: _table_snapshot.TableSnapshot,
    *,
    with_keys: bool,
) -> Iterator[_edit_plan.RowEdit]:
    for row in rows:
        old = snapshot.rows_by_name(name).get(row.name)
        if isinstance(row, table.TeamRow) and not with_keys:
            keys = old.keys if isinstance(old, table.TeamRow) else []
            row = msgspec.structs.replace(row, keys=keys)
        if row != old:
            value = msgspec.to_builtins(row)
            yield _edit(name, row.name, value, snapshot)


def _removals(
    name: _TABLES,
    document: table.TableDocument,
    snapshot: _table_snapshot.TableSnapshot,
) -> Iterator[_edit_plan.RowEdit]:
    if name in KEPT_WHEN_ABSENT:
        return
    wanted = {row.name for row in _rows(document, name)}
    for key in sorted(snapshot.rows_by_name(name)):
        if key not in wanted:
            yield _edit(name, key, None, snapshot)


def _edit(
    name: _TABLES,
    key: str,
    value: dict[str, Any] | None,
    snapshot: _table_snapshot.TableSnapshot,
) -> _edit_plan.RowEdit:
    old = snapshot.rows_by_name(name).get(key)
    tag = _edit_plan.etag_of(old, snapshot.version_of(name, key))
    return _edit_plan.RowEdit(
        table=name, key=key, value=value, expected=tag or None
    )


def _edits_to_changes(
    edits: Sequence[_edit_plan.RowEdit],
    snapshot: _table_snapshot.TableSnapshot,
) -> list[messages.RowChange]:
    return [
        messages.RowChange(
            revision=snapshot.revision + number,
            table=edit.table.value,
            key=edit.key,
            row_version=1,
            value=edit.value,
        )
        for number, edit in enumerate(edits, start=1)
    ]


def _difference(
    edit: _edit_plan.RowEdit, snapshot: _table_snapshot.TableSnapshot
) -> Difference:
    old = snapshot.rows_by_name(edit.table).get(edit.key)
    before = {} if old is None else msgspec.to_builtins(old)
    after = edit.value or {}
    kind = DifferenceKind.CHANGED
    if old is None:
        kind = DifferenceKind.ADDED
    elif edit.value is None:
        kind = DifferenceKind.REMOVED
    cells = [
        Cell(column=column, before=before.get(column), after=value)
        for column, value in after.items()
        if before.get(column) != value
    ]
    return Difference(
        kind=kind, table=edit.table.value, key=edit.key, cells=cells
    )
