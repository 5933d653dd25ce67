"""Shared parts of the commands: client, output format, edit options."""

import functools
import time
from typing import Any
from typing import Callable
from typing import final

import click
import gevent
import msgspec

from topazlug.cli import _client
from topazlug.cli import _exit_codes
from topazlug.cli import _output

POLL_INTERVAL = 0.2


@final
class CommandContext(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the options that precede the command."""

    client: _client.ApiClient
    output: _output.OutputFormat

    @property
    def is_table(self) -> bool:
        """Return whether the result is shown as a table."""
        return self.output is _output.OutputFormat.TABLE

    def write(self, value: Any, rows: list[Any] | None = None) -> None:
        """Write a result in the selected format."""
        _output.write(value, output=self.output, rows=rows)


@final
class EditOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the options that all edits have."""

    reason: str
    edit_id: str
    wait: float

    def edit(self, etag: str = "") -> _client.Edit:
        """Return the values that are sent as headers of an edit."""
        return _client.Edit(
            reason=self.reason, edit_id=self.edit_id, etag=etag
        )


def pass_context(command: Callable[..., None]) -> Callable[..., None]:
    """Pass the context to a command and turn API errors into messages."""

    @functools.wraps(command)
    @click.pass_obj
    def run(context: CommandContext, *args: Any, **options: Any) -> None:
        try:
            command(context, *args, **options)
        except _client.ApiFailed as failure:
            raise _client.to_command_error(failure) from failure

    return run


def edit_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of edits to a command."""

    @click.option(
        "--reason", default="", help="Reason, stored in the history."
    )
    @click.option(
        "--edit-id",
        default="",
        help="Id of an edit to repeat if its answer was lost.",
    )
    @click.option(
        "--wait",
        default=0.0,
        metavar="SECONDS",
        help="Wait until the edit is in force on all daemons.",
    )
    @functools.wraps(command)
    def run(
        *args: Any, reason: str, edit_id: str, wait: float, **options: Any
    ) -> None:
        parsed = EditOptions(reason=reason, edit_id=edit_id, wait=wait)
        command(*args, edit_options=parsed, **options)

    return run


def report_edit(
    context: CommandContext, result: dict[str, Any], options: EditOptions
) -> None:
    """Show an accepted edit; with ``--wait``, wait until it is in force."""
    for finding in result.get("findings", ()):
        click.echo(f"warning: {finding['message']}", err=True)
    shown: dict[str, Any] = {
        "revision": result["revision"],
        "edit_id": result["edit_id"],
        "repeated": result["repeated"],
    }
    if options.wait:
        wait_in_force(
            context, revision=result["revision"], seconds=options.wait
        )
        shown["in_force"] = True
    context.write(shown)


def wait_in_force(
    context: CommandContext, *, revision: int, seconds: float
) -> dict[str, Any]:
    """Wait until a revision is in force on every daemon.

    Raises
    ------
    CommandFailed
        The revision is not in force everywhere within the time.
    """
    deadline = time.monotonic() + seconds
    while True:
        status: dict[str, Any] = context.client.get(
            "/v1/config/status", revision=str(revision)
        )
        if status["in_force"]:
            return status
        if time.monotonic() >= deadline:
            behind = ", ".join(status["behind"]) or "the daemon called"
            raise _exit_codes.CommandFailed(
                f"revision {revision} was accepted, but after {seconds:g} s is"
                f" not in force on: {behind}",
                _exit_codes.ExitCode.NOT_IN_FORCE,
            )
        gevent.sleep(POLL_INTERVAL)
