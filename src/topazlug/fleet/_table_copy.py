"""A copy of one table with its most recent changes."""

import collections
from collections.abc import Sequence
from typing import final

from topazlug import _errors
from topazlug.fleet import _table_source

# Number of changes kept for daemons that read this copy. A daemon that lags
# further behind receives the whole table.
MAX_KEPT_CHANGES = 500


@final
class TableCopy:
    """All rows of one table; never replaced by those of an older version.

    Parameters
    ----------
    table : str
        Its name.

    Attributes
    ----------
    version : int
        Version of the store to which the copy corresponds.
    data_by_key : dict
        Data of the rows.
    """

    def __init__(self, table: str) -> None:
        self._table = table
        self.version = 0
        self.data_by_key: dict[str, bytes] = {}
        self._kept: collections.deque[tuple[int, _table_source.Row]]
        self._kept = collections.deque(maxlen=MAX_KEPT_CHANGES)
        self._kept_after = 0

    def replace(self, answer: _table_source.TableChanges) -> None:
        """Replace all rows of the table.

        After the store has lost its history it may serve reads that are some
        seconds old. Applying them would restore replicas that have left and
        keys that were revoked.

        Raises
        ------
        StoreUnavailable
            The rows are older than the copy.
        """
        if answer.version < self.version:
            raise _errors.StoreUnavailable(
                f"store returned {self._table!r} at version "
                f"{answer.version}, older than the copy's {self.version}"
            )
        self.version = answer.version
        self.data_by_key = {row.key: row.data for row in answer.rows}
        self._kept.clear()
        self._kept_after = answer.version

    def apply(self, answer: _table_source.TableChanges) -> None:
        """Apply the changes since the version of the copy."""
        for row in answer.rows:
            if row.deleted:
                self.data_by_key.pop(row.key, None)
            else:
                self.data_by_key[row.key] = row.data
            self._kept.append((answer.version, row))
        if len(self._kept) == MAX_KEPT_CHANGES:
            self._kept_after = self._kept[0][0]
        self.version = max(self.version, answer.version)

    def rows(self) -> list[_table_source.Row]:
        """Return all rows."""
        return [
            _table_source.Row(key, data)
            for key, data in self.data_by_key.items()
        ]

    def since(self, version: int) -> Sequence[_table_source.Row] | None:
        """Return the changes since a version, None if no longer kept."""
        if version < self._kept_after:
            return None
        return [row for at, row in self._kept if at > version]
