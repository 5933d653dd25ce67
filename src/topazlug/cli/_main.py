"""The command group ``topazlug``."""

import click
from click import shell_completion

import topazlug
from topazlug.cli import _blocked
from topazlug.cli import _client
from topazlug.cli import _context
from topazlug.cli import _fleet
from topazlug.cli import _output
from topazlug.cli import _request_logs
from topazlug.cli import _rows
from topazlug.cli import _secrets
from topazlug.cli import _table
from topazlug.configuration import _table_snapshot

PROGRAM = "topazlug"
_TABLES = _table_snapshot.TableName
_OUTPUTS = click.Choice([form.value for form in _output.OutputFormat])
_SHELLS = click.Choice(["bash", "zsh", "fish"])


@click.group()
@click.option(
    "--url",
    envvar="TOPAZLUG_URL",
    default="",
    help="URL of a daemon's administration.",
)
@click.option("--token", envvar="TOPAZLUG_TOKEN", default="")
@click.option("--output", type=_OUTPUTS, default="table")
@click.version_option(topazlug.__version__, prog_name=PROGRAM)
@click.pass_context
def main(
    click_context: click.Context, url: str, token: str, output: str
) -> None:
    """Read and edit the table, and inspect the fleet.

    Exit codes: 0 done, 1 failure, 2 usage, 3 conflict, 4 refused,
    5 unreachable, 6 not in force in time, 7 not found, 8 invalid.
    """
    click_context.obj = _context.CommandContext(
        client=_client.ApiClient(url=url, token=token),
        output=_output.OutputFormat(output),
    )


@main.command()
@click.argument("shell", type=_SHELLS)
def completion(shell: str) -> None:
    """Print the completion script for a shell."""
    completion_class = shell_completion.get_completion_class(shell)
    assert completion_class is not None
    script = completion_class(
        main, {}, PROGRAM, f"_{PROGRAM.upper()}_COMPLETE"
    )
    click.echo(script.source())


def _add_groups() -> None:
    for name, singular in (
        (_TABLES.TEAMS, "team"),
        (_TABLES.SERVICES, "service"),
        (_TABLES.POOLS, "pool"),
        (_TABLES.OPERATORS, "operator"),
    ):
        group = _rows.make_group(name, singular)
        main.add_command(group)
        if name is _TABLES.OPERATORS:
            group.add_command(_secrets.add_operator)
            group.add_command(_secrets.renew_operator)
        else:
            _rows.add_add_command(group, name)
        if name is _TABLES.TEAMS:
            group.add_command(_secrets.key)


def _add_commands() -> None:
    for command in (
        _table.export_table,
        _table.import_table,
        _table.history,
        _table.undo,
        _fleet.status,
        _fleet.top,
        _fleet.config,
        _fleet.drain,
        _fleet.undrain,
        _fleet.explain,
        _blocked.blocked,
        _blocked.release,
        _request_logs.explain_request,
        _request_logs.why_failed,
    ):
        main.add_command(command)


_add_groups()
_add_commands()
