"""Which errors of a request count as failures of its replica."""

from topazlug import _errors
from topazlug.routing import _placement


def record(
    placement: _placement.Placement, error: _errors.RequestError
) -> None:
    """Mark a placement as failed if the replica is the cause of an error.

    It is not if the replica rejected the request without running it, or if
    the request's own deadline had passed. Its outcome is then unknown.
    """
    placement.is_rejected = isinstance(error, _errors.TargetRefused)
    if isinstance(error, (_errors.TargetRefused, _errors.DeadlineExceeded)):
        placement.is_outcome_unknown = True
    else:
        placement.failed = True
