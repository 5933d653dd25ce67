"""The error for a request whose group has no usable replica."""

from topazlug import _errors
from topazlug import _ids
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
    StreamNotResumable
        The stream began at a version that no replica runs any more.
    NoTarget
        The group has none.
    """
    if request.version is not None and not _is_listed(targets, request):
        return _errors.StreamNotResumable(
            f"no replica of {request.group} is left that runs version "
            f"{request.version!r}, which began the stream"
        )
    others = _of_other_versions(targets, request)
    wait = targets.seconds_until_usable(
        request.group, request.excluded | others
    )
    if not wait:
        return _errors.NoTarget(
            f"no usable replica of {request.group}", retry_after=retry_after
        ).refused_by(_errors.Guard.NO_REPLICA, request.group)
    error = _errors.Overloaded(
        f"all replicas of {request.group} are in backoff",
        retry_after=wait,
    )
    error.rejected_for = wait
    return error.refused_by(_errors.Guard.BACKOFF, request.group)


def _of_other_versions(
    targets: _targets.TargetDirectory, request: _placement.PlacementRequest
) -> frozenset[_ids.ReplicaId]:
    """Return the replicas that may not continue the request's stream."""
    if request.version is None:
        return frozenset()
    return frozenset(
        replica
        for replica in targets.in_service(request.group)
        if targets.target_by_replica[replica].version != request.version
    )


def _is_listed(
    targets: _targets.TargetDirectory, request: _placement.PlacementRequest
) -> bool:
    """Return whether a replica of the request's version stays in service."""
    found = [
        targets.target_by_replica[replica]
        for replica in targets.listed_replicas(request.group)
    ]
    return any(
        target.version == request.version and not targets.is_leaving(target)
        for target in found
    )
