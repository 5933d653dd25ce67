"""What to tell a request whose group has no replica that may get it."""

from topazlug import _errors
from topazlug.routing import _placement
from topazlug.targets import _targets


def no_usable_replica_error(
    targets: _targets.TargetDirectory,
    request: _placement.PlacementRequest,
    *,
    retry_after: float,
) -> _errors.RequestError:
    """Give the error for a request that no replica may get now.

    Parameters
    ----------
    targets : TargetDirectory
        Replicas.
    request : PlacementRequest
        What has no place.
    retry_after : float
        Seconds after which a repeat makes sense, where nobody says when a
        replica takes work again.

    Returns
    -------
    Overloaded
        There are replicas, and all have asked for a backoff.
    NoTarget
        There are none.
    """
    wait = targets.seconds_until_usable(request.group, request.excluded)
    if not wait:
        return _errors.NoTarget(
            f"no usable replica of {request.group}", retry_after=retry_after
        )
    error = _errors.Overloaded(
        f"all replicas of {request.group} have asked for a backoff",
        retry_after=wait,
    )
    error.refused_for = wait
    return error
