"""Client of the platform's transactional table service."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any
from typing import Final
from typing import Literal
from typing import Protocol
from typing import TypeVar
from typing import final
from urllib import parse

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug.store import _platform_http

ABSENT: Final = 0
DEFAULT_LIMIT = 500
_T = TypeVar("_T")
_REFUSED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


@final
class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row as it stands; `version` 0 with `value` None is an absent one.

    Attributes
    ----------
    table, key : str
        Where the row is.
    version : int
        Grows by one with each write, from 1.
    value : dict or None
        The JSON object kept.
    """

    table: str
    key: str
    version: int
    value: dict[str, Any] | None


@final
class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """Asks that a row be at `version`; `ABSENT` asks that there be none."""

    table: str
    key: str
    version: int


@final
class Put(msgspec.Struct, frozen=True, kw_only=True):
    """Writes a row."""

    table: str
    key: str
    value: dict[str, Any]


@final
class Delete(msgspec.Struct, frozen=True, kw_only=True):
    """Takes a row away."""

    table: str
    key: str


@final
class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Some rows in key order; `more` tells whether others follow."""

    rows: list[Row]
    more: bool


@final
class TransactionConflict(_errors.TopazlugError):
    """A condition did not hold, so nothing was written.

    Parameters
    ----------
    failed : list of Row
        The rows whose conditions failed, as they stand.
    """

    code = _errors.Code.STORE_CONFLICT
    status = HTTPStatus.CONFLICT

    def __init__(self, failed: list[Row]) -> None:
        names = ", ".join(f"{row.table}/{row.key}" for row in failed)
        super().__init__(f"rows changed meanwhile: {names}; read them again")
        self.failed = failed


class TableStore(Protocol):
    """What the program asks of the table service."""

    def read(self, table: str, key: str) -> Row | None:
        """Return a row, None when absent.

        Raises
        ------
        StoreUnavailable
            The row can't be read now.
        """

    def scan(
        self,
        table: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = DEFAULT_LIMIT,
    ) -> Page:
        """Return rows in key order, from the first key past `after`.

        Raises
        ------
        StoreUnavailable
            The rows can't be read now.
        """

    def transact(
        self,
        *,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        deletes: Sequence[Delete] = (),
    ) -> dict[str, int]:
        """Write all or nothing; return the new versions by ``table/key``.

        Raises
        ------
        TransactionConflict
            A condition failed: no effect.
        StoreUnavailable
            Not reached or refused: certainly no effect.
        StoreAmbiguous
            The answer was lost: it may have taken effect, or may still.
        """


@final
class _Transaction(msgspec.Struct, frozen=True, kw_only=True):
    conditions: Sequence[Condition]
    puts: Sequence[Put]
    deletes: Sequence[Delete]


@final
class _Committed(msgspec.Struct, frozen=True, kw_only=True):
    committed: Literal[True]
    versions: dict[str, int]


@final
class _Refused(msgspec.Struct, frozen=True, kw_only=True):
    committed: Literal[False]
    failed: list[Row]


@final
class TableClient:
    """Table service over HTTP; each request goes out once at most.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float
        Longest time in seconds that one exchange takes.
    clock : Clock
        Tells how far away a ``Retry-After`` date is.
    """

    def __init__(
        self, *, host: str, port: int, timeout: float, clock: _clock.Clock
    ) -> None:
        self._http = _platform_http.PlatformHttp(
            host=host, port=port, timeout=timeout, clock=clock
        )

    def read(self, table: str, key: str) -> Row | None:
        """Return a row; see `TableStore.read`."""
        answer = self._read(f"/table/rows/{_quoted(table)}/{_quoted(key)}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _read_value(answer, Row)

    def scan(
        self,
        table: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = DEFAULT_LIMIT,
    ) -> Page:
        """Return rows in key order; see `TableStore.scan`."""
        asked = {"prefix": prefix, "after": after, "limit": str(limit)}
        query = parse.urlencode(asked, quote_via=parse.quote, safe="")
        answer = self._read(f"/table/rows/{_quoted(table)}?{query}")
        return _read_value(answer, Page)

    def transact(
        self,
        *,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        deletes: Sequence[Delete] = (),
    ) -> dict[str, int]:
        """Write all or nothing; see `TableStore.transact`."""
        asked = _Transaction(conditions=conditions, puts=puts, deletes=deletes)
        body = msgspec.json.encode(asked)
        answer = self._http.call("POST", "/table/transact", body=body)
        if answer.status in _REFUSED:
            raise _platform_http.unavailable(answer)
        if answer.status == HTTPStatus.CONFLICT:
            raise TransactionConflict(_written_value(answer, _Refused).failed)
        if answer.status == HTTPStatus.OK:
            return _written_value(answer, _Committed).versions
        raise _errors.StoreAmbiguous(
            f"table service answered {answer.status} to a transaction"
        )

    def close(self) -> None:
        """Close the idle connections; later calls fail."""
        self._http.close()

    def _read(self, target: str) -> _platform_http.PlatformAnswer:
        try:
            return self._http.call("GET", target)
        except _errors.StoreAmbiguous as error:
            raise _unreadable(error.message) from error


def _quoted(name: str) -> str:
    return parse.quote(name, safe="")


def _unreadable(why: str) -> _errors.StoreUnavailable:
    return _errors.StoreUnavailable(
        why, retry_after=_platform_http.DEFAULT_RETRY_AFTER
    )


def _read_value(answer: _platform_http.PlatformAnswer, kind: type[_T]) -> _T:
    if answer.status != HTTPStatus.OK:
        raise _platform_http.unavailable(answer)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise _unreadable(f"table service sent no rows: {error}") from error


# Whatever stands between may answer 200 or 409 with a page of its own.
# Taken for the store's word it would be a write that never was, seen as a
# request that ran twice or never; as ambiguous it is read back.
def _written_value(
    answer: _platform_http.PlatformAnswer, kind: type[_T]
) -> _T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise _errors.StoreAmbiguous(
            f"table service sent {answer.status} with no result: {error}"
        ) from error
