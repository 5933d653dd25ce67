"""Computes in memory what an edit of the operators' table writes."""

import hashlib
import json
from typing import Any
from typing import Sequence
from typing import final
import zlib

import msgspec

from topazlug._generated import messages
from topazlug.configuration import _table_checks
from topazlug.configuration import _table_draft
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot
from topazlug.configuration import _table_storage
from topazlug.store import _table_client


@final
class RowEdit(msgspec.Struct, frozen=True, kw_only=True):
    """The change of one row that an operator requests.

    Attributes
    ----------
    value : dict or None
        Columns of the row; None removes the row.
    expected : str or None
        ETag of the row that the edit is based on; None for a new row.
    force : bool
        Overwrite the row without comparing ETags.
    """

    table: _table_snapshot.TableName
    key: str
    value: dict[str, Any] | None
    expected: str | None = None
    force: bool = False


@final
class Stamp(msgspec.Struct, frozen=True, kw_only=True):
    """Author and reason of an edit, and the id that makes it repeatable."""

    who: str
    why: str
    edit_id: str


@final
class EditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The row ``edits/<edit id>`` of an accepted edit."""

    revision: int
    first_revision: int
    fingerprint: str


@final
class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The changes of an edit, computed from one revision of the table."""

    meta: _table_storage.Meta
    before: _table_snapshot.TableSnapshot
    changes: list[messages.RowChange]
    findings: list[_table_checks.Finding]


def etag_of(row: _table_snapshot.Row | None, version: int) -> str:
    """Return the entity tag of a row, empty if there is no row.

    A row that is removed and added again starts at version 1 again. With the
    version alone, an edit based on the old row would overwrite the new one.
    """
    if row is None:
        return ""
    checksum = zlib.crc32(_canonical(msgspec.to_builtins(row)))
    return f"{version}-{checksum:08x}"


def normalize(edit: RowEdit) -> RowEdit:
    """Return the edit with defaults filled in for missing columns.

    Raises
    ------
    RowInvalid
        A column is unknown, out of bounds, or required and missing.
    """
    if edit.value is None:
        return edit
    row = _table_snapshot.decode_row(edit.table, edit.key, edit.value)
    return msgspec.structs.replace(edit, value=msgspec.to_builtins(row))


def fingerprint_of(edits: Sequence[RowEdit]) -> str:
    """Return a hash of the edits that detects the reuse of an edit id."""
    return hashlib.sha256(_canonical(msgspec.to_builtins(edits))).hexdigest()


