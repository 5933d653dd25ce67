"""At-most-once execution of requests that must not be repeated.

Before the first byte of such a request is sent to a target, the attempt
claims the request's ``Idempotency-Key`` in the table service. A claim is
never taken over: in the worst case a crash, a pause or a lost response
leaves a key whose outcome is unknown.
"""

import datetime
from typing import final
import uuid

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.claims import _claim_commit
from topazlug.claims import _claim_finalizer
from topazlug.claims import _claim_rows
from topazlug.store import _object_client
from topazlug.store import _table_client

LIFETIME = datetime.timedelta(hours=24)
IN_USE_RETRY_AFTER_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0
_MAX_ATTEMPTS = 4
_EARLIER_ATTEMPT_CAVEAT = (
    "; this does not apply to earlier attempts under this key"
)


@final
class KeptAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer that an earlier attempt under the same key received.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (str, str)
        In the order of the answer.
    body : bytes
        The complete body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@final
class Claim:
    """The right of one attempt to send one request.

    As a context manager it ends itself on exit: it releases the key if
    `may_send` never succeeded, and otherwise leaves the outcome unknown.

    Parameters
    ----------
    held : HeldRow
        The row that grants the right.
    deadline : float
        Monotonic time in seconds from which the attempt must not send.
    finalizer : ClaimFinalizer
        Writes the end of the claim.
    clock : Clock
        The clock of this daemon.
    """

    def __init__(
        self,
        *,
        held: _claim_finalizer.HeldRow,
        deadline: float,
        finalizer: _claim_finalizer.ClaimFinalizer,
        clock: _clock.Clock,
    ) -> None:
        self.attempt = held.row.attempt
        self._held = held
        self._deadline = deadline
        self._finalizer = finalizer
        self._clock = clock
        self._ended = False
        self._may_have_sent = False

    def __enter__(self) -> "Claim":
        return self

    def __exit__(self, *_: object) -> None:
        if not self._ended and not self._may_have_sent:
            self.release()
        self.abandon()

    def may_send(self) -> None:
        """Check the claim; call this immediately before the first byte.

        Raises
        ------
        DeadlineExceeded
            The attempt must not send; release the claim.
        ClaimEnded
            The claim was released, finished or abandoned.
        """
        if self._ended:
            raise _ended(self.attempt)
        # Without this check a daemon that was suspended and resumed would
        # execute a request long after its caller was informed that it did
        # not run. The wall clock is checked too: it goes on while a virtual
        # machine is suspended, and the row may be swept after `expires`.
        late = self._clock.monotonic() >= self._deadline
        if late or self._clock.now() >= self._held.row.expires:
            raise _too_late("deadline passed between claim and first byte")
        self._may_have_sent = True

    def release(self) -> None:
        """Release the key; only for an attempt that sent nothing.

        Raises
        ------
        ClaimEnded
            The claim was ended before.
        """
        self._end()
        self._finalizer.release(self._held)

    def finish(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Store the complete answer for repeats; does not block.

        Raises
        ------
        ClaimEnded
            The claim was ended before.
        """
        self._end()
        self._finalizer.finish(
            self._held, status=status, headers=headers, body=body
        )

    def abandon(self) -> None:
        """Leave the outcome unknown; no effect on an ended claim."""
        self._ended = True

    def _end(self) -> None:
        if self._ended:
            raise _ended(self.attempt)
        self._ended = True


@final
class ClaimManager:
    """Claims requests for one daemon.

    Parameters
    ----------
    store : TableStore
        The table service.
    objects : ObjectStore
        Stores large answers.
    daemon_id : DaemonId
        Written to the rows for operators.
    clock : Clock
        The clock of this daemon.
    max_kept_bytes : int
        Maximum size of headers and body of an answer stored for repeats.
    lifetime : timedelta
        How long a key is retained.
    max_queued : int
        Maximum number of claims that wait for the table service.
    max_batch : int
        Maximum number of rows in one transaction.
    min_interval : float
        Minimum seconds between two transactions of this daemon.
    """

    def __init__(
        self,
        *,
        store: _table_client.TableStore,
        objects: _object_client.ObjectStore,
        daemon_id: _ids.DaemonId,
        clock: _clock.Clock,
        max_kept_bytes: int,
        lifetime: datetime.timedelta = LIFETIME,
        max_queued: int = _claim_commit.MAX_QUEUED,
        max_batch: int = _claim_commit.MAX_BATCH,
        min_interval: float = _claim_commit.MIN_INTERVAL_SECONDS,
    ) -> None:
        self._objects = objects
        self._daemon_id = daemon_id
        self._clock = clock
        self._lifetime = lifetime
        self._committer = _claim_commit.GroupCommitter(
            store=store,
            clock=clock,
            max_queued=max_queued,
            max_batch=max_batch,
            min_interval=min_interval,
        )
        self._finalizer = _claim_finalizer.ClaimFinalizer(
            committer=self._committer,
            objects=objects,
            clock=clock,
            max_kept_bytes=max_kept_bytes,
        )

    def claim(
        self,
        *,
        team: _ids.TeamName,
        service: str,
        key: str,
        fingerprint: str,
        deadline: float,
    ) -> Claim | KeptAnswer:
        """Claim a request, or return the answer that it received before.

        Parameters
        ----------
        team : TeamName
            The team that sent the key.
        service : str
            Service or model that the request is for.
        key : str
            The caller's ``Idempotency-Key``.
        fingerprint : str
            From `_claim_rows.fingerprint`.
        deadline : float
            Monotonic time in seconds from which nothing may be sent.

        Raises
        ------
        StoreUnavailable, DeadlineExceeded
            This attempt did not run and will not run.
        KeyReused
            The key was used with another request before.
        KeyInUse
            An attempt that is running or of unknown outcome holds the key.
        AnswerNotKept
            The request ran, but its answer is not available.
        """
        row_key = _claim_rows.row_key(team=team, service=service, key=key)
        version = _table_client.ABSENT
        for _ in range(_MAX_ATTEMPTS):
            held = self._new_row(row_key, version, fingerprint)
            result = self._write(held, deadline)
            if isinstance(result, _claim_commit.Written):
                return self._make_claim(held, result.version, deadline)
            kept = self._kept_answer(result.current, fingerprint)
            if kept is not None:
                return kept
            version = result.current.version
        raise _not_claimed("other attempts kept changing the claim of its key")

    def wait_finalized(self, timeout: float) -> int:
        """Wait until ended claims are written; return how many are not.

        Called at a planned stop. `timeout` is in seconds.
        """
        return self._finalizer.wait(timeout)

    def _new_row(
        self, row_key: str, version: int, fingerprint: str
    ) -> _claim_finalizer.HeldRow:
        now = self._clock.now()
        row = _claim_rows.ClaimRow(
            attempt=_claim_rows.AttemptId(uuid.uuid4().hex),
            daemon=self._daemon_id,
            fingerprint=fingerprint,
            state=_claim_rows.ClaimState.CLAIMED,
            claimed_at=now,
            expires=now + self._lifetime,
        )
        return _claim_finalizer.HeldRow(key=row_key, version=version, row=row)

    def _write(
        self, held: _claim_finalizer.HeldRow, deadline: float
    ) -> _claim_commit.WriteResult:
        write = _claim_commit.RowWrite(
            key=held.key, version=held.version, row=held.row
        )
        pending_write = self._committer.submit(write)
        try:
            remaining = max(deadline - self._clock.monotonic(), 0.0)
            result = pending_write.result(timeout=remaining)
        except _errors.StoreUnavailable as error:
            raise _not_claimed(error.message, error.retry_after) from error
        except _errors.StoreAmbiguous as error:
            self._finalizer.release(held)
            raise _not_claimed(error.message) from error
        except BaseException:
            # This greenlet was killed while it waited. The insert may still
            # be applied; unless it is released, the key's outcome would be
            # unknown for a day.
            self._abandon_write(held, pending_write)
            raise
        if result is None:
            self._abandon_write(held, pending_write)
            raise _too_late(
                "deadline passed while waiting for the table service"
            )
        return result

    def _abandon_write(
        self,
        held: _claim_finalizer.HeldRow,
        pending_write: _claim_commit.PendingWrite,
    ) -> None:
        if not pending_write.cancel():
            self._finalizer.release_once_written(held, pending_write)

    def _make_claim(
        self, held: _claim_finalizer.HeldRow, version: int, deadline: float
    ) -> Claim:
        claimed = msgspec.structs.replace(held, version=version)
        if self._clock.monotonic() >= deadline:
            self._finalizer.release(claimed)
            raise _too_late("deadline passed while the claim was written")
        return Claim(
            held=claimed,
            deadline=deadline,
            finalizer=self._finalizer,
            clock=self._clock,
        )

    def _kept_answer(
        self, current: _table_client.Row, fingerprint: str
    ) -> KeptAnswer | None:
        """Return the answer in a row; None if the key is free."""
        if current.version == _table_client.ABSENT:
            return None
        row = _claim_rows.parse_row(current.value)
        if row is None:
            raise _in_use(
                "its claim was written by another version of the daemon"
            )
        if row.fingerprint != fingerprint:
            raise _errors.KeyReused(
                "this Idempotency-Key was used before with another request; "
                "use a new key for a new request"
            )
        if row.state is _claim_rows.ClaimState.RELEASED:
            return None
        if row.answer is None:
            raise _in_use("an attempt is running, or its outcome is unknown")
        return self._answer(row.attempt, row.answer)

    def _answer(
        self,
        attempt: _claim_rows.AttemptId,
        answer: _claim_rows.AnswerRow,
    ) -> KeptAnswer:
        body: bytes | None = answer.body
        if answer.place is _claim_rows.AnswerLocation.NOWHERE:
            body = None
        if answer.place is _claim_rows.AnswerLocation.OBJECT:
            body = self._object(attempt)
        if body is None:
            raise _not_kept("its answer was not stored")
        return KeptAnswer(
            status=answer.status, headers=answer.headers, body=body
        )

    # The outcome of the object store's error is not-run. That is true of the
    # read but not of the request: the caller would send the request again.
    def _object(self, attempt: _claim_rows.AttemptId) -> bytes | None:
        try:
            return self._objects.get(_claim_finalizer.object_key(attempt))
        except _errors.StoreUnavailable as error:
            raise _not_kept(
                "its answer can't be read now; retry later", error.retry_after
            ) from error


def _ended(attempt: _claim_rows.AttemptId) -> _errors.ClaimEnded:
    return _errors.ClaimEnded(f"claim of attempt {attempt} has ended")


def _too_late(why: str) -> _errors.DeadlineExceeded:
    return _errors.DeadlineExceeded(
        why + _EARLIER_ATTEMPT_CAVEAT, retry_after=RETRY_AFTER_SECONDS
    )


def _not_claimed(
    why: str, retry_after: float | None = None
) -> _errors.StoreUnavailable:
    return _errors.StoreUnavailable(
        f"request not sent, as claiming it failed: {why}"
        f"{_EARLIER_ATTEMPT_CAVEAT}",
        retry_after=retry_after or RETRY_AFTER_SECONDS,
    )


def _in_use(why: str) -> _errors.KeyInUse:
    return _errors.KeyInUse(
        f"this Idempotency-Key is in use: {why}",
        outcome=_errors.Outcome.UNKNOWN,
        retry_after=IN_USE_RETRY_AFTER_SECONDS,
    )


def _not_kept(
    why: str, retry_after: float | None = None
) -> _errors.AnswerNotKept:
    return _errors.AnswerNotKept(
        f"the request ran, but {why}",
        outcome=_errors.Outcome.RAN,
        retry_after=retry_after,
    )
