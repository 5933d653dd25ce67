"""The operators' table as one daemon holds it.

The table has one growing revision. Each revision changes one row, so a
daemon that holds revision N needs exactly the change N+1 next. Nothing here
ever goes back: what is older than the revision in force is ignored, and what
can't be read is refused while the last good revision stays in force.
"""

import enum
from typing import Callable
from typing import Iterable
from typing import Sequence
from typing import TypeAlias
from typing import final

import logbook

from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.configuration import _table_draft
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot

NOTHING_HELD = _ids.Revision(-1)
TableName: TypeAlias = _table_snapshot.TableName
TableSnapshot: TypeAlias = _table_snapshot.TableSnapshot
_LOG = logbook.Logger("topazlug.configuration")


class ApplyResult(enum.Enum):
    """What became of changes that were given to a holder."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"
    UNREADABLE = "unreadable"


@final
class ConfigurationHolder:
    """Holds the revision in force and lets it grow only.

    Attributes
    ----------
    refused_count : int
        Refusals since the start because a row can't be read.
    refused_revision : Revision
        The last revision refused, `NOTHING_HELD` when none was.
    """

    def __init__(self) -> None:
        self._current: TableSnapshot | None = None
        self._callbacks: list[Callable[[], None]] = []
        self.refused_revision = NOTHING_HELD
        self.refused_count = 0

    @property
    def current(self) -> TableSnapshot | None:
        """Give the snapshot in force, None before the first."""
        return self._current

    @property
    def revision(self) -> _ids.Revision:
        """Give the revision in force, `NOTHING_HELD` before the first."""
        if self._current is None:
            return NOTHING_HELD
        return self._current.revision

    def on_change(self, callback: Callable[[], None]) -> None:
        """Have a callback run after each change; it must not block."""
        self._callbacks.append(callback)

    @property
    def is_blocked(self) -> bool:
        """Tell whether the revision that follows can't be read."""
        return self.refused_revision > self.revision

    def apply(self, changes: Iterable[messages.RowChange]) -> ApplyResult:
        """Bring the changes into force that follow the revision held.

        Parameters
        ----------
        changes : Iterable[RowChange]
            Changes in any order; older ones are ignored.

        Returns
        -------
        ApplyResult
            `APPLIED` when all is in force, `OLD` when nothing was news,
            `GAP` when a change between is missing, `UNREADABLE` when a row
            can't be read. Readable changes before a gap or an unreadable
            one are in force in any case.
        """
        news = sorted(
            (c for c in changes if c.revision > self.revision),
            key=lambda change: change.revision,
        )
        if not news:
            return ApplyResult.OLD
        if self._current is None:
            return ApplyResult.GAP
        draft = _table_draft.TableDraft(self._current)
        revision, result = self._draft_changes(draft, news)
        if revision > self.revision:
            self._bring_into_force(draft.finished(revision))
        return result

    def _draft_changes(
        self,
        draft: _table_draft.TableDraft,
        news: Sequence[messages.RowChange],
    ) -> tuple[int, ApplyResult]:
        revision = int(self.revision)
        for change in news:
            if change.revision == revision:
                continue
            if change.revision != revision + 1:
                return revision, ApplyResult.GAP
            try:
                draft.change(change)
            except _table_errors.RowInvalid as error:
                self._refuse(change.revision, error)
                return revision, ApplyResult.UNREADABLE
            revision = change.revision
        return revision, ApplyResult.APPLIED

    def apply_full_table(
        self, *, revision: int, rows: Iterable[messages.RowChange]
    ) -> ApplyResult:
        """Bring a whole table into force if its revision is higher.

        Parameters
        ----------
        revision : int
            Revision that the rows show.
        rows : Iterable[RowChange]
            Every row of every table.
        """
        if revision <= self.revision:
            return ApplyResult.OLD
        draft = _table_draft.TableDraft(
            TableSnapshot(revision=_ids.Revision(revision))
        )
        try:
            for row in rows:
                draft.change(row)
        except _table_errors.RowInvalid as error:
            self._refuse(revision, error)
            return ApplyResult.UNREADABLE
        self._bring_into_force(draft.finished(revision))
        return ApplyResult.APPLIED

    def _bring_into_force(self, snapshot: TableSnapshot) -> None:
        self._current = snapshot
        for callback in self._callbacks:
            try:
                callback()
            except Exception:
                # One reader of the table that fails would keep the others
                # on the old revision: their teams would see a limit that
                # no longer stands. The log names the reader.
                _LOG.exception("a reader of the table failed: {}", callback)

    def _refuse(self, revision: int, error: _errors.TopazlugError) -> None:
        # An unreadable row would otherwise be skipped and the daemons would
        # differ silently. Refusing the revision keeps the last good one, and
        # the count and the log show it. Each poll meets the same revision
        # again, so it is logged once.
        self.refused_count += 1
        if revision == self.refused_revision:
            return
        self.refused_revision = _ids.Revision(revision)
        _LOG.error(
            "revision {} refused, {} stays in force: {}",
            revision,
            self.revision,
            error.message,
        )
