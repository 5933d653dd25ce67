"""Commands on rows: list, show, add, set, remove."""

from typing import Any

import click

from topazlug.cli import _client
from topazlug.cli import _context
from topazlug.cli import _exit_codes
from topazlug.cli import _values
from topazlug.configuration import _table_snapshot

PAGE = 1000
_TABLES = _table_snapshot.TableName
_name_argument = click.argument("row_name", metavar="NAME")
_pairs_argument = click.argument("pairs", nargs=-1, metavar="COLUMN=VALUE...")


def group_of(name: _TABLES, singular: str) -> click.Group:
    """Make the commands on one table's rows."""
    group = click.Group(singular, help=f"Read and edit {name.value}.")
    _add_list(group, name)
    _add_show(group, name)
    _add_set(group, name)
    _add_remove(group, name)
    return group


def read_row(
    context: _context.CommandContext, name: _TABLES, row_name: str
) -> dict[str, Any]:
    """Read a row, with its ETag, as the store has it."""
    read: dict[str, Any] = context.client.get(
        _client.path_of(name.value, row_name), fresh="true"
    )
    return read


def read_all(
    context: _context.CommandContext, name: _TABLES
) -> list[dict[str, Any]]:
    """Read all rows of a table, page by page."""
    rows: list[dict[str, Any]] = []
    after = ""
    while True:
        page = context.client.get(
            _client.path_of(name.value), after=after, limit=str(PAGE)
        )
        rows += [read["row"] for read in page["rows"]]
        if not page["more"] or not page["rows"]:
            return rows
        after = rows[-1]["name"]


def _add_list(group: click.Group, name: _TABLES) -> None:
    @group.command("list", help=f"List all {name.value}.")
    @_context.pass_context
    def list_rows(context: _context.CommandContext) -> None:
        rows = read_all(context, name)
        context.write(rows, rows=[_for_people(row) for row in rows])


def _add_show(group: click.Group, name: _TABLES) -> None:
    @group.command("show", help="Show one row with its version.")
    @_name_argument
    @_context.pass_context
    def show_row(context: _context.CommandContext, row_name: str) -> None:
        read = read_row(context, name, row_name)
        if context.is_table:
            context.write({**read["row"], "etag": read["etag"]})
        else:
            context.write(read)


def _add_set(group: click.Group, name: _TABLES) -> None:
    @group.command("set", help="Change columns of a row.")
    @_name_argument
    @_pairs_argument
    @click.option(
        "--etag", default="", help="Refuse unless the row is still at this."
    )
    @_context.edit_options
    @_context.pass_context
    def set_row(
        context: _context.CommandContext,
        row_name: str,
        pairs: tuple[str, ...],
        etag: str,
        edit_options: _context.EditOptions,
    ) -> None:
        values = _values.parsed_pairs(name, pairs)
        if not values:
            raise _exit_codes.CommandFailed(
                "nothing to set; give column=value",
                _exit_codes.ExitCode.USAGE,
            )
        read = read_row(context, name, row_name)
        result = context.client.put(
            _client.path_of(name.value, row_name),
            read["row"] | values,
            edit=edit_options.edit(etag or read["etag"]),
        )
        _context.report_edit(context, result, edit_options)


def add_add(group: click.Group, name: _TABLES) -> None:
    """Add the command that adds a row."""

    @group.command("add", help="Add a row.")
    @_name_argument
    @_pairs_argument
    @_context.edit_options
    @_context.pass_context
    def add_row(
        context: _context.CommandContext,
        row_name: str,
        pairs: tuple[str, ...],
        edit_options: _context.EditOptions,
    ) -> None:
        result = context.client.put(
            _client.path_of(name.value, row_name),
            _values.parsed_pairs(name, pairs),
            edit=edit_options.edit(),
        )
        _context.report_edit(context, result, edit_options)


def _add_remove(group: click.Group, name: _TABLES) -> None:
    @group.command("remove", help="Remove a row.")
    @_name_argument
    @click.option(
        "--etag", default="", help="Refuse unless the row is still at this."
    )
    @_context.edit_options
    @_context.pass_context
    def remove_row(
        context: _context.CommandContext,
        row_name: str,
        etag: str,
        edit_options: _context.EditOptions,
    ) -> None:
        etag = etag or read_row(context, name, row_name)["etag"]
        result = context.client.delete(
            _client.path_of(name.value, row_name),
            edit=edit_options.edit(etag),
        )
        _context.report_edit(context, result, edit_options)


def _for_people(row: dict[str, Any]) -> dict[str, Any]:
    """Show the number of keys in place of their hashes."""
    shown = {k: v for k, v in row.items() if k != "token_hash"}
    if "keys" in shown:
        shown["keys"] = len(shown["keys"])
    return shown
