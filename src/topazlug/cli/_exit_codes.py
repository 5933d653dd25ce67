"""Exit codes of ``topazlug``; a released code never changes its meaning."""

import enum
from typing import IO
from typing import final

import click

from topazlug import _errors


class ExitCode(enum.IntEnum):
    """Exit codes of the program."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7
    INVALID = 8


EXIT_CODE_BY_ERROR = {
    _errors.Code.ROW_CONFLICT: ExitCode.CONFLICT,
    _errors.Code.FORBIDDEN: ExitCode.REFUSED,
    _errors.Code.BAD_TOKEN: ExitCode.REFUSED,
    _errors.Code.STORE_UNAVAILABLE: ExitCode.UNREACHABLE,
    _errors.Code.STORE_CONFLICT: ExitCode.UNREACHABLE,
    _errors.Code.NOT_READY: ExitCode.UNREACHABLE,
    _errors.Code.ROW_NOT_FOUND: ExitCode.NOT_FOUND,
    _errors.Code.NOT_BLOCKED: ExitCode.NOT_FOUND,
    _errors.Code.UNKNOWN_PATH: ExitCode.NOT_FOUND,
    _errors.Code.UNKNOWN_MODEL: ExitCode.NOT_FOUND,
    _errors.Code.ROW_INVALID: ExitCode.INVALID,
    _errors.Code.BAD_BODY: ExitCode.INVALID,
    _errors.Code.BODY_TOO_LARGE: ExitCode.INVALID,
    _errors.Code.KEY_REUSED: ExitCode.INVALID,
    _errors.Code.BAD_HEADER: ExitCode.USAGE,
}


@final
class CommandFailed(click.ClickException):
    """Ends the program with a message and no traceback.

    Parameters
    ----------
    message : str
        The error and its remedy.
    exit_code : ExitCode
        Exit code of the program.
    """

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = int(exit_code)  # type: ignore[misc]

    def show(self, file: IO[str] | None = None) -> None:
        """Write the message to standard error."""
        click.echo(f"topazlug: {self.format_message()}", err=True)
