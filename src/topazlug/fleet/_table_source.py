"""Interfaces for reading and writing tables of the platform's store."""

from collections.abc import Sequence
from typing import Protocol
from typing import final

import msgspec

from topazlug import _errors

# A call that waits for changes times out this long after its wait if no answer
# has begun. The answer itself may take longer, as a change of many routes does
# on a link of 5 Mbit/s, but may not pause for longer than this.
ANSWER_SLACK_SECONDS = 0.6


@final
class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row, or the marker that it was deleted.

    Attributes
    ----------
    key : str
        Unique in its table.
    data : bytes
        Its content.
    deleted : bool
        Whether it was deleted.
    """

    key: str
    data: bytes = b""
    deleted: bool = False


@final
class TableChanges(msgspec.Struct, frozen=True):
    """All rows of a table, or those changed up to a version.

    Attributes
    ----------
    version : int
        Version of the store after these changes.
    rows : sequence of Row
        In the order of their changes.
    whole : bool
        Whether these are all rows of the table although only changes were
        requested.
    relayed : bool
        Whether they came from another daemon instead of the store.
    age : float
        Seconds since the last answer of the store on which these rows are
        based.
    seconds_since_failure : float or None
        Seconds since the start of the last failed call to the store, if
        this is the first answer after it.
    """

    version: int
    rows: Sequence[Row]
    whole: bool = False
    relayed: bool = False
    age: float = 0.0
    seconds_since_failure: float | None = None


@final
class HistoryLost(_errors.TopazlugError):
    """The store no longer has the changes since a version."""

    code = _errors.Code.STORE_UNAVAILABLE


@final
class RowExists(_errors.TopazlugError):
    """A row that must be new already exists."""

    code = _errors.Code.STORE_CONFLICT


class TableSource(Protocol):
    """A source of tables."""

    def rows(self, table: str) -> TableChanges:
        """Read all rows; raise StoreUnavailable without an answer."""

    def changes(self, table: str, *, after: int, wait: float) -> TableChanges:
        """Wait for changes after a version.

        Raises
        ------
        HistoryLost
            The changes are no longer available.
        StoreUnavailable
            No answer began within `ANSWER_SLACK_SECONDS` after the wait, or
            it stopped for as long.
        """


class RelayedSource(Protocol):
    """A source that reads tables from other daemons or from the store."""

    def rows(self, table: str) -> TableChanges:
        """Read all rows; raise StoreUnavailable without an answer."""

    def changes(
        self, table: str, *, after: int, wait: float, age: float
    ) -> TableChanges:
        """Wait for changes after a version; see `TableSource`.

        Parameters
        ----------
        table : str
            The table.
        after : int
            The version.
        wait : float
            Maximum wait in seconds.
        age : float
            Age of the caller's copy in seconds. A daemon whose copy is
            clearly newer answers at once.
        """

    def is_store_due(self) -> bool:
        """Return whether the store may be called again after a failed call."""

    def changes_now(self, table: str, *, after: int) -> TableChanges:
        """Read changes from the store directly, without waiting for some.

        Raises
        ------
        StoreUnavailable
            No complete answer arrived.
        """


class TableStore(TableSource, Protocol):
    """The platform's store."""

    def write(
        self, table: str, rows: Sequence[Row], *, new: Sequence[str] = ()
    ) -> None:
        """Write rows atomically.

        Parameters
        ----------
        table : str
            Their table.
        rows : sequence of Row
            The rows; those that are marked as deleted are deleted.
        new : sequence of str
            Keys that must not exist yet.

        Raises
        ------
        RowExists
            A key in `new` already exists.
        StoreUnavailable
            No complete answer arrived; the rows may have been written.
        """
