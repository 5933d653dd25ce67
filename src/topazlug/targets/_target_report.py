"""A target's report on its own state, sent with each answer."""

from collections.abc import Iterable
from http import HTTPStatus
import re
from typing import final

import msgspec

RETRY_AFTER = "Retry-After"
# Longer backoffs are reduced to this one.
_MAX_BACKOFF_SECONDS = 86400.0
# `Retry-After` as in RFC 9110, 10.2.3, except that dates are not accepted and
# fractions of a second are.
_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")


@final
class TargetReport(msgspec.Struct, frozen=True):
    """State of a target, as reported in one of its answers.

    Attributes
    ----------
    leaving : bool
        Whether the target is about to exit and accepts no new requests.
    backoff : float
        Seconds for which this daemon must not send it requests.
    tolerated_rejections : int or None
        Requests that it can reject within a second without a crash; None if
        it is not brittle.
    """

    leaving: bool = False
    backoff: float = 0.0
    tolerated_rejections: int | None = None


EMPTY_REPORT = TargetReport()


def parse_backoff(status: int, retry_after: Iterable[str]) -> float:
    """Return the backoff that an answer requests.

    Parameters
    ----------
    status : int
        Status of the answer. Only 503 is a temporary rejection; other
        statuses request no backoff.
    retry_after : iterable of str
        Values of its `Retry-After` fields. The longest one applies; values
        that are not a number of seconds are ignored.

    Returns
    -------
    float
        Seconds, 0 if no backoff is requested.
    """
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0
    values = [value.strip() for value in retry_after]
    seconds = [float(value) for value in values if _SECONDS.fullmatch(value)]
    return min(_MAX_BACKOFF_SECONDS, max(seconds, default=0.0))
