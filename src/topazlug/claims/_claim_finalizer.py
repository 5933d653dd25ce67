"""Writes that end a claim, retried in the background."""

from typing import final

from gevent import pool
import logbook
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug.claims import _claim_commit
from topazlug.claims import _claim_rows
from topazlug.store import _object_client

FINALIZE_TIMEOUT_SECONDS = 60.0
OBJECT_TIMEOUT_SECONDS = 30.0
MAX_PENDING = 1024
MAX_PENDING_BYTES = 8 * 1024 * 1024
MAX_ROW_BYTES = 4096
_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 5.0

_LOG = logbook.Logger("topazlug.claims")


@final
class HeldRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row that an attempt of this daemon has claimed or may still claim.

    Attributes
    ----------
    key : str
        Key of the row.
    version : int
        Its version; for an insert whose result is unknown, the version that
        is the insert's condition.
    row : ClaimRow
        The claim.
    """

    key: str
    version: int
    row: _claim_rows.ClaimRow


@final
class ClaimFinalizer:
    """Ends claims without delaying the caller's answer.

    Parameters
    ----------
    committer : GroupCommitter
        Writes the rows.
    objects : ObjectStore
        Stores large answers.
    clock : Clock
        Limits the time of retries.
    max_kept_bytes : int
        Maximum size of an answer that is stored.
    """

    def __init__(
        self,
        *,
        committer: _claim_commit.GroupCommitter,
        objects: _object_client.ObjectStore,
        clock: _clock.Clock,
        max_kept_bytes: int,
    ) -> None:
        self._committer = committer
        self._objects = objects
        self._clock = clock
        self._max_kept_bytes = max_kept_bytes
        self._jobs = pool.Group()
        self._pending_bytes = 0

    def wait(self, timeout: float) -> int:
        """Wait for pending writes; return how many claims are not written."""
        self._jobs.join(timeout=timeout)
        return len(self._jobs)

    def finish(
        self,
        held: HeldRow,
        *,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Write the answer of a request that ran; does not block."""
        size = _size(headers, body)
        if size > self._max_kept_bytes or not self._has_capacity(size):
            headers, body, size = [], b"", self._max_kept_bytes + 1
        if not self._accepts(held):
            return
        answer = _claim_rows.AnswerRow(
            status=status,
            headers=headers,
            place=self._location_for(size),
            body=body,
        )
        self._pending_bytes += len(body)
        self._jobs.spawn(self._finish, held, answer)

    def release(self, held: HeldRow) -> None:
        """Release the key of an attempt that sent nothing; does not block.

        If the result of the insert is unknown, the released row is written
        in its place. The insert then fails on its condition, whenever it
        arrives.
        """
        if self._accepts(held):
            self._jobs.spawn(self._release, held)

    def release_once_written(
        self, held: HeldRow, pending_write: _claim_commit.PendingWrite
    ) -> None:
        """Release the key once an abandoned insert has been written."""
        if self._accepts(held):
            self._jobs.spawn(self._release_once_written, held, pending_write)

    def _has_capacity(self, size: int) -> bool:
        return self._pending_bytes + size <= MAX_PENDING_BYTES

    # During a long outage of the store, ends of claims that wait to be written
    # would use up the memory. If an end is discarded, the claim's outcome
    # stays unknown. That is safe: only the answer or the release of its key
    # is lost.
    def _accepts(self, held: HeldRow) -> bool:
        if len(self._jobs) < MAX_PENDING:
            return True
        _LOG.warning(
            "outcome of claim {} stays unknown: too many are pending", held.key
        )
        return False

    def _location_for(self, size: int) -> _claim_rows.AnswerLocation:
        if size > self._max_kept_bytes:
            return _claim_rows.AnswerLocation.NOWHERE
        if size > MAX_ROW_BYTES:
            return _claim_rows.AnswerLocation.OBJECT
        return _claim_rows.AnswerLocation.ROW

    def _finish(self, held: HeldRow, answer: _claim_rows.AnswerRow) -> None:
        try:
            kept = self._with_object(held.row.attempt, answer)
            finished = msgspec.structs.replace(
                held.row, state=_claim_rows.ClaimState.FINISHED, answer=kept
            )
            self._write(held, finished)
        finally:
            self._pending_bytes -= len(answer.body)

    def _with_object(
        self,
        attempt: _claim_rows.AttemptId,
        answer: _claim_rows.AnswerRow,
    ) -> _claim_rows.AnswerRow:
        """Store a large body, which must precede a row that refers to it."""
        if answer.place is not _claim_rows.AnswerLocation.OBJECT:
            return answer
        if self._put_object(object_key(attempt), answer.body):
            return msgspec.structs.replace(answer, body=b"")
        return msgspec.structs.replace(
            answer, place=_claim_rows.AnswerLocation.NOWHERE, body=b""
        )

    def _put_object(self, key: str, body: bytes) -> bool:
        deadline = self._clock.monotonic() + OBJECT_TIMEOUT_SECONDS
        backoff = _INITIAL_BACKOFF_SECONDS
        while True:
            try:
                self._objects.put(key, body)
                return True
            except (_errors.StoreUnavailable, _errors.StoreAmbiguous):
                if self._clock.monotonic() + backoff > deadline:
                    return False
            self._clock.sleep(backoff)
            backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)

    def _release_once_written(
        self, held: HeldRow, pending_write: _claim_commit.PendingWrite
    ) -> None:
        try:
            result = pending_write.result()
        except _errors.StoreUnavailable:
            return
        except _errors.StoreAmbiguous:
            self._release(held)
            return
        if isinstance(result, _claim_commit.Written):
            written = msgspec.structs.replace(held, version=result.version)
            self._release(written)

    def _release(self, held: HeldRow) -> None:
        released = msgspec.structs.replace(
            held.row, state=_claim_rows.ClaimState.RELEASED
        )
        self._write(held, released)

    def _write(self, held: HeldRow, row: _claim_rows.ClaimRow) -> None:
        deadline = self._clock.monotonic() + FINALIZE_TIMEOUT_SECONDS
        backoff = _INITIAL_BACKOFF_SECONDS
        version = held.version
        while True:
            result = self._try_write(held.key, version, row)
            if isinstance(result, _claim_commit.Written):
                return
            if isinstance(result, _claim_commit.Rejected):
                if not _still_claimed(row, result):
                    return
                version = result.current.version
            if self._clock.monotonic() + backoff > deadline:
                _LOG.warning(
                    "outcome of claim {} stays unknown: writing it timed out",
                    held.key,
                )
                return
            self._clock.sleep(backoff)
            backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)

    def _try_write(
        self, key: str, version: int, row: _claim_rows.ClaimRow
    ) -> _claim_commit.WriteResult | None:
        write = _claim_commit.RowWrite(key=key, version=version, row=row)
        pending_write = self._committer.submit(write, ends_claim=True)
        try:
            return pending_write.result()
        except (_errors.StoreUnavailable, _errors.StoreAmbiguous):
            return None


def object_key(attempt: _claim_rows.AttemptId) -> str:
    """Return the key of the object that stores an attempt's answer."""
    return f"claims/{attempt}"


def _size(headers: list[tuple[str, str]], body: bytes) -> int:
    return len(body) + sum(len(name) + len(text) for name, text in headers)


# A released row is written in place of an insert whose result is unknown. If
# the insert took effect after all, the row shows the same attempt as claimed
# at a later version; the release must then be written at that version.
def _still_claimed(
    row: _claim_rows.ClaimRow, rejected: _claim_commit.Rejected
) -> bool:
    current = _claim_rows.parse_row(rejected.current.value)
    if current is None or current.attempt != row.attempt:
        return False
    return current.state is _claim_rows.ClaimState.CLAIMED
