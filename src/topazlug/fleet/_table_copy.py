"""A copy of one table, and the last changes that led to it."""

import collections
from collections.abc import Sequence
from typing import final

from topazlug import _errors
from topazlug.fleet import _table_source

# Changes that are kept for daemons that read this copy. One that lags more
# gets the whole table.
KEPT_CHANGES = 500


@final
class TableCopy:
    """The rows of one table, whole and never older than they were.

    Parameters
    ----------
    table : str
        Its name.

    Attributes
    ----------
    version : int
        Version of the store that the copy is of.
    data_by_key : dict
        What the rows hold.
    """

    def __init__(self, table: str) -> None:
        self._table = table
        self.version = 0
        self.data_by_key: dict[str, bytes] = {}
        self._kept: collections.deque[tuple[int, _table_source.Row]]
        self._kept = collections.deque(maxlen=KEPT_CHANGES)
        self._kept_after = 0

    def replace(self, answer: _table_source.TableChanges) -> None:
        """Take all rows of the table.

        After the store has lost its history it may for a while serve reads
        from seconds ago. Taken over, they would bring back replicas that
        have left and keys that were taken away.

        Raises
        ------
        StoreUnavailable
            They are older than the copy.
        """
        if answer.version < self.version:
            raise _errors.StoreUnavailable(
                f"the copy of {self._table!r} is of version "
                f"{answer.version}, older than {self.version}"
            )
        self.version = answer.version
        self.data_by_key = {row.key: row.data for row in answer.rows}
        self._kept.clear()
        self._kept_after = answer.version

    def apply(self, answer: _table_source.TableChanges) -> None:
        """Take the changes since the version that the copy is of."""
        for row in answer.rows:
            if row.deleted:
                self.data_by_key.pop(row.key, None)
            else:
                self.data_by_key[row.key] = row.data
            self._kept.append((answer.version, row))
        if len(self._kept) == KEPT_CHANGES:
            self._kept_after = self._kept[0][0]
        self.version = max(self.version, answer.version)

    def rows(self) -> list[_table_source.Row]:
        """Give all rows."""
        return [
            _table_source.Row(key, data)
            for key, data in self.data_by_key.items()
        ]

    def since(self, version: int) -> Sequence[_table_source.Row] | None:
        """Give the changes since a version; None if they are not kept."""
        if version < self._kept_after:
            return None
        return [row for at, row in self._kept if at > version]
