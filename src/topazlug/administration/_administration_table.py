"""The operators' table as a whole: import, export, history, undo."""

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
    """Answers what concerns the whole table.

    Parameters
    ----------
    holder : ConfigurationHolder
        The table in force.
    editor : TableEditor
        Makes the edits.
    publisher : Publisher
        Catches up with the store before a comparison.
    store : TableStore
        Read for the history.
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
        """Return the paths."""
        made = _administration_http.Route
        edit = table.OperatorRole.edit
        return [
            made(method="GET", path="/v1/export", handler=self._export),
            made(method="GET", path="/v1/history", handler=self._history),
            made(
                method="POST",
                path="/v1/import",
                handler=self._import,
                role=edit,
            ),
            made(
                method="POST", path="/v1/undo", handler=self._undo, role=edit
            ),
        ]

    def _export(self, request: _Request) -> _Answer:
        with_keys = request.flag("keys")
        if with_keys and request.role is not table.OperatorRole.admin:
            raise _errors.Forbidden("only the role admin exports keys")
        snapshot = _administration_rows.snapshot_of(self._holder)
        document = {
            name.value: [
                _exported(row, with_keys=with_keys)
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
        asked: _Import = request.decoded(
            _Import, limit=_administration_http.MAX_IMPORT_BYTES
        )
        self._check_may_import(request, asked)
        self._publisher.catch_up()
        snapshot = _administration_rows.snapshot_of(self._holder)
        comparison = _table_difference.compare(
            asked.document,
            snapshot=snapshot,
            remove_absent=asked.remove_absent,
            with_keys=asked.with_keys,
        )
        errors = _table_checks.select_errors(comparison.findings)
        revision = int(snapshot.revision)
        if not asked.dry_run:
            _refuse(errors)
            revision = self._edit_in_parts(request, comparison, revision)
        body: dict[str, Any] = {
            "dry_run": asked.dry_run,
            "revision": revision,
            "acceptable": not errors,
            "differences": comparison.differences,
            "findings": comparison.findings,
        }
        return _Answer(body=body)

    def _check_may_import(self, request: _Request, asked: _Import) -> None:
        if request.role is table.OperatorRole.admin:
            return
        if asked.document.operators or asked.with_keys:
            raise _errors.Forbidden(
                "only the role admin imports operators or keys"
            )

    def _edit_in_parts(
        self,
        request: _Request,
        comparison: _table_difference.Comparison,
        revision: int,
    ) -> int:
        """Make the edits, each part of `MAX_ROWS` rows whole or not at all.

        A repeat compares anew, so it makes what the first call did not come
        to. Each part's id is made of its content: a part whose answer was
        lost is known again.
        """
        stamp = _administration_rows.stamp_of(request)
        for edits in _parts(comparison.edits):
            fingerprint = _edit_plan.fingerprint_of(edits)
            digest = hashlib.sha256(fingerprint.encode()).hexdigest()[:16]
            part = msgspec.structs.replace(
                stamp, edit_id=f"{stamp.edit_id}.{digest}"
            )
            revision = self._editor.edit(edits, stamp=part).revision
        return revision

    def _undo(self, request: _Request) -> _Answer:
        asked: _Undo = request.decoded(_Undo)
        stamp = _administration_rows.stamp_of(request)
        fingerprint = f"undo {asked.revision}"
        result = self._editor.find_result(stamp, fingerprint)
        if result is None:
            edit = self._undoing_edit(asked)
            if (
                edit.table is _TABLES.OPERATORS
                and request.role is not table.OperatorRole.admin
            ):
                raise _errors.Forbidden("only the role admin edits operators")
            result = self._editor.edit(
                [edit], stamp=stamp, fingerprint=fingerprint
            )
        return _Answer(body=_administration_rows.result_body(result))

    def _undoing_edit(self, asked: _Undo) -> _edit_plan.RowEdit:
        self._publisher.catch_up()
        entries = _table_storage.read_history(
            self._store, after=asked.revision - 1, limit=1
        )
        if not entries or entries[0].revision != asked.revision:
            raise _table_errors.RowNotFound(
                f"no revision {asked.revision} in the history"
            )
        snapshot = _administration_rows.snapshot_of(self._holder)
        return undoing_edit(entries[0], snapshot=snapshot, force=asked.force)


def undoing_edit(
    entry: _table_storage.HistoryEntry,
    *,
    snapshot: _table_snapshot.TableSnapshot,
    force: bool,
) -> _edit_plan.RowEdit:
    """Return the edit that takes one revision back.

    Parameters
    ----------
    entry : HistoryEntry
        The revision to take back.
    snapshot : TableSnapshot
        The table in force.
    force : bool
        Whether later changes of the row may be lost.

    Raises
    ------
    RowConflict
        The row was changed again since.
    RowInvalid
        There is nothing to take back.
    """
    name = _TABLES(entry.table)
    row = snapshot.rows_by_name(name).get(entry.key)
    version = snapshot.version_of(name, entry.key)
    current = None if row is None else msgspec.to_builtins(row)
    value = _without_old_keys(entry, row)
    if version != entry.row_version and not force:
        raise _table_errors.RowConflict(
            f"{entry.table}/{entry.key} was changed again after revision"
            f" {entry.revision}; undo those first, or force it",
            mine=value,
            current=current,
        )
    if value == current:
        raise _table_errors.RowInvalid(
            f"revision {entry.revision} leaves nothing to undo; keys are"
            " issued and revoked, never brought back"
        )
    return _edit_plan.RowEdit(
        table=name,
        key=entry.key,
        value=value,
        expected=_edit_plan.etag_of(row, version) or None,
    )


def _without_old_keys(
    entry: _table_storage.HistoryEntry, row: _table_snapshot.Row | None
) -> dict[str, Any] | None:
    # Taking back the revision that revoked a leaked key would let the key
    # in again, unseen among the other columns. A team's keys stay as they
    # are.
    if entry.previous is None or not isinstance(row, table.TeamRow):
        return entry.previous
    return entry.previous | {"keys": msgspec.to_builtins(row.keys)}


def _exported(row: _table_snapshot.Row, *, with_keys: bool) -> dict[str, Any]:
    value: dict[str, Any] = msgspec.to_builtins(row)
    if isinstance(row, table.TeamRow) and not with_keys:
        del value["keys"]
    return value


def _refuse(errors: list[_table_checks.Finding]) -> None:
    if errors:
        raise _table_errors.RowInvalid(
            "; ".join(
                f"{e.table}/{e.key} {e.column}: {e.message}" for e in errors
            )
        )


def _parts(
    edits: list[_edit_plan.RowEdit],
) -> Iterator[list[_edit_plan.RowEdit]]:
    for start in range(0, len(edits), _table_edits.MAX_ROWS):
        yield edits[start : start + _table_edits.MAX_ROWS]
