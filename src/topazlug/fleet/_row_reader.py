"""Decodes the rows of a table to which others may write invalid data."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _logs

_log = _logs.logger("store")
# An invalid row is logged once per interval, also if it is replaced by other
# invalid data, and at most this many rows of a table in one interval.
_LOG_INTERVAL_SECONDS = 30.0
_MAX_LOGGED_ROWS = 20

ValueT = TypeVar("ValueT")


class _DecodedRow(msgspec.Struct, Generic[ValueT], frozen=True):
    data: bytes
    # None if the data is invalid.
    value: ValueT | None


@final
class RowReader(Generic[ValueT]):
    """Decodes the rows of a table independently of each other.

    An invalid row is logged and left out. Otherwise a single invalid row
    would prevent the whole table from being read for as long as it exists.
    A row that has not changed is not decoded again.

    Parameters
    ----------
    name : str
        The table's name.
    decode : callable
        Returns the value for a key and its data.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        name: str,
        decode: Callable[[str, bytes], ValueT],
        clock: _clock.Clock,
    ) -> None:
        self._name = name
        self._decode = decode
        self._clock = clock
        self._row_by_key: dict[str, _DecodedRow[ValueT]] = {}
        self._logged_at_by_key: dict[str, float] = {}

    def read(self, data_by_key: Mapping[str, bytes]) -> list[ValueT]:
        """Return the values of all valid rows."""
        before = self._row_by_key
        self._row_by_key = {
            key: self._decode_row(key, data, before.get(key))
            for key, data in data_by_key.items()
        }
        values = [row.value for row in self._row_by_key.values()]
        return [value for value in values if value is not None]

    def _decode_row(
        self, key: str, data: bytes, before: _DecodedRow[ValueT] | None
    ) -> _DecodedRow[ValueT]:
        if before is not None and before.data == data:
            return before
        try:
            return _DecodedRow(data, self._decode(key, data))
        except Exception as error:
            # Other writers may store any data, so any error can occur.
            self._log_error(key, error)
            return _DecodedRow(data, None)

    def _log_error(self, key: str, error: Exception) -> None:
        now = self._clock.monotonic()
        logged_at = self._logged_at_by_key
        for logged_key, at in list(logged_at.items()):
            if now - at > _LOG_INTERVAL_SECONDS:
                del logged_at[logged_key]
        if key in logged_at or len(logged_at) >= _MAX_LOGGED_ROWS:
            return
        logged_at[key] = now
        _log.error(
            "invalid row {key} of {table} ignored: {why}",
            key=key[:80],
            table=self._name,
            why=str(error)[:200],
            kind=type(error).__name__,
        )
