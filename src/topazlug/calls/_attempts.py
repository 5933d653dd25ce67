"""One request's attempts at targets, and what is known of its outcome."""

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
# A request whose connections all fail is not tried for ever.
_MAX_CONNECTS = 6

ResultT = TypeVar("ResultT")
MayRepeat = Callable[[_targets.Target], bool]


class Budget(Protocol):
    """How many retries may still be made."""

    def earn(self, group: _ids.GroupName) -> None:
        """Note a first attempt."""

    def spend(self, group: _ids.GroupName) -> bool:
        """Take one retry; tell whether there was one."""


@final
class Attempts:
    """Runs a request at one target after the other until one answers.

    "Not run" is promised to the caller, so it is said only when no byte of
    any attempt went to a target, or each target that got bytes refused them
    before running. One attempt whose fate is unknown makes the whole
    request unknown, also when a later one was refused.

    Parameters
    ----------
    admission : Admission
        Finds places.
    targets : TargetDirectory
        Targets.
    budget : Budget
        This daemon's retries.
    clock : Clock
        Time.
    count_retry : callable
        Gets each request that is tried again.
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
    ) -> ResultT:
        """Run attempts until one succeeds.

        Parameters
        ----------
        request : PlacementRequest
            What needs a place.
        attempt : callable
            Makes one attempt; it owns the place once it returns, and this
            method releases it when it raises.
        repeatable : bool
            Whether an attempt whose fate is unknown may be repeated.
        may_repeat : callable or None
            Says whether such a one may be repeated after it failed at a
            target; None if it always may.
        max_replicas : int
            Replicas that the request may be sent to.
        free_connects : bool
            Whether a failed connection, over which nothing was sent, counts
            neither as an attempt nor as a retry.

        Raises
        ------
        RequestError
            The last failure, with what is known of all attempts.
        """
        self._budget.earn(request.group)
        sent = 0
        outcome = _errors.Outcome.NOT_RUN
        excluded: frozenset[_ids.ReplicaId] = frozenset()
        failure: _errors.RequestError | None = None
        for number in range(1, _MAX_CONNECTS + 1):
            place = self._admit(request, excluded, failure)
            try:
                return attempt(place)
            except _target_client.ConnectFailed as error:
                failure = self._connect_failed(place, error)
            except _errors.TargetRefused as error:
                failure = self._refused(place, error)
            except _errors.RequestError as error:
                failure = error
                if error.outcome is not _errors.Outcome.NOT_RUN:
                    outcome = error.outcome
            except BaseException:
                self._admission.release(place)
                raise
            self._admission.release(place)
            failure.outcome = outcome
            unsent = isinstance(failure, _errors.NoTarget)
            sent += 0 if unsent and free_connects else 1
            if number == _MAX_CONNECTS or sent >= max_replicas:
                raise failure
            is_free = unsent and free_connects
            is_certain = failure.outcome is _errors.Outcome.NOT_RUN
            if not is_certain and may_repeat is not None:
                repeatable = repeatable and may_repeat(place.target)
            if not is_free and not self._may_repeat(
                request.group, failure, repeatable
            ):
                raise failure
            if is_free and self._clock.monotonic() >= request.deadline:
                raise failure
            self._count_retry(request)
            excluded |= {place.target.replica}
        raise AssertionError("the last attempt returns or raises")

    def _admit(
        self,
        request: _placement.PlacementRequest,
        excluded: frozenset[_ids.ReplicaId],
        before: _errors.RequestError | None,
    ) -> _placement.Placement:
        """Find a place; a repeat that finds none tells what broke before."""
        wanted = msgspec.structs.replace(
            request,
            excluded=excluded,
            returning=request.returning and not excluded,
        )
        try:
            return self._admission.admit(wanted)
        except _errors.RequestError:
            if before is None:
                raise
            raise before from None

    def _connect_failed(
        self, place: _placement.Placement, error: _target_client.ConnectFailed
    ) -> _errors.RequestError:
        self._targets.avoid(place.target.replica)
        return _errors.NoTarget(error.message, retry_after=1.0)

    def _refused(
        self, place: _placement.Placement, error: _errors.TargetRefused
    ) -> _errors.TargetRefused:
        """Tell a caller to come back no sooner than a target takes work."""
        wait = self._targets.seconds_until_usable(place.target.group)
        error.refused_for = wait or 0.0
        error.retry_after = max(error.retry_after or 0.0, error.refused_for)
        return error

    def _may_repeat(
        self,
        group: _ids.GroupName,
        failure: _errors.RequestError,
        repeatable: bool,
    ) -> bool:
        if isinstance(failure, _errors.DeadlineExceeded):
            return False
        certain = failure.outcome is _errors.Outcome.NOT_RUN
        if not certain and not repeatable:
            return False
        return self._budget.spend(group)
