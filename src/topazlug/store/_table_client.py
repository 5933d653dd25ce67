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
_REJECTED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


@final
class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Current state of a row; absent if `version` is 0 and `value` None.

    Attributes
    ----------
    table, key : str
        Table and key of the row.
    version : int
        Starts at 1 and increases by one with each write.
    value : dict or None
        The stored JSON object.
    """

    table: str
    key: str
    version: int
    value: dict[str, Any] | None


@final
class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """Requires that a row has `version`; `ABSENT` if it must not exist."""

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
    """Deletes a row."""

    table: str
    key: str


@final
class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Some rows in key order; `more` is true if others follow."""

    rows: list[Row]
    more: bool


@final
class TransactionConflict(_errors.TopazlugError):
    """A condition was not met, so nothing was written.

    Parameters
    ----------
    failed : list of Row
        Current state of the rows whose conditions failed.
    """

    code = _errors.Code.STORE_CONFLICT
    status = HTTPStatus.CONFLICT

    def __init__(self, failed: list[Row]) -> None:
        names = ", ".join(f"{row.table}/{row.key}" for row in failed)
        super().__init__(f"rows changed meanwhile: {names}; read them again")
        self.failed = failed


class TableStore(Protocol):
    """Operations of the table service."""

    def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises
        ------
        StoreUnavailable
            The row could not be read.
        """

    def scan(
        self,
        table: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = DEFAULT_LIMIT,
    ) -> Page:
        """Return rows in key order, from the first key after `after`.

        Raises
        ------
        StoreUnavailable
            The rows could not be read.
        """

    def transact(
        self,
        *,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        deletes: Sequence[Delete] = (),
    ) -> dict[str, int]:
        """Write atomically; return the new versions by ``table/key``.

        Raises
        ------
        TransactionConflict
            A condition failed, so nothing was written.
        StoreUnavailable
            The service was unreachable or rejected the request, so nothing
            was written.
        StoreAmbiguous
            The answer was lost: the write may have taken effect or may
            still do so.
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
class _Rejected(msgspec.Struct, frozen=True, kw_only=True):
    committed: Literal[False]
    failed: list[Row]


@final
class TableClient:
    """Table service over HTTP; each request is sent at most once.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float
        Maximum duration of one exchange, in seconds.
    clock : Clock
        Source of wall time, for dates in ``Retry-After``.
    """

    def __init__(
        self, *, host: str, port: int, timeout: float, clock: _clock.Clock
    ) -> None:
        self._http = _platform_http.PlatformHttp(
            host=host, port=port, timeout=timeout, clock=clock
        )

    def read(self, table: str, key: str) -> Row | None:
        """Return a row; see `TableStore.read`."""
        answer = self._get(f"/table/rows/{_quote(table)}/{_quote(key)}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_read(answer, Row)

    def scan(
        self,
        table: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = DEFAULT_LIMIT,
    ) -> Page:
        """Return rows in key order; see `TableStore.scan`."""
        parameters = {"prefix": prefix, "after": after, "limit": str(limit)}
        query = parse.urlencode(parameters, quote_via=parse.quote, safe="")
        answer = self._get(f"/table/rows/{_quote(table)}?{query}")
        return _decode_read(answer, Page)

    def transact(
        self,
        *,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        deletes: Sequence[Delete] = (),
    ) -> dict[str, int]:
        """Write atomically; see `TableStore.transact`."""
        transaction = _Transaction(
            conditions=conditions, puts=puts, deletes=deletes
        )
        body = msgspec.json.encode(transaction)
        answer = self._http.call("POST", "/table/transact", body=body)
        if answer.status in _REJECTED:
            raise _platform_http.unavailable(answer)
        if answer.status == HTTPStatus.CONFLICT:
            raise TransactionConflict(_decode_write(answer, _Rejected).failed)
        if answer.status == HTTPStatus.OK:
            return _decode_write(answer, _Committed).versions
        raise _errors.StoreAmbiguous(
            f"table service answered {answer.status} to a transaction"
        )

    def close(self) -> None:
        """Close the idle connections; later calls fail."""
        self._http.close()

    def _get(self, target: str) -> _platform_http.PlatformAnswer:
        try:
            return self._http.call("GET", target)
        except _errors.StoreAmbiguous as error:
            raise _read_failure(error.message) from error


def _quote(name: str) -> str:
    return parse.quote(name, safe="")


def _read_failure(why: str) -> _errors.StoreUnavailable:
    return _errors.StoreUnavailable(
        why, retry_after=_platform_http.DEFAULT_RETRY_AFTER
    )


def _decode_read(answer: _platform_http.PlatformAnswer, kind: type[_T]) -> _T:
    if answer.status != HTTPStatus.OK:
        raise _platform_http.unavailable(answer)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise _read_failure(
            f"invalid answer of the table service: {error}"
        ) from error


# An intermediary may answer 200 or 409 with a page of its own. If that were
# taken for the service's answer, a write that never happened would count as
# successful, and a request would run twice or never. After an ambiguous write,
# callers read the row to find out whether it was written.
def _decode_write(answer: _platform_http.PlatformAnswer, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise _errors.StoreAmbiguous(
            f"table service answered {answer.status} without a valid result: "
            f"{error}"
        ) from error
