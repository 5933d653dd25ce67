"""Errors of reading and editing the operators' table."""

from http import HTTPStatus
from typing import Any
from typing import final

from topazlug import _errors


@final
class RowInvalid(_errors.TopazlugError):
    """A row that can't be decoded, or that breaks a check."""

    code = _errors.Code.ROW_INVALID
    status = HTTPStatus.UNPROCESSABLE_ENTITY


@final
class RowNotFound(_errors.TopazlugError):
    """The table has no such row or revision."""

    code = _errors.Code.ROW_NOT_FOUND
    status = HTTPStatus.NOT_FOUND


@final
class RowConflict(_errors.TopazlugError):
    """The row was changed by another edit since it was read.

    Parameters
    ----------
    message : str
        The row, and the remedy.
    mine : dict or None
        The row that this edit would write; None to remove it.
    current : dict or None
        The row in the table; None if it was removed.
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
    """An edit of an existing row without the ETag it is based on."""

    code = _errors.Code.BAD_HEADER
    status = HTTPStatus.PRECONDITION_REQUIRED


@final
class EditIdReused(_errors.TopazlugError):
    """The edit id was already used by another edit."""

    code = _errors.Code.KEY_REUSED
    status = HTTPStatus.UNPROCESSABLE_ENTITY


@final
class EditContention(_errors.TopazlugError):
    """Every attempt lost against a concurrent edit; nothing was changed."""

    code = _errors.Code.STORE_CONFLICT
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class TableInconsistent(_errors.TopazlugError):
    """The store's answers do not belong to a single revision."""

    code = _errors.Code.STORE_CONFLICT
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class BadToken(_errors.TopazlugError):
    """No operator has the token."""

    code = _errors.Code.BAD_TOKEN
    status = HTTPStatus.UNAUTHORIZED
