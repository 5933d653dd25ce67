"""Commands on the fleet: status, top, config, drain, undrain, explain."""

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
    answer = context.client.get("/v1/status")
    if context.is_table:
        _show_status(answer)
    else:
        context.write(answer)


@click.command()
@click.option("--interval", default=1.0, help="Seconds between updates.")
@click.option(
    "--count",
    type=click.IntRange(1),
    help="Number of updates; unlimited by default.",
)
@_context.pass_context
def top(
    context: _context.CommandContext, interval: float, count: int | None
) -> None:
    """Show the status and update it periodically."""
    iterations = itertools.count() if count is None else range(count)
    for iteration in iterations:
        if iteration:
            gevent.sleep(interval)
        answer = context.client.get("/v1/status")
        click.clear()
        _show_status(answer)


def _show_status(answer: dict[str, Any]) -> None:
    click.echo(f"{answer['daemon']} at revision {answer['revision']}")
    for section in ("daemons", "replicas", "teams"):
        click.echo(f"\n{section}")
        _output.write_rows(_sorted_for_display(answer[section]))


def _sorted_for_display(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sort rows by name, so that each update shows them in the same order."""
    shown = [_for_display(row) for row in rows]
    return sorted(shown, key=lambda row: str(row.get("id", row.get("name"))))


def _for_display(row: dict[str, Any]) -> dict[str, Any]:
    """Replace -1, which means unknown, by None."""
    return {k: None if v == -1 else v for k, v in row.items()}


@click.group()
def config() -> None:
    """Show which revision of the table each daemon has."""


@config.command("status")
@click.option(
    "--revision",
    type=click.IntRange(0),
    help="Revision to check; by default the newest.",
)
@click.option(
    "--wait",
    type=float,
    metavar="SECONDS",
    help="Wait until the revision is in force on all daemons.",
)
@_context.pass_context
def config_status(
    context: _context.CommandContext,
    revision: int | None,
    wait: float | None,
) -> None:
    """Show the revision in force on each daemon."""
    query = {} if revision is None else {"revision": str(revision)}
    answer = context.client.get("/v1/config/status", **query)
    if wait is not None:
        answer = _context.wait_in_force(
            context, revision=answer["wanted"], seconds=wait
        )
    if not context.is_table:
        context.write(answer)
        return
    shown = {key: value for key, value in answer.items() if key != "daemons"}
    context.write(shown)
    _output.write_rows(_sorted_for_display(answer["daemons"]))


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
    """Stop sending new work to a replica or availability zone."""
    result = context.client.put(
        _client.api_path(_DRAINS.value, name),
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
    """Resume sending work to a replica or availability zone."""
    etag = _rows.read_row(context, _DRAINS, name)["etag"]
    result = context.client.delete(
        _client.api_path(_DRAINS.value, name), edit=edit_options.edit(etag)
    )
    _context.report_edit(context, result, edit_options)


@click.command()
@click.argument("chat")
@click.option("--pool", required=True)
@_context.pass_context
def explain(context: _context.CommandContext, chat: str, pool: str) -> None:
    """Show why a chat is placed on a replica."""
    answer = context.client.get("/v1/explain", chat=chat, pool=pool)
    if not context.is_table:
        context.write(answer)
        return
    context.write({k: v for k, v in answer.items() if k != "candidates"})
    _output.write_rows([_for_display(row) for row in answer["candidates"]])
