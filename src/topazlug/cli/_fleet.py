"""Commands on the fleet at work: status, drain, explain, top."""

import itertools
from typing import Any

import click
import gevent

from topazlug._generated import table
from topazlug.cli import _client
from topazlug.cli import _context
from topazlug.cli import _output
from topazlug.cli import _rows
from topazlug.configuration import _table_snapshot

_DRAINS = _table_snapshot.TableName.DRAINS
_KINDS = click.Choice([kind.value for kind in table.DrainKind])
_kind_option = click.option(
    "--kind", type=_KINDS, default=table.DrainKind.replica.value
)


@click.command()
@_context.pass_context
def status(context: _context.CommandContext) -> None:
    """Show daemons, replicas and teams."""
    read = context.client.get("/v1/status")
    if context.is_table:
        _show_status(read)
    else:
        context.write(read)


@click.command()
@click.option("--interval", default=1.0, help="Seconds.")
@click.option("--count", type=click.IntRange(1), help="Times; default: ever.")
@_context.pass_context
def top(
    context: _context.CommandContext, interval: float, count: int | None
) -> None:
    """Show the status again and again."""
    turns = itertools.count() if count is None else range(count)
    for turn in turns:
        if turn:
            gevent.sleep(interval)
        read = context.client.get("/v1/status")
        click.clear()
        _show_status(read)


def _show_status(read: dict[str, Any]) -> None:
    click.echo(f"{read['daemon']} at revision {read['revision']}")
    for part in ("daemons", "replicas", "teams"):
        click.echo(f"\n{part}")
        _output.write_rows(_sorted_for_people(read[part]))


def _sorted_for_people(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Order rows by name: else each look shows them in another order."""
    shown = [_for_people(row) for row in rows]
    return sorted(shown, key=lambda row: str(row.get("id", row.get("name"))))


def _for_people(row: dict[str, Any]) -> dict[str, Any]:
    """Leave out what is unknown."""
    return {k: None if v == -1 else v for k, v in row.items()}


@click.group()
def config() -> None:
    """Follow the table's way to the daemons."""


@config.command("status")
@click.option("--revision", type=click.IntRange(0), help="Default: newest.")
@click.option("--wait", type=float, metavar="SECONDS", help="Until in force.")
@_context.pass_context
def config_status(
    context: _context.CommandContext,
    revision: int | None,
    wait: float | None,
) -> None:
    """Show which daemon is at which revision."""
    query = {} if revision is None else {"revision": str(revision)}
    read = context.client.get("/v1/config/status", **query)
    if wait is not None:
        read = _context.wait_in_force(
            context, revision=read["wanted"], seconds=wait
        )
    if not context.is_table:
        context.write(read)
        return
    shown = {key: value for key, value in read.items() if key != "daemons"}
    context.write(shown)
    _output.write_rows(_sorted_for_people(read["daemons"]))


@click.command()
@click.argument("name")
@_kind_option
@_context.edit_options
@_context.pass_context
def drain(
    context: _context.CommandContext,
    name: str,
    kind: str,
    edit_options: _context.EditOptions,
) -> None:
    """Return a replica or availability zone no new work."""
    result = context.client.put(
        _client.path_of(_DRAINS.value, name),
        {"kind": kind},
        edit=edit_options.edit(),
    )
    _context.report_edit(context, result, edit_options)


@click.command()
@click.argument("name")
@_context.edit_options
@_context.pass_context
def undrain(
    context: _context.CommandContext,
    name: str,
    edit_options: _context.EditOptions,
) -> None:
    """Return a replica or availability zone work again."""
    etag = _rows.read_row(context, _DRAINS, name)["etag"]
    result = context.client.delete(
        _client.path_of(_DRAINS.value, name), edit=edit_options.edit(etag)
    )
    _context.report_edit(context, result, edit_options)


@click.command()
@click.argument("chat")
@click.option("--pool", required=True)
@_context.pass_context
def explain(context: _context.CommandContext, chat: str, pool: str) -> None:
    """Show why a chat goes where it goes."""
    read = context.client.get("/v1/explain", chat=chat, pool=pool)
    if not context.is_table:
        context.write(read)
        return
    context.write({k: v for k, v in read.items() if k != "candidates"})
    _output.write_rows([_for_people(row) for row in read["candidates"]])
