"""Failures of reading and editing the operators' table."""

from http import HTTPStatus
from typing import Any
from typing import final

from topazlug import _errors


@final
class RowInvalid(_errors.TopazlugError):
    """A row of the table that can't be taken."""

    code = _errors.Code.ROW_INVALID
    status = HTTPStatus.UNPROCESSABLE_ENTITY


@final
class RowNotFound(_errors.TopazlugError):
    """The table has no such row or revision."""

    code = _errors.Code.ROW_NOT_FOUND
    status = HTTPStatus.NOT_FOUND


@final
class RowConflict(_errors.TopazlugError):
    """Somebody else changed the row since it was read.

    Parameters
    ----------
    message : str
        Which row, and what helps.
    mine : dict or None
        The row as this edit would have it; None to remove it.
    current : dict or None
        The row as it stands; None when it is gone.
    """

    code = _errors.Code.ROW_CONFLICT
    status = HTTPStatus.CONFLICT

    def __init__(
        self,
        message: str,
        *,
        mine: dict[str, Any] | None,
        current: dict[str, Any] | None,
    ) -> None:
        super().__init__(message)
        self.mine = mine
        self.current = current


@final
class PreconditionMissing(_errors.TopazlugError):
    """An existing row was to be changed without saying which version."""

    code = _errors.Code.BAD_HEADER
    status = HTTPStatus.PRECONDITION_REQUIRED


@final
class EditIdReused(_errors.TopazlugError):
    """The edit id came before with another edit."""

    code = _errors.Code.KEY_REUSED
    status = HTTPStatus.UNPROCESSABLE_ENTITY


@final
class EditContention(_errors.TopazlugError):
    """Other edits came first each time; nothing was changed."""

    code = _errors.Code.STORE_CONFLICT
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class TableInconsistent(_errors.TopazlugError):
    """What the store answered is no one revision of the table."""

    code = _errors.Code.STORE_CONFLICT
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class BadToken(_errors.TopazlugError):
    """No operator holds the token."""

    code = _errors.Code.BAD_TOKEN
    status = HTTPStatus.UNAUTHORIZED