def _canonical(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def make_plan(
    edits: Sequence[RowEdit],
    *,
    meta: _table_storage.Meta,
    before: _table_snapshot.TableSnapshot,
) -> Plan:
    """Compute the changes of an edit from one revision of the table.

    Parameters
    ----------
    edits : Sequence[RowEdit]
        Normalized edits, each of a different row.
    meta : Meta
        State of the table that the transaction is conditional on.
    before : TableSnapshot
        The table at that revision.

    Raises
    ------
    RowConflict, PreconditionMissing, RowNotFound
        A row does not match the ETag that the edit is based on.
    RowInvalid
        A check found an error.
    """
    for edit in edits:
        _check_base(edit, before)
    changes = [
        _make_change(edit, before, revision=meta.revision + number)
        for number, edit in enumerate(edits, start=1)
    ]
    findings = validate_changes(changes, before=before)
    return Plan(meta=meta, before=before, changes=changes, findings=findings)


def validate_changes(
    changes: Sequence[messages.RowChange],
    *,
    before: _table_snapshot.TableSnapshot,
) -> list[_table_checks.Finding]:
    """Check changes and return the warnings.

    Raises
    ------
    RowInvalid
        A check found an error.
    """
    findings = findings_of(changes, before=before)
    errors = _table_checks.select_errors(findings)
    if errors:
        raise _table_errors.RowInvalid(
            "; ".join(
                f"{error.table}/{error.key} {error.column}: {error.message}"
                for error in errors
            )
        )
    return findings


def findings_of(
    changes: Sequence[messages.RowChange],
    *,
    before: _table_snapshot.TableSnapshot,
) -> list[_table_checks.Finding]:
    """Return all findings of the checks about changes."""
    draft = _table_draft.TableDraft(before)
    for change in changes:
        draft.apply(change)
    after = draft.build_snapshot(before.revision + len(changes))
    return _table_checks.check_changes(after, changes)


def _check_base(edit: RowEdit, before: _table_snapshot.TableSnapshot) -> None:
    row = before.rows_by_name(edit.table).get(edit.key)
    where = _table_snapshot.row_key(edit.table, edit.key)
    if row is None and edit.value is None:
        raise _table_errors.RowNotFound(f"no row {where} to remove")
    if edit.force:
        return
    if row is not None and edit.expected is None:
        raise _table_errors.PreconditionMissing(
            f"{where} exists; send If-Match with the ETag that you read, so"
            " that no concurrent change is overwritten"
        )
    tag = etag_of(row, before.version_of(edit.table, edit.key))
    if (edit.expected or "") != tag:
        current = None if row is None else msgspec.to_builtins(row)
        raise _table_errors.RowConflict(
            f"{where} was changed since you read it; compare both values and"
            " edit again",
            mine=edit.value,
            current=current,
        )


def _make_change(
    edit: RowEdit, before: _table_snapshot.TableSnapshot, *, revision: int
) -> messages.RowChange:
    version = before.version_of(edit.table, edit.key)
    return messages.RowChange(
        revision=revision,
        table=edit.table.value,
        key=edit.key,
        row_version=0 if edit.value is None else version + 1,
        value=edit.value,
    )


def base_conditions(
    meta: _table_storage.Meta, stamp: Stamp
) -> list[_table_client.Condition]:
    """Return conditions that the table is unchanged and the id unused."""
    return [
        _table_client.Condition(
            table=_table_storage.META_TABLE,
            key=_table_storage.META_KEY,
            version=meta.row_version,
        ),
        _table_client.Condition(
            table=_table_storage.EDITS_TABLE,
            key=stamp.edit_id,
            version=_table_client.ABSENT,
        ),
    ]


def row_conditions(plan: Plan) -> list[_table_client.Condition]:
    """Return conditions that the edited rows are unchanged."""
    return [
        _table_client.Condition(
            table=change.table,
            key=change.key,
            version=_old_version(plan, change),
        )
        for change in plan.changes
    ]


def _old_version(plan: Plan, change: messages.RowChange) -> int:
    name = _table_snapshot.TableName(change.table)
    return plan.before.version_of(name, change.key)


def make_puts(
    plan: Plan, *, stamp: Stamp, record: EditRecord, when: str
) -> list[_table_client.Put]:
    """Return the rows that the edit's transaction writes."""
    puts = [
        _table_client.Put(
            table=_table_storage.META_TABLE,
            key=_table_storage.META_KEY,
            value=_next_meta(plan),
        ),
        _table_client.Put(
            table=_table_storage.EDITS_TABLE,
            key=stamp.edit_id,
            value=msgspec.to_builtins(record),
        ),
    ]
    for change in plan.changes:
        entry = _make_entry(plan, change, stamp=stamp, when=when)
        key = _table_storage.history_key(change.revision)
        puts.append(
            _table_client.Put(
                table=_table_storage.HISTORY_TABLE,
                key=key,
                value=msgspec.to_builtins(entry),
            )
        )
        if change.value is not None:
            puts.append(
                _table_client.Put(
                    table=change.table, key=change.key, value=change.value
                )
            )
    return puts


def make_deletes(plan: Plan) -> list[_table_client.Delete]:
    """Return the deletions of the rows that the edit removes."""
    return [
        _table_client.Delete(table=change.table, key=change.key)
        for change in plan.changes
        if change.value is None
    ]


def _next_meta(plan: Plan) -> dict[str, Any]:
    meta = plan.meta
    for change in plan.changes:
        digest = _table_storage.update_digest(
            meta,
            key=f"{change.table}/{change.key}",
            old=_old_version(plan, change),
            new=change.row_version,
        )
        meta = _table_storage.Meta(revision=change.revision, digest=digest)
    value = {"revision": meta.revision}
    return value if not meta.digest else value | {"digest": meta.digest}


def _make_entry(
    plan: Plan, change: messages.RowChange, *, stamp: Stamp, when: str
) -> _table_storage.HistoryEntry:
    name = _table_snapshot.TableName(change.table)
    old = plan.before.rows_by_name(name).get(change.key)
    previous = None if old is None else msgspec.to_builtins(old)
    return _table_storage.HistoryEntry(
        revision=change.revision,
        table=change.table,
        key=change.key,
        value=change.value,
        row_version=change.row_version,
        who=stamp.who,
        when=when,
        what=_describe_change(change, previous),
        why=stamp.why,
        edit_id=stamp.edit_id,
        previous=previous,
    )


def _describe_change(
    change: messages.RowChange, previous: dict[str, Any] | None
) -> str:
    """Return the text that the history shows for a change."""
    if change.value is None:
        return "removed"
    if previous is None:
        return "added"
    columns = [
        f"{column}: {previous.get(column)!r} -> {value!r}"
        for column, value in change.value.items()
        if column != "keys" and previous.get(column) != value
    ]
    if previous.get("keys") != change.value.get("keys"):
        columns.append("keys changed")
    return "; ".join(columns) or "nothing changed"
