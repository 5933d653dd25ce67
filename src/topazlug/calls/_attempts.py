"""Attempts of a request at targets, and the request's outcome."""

from collections.abc import Callable
from typing import Protocol
from typing import TypeVar
from typing import final

import logbook
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.routing import _placement
from topazlug.targets import _target_client
from topazlug.targets import _targets

_log = logbook.Logger("attempts")
_MAX_ATTEMPTS = 4
# Bounds the attempts of a request whose connections all fail.
_MAX_CONNECTS = 6
# Failures that would be the same at any other replica: the request crashes
# each of them, or this daemon reaches none.
_FINAL_ERRORS = (_errors.RequestBlocked, _errors.NoReplicaPath)

ResultT = TypeVar("ResultT")
MayRepeat = Callable[[_targets.Target], bool]


class Budget(Protocol):
    """Budget of retries."""

    def earn(self, group: _ids.GroupName) -> None:
        """Record a first attempt."""

    def spend(self, group: _ids.GroupName) -> bool:
        """Take one retry from the budget; return whether there was one."""


@final
class Attempts:
    """Sends a request to one target after another until one answers.

    The outcome "not run" is a guarantee to the caller. It is returned only if
    no attempt sent anything to a target, or each target that received
    something rejected it before running it. One attempt with an unknown
    outcome makes the outcome of the request unknown, even if a later attempt
    was rejected.

    Parameters
    ----------
    admission : Admission
        Chooses replicas and reserves their slots.
    targets : TargetDirectory
        Known targets.
    budget : Budget
        Retry budget of this daemon.
    clock : Clock
        Time.
    count_retry : callable
        Called with each request that is retried.
    """

    def __init__(
        self,
        *,
        admission: _placement.Admission,
        targets: _targets.TargetDirectory,
        budget: Budget,
        clock: _clock.Clock,
        count_retry: Callable[[_placement.PlacementRequest], None],
    ) -> None:
        self._count_retry = count_retry
        self._admission = admission
        self._targets = targets
        self._budget = budget
        self._clock = clock

    def run(
        self,
        request: _placement.PlacementRequest,
        attempt: Callable[[_placement.Placement], ResultT],
        *,
        repeatable: bool,
        may_repeat: MayRepeat | None = None,
        max_replicas: int = _MAX_ATTEMPTS,
        free_connects: bool = False,
        is_counted: bool = False,
    ) -> ResultT:
        """Run attempts until one succeeds.

        Parameters
        ----------
        request : PlacementRequest
            The request to find a replica for.
        attempt : callable
            Makes one attempt with a placement. If it returns, it has taken
            over the placement; if it raises, the placement is released here.
        repeatable : bool
            Whether the request may be repeated after an unknown outcome.
        may_repeat : callable or None
            Returns whether a repeatable request may be repeated after it
            failed with an unknown outcome at a given target; None if always.
        max_replicas : int
            Maximum number of replicas that the request is sent to.
        free_connects : bool
            Whether failed connections, over which nothing was sent, count
            neither as attempts nor as retries.
        is_counted : bool
            Whether the request has already been counted for the retry budget.

        Raises
        ------
        RequestError
            The last failure, with the outcome of all attempts combined.
        """
        if not is_counted:
            self._budget.earn(request.group)
        sent = 0
        outcome = _errors.Outcome.NOT_RUN
        excluded: frozenset[_ids.ReplicaId] = frozenset()
        failure: _errors.RequestError | None = None
        for attempt_number in range(1, _MAX_CONNECTS + 1):
            placement = self._admit(request, excluded, failure)
            try:
                return attempt(placement)
            except _target_client.ConnectFailed as error:
                failure = self._connect_failed(placement, error)
            except _errors.TargetRefused as error:
                failure = self._rejected(placement, error)
            except _FINAL_ERRORS as error:
                self._admission.release(placement)
                error.outcome = outcome
                raise
            except _errors.DaemonStopping as error:
                self._admission.release(placement)
                error.outcome = outcome
                if failure is None or outcome is _errors.Outcome.NOT_RUN:
                    raise
                # The caller gets what a replica has answered.
                raise failure from None
            except _errors.RequestError as error:
                failure = error
                if error.outcome is not _errors.Outcome.NOT_RUN:
                    outcome = error.outcome
            except BaseException:
                self._admission.release(placement)
                raise
            self._admission.release(placement)
            failure.outcome = outcome
            is_unsent = isinstance(failure, _errors.NoTarget)
            sent += 0 if is_unsent and free_connects else 1
            if attempt_number == _MAX_CONNECTS or sent >= max_replicas:
                raise failure
            is_free = is_unsent and free_connects
            is_certain = failure.outcome is _errors.Outcome.NOT_RUN
            if not is_certain and may_repeat is not None:
                repeatable = repeatable and may_repeat(placement.target)
            if not is_free and not self._allows_retry(
                request.group, failure, repeatable
            ):
                raise failure
            if is_free and self._clock.monotonic() >= request.deadline:
                raise failure
            self._count_retry(request)
            excluded |= {placement.target.replica}
        raise AssertionError("the last attempt neither returned nor raised")

    def _admit(
        self,
        request: _placement.PlacementRequest,
        excluded: frozenset[_ids.ReplicaId],
        previous_failure: _errors.RequestError | None,
    ) -> _placement.Placement:
        """Choose a replica; if a retry finds none, raise the last failure."""
        placement_request = msgspec.structs.replace(
            request,
            excluded=excluded,
            returning=request.returning and not excluded,
        )
        try:
            return self._admission.admit(placement_request)
        except _errors.RequestError:
            if previous_failure is None:
                raise
            raise previous_failure from None

    def _connect_failed(
        self,
        placement: _placement.Placement,
        error: _target_client.ConnectFailed,
    ) -> _errors.RequestError:
        self._targets.avoid(placement.target.replica)
        return _errors.NoTarget(error.message, retry_after=1.0)

    def _rejected(
        self, placement: _placement.Placement, error: _errors.TargetRefused
    ) -> _errors.TargetRefused:
        """Return the error with the time until a target is usable."""
        wait = self._targets.seconds_until_usable(placement.target.group)
        error.rejected_for = wait or 0.0
        error.retry_after = max(error.retry_after or 0.0, error.rejected_for)
        return error

    def _allows_retry(
        self,
        group: _ids.GroupName,
        failure: _errors.RequestError,
        repeatable: bool,
    ) -> bool:
        if isinstance(failure, _errors.DeadlineExceeded):
            return False
        is_certain = failure.outcome is _errors.Outcome.NOT_RUN
        if not is_certain and not repeatable:
            return False
        return self._budget.spend(group)
