"""Commands on keys of teams and tokens of operators.

A secret is shown once, when it is created; the table has only its hash.
"""

import datetime
from typing import Any

import click

from topazlug._generated import table
from topazlug.administration import _tokens
from topazlug.cli import _client
from topazlug.cli import _context
from topazlug.cli import _rows
from topazlug.configuration import _table_snapshot

_ROLES = click.Choice([role.value for role in table.OperatorRole])
_OPERATORS = _table_snapshot.TableName.OPERATORS
_TEAMS = _table_snapshot.TableName.TEAMS


@click.group()
def key() -> None:
    """Issue, list and revoke keys of a team."""


@key.command("issue")
@click.argument("team")
@click.option("--label", default="", help="Purpose of the key.")
@click.option("--expires", default="", help="Expiry as an RFC 3339 time.")
@click.option(
    "--days", type=click.IntRange(1, 3650), help="Days until it expires."
)
@_context.edit_options
@_context.pass_context
def issue_key(
    context: _context.CommandContext,
    team: str,
    label: str,
    expires: str,
    days: int | None,
    edit_options: _context.EditOptions,
) -> None:
    """Issue another key; the team's existing keys stay valid.

    To rotate a key, issue a new one, distribute it, then revoke the old one.
    """
    if days is not None:
        now = datetime.datetime.now(datetime.timezone.utc)
        end = now + datetime.timedelta(days=days)
        expires = end.isoformat(timespec="seconds")
    result = context.client.post(
        _client.api_path("teams", team, "keys"),
        {"label": label, "expires": expires},
        edit=edit_options.edit(),
    )
    _show_secret(context, result, edit_options, field="key")


@key.command("list")
@click.argument("team")
@_context.pass_context
def list_keys(context: _context.CommandContext, team: str) -> None:
    """List the hashes of a team's keys."""
    keys = _rows.read_row(context, _TEAMS, team)["row"]["keys"]
    shown = [item | {"hash": item["hash"][:16]} for item in keys]
    context.write(keys, rows=shown)


@key.command("revoke")
@click.argument("team")
@click.argument("hash_prefix")
@_context.edit_options
@_context.pass_context
def revoke_key(
    context: _context.CommandContext,
    team: str,
    hash_prefix: str,
    edit_options: _context.EditOptions,
) -> None:
    """Revoke the key whose hash starts with HASH_PREFIX."""
    result = context.client.delete(
        _client.api_path("teams", team, "keys", hash_prefix),
        edit=edit_options.edit(),
    )
    _context.report_edit(context, result, edit_options)


@click.command("add")
@click.argument("name")
@click.option("--role", type=_ROLES, required=True)
@_context.edit_options
@_context.pass_context
def add_operator(
    context: _context.CommandContext,
    name: str,
    role: str,
    edit_options: _context.EditOptions,
) -> None:
    """Add an operator and show the token once."""
    _put_operator(context, name, role, edit_options, etag="")


@click.command("renew")
@click.argument("name")
@_context.edit_options
@_context.pass_context
def renew_operator(
    context: _context.CommandContext,
    name: str,
    edit_options: _context.EditOptions,
) -> None:
    """Replace an operator's token; the old one becomes invalid."""
    answer = _rows.read_row(context, _OPERATORS, name)
    role = answer["row"]["role"]
    _put_operator(context, name, role, edit_options, etag=answer["etag"])


def _put_operator(
    context: _context.CommandContext,
    name: str,
    role: str,
    edit_options: _context.EditOptions,
    *,
    etag: str,
) -> None:
    token = _tokens.new_token()
    result = context.client.put(
        _client.api_path(_OPERATORS.value, name),
        {"role": role, "token_hash": _tokens.hash_of(token)},
        edit=edit_options.edit(etag),
    )
    result["token"] = token
    _show_secret(context, result, edit_options, field="token")


def _show_secret(
    context: _context.CommandContext,
    result: dict[str, Any],
    edit_options: _context.EditOptions,
    *,
    field: str,
) -> None:
    secret = result[field]
    shown = {"revision": result["revision"], field: secret}
    if "hash" in result:
        shown["hash"] = result["hash"]
    # The secret is shown before any wait. If the wait failed first, the
    # secret would be valid and nobody would have it.
    context.write(shown)
    if secret is None:
        click.echo(
            "already issued; the key can't be shown again, revoke it",
            err=True,
        )
    if edit_options.wait:
        _context.wait_in_force(
            context, revision=result["revision"], seconds=edit_options.wait
        )
