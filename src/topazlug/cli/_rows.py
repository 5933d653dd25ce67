"""Commands on rows: list, show, add, set, remove."""

from typing import Any

import click

from topazlug.cli import _client
from topazlug.cli import _context
from topazlug.cli import _exit_codes
from topazlug.cli import _values
from topazlug.configuration import _table_snapshot

PAGE_SIZE = 1000
_TABLES = _table_snapshot.TableName
_name_argument = click.argument("row_name", metavar="NAME")
_pairs_argument = click.argument("pairs", nargs=-1, metavar="COLUMN=VALUE...")


def make_group(name: _TABLES, singular: str) -> click.Group:
    """Return the command group for the rows of a table."""
    group = click.Group(singular, help=f"Read and edit {name.value}.")
    _add_list_command(group, name)
    _add_show_command(group, name)
    _add_set_command(group, name)
    _add_remove_command(group, name)
    return group


def read_row(
    context: _context.CommandContext, name: _TABLES, row_name: str
) -> dict[str, Any]:
    """Read a row and its ETag.

    The daemon first catches up with the store, if the store answers.
    """
    answer: dict[str, Any] = context.client.get(
        _client.api_path(name.value, row_name), fresh="true"
    )
    return answer


def read_all(
    context: _context.CommandContext, name: _TABLES
) -> list[dict[str, Any]]:
    """Read all rows of a table, page by page."""
    rows: list[dict[str, Any]] = []
    after = ""
    while True:
        page = context.client.get(
            _client.api_path(name.value), after=after, limit=str(PAGE_SIZE)
        )
        rows += [answer["row"] for answer in page["rows"]]
        if not page["more"] or not page["rows"]:
            return rows
        after = rows[-1]["name"]


def _add_list_command(group: click.Group, name: _TABLES) -> None:
    @group.command("list", help=f"List all {name.value}.")
    @_context.pass_context
    def list_rows(context: _context.CommandContext) -> None:
        rows = read_all(context, name)
        context.write(rows, rows=[_for_display(row) for row in rows])


def _add_show_command(group: click.Group, name: _TABLES) -> None:
    @group.command("show", help="Show one row with its version.")
    @_name_argument
    @_context.pass_context
    def show_row(context: _context.CommandContext, row_name: str) -> None:
        answer = read_row(context, name, row_name)
        if context.is_table:
            context.write({**answer["row"], "etag": answer["etag"]})
        else:
            context.write(answer)


def _add_set_command(group: click.Group, name: _TABLES) -> None:
    @group.command("set", help="Change columns of a row.")
    @_name_argument
    @_pairs_argument
    @click.option(
        "--etag", default="", help="Fail unless the row still has this ETag."
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
        values = _values.parse_pairs(name, pairs)
        if not values:
            raise _exit_codes.CommandFailed(
                "nothing to set; add column=value",
                _exit_codes.ExitCode.USAGE,
            )
        answer = read_row(context, name, row_name)
        result = context.client.put(
            _client.api_path(name.value, row_name),
            answer["row"] | values,
            edit=edit_options.edit(etag or answer["etag"]),
        )
        _context.report_edit(context, result, edit_options)


def add_add_command(group: click.Group, name: _TABLES) -> None:
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
            _client.api_path(name.value, row_name),
            _values.parse_pairs(name, pairs),
            edit=edit_options.edit(),
        )
        _context.report_edit(context, result, edit_options)


def _add_remove_command(group: click.Group, name: _TABLES) -> None:
    @group.command("remove", help="Remove a row.")
    @_name_argument
    @click.option(
        "--etag", default="", help="Fail unless the row still has this ETag."
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
            _client.api_path(name.value, row_name),
            edit=edit_options.edit(etag),
        )
        _context.report_edit(context, result, edit_options)


def _for_display(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with the number of its keys and without hashes."""
    shown = {k: v for k, v in row.items() if k != "token_hash"}
    if "keys" in shown:
        shown["keys"] = len(shown["keys"])
    return shown
