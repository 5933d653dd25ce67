"""API resource of the rows of the operators' table."""

from http import HTTPStatus
from typing import Any
from typing import final

import msgspec

from topazlug import _errors
from topazlug._generated import table
from topazlug.administration import _administration_http
from topazlug.administration import _tokens
from topazlug.configuration import _configuration
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_edits
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot

MAX_PAGE = 1000
MIN_HASH_PREFIX = 8
_Answer = _administration_http.Answer
_Request = _administration_http.Request
_TABLES = _table_snapshot.TableName


@final
class _NewKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    label: str = ""
    expires: str = ""


def current_snapshot(
    holder: _configuration.ConfigurationHolder,
) -> _table_snapshot.TableSnapshot:
    """Return the table in force.

    Raises
    ------
    NotReady
        The daemon has no table yet.
    """
    if holder.current is None:
        raise _errors.NotReady(
            "this daemon has no table yet; see /health/ready"
        )
    return holder.current


def parse_table(request: _Request) -> _TABLES:
    """Return the table named in the path.

    Raises
    ------
    UnknownPath
        There is no such table.
    """
    try:
        return _TABLES(request.segments[1])
    except ValueError as error:
        raise _errors.UnknownPath(
            f"unknown table {request.segments[1]!r}"
        ) from error


def parse_stamp(request: _Request) -> _edit_plan.Stamp:
    """Return the author, reason and edit id of a request."""
    return _edit_plan.Stamp(
        who=request.who, why=request.reason(), edit_id=request.edit_id()
    )


def result_to_body(result: _table_edits.EditResult) -> dict[str, Any]:
    """Return an accepted edit as the body of an answer."""
    body: dict[str, Any] = msgspec.to_builtins(result)
    return body


