"""What a target says of itself with an answer."""

from collections.abc import Iterable
from http import HTTPStatus
import re
from typing import final

import msgspec

RETRY_AFTER = "Retry-After"
# A target that asks for longer is taken to ask for this long.
_LONGEST_BACKOFF_SECONDS = 86400.0
# RFC 9110, 10.2.3, without its dates, and with a fraction of a second.
_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")


@final
class TargetReport(msgspec.Struct, frozen=True):
    """What one answer says of the target that gave it.

    Attributes
    ----------
    leaving : bool
        Whether the target is about to end and takes nothing new.
    backoff : float
        Seconds for which it wants no request from this daemon.
    """

    leaving: bool = False
    backoff: float = 0.0


EMPTY_REPORT = TargetReport()


def parse_backoff(status: int, retry_after: Iterable[str]) -> float:
    """Give the backoff that an answer asks for.

    Parameters
    ----------
    status : int
        The answer's. Only 503 turns a request away for now.
    retry_after : iterable of str
        Values of its `Retry-After` fields; the longest counts. One that is
        no number of seconds asks for nothing.

    Returns
    -------
    float
        Seconds, 0 if none is asked for.
    """
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0
    numbers = [value.strip() for value in retry_after]
    asked = [float(one) for one in numbers if _SECONDS.fullmatch(one)]
    return min(_LONGEST_BACKOFF_SECONDS, max(asked, default=0.0))
