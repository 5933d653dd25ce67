"""API resource of the whole table: import, export, history, undo."""

import hashlib
from typing import Any
from typing import Iterator
from typing import final

import msgspec

from topazlug import _errors
from topazlug._generated import table
from topazlug.administration import _administration_http
from topazlug.administration import _administration_rows
from topazlug.configuration import _configuration
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_checks
from topazlug.configuration import _table_difference
from topazlug.configuration import _table_edits
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot
from topazlug.configuration import _table_storage
from topazlug.store import _table_client

DEFAULT_HISTORY = 50
MAX_HISTORY = 500
_Answer = _administration_http.Answer
_Request = _administration_http.Request
_TABLES = _table_snapshot.TableName


@final
class _Import(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    document: table.TableDocument
    dry_run: bool = False
    remove_absent: bool = False
    with_keys: bool = False


@final
class _Undo(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    revision: int
    force: bool = False


@final
class TableResource:
    """Imports and exports the table, reads its history, undoes revisions.

    Parameters
    ----------
    holder : ConfigurationHolder
        The table in force.
    editor : TableEditor
        Writes edits to the store.
    publisher : Publisher
        Reads newer changes from the store before a comparison.
    store : TableStore
        Holds the history.
    """

    def __init__(
        self,
        *,
        holder: _configuration.ConfigurationHolder,
        editor: _table_edits.TableEditor,
        publisher: _table_edits.Publisher,
        store: _table_client.TableStore,
    ) -> None:
        self._holder = holder
        self._editor = editor
        self._publisher = publisher
        self._store = store

    def routes(self) -> list[_administration_http.Route]:
        """Return the routes of the resource."""
        route = _administration_http.Route
        edit = table.OperatorRole.edit
        return [
            route(method="GET", path="/v1/export", handler=self._export),
            route(method="GET", path="/v1/history", handler=self._history),
            route(
                method="POST",
                path="/v1/import",
                handler=self._import,
                role=edit,
            ),
            route(
                method="POST", path="/v1/undo", handler=self._undo, role=edit
            ),
        ]

    def _export(self, request: _Request) -> _Answer:
        with_keys = request.flag("keys")
        if with_keys and request.role is not table.OperatorRole.admin:
            raise _errors.Forbidden(
                "the role admin is required to export keys"
            )
        snapshot = _administration_rows.current_snapshot(self._holder)
        document = {
            name.value: [
                _export_row(row, with_keys=with_keys)
                for _, row in sorted(snapshot.rows_by_name(name).items())
            ]
            for name in _TABLES
            if with_keys or name is not _TABLES.OPERATORS
        }
        return _Answer(
            body={"revision": snapshot.revision, "document": document}
        )

    def _history(self, request: _Request) -> _Answer:
        limit = min(
            request.number("limit", default=DEFAULT_HISTORY), MAX_HISTORY
        )
        newest = max(int(self._holder.revision), 0)
        after = request.number("after", default=max(newest - limit, 0))
        entries = _table_storage.read_history(
            self._store, after=after, limit=max(limit, 1)
        )
        row = request.query("row")
        if row:
            entries = [e for e in entries if f"{e.table}/{e.key}" == row]
        return _Answer(body={"revision": newest, "entries": entries})

    def _import(self, request: _Request) -> _Answer:
        payload: _Import = request.decode_body(
            _Import, limit=_administration_http.MAX_IMPORT_BYTES
        )
        self._check_import_role(request, payload)
        self._publisher.catch_up()
        snapshot = _administration_rows.current_snapshot(self._holder)
        comparison = _table_difference.compare(
            payload.document,
            snapshot=snapshot,
            remove_absent=payload.remove_absent,
            with_keys=payload.with_keys,
        )
        errors = _table_checks.select_errors(comparison.findings)
        revision = int(snapshot.revision)
        if not payload.dry_run:
            _raise_for_errors(errors)
            revision = self._edit_in_batches(request, comparison, revision)
        body: dict[str, Any] = {
            "dry_run": payload.dry_run,
            "revision": revision,
            "acceptable": not errors,
            "differences": comparison.differences,
            "findings": comparison.findings,
        }
        return _Answer(body=body)

    def _check_import_role(self, request: _Request, payload: _Import) -> None:
        if request.role is table.OperatorRole.admin:
            return
        if payload.document.operators or payload.with_keys:
            raise _errors.Forbidden(
                "the role admin is required to import operators or keys"
            )

    def _edit_in_batches(
        self,
        request: _Request,
        comparison: _table_difference.Comparison,
        revision: int,
    ) -> int:
        """Make the edits in batches of `MAX_ROWS` rows, each batch atomic.

        If the import is repeated, the document is compared again, so that
        only the remaining edits are made. The id of a batch contains a hash
        of its edits, which identifies a batch whose answer was lost.
        """
        stamp = _administration_rows.parse_stamp(request)
        for edits in _split_into_batches(comparison.edits):
            fingerprint = _edit_plan.fingerprint_of(edits)
            digest = hashlib.sha256(fingerprint.encode()).hexdigest()[:16]
            batch_stamp = msgspec.structs.replace(
                stamp, edit_id=f"{stamp.edit_id}.{digest}"
            )
            revision = self._editor.edit(edits, stamp=batch_stamp).revision
        return revision

    def _undo(self, request: _Request) -> _Answer:
        payload: _Undo = request.decode_body(_Undo)
        stamp = _administration_rows.parse_stamp(request)
        fingerprint = f"undo {payload.revision}"
        result = self._editor.find_result(stamp, fingerprint)
        if result is None:
            edit = self._make_undo_edit(payload)
            if (
                edit.table is _TABLES.OPERATORS
                and request.role is not table.OperatorRole.admin
            ):
                raise _errors.Forbidden(
                    "the role admin is required to edit operators"
                )
            result = self._editor.edit(
                [edit], stamp=stamp, fingerprint=fingerprint
            )
        return _Answer(body=_administration_rows.result_to_body(result))

    def _make_undo_edit(self, payload: _Undo) -> _edit_plan.RowEdit:
        self._publisher.catch_up()
        entries = _table_storage.read_history(
            self._store, after=payload.revision - 1, limit=1
        )
        if not entries or entries[0].revision != payload.revision:
            raise _table_errors.RowNotFound(
                f"revision {payload.revision} is not in the history"
            )
        snapshot = _administration_rows.current_snapshot(self._holder)
        return make_undo_edit(
            entries[0], snapshot=snapshot, force=payload.force
        )


def make_undo_edit(
    entry: _table_storage.HistoryEntry,
    *,
    snapshot: _table_snapshot.TableSnapshot,
    force: bool,
) -> _edit_plan.RowEdit:
    """Return the edit that reverts one revision.

    Parameters
    ----------
    entry : HistoryEntry
        The revision to revert.
    snapshot : TableSnapshot
        The table in force.
    force : bool
        Whether to overwrite later changes of the row.

    Raises
    ------
    RowConflict
        The row was changed after the revision.
    RowInvalid
        There is nothing to revert.
    """
    name = _TABLES(entry.table)
    row = snapshot.rows_by_name(name).get(entry.key)
    version = snapshot.version_of(name, entry.key)
    current = None if row is None else msgspec.to_builtins(row)
    value = _previous_with_current_keys(entry, row)
    if version != entry.row_version and not force:
        raise _table_errors.RowConflict(
            f"{entry.table}/{entry.key} was changed again after revision"
            f" {entry.revision}; undo later changes first, or use force",
            mine=value,
            current=current,
        )
    if value == current:
        raise _table_errors.RowInvalid(
            f"revision {entry.revision} leaves nothing to undo; keys can be"
            " issued and revoked, but not restored"
        )
    return _edit_plan.RowEdit(
        table=name,
        key=entry.key,
        value=value,
        expected=_edit_plan.etag_of(row, version) or None,
    )


def _previous_with_current_keys(
    entry: _table_storage.HistoryEntry, row: _table_snapshot.Row | None
) -> dict[str, Any] | None:
    # Undoing the revision that revoked a leaked key would make the key valid
    # again, easily overlooked among the other columns. An undo therefore
    # leaves a team's keys unchanged.
    if entry.previous is None or not isinstance(row, table.TeamRow):
        return entry.previous
    return entry.previous | {"keys": msgspec.to_builtins(row.keys)}


def _export_row(
    row: _table_snapshot.Row, *, with_keys: bool
) -> dict[str, Any]:
    value: dict[str, Any] = msgspec.to_builtins(row)
    if isinstance(row, table.TeamRow) and not with_keys:
        del value["keys"]
    return value


def _raise_for_errors(errors: list[_table_checks.Finding]) -> None:
    if errors:
        raise _table_errors.RowInvalid(
            "; ".join(
                f"{e.table}/{e.key} {e.column}: {e.message}" for e in errors
            )
        )


def _split_into_batches(
    edits: list[_edit_plan.RowEdit],
) -> Iterator[list[_edit_plan.RowEdit]]:
    for start in range(0, len(edits), _table_edits.MAX_ROWS):
        yield edits[start : start + _table_edits.MAX_ROWS]