@final
class RowsResource:
    """Reads and edits single rows and the keys of teams.

    Parameters
    ----------
    holder : ConfigurationHolder
        The table in force.
    editor : TableEditor
        Writes edits to the store.
    publisher : Publisher
        Reads newer changes from the store if a fresh row is requested.
    """

    def __init__(
        self,
        *,
        holder: _configuration.ConfigurationHolder,
        editor: _table_edits.TableEditor,
        publisher: _table_edits.Publisher,
    ) -> None:
        self._holder = holder
        self._editor = editor
        self._publisher = publisher

    def routes(self) -> list[_administration_http.Route]:
        """Return the routes of the resource."""
        route = _administration_http.Route
        edit = table.OperatorRole.edit
        row = "/v1/{table}/{name}"
        keys = "/v1/teams/{name}/keys"
        return [
            route(method="GET", path="/v1/{table}", handler=self._list),
            route(method="GET", path=row, handler=self._get),
            route(method="PUT", path=row, handler=self._put, role=edit),
            route(method="DELETE", path=row, handler=self._delete, role=edit),
            route(method="POST", path=keys, handler=self._issue, role=edit),
            route(
                method="DELETE",
                path=keys + "/{hash}",
                handler=self._revoke,
                role=edit,
            ),
        ]

    def _list(self, request: _Request) -> _Answer:
        name = parse_table(request)
        snapshot = self._requested_snapshot(request)
        rows = snapshot.rows_by_name(name)
        limit = min(request.number("limit", default=MAX_PAGE), MAX_PAGE)
        after = request.query("after")
        keys = sorted(key for key in rows if key > after)
        page = [self._row_body(snapshot, name, key) for key in keys[:limit]]
        return _Answer(
            body={
                "revision": snapshot.revision,
                "rows": page,
                "more": len(keys) > limit,
            }
        )

    def _get(self, request: _Request) -> _Answer:
        name = parse_table(request)
        key = request.segments[2]
        snapshot = self._requested_snapshot(request)
        if key not in snapshot.rows_by_name(name):
            raise _not_found(name, key)
        shown = self._row_body(snapshot, name, key)
        return _Answer(
            body=shown | {"revision": snapshot.revision},
            headers=[("ETag", f'"{shown["etag"]}"')],
        )

    def _put(self, request: _Request) -> _Answer:
        name = parse_table(request)
        _check_operators(request, name)
        key = request.segments[2]
        requested = _edit_plan.RowEdit(
            table=name,
            key=key,
            value={"name": key} | request.decode_body(dict[str, Any]),
            expected=request.etag(),
            force=request.flag("force"),
        )
        row = current_snapshot(self._holder).rows_by_name(name).get(key)
        edit = _with_current_keys(row, requested)
        result = self._editor.edit(
            [edit],
            stamp=parse_stamp(request),
            fingerprint=_edit_plan.fingerprint_of([requested]),
        )
        created = edit.expected is None and row is None
        status = HTTPStatus.CREATED if created else HTTPStatus.OK
        return self._edit_answer(name, key, result, status=status)

    def _delete(self, request: _Request) -> _Answer:
        name = parse_table(request)
        _check_operators(request, name)
        edit = _edit_plan.RowEdit(
            table=name,
            key=request.segments[2],
            value=None,
            expected=request.etag(),
            force=request.flag("force"),
        )
        result = self._editor.edit([edit], stamp=parse_stamp(request))
        return _Answer(body=result_to_body(result))

    def _issue(self, request: _Request) -> _Answer:
        requested: _NewKey = request.decode_body(_NewKey)
        name = request.segments[2]
        stamp = parse_stamp(request)
        fingerprint = f"issue {name} {requested.label} {requested.expires}"
        repeated = self._editor.find_result(stamp, fingerprint)
        if repeated is not None:
            # The key itself is not stored, so it can't be returned again.
            return _Answer(body=result_to_body(repeated) | {"key": None})
        team = self._team(name)
        secret = _tokens.new_key()
        key = table.KeyRow(
            hash=_tokens.hash_of(secret),
            label=requested.label,
            expires=requested.expires,
        )
        result = self._set_keys(
            team, [*team.keys, key], stamp=stamp, fingerprint=fingerprint
        )
        return _Answer(
            status=HTTPStatus.CREATED,
            body=result_to_body(result) | {"key": secret, "hash": key.hash},
        )

    def _revoke(self, request: _Request) -> _Answer:
        name, prefix = request.segments[2], request.segments[4]
        stamp = parse_stamp(request)
        fingerprint = f"revoke {name} {prefix}"
        repeated = self._editor.find_result(stamp, fingerprint)
        if repeated is not None:
            return _Answer(body=result_to_body(repeated))
        if len(prefix) < MIN_HASH_PREFIX:
            raise _errors.BadHeader(
                f"{prefix!r} is too short; send {MIN_HASH_PREFIX} or more"
                " characters of the key's hash"
            )
        team = self._team(name)
        kept = [key for key in team.keys if not key.hash.startswith(prefix)]
        if len(kept) == len(team.keys):
            raise _table_errors.RowNotFound(
                f"team {name!r} has no key with the hash {prefix}…"
            )
        if len(kept) < len(team.keys) - 1:
            raise _errors.BadHeader(
                f"{prefix!r} matches more than one hash; send more characters"
            )
        result = self._set_keys(
            team, kept, stamp=stamp, fingerprint=fingerprint
        )
        return _Answer(body=result_to_body(result))

    def _set_keys(
        self,
        team: table.TeamRow,
        keys: list[table.KeyRow],
        *,
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> _table_edits.EditResult:
        version = current_snapshot(self._holder).version_of(
            _TABLES.TEAMS, team.name
        )
        changed = msgspec.structs.replace(team, keys=keys)
        edit = _edit_plan.RowEdit(
            table=_TABLES.TEAMS,
            key=team.name,
            value=msgspec.to_builtins(changed),
            expected=_edit_plan.etag_of(team, version),
        )
        return self._editor.edit([edit], stamp=stamp, fingerprint=fingerprint)

    def _team(self, name: str) -> table.TeamRow:
        self._catch_up()
        team = current_snapshot(self._holder).teams_by_name.get(name)
        if team is None:
            raise _not_found(_TABLES.TEAMS, name)
        return team

    def _requested_snapshot(
        self, request: _Request
    ) -> _table_snapshot.TableSnapshot:
        if request.flag("fresh"):
            self._catch_up()
        return current_snapshot(self._holder)

    def _catch_up(self) -> None:
        try:
            self._publisher.catch_up()
        except (_errors.StoreUnavailable, _table_errors.TableInconsistent):
            # The table in force is used in this case. The answer has its
            # revision, and an edit based on it is checked by the store.
            return

    def _row_body(
        self, snapshot: _table_snapshot.TableSnapshot, name: _TABLES, key: str
    ) -> dict[str, Any]:
        row = snapshot.rows_by_name(name)[key]
        version = snapshot.version_of(name, key)
        return {
            "row": msgspec.to_builtins(row),
            "version": version,
            "etag": _edit_plan.etag_of(row, version),
        }

    def _edit_answer(
        self,
        name: _TABLES,
        key: str,
        result: _table_edits.EditResult,
        *,
        status: HTTPStatus,
    ) -> _Answer:
        snapshot = current_snapshot(self._holder)
        body = result_to_body(result)
        headers = []
        if key in snapshot.rows_by_name(name):
            body |= self._row_body(snapshot, name, key)
            headers.append(("ETag", f'"{body["etag"]}"'))
        return _Answer(body=body, headers=headers, status=status)


def _with_current_keys(
    row: _table_snapshot.Row | None, edit: _edit_plan.RowEdit
) -> _edit_plan.RowEdit:
    """Add a team's present keys to an edit that has no keys."""
    if not isinstance(row, table.TeamRow) or edit.value is None:
        return edit
    keys = {"keys": msgspec.to_builtins(row.keys)}
    return msgspec.structs.replace(edit, value=keys | edit.value)


def _check_operators(request: _Request, name: _TABLES) -> None:
    if name is not _TABLES.OPERATORS:
        return
    if request.role is not table.OperatorRole.admin:
        raise _errors.Forbidden("the role admin is required to edit operators")


def _not_found(name: _TABLES, key: str) -> _table_errors.RowNotFound:
    return _table_errors.RowNotFound(f"no row {name.value}/{key}")
