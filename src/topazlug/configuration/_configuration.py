"""The operators' table as one daemon holds it.

The whole table has a single revision number. Each revision changes one row,
so a daemon at revision N can apply only the change N+1 next. The revision in
force never decreases: older changes are ignored, and a revision that can't be
decoded is rejected while the last valid one stays in force.
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

NO_REVISION = _ids.Revision(-1)
TableName: TypeAlias = _table_snapshot.TableName
TableSnapshot: TypeAlias = _table_snapshot.TableSnapshot
_LOG = logbook.Logger("topazlug.configuration")


class ApplyResult(enum.Enum):
    """Outcome of applying changes to the table."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"
    UNREADABLE = "unreadable"


@final
class ConfigurationHolder:
    """Holds the revision in force, which only ever increases.

    Attributes
    ----------
    rejected_count : int
        Revisions rejected since the process started because a row could not
        be decoded; a revision counts each time it is received.
    rejected_revision : Revision
        The last revision rejected, `NO_REVISION` if none was.
    """

    def __init__(self) -> None:
        self._current: TableSnapshot | None = None
        self._callbacks: list[Callable[[], None]] = []
        self.rejected_revision = NO_REVISION
        self.rejected_count = 0

    @property
    def current(self) -> TableSnapshot | None:
        """Return the snapshot in force, None if there is none yet."""
        return self._current

    @property
    def revision(self) -> _ids.Revision:
        """Return the revision in force, `NO_REVISION` if there is none."""
        if self._current is None:
            return NO_REVISION
        return self._current.revision

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback to run after each change; it must not block."""
        self._callbacks.append(callback)

    @property
    def is_newer_revision_rejected(self) -> bool:
        """Return whether a newer revision was rejected as undecodable."""
        return self.rejected_revision > self.revision

    def apply(self, changes: Iterable[messages.RowChange]) -> ApplyResult:
        """Apply the changes that follow the revision in force.

        Parameters
        ----------
        changes : Iterable[RowChange]
            Changes in any order; older ones are ignored.

        Returns
        -------
        ApplyResult
            `APPLIED` if all changes are in force, `OLD` if none was newer
            than the revision in force, `GAP` if a revision in between is
            missing, `UNREADABLE` if a row can't be decoded. Changes before
            a gap or an undecodable row are applied in any case.
        """
        newer = sorted(
            (c for c in changes if c.revision > self.revision),
            key=lambda change: change.revision,
        )
        if not newer:
            return ApplyResult.OLD
        if self._current is None:
            return ApplyResult.GAP
        draft = _table_draft.TableDraft(self._current)
        revision, result = self._draft_changes(draft, newer)
        if revision > self.revision:
            self._activate(draft.build_snapshot(revision))
        return result

    def _draft_changes(
        self,
        draft: _table_draft.TableDraft,
        newer: Sequence[messages.RowChange],
    ) -> tuple[int, ApplyResult]:
        revision = int(self.revision)
        for change in newer:
            if change.revision == revision:
                continue
            if change.revision != revision + 1:
                return revision, ApplyResult.GAP
            try:
                draft.apply(change)
            except _table_errors.RowInvalid as error:
                self._reject(change.revision, error)
                return revision, ApplyResult.UNREADABLE
            revision = change.revision
        return revision, ApplyResult.APPLIED

    def apply_full_table(
        self, *, revision: int, rows: Iterable[messages.RowChange]
    ) -> ApplyResult:
        """Replace the table if the given one has a higher revision.

        Parameters
        ----------
        revision : int
            Revision of the table that the rows are from.
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
                draft.apply(row)
        except _table_errors.RowInvalid as error:
            self._reject(revision, error)
            return ApplyResult.UNREADABLE
        self._activate(draft.build_snapshot(revision))
        return ApplyResult.APPLIED

    def _activate(self, snapshot: TableSnapshot) -> None:
        self._current = snapshot
        for callback in self._callbacks:
            try:
                callback()
            except Exception:
                # Otherwise, one failing callback would prevent the later
                # ones from running, and their components would go on
                # applying limits that are no longer in force.
                _LOG.exception("table change callback failed: {}", callback)

    def _reject(self, revision: int, error: _errors.TopazlugError) -> None:
        # If an undecodable row were skipped, daemons would differ without
        # anyone noticing. Rejecting the revision keeps the last valid one in
        # force, and the count and the log show it. Each poll reads the same
        # revision again, so it is logged only once.
        self.rejected_count += 1
        if revision == self.rejected_revision:
            return
        self.rejected_revision = _ids.Revision(revision)
        _LOG.error(
            "revision {} rejected, {} stays in force: {}",
            revision,
            self.revision,
            error.message,
        )
