"""Edits of the operators' table, each in one transaction of the store.

An edit is accepted only after the store has committed it. It carries the ETag
of the row that it is based on, so that of two concurrent edits of a row one is
rejected, and a unique id, so that it can be repeated safely.
"""

import random
from typing import Protocol
from typing import Sequence
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug._generated import messages
from topazlug.configuration import _configuration
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_checks
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_storage
from topazlug.store import _table_client

MAX_ROWS = 200
MAX_ATTEMPTS = 12
INITIAL_BACKOFF = 0.02
MAX_BACKOFF = 0.5
KEPT_REVISIONS = 100_000
_OUTAGE_ERRORS = (_errors.StoreUnavailable, _table_errors.TableInconsistent)


@final
class EditResult(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted edit.

    Attributes
    ----------
    first_revision, revision : int
        Revisions of the first and last row that it changed.
    repeated : bool
        Whether the edit had already been accepted under this id.
    findings : list of Finding
        Warnings; with errors, the edit would have been rejected.
    """

    edit_id: str
    first_revision: int
    revision: int
    repeated: bool = False
    findings: list[_table_checks.Finding] = []


class Publisher(Protocol):
    """Applies committed changes on this daemon and on its peers."""

    def publish(self, changes: Sequence[messages.RowChange]) -> None:
        """Apply changes on this daemon and push them to peers."""

    def catch_up(self) -> None:
        """Read and apply the store's changes after the revision in force."""


def _ambiguous_error(stamp: _edit_plan.Stamp) -> _errors.StoreAmbiguous:
    return _errors.StoreAmbiguous(
        "the store's answer was lost, so the edit may have been accepted;"
        f" repeat it under the same edit id {stamp.edit_id}"
    )


@final
class TableEditor:
    """Writes edits to the store.

    Parameters
    ----------
    store : TableStore
        The platform's table service.
    holder : ConfigurationHolder
        The revision in force, which an edit is checked against.
    publisher : Publisher
        Receives the changes of each accepted edit.
    clock : Clock
        Used for timestamps of the history and to sleep between attempts.
    """

    def __init__(
        self,
        *,
        store: _table_client.TableStore,
        holder: _configuration.ConfigurationHolder,
        publisher: Publisher,
        clock: _clock.Clock,
    ) -> None:
        self._store = store
        self._holder = holder
        self._publisher = publisher
        self._clock = clock

    def edit(
        self,
        edits: Sequence[_edit_plan.RowEdit],
        *,
        stamp: _edit_plan.Stamp,
        fingerprint: str = "",
    ) -> EditResult:
        """Make an edit atomically: all its rows are written or none.

        Parameters
        ----------
        edits : Sequence[_edit_plan.RowEdit]
            At most `MAX_ROWS`.
        stamp : Stamp
            Author, reason and id of the edit, stored in the history.
        fingerprint : str
            Detects the reuse of an edit id for another edit; by default a
            hash of the rows.

        Returns
        -------
        EditResult
            The revisions of the edit; the same if the edit is repeated.

        Raises
        ------
        RowInvalid
            A row breaks the schema or a check.
        RowConflict, PreconditionMissing, RowNotFound
            A row does not match the ETag that the edit is based on.
        EditIdReused
            The id belongs to another edit.
        EditContention
            Every attempt lost against a concurrent edit; nothing was changed.
        StoreUnavailable
            The store does not answer; nothing was changed.
        StoreAmbiguous
            It is unknown whether the edit was accepted. Repeating it with
            the same id is safe and returns the result.
        """
        normalized = [_edit_plan.normalize(edit) for edit in edits]
        if not 0 < len(normalized) <= MAX_ROWS:
            raise _table_errors.RowInvalid(
                f"{len(normalized)} rows in one edit; send 1 to {MAX_ROWS}"
            )
        fingerprint = fingerprint or _edit_plan.fingerprint_of(normalized)
        earlier_result = self.find_result(stamp, fingerprint)
        if earlier_result is not None:
            return earlier_result
        return self._edit_with_retries(
            normalized, stamp=stamp, fingerprint=fingerprint
        )

    def find_result(
        self, stamp: _edit_plan.Stamp, fingerprint: str
    ) -> EditResult | None:
        """Return the result of an accepted edit by its id, None without one.

        Raises
        ------
        EditIdReused
            The id belongs to another edit.
        StoreUnavailable
            The store does not answer.
        """
        row = self._store.read(_table_storage.EDITS_TABLE, stamp.edit_id)
        return self._result_from_row(row, stamp, fingerprint)

    def _edit_with_retries(
        self,
        edits: Sequence[_edit_plan.RowEdit],
        *,
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> EditResult:
        ambiguous: _errors.StoreAmbiguous | None = None
        try:
            for attempt in range(MAX_ATTEMPTS):
                try:
                    result = self._edit_once(edits, stamp, fingerprint)
                except _errors.StoreAmbiguous as error:
                    ambiguous = error
                    result = self.find_result(stamp, fingerprint)
                if result is not None:
                    return result
                self._back_off(attempt)
        except _OUTAGE_ERRORS as error:
            # After a lost answer, reporting the store as unavailable would
            # imply that nothing was changed, although the write may have
            # been committed. Repeating the edit id resolves this.
            if ambiguous is None:
                raise
            raise _ambiguous_error(stamp) from error
        if ambiguous is not None:
            raise _ambiguous_error(stamp) from ambiguous
        raise _table_errors.EditContention(
            "concurrent edits were committed first in all"
            f" {MAX_ATTEMPTS} attempts; try again"
        )

    def _back_off(self, attempt: int) -> None:
        max_wait = min(INITIAL_BACKOFF * 2**attempt, MAX_BACKOFF)
        self._clock.sleep(max_wait * random.uniform(0.5, 1.0))

    def _edit_once(
        self,
        edits: Sequence[_edit_plan.RowEdit],
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> EditResult | None:
        """Try once; return None if the table changed in the meantime."""
        meta = self._newest_meta()
        before = self._holder.current
        if meta is None or before is None:
            return None
        try:
            try:
                plan = _edit_plan.make_plan(edits, meta=meta, before=before)
            except _errors.TopazlugError:
                # The rejection may be based on a stale read, or on this same
                # edit if the answer to an earlier attempt was lost. It is
                # final only if the store confirms that the table has not
                # changed and the edit id is unused.
                self._store.transact(
                    conditions=_edit_plan.base_conditions(meta, stamp), puts=()
                )
                raise
            self._commit(plan, stamp, fingerprint)
        except _table_client.TransactionConflict as conflict:
            return self._result_from_conflict(conflict, stamp, fingerprint)
        self._publisher.publish(plan.changes)
        return EditResult(
            edit_id=stamp.edit_id,
            first_revision=plan.changes[0].revision,
            revision=plan.changes[-1].revision,
            findings=plan.findings,
        )

    def _newest_meta(self) -> _table_storage.Meta | None:
        """Read the table's state and catch up with it.

        Return None if the table changes in the meantime.
        """
        meta = _table_storage.read_meta(self._store)
        if meta.revision > self._holder.revision:
            self._publisher.catch_up()
        if self._holder.is_newer_revision_rejected:
            raise _errors.StoreUnavailable(
                f"revision {self._holder.rejected_revision} can't be decoded"
                " by this daemon; edit through a newer one"
            )
        return meta if meta.revision == self._holder.revision else None

    def _commit(
        self, plan: _edit_plan.Plan, stamp: _edit_plan.Stamp, fingerprint: str
    ) -> None:
        record = _edit_plan.EditRecord(
            revision=plan.changes[-1].revision,
            first_revision=plan.changes[0].revision,
            fingerprint=fingerprint,
        )
        when = self._clock.now().isoformat(timespec="milliseconds")
        self._store.transact(
            conditions=[
                *_edit_plan.base_conditions(plan.meta, stamp),
                *_edit_plan.row_conditions(plan),
            ],
            puts=_edit_plan.make_puts(
                plan, stamp=stamp, record=record, when=when
            ),
            deletes=[
                *_edit_plan.make_deletes(plan),
                *self._expired_history(plan.changes),
            ],
        )

    def _expired_history(
        self, changes: Sequence[messages.RowChange]
    ) -> list[_table_client.Delete]:
        """Return deletions of history older than `KEPT_REVISIONS`."""
        deletes = []
        for change in changes:
            if change.revision <= KEPT_REVISIONS:
                continue
            key = _table_storage.history_key(change.revision - KEPT_REVISIONS)
            row = self._store.read(_table_storage.HISTORY_TABLE, key)
            if row is None or row.value is None:
                continue
            deletes += [
                _table_client.Delete(
                    table=_table_storage.HISTORY_TABLE, key=key
                ),
                _table_client.Delete(
                    table=_table_storage.EDITS_TABLE, key=row.value["edit_id"]
                ),
            ]
        return deletes

    def _result_from_conflict(
        self,
        conflict: _table_client.TransactionConflict,
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> EditResult | None:
        """Return the result if the conflict shows the edit was committed."""
        for row in conflict.failed:
            if row.table == _table_storage.EDITS_TABLE:
                return self._result_from_row(row, stamp, fingerprint)
        return None

    def _result_from_row(
        self,
        row: _table_client.Row | None,
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> EditResult | None:
        if row is None or row.value is None:
            return None
        record = msgspec.convert(row.value, _edit_plan.EditRecord)
        if record.fingerprint != fingerprint:
            raise _table_errors.EditIdReused(
                f"edit id {stamp.edit_id!r} was used by another edit, accepted"
                f" as revision {record.revision}; use a new id for each edit"
            )
        self._catch_up_to(record.revision)
        return EditResult(
            edit_id=stamp.edit_id,
            first_revision=record.first_revision,
            revision=record.revision,
            repeated=True,
        )

    def _catch_up_to(self, revision: int) -> None:
        if revision <= self._holder.revision:
            return
        try:
            self._publisher.catch_up()
        except _OUTAGE_ERRORS:
            # The edit has been accepted. Reporting that the store is down
            # would make the operator edit again. The next poll of this or
            # any other daemon applies the edit.
            return
