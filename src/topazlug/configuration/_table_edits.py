"""Edits of the operators' table, each in one transaction of the store.

An edit is accepted only after the store has committed it. It says which
version of a row it was based on, so of two operators who change one row one
is refused, and it has an id of its own, so that repeating it is harmless.
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
MAX_TRIES = 12
FIRST_WAIT = 0.02
MAX_WAIT = 0.5
KEPT_REVISIONS = 100_000
_OUTAGE = (_errors.StoreUnavailable, _table_errors.TableInconsistent)


@final
class EditResult(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted edit.

    Attributes
    ----------
    first_revision, revision : int
        Revisions of the first and last row that it changed.
    repeated : bool
        Whether the edit had been accepted before under this id.
    findings : list of Finding
        Warnings; errors would have refused it.
    """

    edit_id: str
    first_revision: int
    revision: int
    repeated: bool = False
    findings: list[_table_checks.Finding] = []


class Publisher(Protocol):
    """What brings committed changes into force."""

    def publish(self, changes: Sequence[messages.RowChange]) -> None:
        """Bring changes into force here and push them."""

    def catch_up(self) -> None:
        """Read what the store holds beyond the revision in force."""


def _unknown(stamp: _edit_plan.Stamp) -> _errors.StoreAmbiguous:
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
        Told of each accepted edit.
    clock : Clock
        Stamps the history and waits between tries.
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
        """Make an edit, all its rows or none.

        Parameters
        ----------
        edits : Sequence[_edit_plan.RowEdit]
            At most `MAX_ROWS`.
        stamp : Stamp
            Goes into the history.
        fingerprint : str
            Tells edits under one id apart; by default made of the rows.

        Returns
        -------
        EditResult
            The revisions that the edit became, the same for a repeat.

        Raises
        ------
        RowInvalid
            A row breaks the schema or a check.
        RowConflict, PreconditionMissing, RowNotFound
            A row is not what the edit is based on.
        EditIdReused
            Another edit had this id.
        EditContention
            Others came first in each try; nothing was changed.
        StoreUnavailable
            The store does not answer; nothing was changed.
        StoreAmbiguous
            It is unknown whether the edit was accepted. Repeating it under
            the same id is safe and settles it.
        """
        normal = [_edit_plan.normal(edit) for edit in edits]
        if not 0 < len(normal) <= MAX_ROWS:
            raise _table_errors.RowInvalid(
                f"{len(normal)} rows in one edit; give 1 to {MAX_ROWS}"
            )
        fingerprint = fingerprint or _edit_plan.fingerprint_of(normal)
        earlier = self.earlier(stamp, fingerprint)
        if earlier is not None:
            return earlier
        return self._try_often(normal, stamp=stamp, fingerprint=fingerprint)

    def earlier(
        self, stamp: _edit_plan.Stamp, fingerprint: str
    ) -> EditResult | None:
        """Give what an edit became, None when it was never accepted.

        Raises
        ------
        EditIdReused
            Another edit had this id.
        StoreUnavailable
            The store does not answer.
        """
        row = self._store.read(_table_storage.EDITS_TABLE, stamp.edit_id)
        return self._result_of(row, stamp, fingerprint)

    def _try_often(
        self,
        edits: Sequence[_edit_plan.RowEdit],
        *,
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> EditResult:
        ambiguous: _errors.StoreAmbiguous | None = None
        try:
            for number in range(MAX_TRIES):
                try:
                    result = self._try(edits, stamp, fingerprint)
                except _errors.StoreAmbiguous as error:
                    ambiguous = error
                    result = self.earlier(stamp, fingerprint)
                if result is not None:
                    return result
                self._wait(number)
        except _OUTAGE as error:
            # Said after a lost answer, "unavailable" would let the operator
            # believe that nothing was changed while the write may have
            # taken effect. The edit id settles it at the next repeat.
            if ambiguous is None:
                raise
            raise _unknown(stamp) from error
        if ambiguous is not None:
            raise _unknown(stamp) from ambiguous
        raise _table_errors.EditContention(
            f"other edits came first {MAX_TRIES} times; try again"
        )

    def _wait(self, number: int) -> None:
        longest = min(FIRST_WAIT * 2**number, MAX_WAIT)
        self._clock.sleep(longest * random.uniform(0.5, 1.0))

    def _try(
        self,
        edits: Sequence[_edit_plan.RowEdit],
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> EditResult | None:
        """Try once; None when the table moved meanwhile."""
        meta = self._newest_meta()
        before = self._holder.current
        if meta is None or before is None:
            return None
        try:
            try:
                plan = _edit_plan.planned(edits, meta=meta, before=before)
            except _errors.TopazlugError:
                # The refusal may rest on an old answer of the store, or on
                # this very edit when its first answer was lost. It stands
                # only if the store confirms what it was based on.
                self._store.transact(
                    conditions=_edit_plan.base_conditions(meta, stamp), puts=()
                )
                raise
            self._commit(plan, stamp, fingerprint)
        except _table_client.TransactionConflict as conflict:
            return self._settled(conflict, stamp, fingerprint)
        self._publisher.publish(plan.changes)
        return EditResult(
            edit_id=stamp.edit_id,
            first_revision=plan.changes[0].revision,
            revision=plan.changes[-1].revision,
            findings=plan.findings,
        )

    def _newest_meta(self) -> _table_storage.Meta | None:
        """Read the revision and hold it; None when it moves meanwhile."""
        meta = _table_storage.read_meta(self._store)
        if meta.revision > self._holder.revision:
            self._publisher.catch_up()
        if self._holder.is_blocked:
            raise _errors.StoreUnavailable(
                f"revision {self._holder.refused_revision} can't be read by"
                " this daemon; edit through a newer one"
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
            puts=_edit_plan.puts_of(
                plan, stamp=stamp, record=record, when=when
            ),
            deletes=[
                *_edit_plan.deletes_of(plan),
                *self._outdated(plan.changes),
            ],
        )

    def _outdated(
        self, changes: Sequence[messages.RowChange]
    ) -> list[_table_client.Delete]:
        """Give the rows of history that these changes push out."""
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

    def _settled(
        self,
        conflict: _table_client.TransactionConflict,
        stamp: _edit_plan.Stamp,
        fingerprint: str,
    ) -> EditResult | None:
        """Give the result if the conflict shows this edit is in the store."""
        for row in conflict.failed:
            if row.table == _table_storage.EDITS_TABLE:
                return self._result_of(row, stamp, fingerprint)
        return None

    def _result_of(
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
                f"edit id {stamp.edit_id!r} was another edit's, accepted as"
                f" revision {record.revision}; give each edit its own id"
            )
        self._bring_into_force(record.revision)
        return EditResult(
            edit_id=stamp.edit_id,
            first_revision=record.first_revision,
            revision=record.revision,
            repeated=True,
        )

    def _bring_into_force(self, revision: int) -> None:
        if revision <= self._holder.revision:
            return
        try:
            self._publisher.catch_up()
        except _OUTAGE:
            # The edit is accepted all the same: saying that the store is
            # down would make the operator edit again. The next poll of this
            # or any other daemon brings it into force.
            return
