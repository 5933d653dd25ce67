"""Commands on the whole table: import, export, history, undo."""

import pathlib
import sys
from typing import Any

import click

from topazlug.cli import _context
from topazlug.cli import _documents
from topazlug.cli import _exit_codes
from topazlug.cli import _output

STANDARD_STREAM = "-"
_FORMATS = click.Choice([form.value for form in _documents.DocumentFormat])


@click.command("export")
@click.option(
    "--file",
    "path",
    default=STANDARD_STREAM,
    help="File to write; by default standard output.",
)
@click.option(
    "--format",
    "form",
    type=_FORMATS,
    help="File format; by default CSV for .csv files, else YAML.",
)
@click.option(
    "--keys", is_flag=True, help="Include hashes of keys and tokens."
)
@_context.pass_context
def export_table(
    context: _context.CommandContext, path: str, form: str | None, keys: bool
) -> None:
    """Write the whole table as YAML or CSV."""
    chosen = _documents.choose_format(path, form)
    answer = context.client.get("/v1/export", keys=str(keys).lower())
    text = _documents.format_document(answer["document"], chosen)
    if path == STANDARD_STREAM:
        click.echo(text, nl=False)
        return
    try:
        pathlib.Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        raise _file_error(path, error) from error


@click.command("import")
@click.argument("path")
@click.option(
    "--format",
    "form",
    type=_FORMATS,
    help="File format; by default CSV for .csv files, else YAML.",
)
@click.option(
    "--dry-run", is_flag=True, help="Show the differences without importing."
)
@click.option(
    "--remove-absent",
    is_flag=True,
    help="Remove teams, services and pools that the file lacks.",
)
@click.option(
    "--with-keys", is_flag=True, help="Import the keys of teams too."
)
@_context.edit_options
@_context.pass_context
def import_table(
    context: _context.CommandContext,
    path: str,
    form: str | None,
    dry_run: bool,
    remove_absent: bool,
    with_keys: bool,
    edit_options: _context.EditOptions,
) -> None:
    """Import the table from a YAML or CSV file."""
    text = _read_text(path)
    document = _documents.parse_document(
        text, _documents.choose_format(path, form)
    )
    result = context.client.post(
        "/v1/import",
        {
            "document": document,
            "dry_run": dry_run,
            "remove_absent": remove_absent,
            "with_keys": with_keys,
        },
        edit=edit_options.edit(),
    )
    _show_difference(context, result)
    if not result["acceptable"]:
        raise _exit_codes.CommandFailed(
            "the import has errors; see the findings",
            _exit_codes.ExitCode.INVALID,
        )
    if edit_options.wait and not dry_run:
        _context.wait_in_force(
            context, revision=result["revision"], seconds=edit_options.wait
        )


@click.command()
@click.option(
    "--after", type=click.IntRange(0), help="Only later revisions than this."
)
@click.option("--limit", default=50, help="Maximum number of entries.")
@click.option(
    "--row", default="", help="Only changes of this row, such as teams/acme."
)
@_context.pass_context
def history(
    context: _context.CommandContext, after: int | None, limit: int, row: str
) -> None:
    """Show who changed what, when and why."""
    query = {"limit": str(limit), "row": row}
    if after is not None:
        query["after"] = str(after)
    entries = context.client.get("/v1/history", **query)["entries"]
    rows = [
        {
            "revision": entry["revision"],
            "when": entry["when"],
            "who": entry["who"],
            "row": f"{entry['table']}/{entry['key']}",
            "what": entry["what"],
            "why": entry["why"],
        }
        for entry in entries
    ]
    context.write(entries, rows=rows)


@click.command()
@click.argument("revision", type=click.IntRange(1))
@click.option(
    "--force", is_flag=True, help="Overwrite later changes of the row."
)
@_context.edit_options
@_context.pass_context
def undo(
    context: _context.CommandContext,
    revision: int,
    force: bool,
    edit_options: _context.EditOptions,
) -> None:
    """Revert a revision by a new one."""
    result = context.client.post(
        "/v1/undo",
        {"revision": revision, "force": force},
        edit=edit_options.edit(),
    )
    _context.report_edit(context, result, edit_options)


def _read_text(path: str) -> str:
    try:
        if path == STANDARD_STREAM:
            return sys.stdin.read()
        return pathlib.Path(path).read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise _file_error(path, error) from error


def _file_error(path: str, error: Exception) -> _exit_codes.CommandFailed:
    return _exit_codes.CommandFailed(
        f"{path}: {error}", _exit_codes.ExitCode.USAGE
    )


def _show_difference(
    context: _context.CommandContext, result: dict[str, Any]
) -> None:
    if not context.is_table:
        context.write(result)
        return
    for difference in result["differences"]:
        where = f"{difference['table']}/{difference['key']}"
        click.echo(f"{difference['kind']:<8} {where}")
        for cell in difference["cells"]:
            before = _output.cell(cell["before"])
            after = _output.cell(cell["after"])
            click.echo(f"         {cell['column']}: {before} -> {after}")
    for finding in result["findings"]:
        click.echo(
            f"{finding['severity']}: {finding['table']}/{finding['key']}"
            f" {finding['column']}: {finding['message']}"
        )
    what = "would change" if result["dry_run"] else "changed"
    click.echo(
        f"{len(result['differences'])} rows {what}; revision"
        f" {result['revision']}"
    )
