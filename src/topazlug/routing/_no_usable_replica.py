"""The error for a request whose group has no usable replica."""

from topazlug import _errors
from topazlug.routing import _placement
from topazlug.targets import _targets


def no_usable_replica_error(
    targets: _targets.TargetDirectory,
    request: _placement.PlacementRequest,
    *,
    retry_after: float,
) -> _errors.RequestError:
    """Return the error for a request that no replica can receive now.

    Parameters
    ----------
    targets : TargetDirectory
        Replicas.
    request : PlacementRequest
        The request.
    retry_after : float
        Suggested retry delay in seconds, used if no replica is in backoff.

    Returns
    -------
    Overloaded
        The group has replicas, and all of them are in backoff.
    NoTarget
        The group has none.
    """
    wait = targets.seconds_until_usable(request.group, request.excluded)
    if not wait:
        return _errors.NoTarget(
            f"no usable replica of {request.group}", retry_after=retry_after
        )
    error = _errors.Overloaded(
        f"all replicas of {request.group} are in backoff",
        retry_after=wait,
    )
    error.rejected_for = wait
    return error
