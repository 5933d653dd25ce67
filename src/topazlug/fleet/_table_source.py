"""Tables of the platform's store, as the forwarding daemon reads them."""

from collections.abc import Sequence
from typing import Protocol
from typing import final

import msgspec

from topazlug import _errors

# An answer to a call that waits for changes comes at most so much later than
# the call was asked to wait; after that it is given up.
ANSWER_SLACK_SECONDS = 0.6


@final
class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row, or word that it was dropped.

    Attributes
    ----------
    key : str
        Unique in its table.
    data : bytes
        What it holds.
    deleted : bool
        Whether it is gone.
    """

    key: str
    data: bytes = b""
    deleted: bool = False


@final
class TableChanges(msgspec.Struct, frozen=True):
    """Rows of a table, or those that changed, up to a version.

    Attributes
    ----------
    version : int
        Version of the store that the rows lead to.
    rows : sequence of Row
        In the order of their changes.
    whole : bool
        Whether these are all rows of the table, though changes were asked
        for.
    relayed : bool
        Whether another daemon told them, and not the store.
    age : float
        Seconds since the store's last word that the one who told them knew
        of.
    lost_since : float or None
        Seconds since the last failed call to the store began, if this is
        the first answer after it.
    """

    version: int
    rows: Sequence[Row]
    whole: bool = False
    relayed: bool = False
    age: float = 0.0
    lost_since: float | None = None


@final
class HistoryLost(_errors.TopazlugError):
    """The changes since a version are gone; the table is read whole."""

    code = _errors.Code.STORE_UNAVAILABLE


@final
class RowExists(_errors.TopazlugError):
    """A row that was to be new is there already."""

    code = _errors.Code.STORE_CONFLICT


class TableSource(Protocol):
    """Where a table is read."""

    def rows(self, table: str) -> TableChanges:
        """Read all rows; raises StoreUnavailable."""

    def changes(self, table: str, *, after: int, wait: float) -> TableChanges:
        """Wait for changes after a version.

        Raises
        ------
        HistoryLost
            They are not known any more.
        StoreUnavailable
            There is no whole answer `ANSWER_SLACK_SECONDS` after the wait.
        """


class RelayedSource(Protocol):
    """Where a table is read at other daemons, or at the store."""

    def rows(self, table: str) -> TableChanges:
        """Read all rows; raises StoreUnavailable."""

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
            Longest wait in seconds.
        age : float
            Seconds since the store's last word that is known of. Another
            daemon that knows of a later one says so at once.
        """

    def is_worth_asking(self) -> bool:
        """Say whether the store has not turned this daemon away just now."""

    def changes_now(self, table: str, *, after: int) -> TableChanges:
        """Ask the store itself for changes, without a wait for news.

        Raises
        ------
        StoreUnavailable
            There is no whole answer.
        """


class TableStore(TableSource, Protocol):
    """The platform's store itself."""

    def write(
        self, table: str, rows: Sequence[Row], *, new: Sequence[str] = ()
    ) -> None:
        """Write rows at once, all or none.

        Parameters
        ----------
        table : str
            Their table.
        rows : sequence of Row
            The rows; those that are marked as deleted are dropped.
        new : sequence of str
            Keys that must not exist yet.

        Raises
        ------
        RowExists
            One of `new` does.
        StoreUnavailable
            There is no whole answer; it may have been written.
        """
