"""Deletes expired claims.

One daemon of the fleet is the sweeper. While the views of the membership
differ, two daemons may sweep. This costs reads but does no harm, as each
delete is conditional on the version that was read.
"""

from collections.abc import Callable
from collections.abc import Collection
import datetime
import hashlib
from typing import final

import logbook

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.claims import _claim_rows
from topazlug.store import _table_client

PAGE_ROWS = 500
PAGE_INTERVAL_SECONDS = 1.0
MAX_BATCH_ROWS = 64
# The clocks of daemons differ, and a write sent before `expires` may take
# effect late. If a row were deleted too early, the key could be claimed again
# while its first holder may still send.
EXPIRY_MARGIN = datetime.timedelta(hours=1)

_LOG = logbook.Logger("topazlug.claims")


@final
class ClaimSweeper:
    """Scans the claims table, one page at a time.

    Parameters
    ----------
    store : TableStore
        The table service.
    clock : Clock
        Determines which claims have expired, and times the scan.
    daemon_id : DaemonId
        This daemon.
    usable : callable
        Returns the ids of the daemons that are up, including this one.
    page_interval : float
        Seconds between two pages.
    """

    def __init__(
        self,
        *,
        store: _table_client.TableStore,
        clock: _clock.Clock,
        daemon_id: _ids.DaemonId,
        usable: Callable[[], Collection[_ids.DaemonId]],
        page_interval: float = PAGE_INTERVAL_SECONDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._daemon_id = daemon_id
        self._usable = usable
        self._page_interval = page_interval
        self._after = ""
        self.deleted = 0

    def run(self) -> None:
        """Sweep until the greenlet is killed."""
        while True:
            self._clock.sleep(self._page_interval)
            if choose_sweeper(self._usable()) == self._daemon_id:
                self.sweep_page()

    def sweep_page(self) -> None:
        """Delete the expired claims on the next page of the table."""
        try:
            page = self._store.scan(
                _claim_rows.TABLE, after=self._after, limit=PAGE_ROWS
            )
        except _errors.StoreUnavailable:
            return
        expired = [row for row in page.rows if self._has_expired(row)]
        for start in range(0, len(expired), MAX_BATCH_ROWS):
            self._delete(expired[start : start + MAX_BATCH_ROWS])
        self._after = page.rows[-1].key if page.more else ""

    def _has_expired(self, row: _table_client.Row) -> bool:
        claim = _claim_rows.parse_row(row.value)
        if claim is None:
            return False
        return claim.expires + EXPIRY_MARGIN < self._clock.now()

    def _delete(self, rows: list[_table_client.Row]) -> None:
        try:
            self._store.transact(
                conditions=[_unchanged(row) for row in rows],
                puts=[],
                deletes=[_deletion(row) for row in rows],
            )
        except (
            _table_client.TransactionConflict,
            _errors.StoreUnavailable,
            _errors.StoreAmbiguous,
        ) as error:
            # The next scan finds the rows that are still there.
            _LOG.info("deleting expired claims failed: {}", error)
            return
        self.deleted += len(rows)


def choose_sweeper(
    daemon_ids: Collection[_ids.DaemonId],
) -> _ids.DaemonId | None:
    """Return the daemon with the highest hash; None if there is none."""
    return max(daemon_ids, key=_rank, default=None)


def _rank(daemon_id: _ids.DaemonId) -> bytes:
    return hashlib.sha256(b"claim-sweeper/" + daemon_id.encode()).digest()


def _unchanged(row: _table_client.Row) -> _table_client.Condition:
    return _table_client.Condition(
        table=row.table, key=row.key, version=row.version
    )


def _deletion(row: _table_client.Row) -> _table_client.Delete:
    return _table_client.Delete(table=row.table, key=row.key)
