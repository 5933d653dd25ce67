"""What all commands share: the client, the output, options of edits."""

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
    """What the options before the command said."""

    client: _client.ApiClient
    output: _output.OutputFormat

    @property
    def is_table(self) -> bool:
        """Return whether people read the result."""
        return self.output is _output.OutputFormat.TABLE

    def write(self, value: Any, rows: list[Any] | None = None) -> None:
        """Write a result in the format asked for."""
        _output.write(value, output=self.output, rows=rows)


@final
class EditOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options that all edits have."""

    reason: str
    edit_id: str
    wait: float

    def edit(self, etag: str = "") -> _client.Edit:
        """Return the edit's headers."""
        return _client.Edit(
            reason=self.reason, edit_id=self.edit_id, etag=etag
        )


def pass_context(command: Callable[..., None]) -> Callable[..., None]:
    """Hand the context to a command and show refusals without traceback."""

    @functools.wraps(command)
    @click.pass_obj
    def run(context: CommandContext, *args: Any, **options: Any) -> None:
        try:
            command(context, *args, **options)
        except _client.ApiFailed as failure:
            raise _client.shown_failure(failure) from failure

    return run


def edit_options(command: Callable[..., None]) -> Callable[..., None]:
    """Return a command the options of edits."""

    @click.option("--reason", default="", help="Goes into the history.")
    @click.option(
        "--edit-id", default="", help="Repeats an edit whose answer was lost."
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
        made = EditOptions(reason=reason, edit_id=edit_id, wait=wait)
        command(*args, edit_options=made, **options)

    return run


def report_edit(
    context: CommandContext, result: dict[str, Any], options: EditOptions
) -> None:
    """Show an accepted edit and wait for it if asked to."""
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
        It is not within the time.
    """
    end = time.monotonic() + seconds
    while True:
        status: dict[str, Any] = context.client.get(
            "/v1/config/status", revision=str(revision)
        )
        if status["in_force"]:
            return status
        if time.monotonic() >= end:
            behind = ", ".join(status["behind"]) or "the daemon asked"
            raise _exit_codes.CommandFailed(
                f"revision {revision} is accepted, but after {seconds:g} s not"
                f" in force on: {behind}",
                _exit_codes.ExitCode.NOT_IN_FORCE,
            )
        gevent.sleep(POLL_INTERVAL)
