"""Reads the rows of a table that other writers may have spoilt."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _logs

_log = _logs.logger("store")
# A row that stays as it is, or is spoilt anew again and again, is told of
# once in so many seconds; and of all rows of a table so many times.
_TOLD_AGAIN_SECONDS = 30.0
_TOLD_AT_ONCE = 20

ValueT = TypeVar("ValueT")


class _Read(msgspec.Struct, Generic[ValueT], frozen=True):
    data: bytes
    # None if it can't be read.
    value: ValueT | None


@final
class RowReader(Generic[ValueT]):
    """Decodes a table's rows, each by itself.

    Whatever stands in one row, the others hold: an entry that can't be read
    is left out and told of. Without this, one row of another writer ends the
    reading of the whole table for as long as it stays there.

    A row that has not changed is not decoded again.

    Parameters
    ----------
    name : str
        The table's name.
    decode : callable
        Gives the value of a key and its data.
    clock : Clock
        Time.
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
        self._read_by_key: dict[str, _Read[ValueT]] = {}
        self._told_at_by_key: dict[str, float] = {}

    def read(self, data_by_key: Mapping[str, bytes]) -> list[ValueT]:
        """Give the values of all rows that can be read."""
        before = self._read_by_key
        self._read_by_key = {
            key: self._read_row(key, data, before.get(key))
            for key, data in data_by_key.items()
        }
        values = [one.value for one in self._read_by_key.values()]
        return [value for value in values if value is not None]

    def _read_row(
        self, key: str, data: bytes, before: _Read[ValueT] | None
    ) -> _Read[ValueT]:
        if before is not None and before.data == data:
            return before
        try:
            return _Read(data, self._decode(key, data))
        except Exception as error:
            # Any error: nobody knows what another writer leaves there.
            self._tell(key, error)
            return _Read(data, None)

    def _tell(self, key: str, error: Exception) -> None:
        now = self._clock.monotonic()
        told_at = self._told_at_by_key
        for told, at in list(told_at.items()):
            if now - at > _TOLD_AGAIN_SECONDS:
                del told_at[told]
        if key in told_at or len(told_at) >= _TOLD_AT_ONCE:
            return
        told_at[key] = now
        _log.error(
            "row {key} of {table} is left out: {why}",
            key=key[:80],
            table=self._name,
            why=str(error)[:200],
            kind=type(error).__name__,
        )
